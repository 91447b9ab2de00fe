"""HTTP interface of the stand-in service."""

import collections
import dataclasses

import anyio

from tamaracktide.standins.service import settings as service_settings
from tamaracktide.standins.service import web


class Service:
    """Counts the effect of each request by its idempotency key."""

    def __init__(self, settings: service_settings.ServiceSettings) -> None:
        """Builds a service without effects."""
        self._settings = settings
        self._faults = settings.faults
        self._effects: collections.Counter[str] = collections.Counter()

    async def handle(self, request: web.Request) -> web.Reply | None:
        """Answers any request."""
        match request.method, request.path:
            case "GET", "/admin/effects":
                return web.make_json_reply(200, self._effects)
            case "POST", "/admin/faults":
                body = await request.read_body()
                self._faults = web.merge_fields(self._faults, body)
                return web.make_json_reply(
                    200, dataclasses.asdict(self._faults)
                )
        if not request.check_token(self._settings.token):
            return web.make_error_reply(401, "missing or wrong token")
        return await self._apply(request)

    async def _apply(self, request: web.Request) -> web.Reply | None:
        body = await request.read_body()
        faults = self._faults
        if faults.fail_before > 0:
            self._faults = dataclasses.replace(
                faults, fail_before=faults.fail_before - 1
            )
            return web.make_error_reply(503, "failed before the effect")
        await anyio.sleep(faults.delay_s)
        key = request.headers.get("idempotency-key", "")
        effect = self._count_effect(key)
        if self._faults.lose_reply > 0:
            self._faults = dataclasses.replace(
                self._faults, lose_reply=self._faults.lose_reply - 1
            )
            await request.drop()
            return None
        return web.make_json_reply(
            200,
            {
                "instance": self._settings.instance,
                "key": key,
                "effect": effect,
                "echo": body.decode("utf-8", "replace"),
            },
        )

    def _count_effect(self, key: str) -> int:
        """Returns how often the key has had its effect, this one included."""
        if not key:
            return 1
        self._effects[key] += 1
        return self._effects[key]
