"""HTTP interface of the stand-in platform."""

import dataclasses

import anyio

from tamaracktide.standins.platform import directory
from tamaracktide.standins.platform import limits
from tamaracktide.standins.platform import objects
from tamaracktide.standins.platform import records
from tamaracktide.standins.platform import settings as platform_settings
from tamaracktide.standins.platform import weights
from tamaracktide.standins.service import web

NO_ANSWER_S = 600.0


class Platform:
    """Object API, instance list and weight store under one address."""

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

    async def handle(self, request: web.Request) -> web.Reply | None:
        """Answers any request."""
        if request.parts[0] == "admin":
            return await self._administer(request)
        if self._is_cut(request):
            await self._withhold(request)
            return None
        reply = await self._serve(request)
        if reply is not None and self._is_cut(request):
            await self._withhold(request)
            return None
        return reply

    def _is_cut(self, request: web.Request) -> bool:
        """Whether the caller's zone is cut off from the platform now."""
        return request.zone in self._objects.faults.cut_zones

    async def _serve(self, request: web.Request) -> web.Reply | None:
        if not request.check_token(self._settings.token):
            return web.make_error_reply(401, "missing or wrong token")
        if request.parts[0] == "weights":
            return await self._serve_weights(request)
        return await self._serve_store(request)

    async def _serve_store(self, request: web.Request) -> web.Reply | None:
        """Answers the object API and the instance list."""
        await request.read_body()
        await anyio.sleep(self._objects.faults.slow_s)
        if self._objects.faults.outage:
            self._record_unavailable(request)
            return web.make_error_reply(503, "outage")
        match request.method, request.parts:
            case "GET", ["instances"]:
                return self._list_instances(request.zone)
            case _, ["objects" | "watch", *_]:
                return await self._objects.handle(request)
        return web.make_error_reply(404, f"no such call: {request.path}")

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

    async def _withhold(self, request: web.Request) -> None:
        """Gives no answer until the caller goes away."""
        with anyio.move_on_after(NO_ANSWER_S):
            await request.wait_disconnect()
            return
        await request.drop()

    def _list_instances(self, zone: str) -> web.Reply:
        self._counters.instance_lists += 1
        listed = self._directory.read(anyio.current_time())
        instances = [
            {"id": instance, **entry.describe_for(zone)}
            for instance, entry in sorted(listed.entries.items())
        ]
        return web.make_json_reply(
            200, {"version": listed.version, "instances": instances}
        )

    async def _serve_weights(self, request: web.Request) -> web.Reply | None:
        match request.method, request.parts:
            case "GET", ["weights", *adapter, _version] if any(adapter):
                name = "/".join(adapter)
            case _:
                return web.make_error_reply(
                    404, f"no such call: {request.path}"
                )
        if name in self._settings.missing_adapters:
            return web.make_error_reply(404, f"no such adapter: {name}")
        self._counters.weight_loads += 1
        return await web.run_connected(request, self._load_weights)

    async def _load_weights(self) -> web.Reply:
        """Takes the time of a load among those in flight."""
        done_at = self._loads.start(anyio.current_time())
        self._signal_loads()
        try:
            while True:
                changed = self._loads_changed
                left_s = self._loads.measure_left(done_at, anyio.current_time())
                if left_s <= 0:
                    return web.Reply(200, b"weights")
                with anyio.move_on_after(left_s):
                    await changed.wait()
        finally:
            self._loads.end(anyio.current_time())
            self._signal_loads()

    def _signal_loads(self) -> None:
        """Has loads in flight look at their speed again."""
        self._loads_changed.set()
        self._loads_changed = anyio.Event()

    async def _administer(self, request: web.Request) -> web.Reply:
        body = await request.read_body()
        now = anyio.current_time()
        match request.method, request.parts:
            case "POST", ["admin", "faults"]:
                faults = web.merge_fields(self._objects.faults, body)
                self._objects.set_faults(faults)
                return web.make_json_reply(200, dataclasses.asdict(faults))
            case "GET", ["admin", "counters"]:
                counters = dataclasses.asdict(self._counters)
                return web.make_json_reply(200, counters)
            case "GET", ["admin", "record"]:
                writes = self._objects.writes.list_records()
                return web.make_json_reply(
                    200, [dataclasses.asdict(write) for write in writes]
                )
            case "PUT", ["admin", "instances", instance]:
                entry = web.parse_fields(directory.Entry, body)
                self._directory.put(instance, entry, now)
                return web.Reply(204)
            case "DELETE", ["admin", "instances", instance]:
                self._directory.remove(instance, now)
                return web.Reply(204)
        return web.make_error_reply(404, f"no such call: {request.path}")
