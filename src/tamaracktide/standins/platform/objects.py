"""HTTP endpoints of the object API."""

import dataclasses
import math

import anyio

from tamaracktide.standins.platform import change_events
from tamaracktide.standins.platform import limits
from tamaracktide.standins.platform import records
from tamaracktide.standins.platform import settings as platform_settings
from tamaracktide.standins.platform import store
from tamaracktide.standins.service import web

DEFAULT_WATCH_S = 30.0
MAX_WATCH_S = 300.0


class ObjectApi:
    """Handles reads, writes and watches of objects.

    Attributes:
        faults: The active faults.
        counters: Counts of calls.
        writes: Record of the write calls.
    """

    def __init__(
        self,
        settings: platform_settings.PlatformSettings,
        counters: limits.Counters,
        now: float,
    ) -> None:
        """Builds the endpoints with an empty store."""
        self.faults = settings.faults
        self.counters = counters
        self.writes = records.WriteRecords()
        self._store = store.VersionedStore(settings.history_limit)
        self._store.set_stale(settings.faults.stale_reads)
        self._change_events = change_events.ChangeEvents()
        self._read_limit = limits.TokenBucket(settings.reads_per_s, now)
        self._write_limit = limits.TokenBucket(settings.writes_per_s, now)
        self._read_peak = limits.PeakRate()
        self._write_peak = limits.PeakRate()

    def set_faults(self, faults: platform_settings.PlatformFaults) -> None:
        """Sets the faults and wakes the watches to apply them."""
        self.faults = faults
        self._store.set_stale(faults.stale_reads)
        self._change_events.notify_all()

    async def handle(self, request: web.Request) -> web.Response | None:
        """Handles a request under `/objects` or `/watch`."""
        key = request.path.removeprefix("/objects/")
        match request.method, request.path:
            case "GET", "/watch":
                return await self._watch(request)
            case "GET", "/objects":
                return self._list(request)
            case "GET", _:
                return self._read(key)
            case "PUT" | "DELETE", _ if key and key != request.path:
                return await self._write(request, key)
        return web.make_error_response(404, f"no such endpoint: {request.path}")

    def _check_read_rate(self) -> web.Response | None:
        """Returns an error if the read exceeds the rate limit."""
        now = anyio.current_time()
        self._read_peak.add(now)
        self.counters.peak_reads_per_s = self._read_peak.peak
        return self._check_rate(self._read_limit, now)

    def _check_rate(
        self, limit: limits.TokenBucket, now: float
    ) -> web.Response | None:
        wait_s = limit.take(now)
        if not wait_s:
            return None
        self.counters.rejected += 1
        return web.Response(
            429, headers={"Retry-After": str(math.ceil(wait_s))}
        )

    def _read(self, key: str) -> web.Response:
        self.counters.reads += 1
        refusal = self._check_read_rate()
        if refusal:
            return refusal
        stored = self._store.read(key)
        if stored is None:
            return web.make_error_response(404, f"no such object: {key}")
        return web.Response(200, stored.value, {"ETag": f'"{stored.version}"'})

    def _list(self, request: web.Request) -> web.Response:
        self.counters.reads += 1
        refusal = self._check_read_rate()
        if refusal:
            return refusal
        listing = self._store.list_objects(request.query.get("prefix", ""))
        return web.make_json_response(200, dataclasses.asdict(listing))

    async def _watch(self, request: web.Request) -> web.Response | None:
        self.counters.watches += 1
        refusal = self._check_read_rate()
        if refusal:
            return refusal
        return await web.run_connected(
            request, lambda: self._wait_change(request)
        )

    async def _wait_change(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        since = int(request.read_number("since", 0))
        timeout_s = request.read_number("timeout_s", DEFAULT_WATCH_S)
        changes: list[store.Change] | None = []
        with anyio.move_on_after(min(timeout_s, MAX_WATCH_S)):
            while True:
                event = self._change_events.subscribe(prefix)
                if self.faults.outage:
                    return web.make_error_response(
                        503, "platform outage (injected fault)"
                    )
                changes = self._store.list_changes(prefix, since)
                if changes is None or changes:
                    break
                await event.wait()
        if changes is None:
            return web.make_error_response(
                410, f"version is outside the retained history: {since}"
            )
        encoded_changes = [dataclasses.asdict(change) for change in changes]
        return web.make_json_response(
            200, {"version": self._store.version, "changes": encoded_changes}
        )

    async def _write(
        self, request: web.Request, key: str
    ) -> web.Response | None:
        self.counters.writes += 1
        now = anyio.current_time()
        self._write_peak.add(now)
        self.counters.peak_writes_per_s = self._write_peak.peak
        body = await request.read_body()
        refusal = self._check_rate(self._write_limit, now)
        if refusal:
            self.writes.add(
                request.method, key, request.zone, records.WriteOutcome.REJECTED
            )
            return refusal
        condition = _read_condition(request)
        if condition is None:
            return web.make_error_response(
                400, "If-Match is not an object version"
            )
        if request.method == "DELETE":
            outcome = self._store.delete(key, condition)
        else:
            outcome = self._store.put(key, body, condition)
        return await self._respond_to_write(request, key, outcome)

    async def _respond_to_write(
        self, request: web.Request, key: str, outcome: store.Outcome
    ) -> web.Response | None:
        """Records the outcome; returns the response unless a fault drops it."""
        write_outcome, version, response = _describe_outcome(key, outcome)
        reply_lost = version > 0 and self.faults.lose_replies > 0
        if reply_lost:
            self.faults = dataclasses.replace(
                self.faults, lose_replies=self.faults.lose_replies - 1
            )
        self.writes.add(
            request.method,
            key,
            request.zone,
            write_outcome,
            version,
            reply_lost,
        )
        if version:
            self._change_events.notify(key)
        if write_outcome is records.WriteOutcome.CONFLICT:
            self.counters.conflicts += 1
        if reply_lost:
            await request.drop_connection()
            return None
        return response


def _read_condition(request: web.Request) -> store.Condition | None:
    """Returns the condition of a write; None if `If-Match` is malformed."""
    if request.headers.get("if-none-match") == "*":
        return store.IfAbsent()
    if "if-match" not in request.headers:
        return store.Always()
    try:
        return store.IfVersion(int(request.headers["if-match"].strip('"')))
    except ValueError:
        return None


def _describe_outcome(
    key: str, outcome: store.Outcome
) -> tuple[records.WriteOutcome, int, web.Response]:
    """Returns the recorded outcome, the new version and the response."""
    match outcome:
        case store.Written(version, created):
            tag = {"ETag": f'"{version}"'}
            return (
                records.WriteOutcome.APPLIED,
                version,
                web.Response(201 if created else 200, b"", tag),
            )
        case store.Deleted(version):
            return records.WriteOutcome.APPLIED, version, web.Response(204)
        case store.Conflict():
            response = web.make_error_response(412, f"condition failed: {key}")
            return records.WriteOutcome.CONFLICT, 0, response
        case store.Missing():
            response = web.make_error_response(404, f"no such object: {key}")
            return records.WriteOutcome.MISSING, 0, response
        case store.TooLarge():
            response = web.make_error_response(413, f"value too large: {key}")
            return records.WriteOutcome.TOO_LARGE, 0, response
