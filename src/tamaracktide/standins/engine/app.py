"""HTTP API of the stand-in engine."""

import dataclasses

import anyio
import httpcore

from tamaracktide.standins.engine import completions
from tamaracktide.standins.engine import orders
from tamaracktide.standins.engine import process as engine_process
from tamaracktide.standins.service import web


class Engine:
    """Dispatches requests to the endpoints of the engine."""

    def __init__(
        self,
        process: engine_process.EngineProcess,
        pool: httpcore.AsyncConnectionPool,
    ) -> None:
        """Builds the API; the pool connects to the weight store."""
        self._process = process
        self._completions = completions.Completions(process)
        self._orders = orders.Orders(process, pool)

    async def handle(self, request: web.Request) -> web.Response | None:
        """Handles a request."""
        if request.path_segments[0] == "admin":
            return await self._handle_admin(request)
        if not request.check_token(self._process.settings.token):
            return web.make_error_response(
                401, "missing or invalid bearer token"
            )
        match request.method, request.path_segments:
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
            case "GET", ["v1", resource]:
                return await self._describe(request, resource)
        return web.make_error_response(404, f"no such endpoint: {request.path}")

    async def _describe(
        self, request: web.Request, resource: str
    ) -> web.Response:
        await self._process.wait_until_unfrozen()
        match resource:
            case "state":
                return self._describe_state()
            case "load":
                return self._describe_load()
            case "cache_events":
                return self._list_cache_events(request)
        return web.make_error_response(404, f"no such endpoint: {request.path}")

    def _describe_state(self) -> web.Response:
        runtime = self._process.runtime
        settings = self._process.settings
        loaded = [
            {
                "lora_name": adapter.lora_name,
                "adapter": adapter.key.adapter,
                "version": adapter.key.version,
                "running": adapter.running,
            }
            for adapter in runtime.slots.list_loaded()
        ]
        return web.make_json_response(
            200,
            {
                "instance": settings.instance,
                "incarnation": runtime.incarnation,
                "slots": settings.slots,
                "batch_limit": settings.batch_limit,
                "loaded": loaded,
                "running": [
                    s.request_id for s in runtime.list_active_streams()
                ],
                "checks_fencing": settings.checks_fencing,
                "highest_fencing_token": runtime.highest_fencing_token,
                "draining": self._process.faults.draining,
            },
        )

    def _describe_load(self) -> web.Response:
        report = self._process.report
        return web.make_json_response(
            200,
            {
                **dataclasses.asdict(report.load),
                "age_s": anyio.current_time() - report.at,
            },
        )

    def _list_cache_events(self, request: web.Request) -> web.Response:
        since = int(request.read_number("since", 0))
        events = self._process.runtime.cache.list_events(
            since, anyio.current_time()
        )
        next_since = events[-1].sequence if events else since
        encoded_events = [dataclasses.asdict(event) for event in events]
        return web.make_json_response(
            200, {"next": next_since, "events": encoded_events}
        )

    async def _handle_admin(self, request: web.Request) -> web.Response:
        match request.method, request.path_segments:
            case "GET", ["admin", "record"]:
                return web.make_json_response(
                    200, self._process.records.describe()
                )
            case "POST", ["admin", "faults"]:
                return await self._set_faults(request)
        return web.make_error_response(404, f"no such endpoint: {request.path}")

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Sets the faults; `silent` and `restart` are one-shot."""
        body = await request.read_body()
        faults = web.merge_fields(self._process.faults, body)
        self._process.faults = dataclasses.replace(
            faults, silent=False, restart=False
        )
        self._process.notify_tasks()
        if faults.silent:
            for connection in request.connection.list_other_connections():
                connection.stall()
        if faults.restart:
            self._process.restart()
            for connection in request.connection.list_other_connections():
                connection.abort()
        return web.make_json_response(
            200, dataclasses.asdict(self._process.faults)
        )
