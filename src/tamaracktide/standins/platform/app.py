"""HTTP API of the stand-in platform."""

import dataclasses

import anyio

from tamaracktide.standins.platform import directory
from tamaracktide.standins.platform import limits
from tamaracktide.standins.platform import objects
from tamaracktide.standins.platform import records
from tamaracktide.standins.platform import settings as platform_settings
from tamaracktide.standins.platform import weights
from tamaracktide.standins.service import web

MAX_HANG_S = 600.0


class Platform:
    """Object API, instance list and weight store on one address."""

    def __init__(
        self, settings: platform_settings.PlatformSettings, now: float
    ) -> None:
        """Builds a platform with an empty object store."""
        self._settings = settings
        self._counters = limits.Counters()
        self._objects = objects.ObjectApi(settings, self._counters, now)
        self._directory = directory.Directory(
            settings.instances, settings.lag_s
        )
        self._loads = weights.SharedLoads(
            settings.load_s, settings.full_speed_loads, now
        )
        self._loads_changed = anyio.Event()

    async def handle(self, request: web.Request) -> web.Response | None:
        """Handles a request."""
        if request.path_segments[0] == "admin":
            return await self._handle_admin(request)
        if self._is_partitioned(request):
            await self._hang(request)
            return None
        response = await self._serve(request)
        if response is not None and self._is_partitioned(request):
            await self._hang(request)
            return None
        return response

    def _is_partitioned(self, request: web.Request) -> bool:
        """Whether a fault disconnects the client's zone from the platform."""
        return request.zone in self._objects.faults.cut_zones

    async def _serve(self, request: web.Request) -> web.Response | None:
        if not request.check_token(self._settings.token):
            return web.make_error_response(
                401, "missing or invalid bearer token"
            )
        if request.path_segments[0] == "weights":
            return await self._serve_weights(request)
        return await self._serve_store(request)

    async def _serve_store(self, request: web.Request) -> web.Response | None:
        """Handles a request to the object API or the instance list."""
        await request.read_body()
        await anyio.sleep(self._objects.faults.slow_s)
        if self._objects.faults.outage:
            self._record_unavailable(request)
            return web.make_error_response(
                503, "platform outage (injected fault)"
            )
        match request.method, request.path_segments:
            case "GET", ["instances"]:
                return self._list_instances(request.zone)
            case _, ["objects" | "watch", *_]:
                return await self._objects.handle(request)
        return web.make_error_response(404, f"no such endpoint: {request.path}")

    def _record_unavailable(self, request: web.Request) -> None:
        self._counters.unavailable += 1
        if request.method in ("PUT", "DELETE"):
            key = request.path.removeprefix("/objects/")
            self._objects.writes.add(
                request.method,
                key,
                request.zone,
                records.WriteOutcome.UNAVAILABLE,
            )

    async def _hang(self, request: web.Request) -> None:
        """Sends no response until the client disconnects.

        Drops the connection after `MAX_HANG_S`.
        """
        with anyio.move_on_after(MAX_HANG_S):
            await request.wait_disconnect()
            return
        await request.drop_connection()

    def _list_instances(self, zone: str) -> web.Response:
        self._counters.instance_lists += 1
        snapshot = self._directory.read(anyio.current_time())
        instances = [
            {"id": instance, **entry.describe_for(zone)}
            for instance, entry in sorted(snapshot.entries.items())
        ]
        return web.make_json_response(
            200, {"version": snapshot.version, "instances": instances}
        )

    async def _serve_weights(self, request: web.Request) -> web.Response | None:
        match request.method, request.path_segments:
            case "GET", ["weights", *adapter, _version] if any(adapter):
                name = "/".join(adapter)
            case _:
                return web.make_error_response(
                    404, f"no such endpoint: {request.path}"
                )
        if name in self._settings.missing_adapters:
            return web.make_error_response(404, f"no such adapter: {name}")
        self._counters.weight_loads += 1
        return await web.run_connected(request, self._load_weights)

    async def _load_weights(self) -> web.Response:
        """Waits as long as a load takes at the current number of loads."""
        done_progress_s = self._loads.start(anyio.current_time())
        self._notify_load_change()
        try:
            while True:
                changed = self._loads_changed
                remaining_s = self._loads.estimate_remaining_s(
                    done_progress_s, anyio.current_time()
                )
                if remaining_s <= 0:
                    return web.Response(200, b"weights")
                with anyio.move_on_after(remaining_s):
                    await changed.wait()
        finally:
            self._loads.end(anyio.current_time())
            self._notify_load_change()

    def _notify_load_change(self) -> None:
        """Makes the loads in flight recompute their remaining time."""
        self._loads_changed.set()
        self._loads_changed = anyio.Event()

    async def _handle_admin(self, request: web.Request) -> web.Response:
        body = await request.read_body()
        now = anyio.current_time()
        match request.method, request.path_segments:
            case "POST", ["admin", "faults"]:
                faults = web.merge_fields(self._objects.faults, body)
                self._objects.set_faults(faults)
                return web.make_json_response(200, dataclasses.asdict(faults))
            case "GET", ["admin", "counters"]:
                counters = dataclasses.asdict(self._counters)
                return web.make_json_response(200, counters)
            case "GET", ["admin", "record"]:
                writes = self._objects.writes.list_records()
                return web.make_json_response(
                    200, [dataclasses.asdict(write) for write in writes]
                )
            case "PUT", ["admin", "instances", instance]:
                entry = web.parse_fields(directory.InstanceEntry, body)
                self._directory.put(instance, entry, now)
                return web.Response(204)
            case "DELETE", ["admin", "instances", instance]:
                self._directory.remove(instance, now)
                return web.Response(204)
        return web.make_error_response(404, f"no such endpoint: {request.path}")
