"""HTTP interface of the object API."""

import dataclasses
import math

import anyio

from tamaracktide.standins.platform import limits
from tamaracktide.standins.platform import records
from tamaracktide.standins.platform import settings as platform_settings
from tamaracktide.standins.platform import signals
from tamaracktide.standins.platform import store
from tamaracktide.standins.service import web

DEFAULT_WATCH_S = 30.0
MAX_WATCH_S = 300.0


class ObjectApi:
    """Serves reads, writes and watches of objects.

    Attributes:
        faults: The faults switched on now.
        counters: Counts of calls.
        writes: What became of each write.
    """

    def __init__(
        self,
        settings: platform_settings.PlatformSettings,
        counters: limits.Counters,
        now: float,
    ) -> None:
        """Builds the interface of an empty store."""
        self.faults = settings.faults
        self.counters = counters
        self.writes = records.WriteRecords()
        self._store = store.VersionedStore(settings.history_limit)
        self._store.set_stale(settings.faults.stale_reads)
        self._signals = signals.Signals()
        self._read_limit = limits.TokenBucket(settings.reads_per_s, now)
        self._write_limit = limits.TokenBucket(settings.writes_per_s, now)
        self._read_peak = limits.PeakRate()
        self._write_peak = limits.PeakRate()

    def set_faults(self, faults: platform_settings.PlatformFaults) -> None:
        """Switches faults on and off, and has watches look at them."""
        self.faults = faults
        self._store.set_stale(faults.stale_reads)
        self._signals.notify_all()

    async def handle(self, request: web.Request) -> web.Reply | None:
        """Answers a call under `/objects` or `/watch`."""
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
        return web.make_error_reply(404, f"no such call: {request.path}")

    def _refuse_read(self) -> web.Reply | None:
        """Returns the refusal of a read over the rate, if it is."""
        now = anyio.current_time()
        self._read_peak.add(now)
        self.counters.peak_reads_per_s = self._read_peak.peak
        return self._refuse(self._read_limit, now)

    def _refuse(
        self, limit: limits.TokenBucket, now: float
    ) -> web.Reply | None:
        wait_s = limit.take(now)
        if not wait_s:
            return None
        self.counters.rejected += 1
        return web.Reply(429, headers={"Retry-After": str(math.ceil(wait_s))})

    def _read(self, key: str) -> web.Reply:
        self.counters.reads += 1
        refusal = self._refuse_read()
        if refusal:
            return refusal
        found = self._store.read(key)
        if found is None:
            return web.make_error_reply(404, f"no such object: {key}")
        return web.Reply(200, found.value, {"ETag": f'"{found.version}"'})

    def _list(self, request: web.Request) -> web.Reply:
        self.counters.reads += 1
        refusal = self._refuse_read()
        if refusal:
            return refusal
        listing = self._store.list_objects(request.query.get("prefix", ""))
        return web.make_json_reply(200, dataclasses.asdict(listing))

    async def _watch(self, request: web.Request) -> web.Reply | None:
        self.counters.watches += 1
        refusal = self._refuse_read()
        if refusal:
            return refusal
        return await web.run_connected(
            request, lambda: self._wait_change(request)
        )

    async def _wait_change(self, request: web.Request) -> web.Reply:
        prefix = request.query.get("prefix", "")
        since = int(request.read_number("since", 0))
        timeout_s = request.read_number("timeout_s", DEFAULT_WATCH_S)
        changes: list[store.Change] | None = []
        with anyio.move_on_after(min(timeout_s, MAX_WATCH_S)):
            while True:
                event = self._signals.subscribe(prefix)
                if self.faults.outage:
                    return web.make_error_reply(503, "outage")
                changes = self._store.list_changes(prefix, since)
                if changes is None or changes:
                    break
                await event.wait()
        if changes is None:
            return web.make_error_reply(410, f"version too old: {since}")
        told = [dataclasses.asdict(change) for change in changes]
        return web.make_json_reply(
            200, {"version": self._store.version, "changes": told}
        )

    async def _write(self, request: web.Request, key: str) -> web.Reply | None:
        self.counters.writes += 1
        now = anyio.current_time()
        self._write_peak.add(now)
        self.counters.peak_writes_per_s = self._write_peak.peak
        body = await request.read_body()
        refusal = self._refuse(self._write_limit, now)
        if refusal:
            self.writes.add(
                request.method, key, request.zone, records.WriteOutcome.REJECTED
            )
            return refusal
        condition = _read_condition(request)
        if condition is None:
            return web.make_error_reply(400, "If-Match is not a version")
        if request.method == "DELETE":
            outcome = self._store.delete(key, condition)
        else:
            outcome = self._store.put(key, body, condition)
        return await self._answer_write(request, key, outcome)

    async def _answer_write(
        self, request: web.Request, key: str, outcome: store.Outcome
    ) -> web.Reply | None:
        """Records the outcome and returns the reply, unless it is lost."""
        name, version, reply = _describe_outcome(key, outcome)
        reply_lost = version > 0 and self.faults.lose_replies > 0
        if reply_lost:
            self.faults = dataclasses.replace(
                self.faults, lose_replies=self.faults.lose_replies - 1
            )
        self.writes.add(
            request.method, key, request.zone, name, version, reply_lost
        )
        if version:
            self._signals.notify(key)
        if name is records.WriteOutcome.CONFLICT:
            self.counters.conflicts += 1
        if reply_lost:
            await request.drop()
            return None
        return reply


def _read_condition(request: web.Request) -> store.Condition | None:
    """Returns the condition of a write, None if it cannot be read."""
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
) -> tuple[records.WriteOutcome, int, web.Reply]:
    """Returns the outcome's name, the new version and the reply."""
    match outcome:
        case store.Written(version, created):
            tag = {"ETag": f'"{version}"'}
            return (
                records.WriteOutcome.APPLIED,
                version,
                web.Reply(201 if created else 200, b"", tag),
            )
        case store.Deleted(version):
            return records.WriteOutcome.APPLIED, version, web.Reply(204)
        case store.Conflict():
            reply = web.make_error_reply(412, f"condition failed: {key}")
            return records.WriteOutcome.CONFLICT, 0, reply
        case store.Missing():
            reply = web.make_error_reply(404, f"no such object: {key}")
            return records.WriteOutcome.MISSING, 0, reply
        case store.TooLarge():
            reply = web.make_error_reply(413, f"value too large: {key}")
            return records.WriteOutcome.TOO_LARGE, 0, reply
