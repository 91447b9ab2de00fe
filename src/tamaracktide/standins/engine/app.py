"""HTTP interface of the stand-in engine."""

import dataclasses

import anyio
import httpcore

from tamaracktide.standins.engine import completions
from tamaracktide.standins.engine import host as engine_host
from tamaracktide.standins.engine import orders
from tamaracktide.standins.service import web


class Engine:
    """Dispatches requests to completions, orders and state."""

    def __init__(
        self, host: engine_host.Host, pool: httpcore.AsyncConnectionPool
    ) -> None:
        """Builds the interface; the pool connects to the weight store."""
        self._host = host
        self._completions = completions.Completions(host)
        self._orders = orders.Orders(host, pool)

    async def handle(self, request: web.Request) -> web.Reply | None:
        """Answers any request."""
        if request.parts[0] == "admin":
            return await self._administer(request)
        if not request.check_token(self._host.settings.token):
            return web.make_error_reply(401, "missing or wrong token")
        match request.method, request.parts:
            case "POST", ["v1", "completions"] | ["v1", "chat", "completions"]:
                return await self._completions.complete(request)
            case "GET", ["v1", "streams", request_id]:
                return await self._completions.resume(request, request_id)
            case "DELETE", ["v1", "streams", request_id]:
                return await self._completions.cancel(request_id)
            case "POST", ["v1", "load_lora_adapter"]:
                return await self._orders.load(request)
            case "POST", ["v1", "unload_lora_adapter"]:
                return await self._orders.unload(request)
            case "GET", ["v1", what]:
                return await self._describe(request, what)
        return web.make_error_reply(404, f"no such call: {request.path}")

    async def _describe(self, request: web.Request, what: str) -> web.Reply:
        await self._host.wait_thawed()
        match what:
            case "state":
                return self._describe_state()
            case "load":
                return self._describe_load()
            case "cache_events":
                return self._list_cache_events(request)
        return web.make_error_reply(404, f"no such call: {request.path}")

    def _describe_state(self) -> web.Reply:
        runtime = self._host.runtime
        settings = self._host.settings
        loaded = [
            {
                "lora_name": adapter.lora_name,
                "adapter": adapter.key.adapter,
                "version": adapter.key.version,
                "running": adapter.running,
            }
            for adapter in runtime.slots.list_loaded()
        ]
        return web.make_json_reply(
            200,
            {
                "instance": settings.instance,
                "incarnation": runtime.incarnation,
                "slots": settings.slots,
                "batch_limit": settings.batch_limit,
                "loaded": loaded,
                "running": [s.request_id for s in runtime.list_active()],
                "checks_fencing": settings.checks_fencing,
                "highest_fencing_token": runtime.highest_fencing_token,
                "draining": self._host.faults.draining,
            },
        )

    def _describe_load(self) -> web.Reply:
        report = self._host.report
        return web.make_json_reply(
            200,
            {
                **dataclasses.asdict(report.load),
                "age_s": anyio.current_time() - report.at,
            },
        )

    def _list_cache_events(self, request: web.Request) -> web.Reply:
        since = int(request.read_number("since", 0))
        events = self._host.runtime.cache.list_events(
            since, anyio.current_time()
        )
        following = events[-1].sequence if events else since
        told = [dataclasses.asdict(event) for event in events]
        return web.make_json_reply(200, {"next": following, "events": told})

    async def _administer(self, request: web.Request) -> web.Reply:
        match request.method, request.parts:
            case "GET", ["admin", "record"]:
                return web.make_json_reply(200, self._host.records.describe())
            case "POST", ["admin", "faults"]:
                return await self._set_faults(request)
        return web.make_error_reply(404, f"no such call: {request.path}")

    async def _set_faults(self, request: web.Request) -> web.Reply:
        """Switches faults; `silent` and `restart` happen once."""
        body = await request.read_body()
        faults = web.merge_fields(self._host.faults, body)
        self._host.faults = dataclasses.replace(
            faults, silent=False, restart=False
        )
        self._host.wake()
        if faults.silent:
            for connection in request.connection.list_others():
                connection.silence()
        if faults.restart:
            self._host.restart()
            for connection in request.connection.list_others():
                connection.abort()
        return web.make_json_reply(200, dataclasses.asdict(self._host.faults))
