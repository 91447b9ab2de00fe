"""HTTP API of the stand-in service."""

import collections
import dataclasses

import anyio

from tamaracktide.standins.service import settings as service_settings
from tamaracktide.standins.service import web


class Service:
    """Counts the effects of requests by idempotency key."""

    def __init__(self, settings: service_settings.ServiceSettings) -> None:
        """Builds a service with no effects recorded."""
        self._settings = settings
        self._faults = settings.faults
        self._effects: collections.Counter[str] = collections.Counter()

    async def handle(self, request: web.Request) -> web.Response | None:
        """Handles a request."""
        match request.method, request.path:
            case "GET", "/admin/effects":
                return web.make_json_response(200, self._effects)
            case "POST", "/admin/faults":
                body = await request.read_body()
                self._faults = web.merge_fields(self._faults, body)
                return web.make_json_response(
                    200, dataclasses.asdict(self._faults)
                )
        if not request.check_token(self._settings.token):
            return web.make_error_response(
                401, "missing or invalid bearer token"
            )
        return await self._handle_request(request)

    async def _handle_request(
        self, request: web.Request
    ) -> web.Response | None:
        body = await request.read_body()
        faults = self._faults
        if faults.fail_before > 0:
            self._faults = dataclasses.replace(
                faults, fail_before=faults.fail_before - 1
            )
            return web.make_error_response(
                503, "injected failure: the request had no effect"
            )
        await anyio.sleep(faults.delay_s)
        key = request.headers.get("idempotency-key", "")
        effect = self._count_effect(key)
        if self._faults.lose_reply > 0:
            self._faults = dataclasses.replace(
                self._faults, lose_reply=self._faults.lose_reply - 1
            )
            await request.drop_connection()
            return None
        return web.make_json_response(
            200,
            {
                "instance": self._settings.instance,
                "key": key,
                "effect": effect,
                "echo": body.decode("utf-8", "replace"),
            },
        )

    def _count_effect(self, key: str) -> int:
        """Counts an effect; returns the number of effects of the key."""
        if not key:
            return 1
        self._effects[key] += 1
        return self._effects[key]
