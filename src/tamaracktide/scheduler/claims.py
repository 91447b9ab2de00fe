"""Runs the claim shards' committers on the platform's object API."""

import math
import time

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide.core import claim_events as ce
from tamaracktide.core import claim_records as cr
from tamaracktide.core import committer
from tamaracktide.object_api import objects as objects_module
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.protocol import messages

REPLY_TIMEOUT_S = 5.0


class _Waiter:
    """A pending call that waits for the reply about its attempt."""

    __slots__ = ("replied", "reply")

    def __init__(self) -> None:
        self.replied = anyio.Event()
        self.reply: ce.CommitterAction | None = None

    def resolve(self, reply: ce.CommitterAction) -> None:
        self.reply = reply
        self.replied.set()


class ClaimShard:
    """Connects one shard's committer to the platform."""

    def __init__(
        self,
        shard: int,
        objects: objects_module.ObjectClient,
        settings: committer.CommitterSettings,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Initializes the shard; its first event makes it read the store."""
        self._shard = shard
        self._objects = objects
        self._tasks = tasks
        self._core = committer.Committer(settings)
        self._claims: dict[str, list[_Waiter]] = {}
        self._outcomes: dict[str, list[_Waiter]] = {}
        self._wake_at = math.inf
        self._woken = anyio.Event()

    @property
    def commits(self) -> int:
        """Number of successful writes of the head."""
        return self._core.commits

    async def run_timer(self) -> None:
        """Sends the committer a tick at the times it requests."""
        while True:
            self._woken = anyio.Event()
            delay_s = self._wake_at - anyio.current_time()
            with anyio.move_on_after(max(delay_s, 0.0)):
                await self._woken.wait()
            if anyio.current_time() >= self._wake_at:
                self._wake_at = math.inf
                self._handle_event(ce.Tick())

    async def claim(self, claim: ce.Claim) -> ce.CommitterAction | None:
        """Returns the committer's reply, or None on a time-out."""
        return await self._submit(self._claims, claim.attempt_id, claim)

    async def store_outcome(self, outcome: ce.ClaimOutcome) -> bool:
        """Stores a claim's outcome; returns whether it is in the store."""
        reply = await self._submit(self._outcomes, outcome.attempt_id, outcome)
        return isinstance(reply, ce.OutcomeRecorded) and reply.kept

    async def _submit(
        self,
        waiters: dict[str, list[_Waiter]],
        attempt_id: str,
        event: ce.Claim | ce.ClaimOutcome,
    ) -> ce.CommitterAction | None:
        waiter = _Waiter()
        waiters.setdefault(attempt_id, []).append(waiter)
        self._handle_event(event)
        with anyio.move_on_after(REPLY_TIMEOUT_S):
            await waiter.replied.wait()
        if waiter in waiters.get(attempt_id, []):
            waiters[attempt_id].remove(waiter)
        return waiter.reply

    def _handle_event(self, event: ce.CommitterEvent) -> None:
        actions = self._core.handle(event, anyio.current_time(), time.time())
        for action in actions:
            self._execute(action)

    def _execute(self, action: ce.CommitterAction) -> None:
        match action:
            case ce.ReadHead():
                self._tasks.start_soon(self._read_head)
            case ce.WriteHead():
                self._tasks.start_soon(self._write_head, action)
            case ce.StoreSegment():
                self._tasks.start_soon(self._store_segment, action)
            case ce.ReadFilter(segment_id) | ce.ReadSegment(segment_id):
                self._tasks.start_soon(self._read_part, action, segment_id)
            case ce.DeleteSegment(segment_id):
                self._tasks.start_soon(self._delete_segment, segment_id)
            case ce.OutcomeRecorded(attempt_id):
                for waiter in self._outcomes.pop(attempt_id, []):
                    waiter.resolve(action)
            case ce.WakeAt(at):
                self._wake_at = min(self._wake_at, at)
                self._woken.set()
            case _:
                for waiter in self._claims.pop(action.attempt_id, []):
                    waiter.resolve(action)

    async def _read_head(self) -> None:
        try:
            stored = await self._objects.read(cr.name_head(self._shard))
        except errors.ObjectMissingError:
            self._handle_event(ce.HeadRead(b"", 0))
        except errors.PlatformError:
            self._handle_event(ce.StoreFailed())
        else:
            self._handle_event(ce.HeadRead(stored.value, stored.version))

    async def _write_head(self, action: ce.WriteHead) -> None:
        key = cr.name_head(self._shard)
        try:
            if action.expected_version == 0:
                version = await self._objects.create(key, action.data)
            else:
                version = await self._objects.update(
                    key, action.data, action.expected_version
                )
        except errors.PreconditionFailedError:
            self._handle_event(ce.HeadWriteConflict())
        except errors.PlatformError:
            self._handle_event(ce.HeadWriteUncertain())
        else:
            self._handle_event(ce.HeadWritten(version))

    async def _store_segment(self, action: ce.StoreSegment) -> None:
        segment_id = action.segment_id
        try:
            await self._create_if_absent(
                cr.name_segment(self._shard, segment_id), action.data
            )
            await self._create_if_absent(
                cr.name_filter(self._shard, segment_id), action.filter_data
            )
        except errors.PlatformError:
            self._handle_event(ce.StoreFailed())
        else:
            self._handle_event(ce.SegmentStored(segment_id))

    async def _create_if_absent(self, key: str, value: bytes) -> None:
        try:
            await self._objects.create(key, value)
        except errors.PreconditionFailedError:
            # The key is a hash of the content, so the stored object is equal.
            return

    async def _read_part(
        self, action: ce.ReadFilter | ce.ReadSegment, segment_id: str
    ) -> None:
        is_filter = isinstance(action, ce.ReadFilter)
        name = cr.name_filter if is_filter else cr.name_segment
        try:
            stored = await self._objects.read(name(self._shard, segment_id))
        except errors.ObjectMissingError:
            self._handle_event(ce.SegmentMissing(segment_id))
        except errors.PlatformError:
            self._handle_event(ce.StoreFailed())
        else:
            event = ce.FilterRead if is_filter else ce.SegmentRead
            self._handle_event(event(segment_id, stored.value))

    async def _delete_segment(self, segment_id: str) -> None:
        for name in (cr.name_segment, cr.name_filter):
            try:
                await self._objects.delete(name(self._shard, segment_id))
            except errors.PlatformError:
                continue


class ClaimShards:
    """The claim shards that this process commits, created on first use."""

    def __init__(
        self,
        objects: objects_module.ObjectClient,
        settings: committer.CommitterSettings,
        metrics: metrics_module.Metrics,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Initializes the set without shards."""
        self._objects = objects
        self._settings = settings
        self._metrics = metrics
        self._tasks = tasks
        self._shards: dict[int, ClaimShard] = {}

    @property
    def commits(self) -> int:
        """Number of successful writes of shard heads."""
        return sum(shard.commits for shard in self._shards.values())

    async def claim(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        """Claims an idempotency key and returns its state in the store."""
        claim = ce.Claim(
            attempt_id=request.attempt_id,
            key_hash=cr.hash_key(request.customer, request.key),
            fingerprint=request.fingerprint,
        )
        shard = self._find_shard(request.customer, request.key)
        reply = _make_reply(request.attempt_id, await shard.claim(claim))
        self._metrics.claims.inc({"state": reply.state})
        return reply

    async def report(
        self, report: messages.OutcomeReport
    ) -> messages.OutcomeReply:
        """Stores the outcome of a claimed request."""
        is_released = report.outcome == "not_run"
        outcome = ce.ClaimOutcome(
            attempt_id=report.attempt_id,
            key_hash=cr.hash_key(report.customer, report.key),
            state=None if is_released else cr.ClaimState(report.outcome),
            status=report.status,
            content_type=report.content_type,
            body=report.body,
            body_kept=report.body_kept,
        )
        shard = self._find_shard(report.customer, report.key)
        kept = await shard.store_outcome(outcome)
        return messages.OutcomeReply(attempt_id=report.attempt_id, kept=kept)

    def _find_shard(self, customer: str, key: str) -> ClaimShard:
        number = cr.find_shard(customer, key)
        shard = self._shards.get(number)
        if shard is None:
            shard = ClaimShard(
                number, self._objects, self._settings, self._tasks
            )
            self._shards[number] = shard
            self._tasks.start_soon(shard.run_timer)
        return shard


def _make_reply(
    attempt_id: str, reply: ce.CommitterAction | None
) -> messages.ClaimReply:
    match reply:
        case ce.Claimed():
            return messages.ClaimReply(attempt_id=attempt_id, state="claimed")
        case ce.Duplicate(record=record):
            return messages.ClaimReply(
                attempt_id=attempt_id,
                state=record.state.value,
                status=record.status,
                content_type=record.content_type,
                body=record.body,
                # Records written before `body_kept` existed stored a response
                # only if it had a body.
                body_kept=record.body_kept or bool(record.body),
            )
        case ce.FingerprintMismatch():
            return messages.ClaimReply(attempt_id=attempt_id, state="reused")
        case _:
            return messages.ClaimReply(
                attempt_id=attempt_id, state="unavailable"
            )
