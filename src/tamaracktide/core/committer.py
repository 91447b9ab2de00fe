"""The committer of one claim shard: group commit of idempotency keys.

Any number of schedulers may act as committer of the same shard at once; which
one does is only a hint. The conditional write of the shard's head alone
decides: a batch is evaluated against one version of the head and committed
only onto that version. A claim is granted after the head that holds it is in
the store, so a committer that was frozen, or holds an old head, grants
nothing that the store does not hold.
"""

import dataclasses
import enum

import rbloom

from tamaracktide import invariants
from tamaracktide.core import claim_events as ce
from tamaracktide.core import claim_records as cr

_RECORD_OVERHEAD_BYTES = 160


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitterSettings:
    """Limits of a claim shard's committer.

    Attributes:
        commit_period_s: Shortest time between two writes of the head.
        finish_delay_s: Longest time that an outcome waits for a claim to
            share its write.
        seal_bytes: Size of finished records at which they are sealed.
        max_queue: Claims that may wait at once.
        retention_s: How long a finished key is remembered.
        pending_limit_s: Age at which a claim without an outcome is told as
            outcome unknown.
        retry_s: Pause after a failed call to the platform.
        segment_cache: Segments kept in memory after a lookup.
        answer_bytes: Longest answer that is kept for repeats.
        max_finishes: Outcomes that one write takes at most.
    """

    commit_period_s: float = 0.06
    finish_delay_s: float = 0.25
    seal_bytes: int = 48 * 1024
    max_queue: int = 4096
    retention_s: float = 24 * 3600.0
    pending_limit_s: float = 600.0
    retry_s: float = 0.5
    segment_cache: int = 4
    answer_bytes: int = 4096
    max_finishes: int = 128


class Phase(enum.Enum):
    """What the committer waits for."""

    EMPTY = "no head read yet"
    READING = "waits for the head"
    READY = "holds a head"
    SEALING = "waits for a segment to be stored"
    WRITING = "waits for the head's write"
    PAUSED = "waits before it calls the platform again"


@dataclasses.dataclass(frozen=True, slots=True)
class _Batch:
    head: cr.ClaimHead
    expired: tuple[str, ...]
    claims: tuple[ce.Claim, ...]
    finishes: tuple[ce.Finish, ...]


class Committer:
    """Decides about the claims of one shard; performs no I/O itself."""

    __slots__ = (
        "_batch",
        "_checked",
        "_claims",
        "_filters",
        "_finish_due",
        "_finishes",
        "_head",
        "_last_write",
        "_phase",
        "_refused_version",
        "_requested",
        "_segments",
        "_settings",
        "_version",
        "commits",
    )

    def __init__(self, settings: CommitterSettings) -> None:
        """Starts without a head; the first event makes it read one."""
        self._settings = settings
        self._phase = Phase.EMPTY
        self._head = cr.ClaimHead()
        self._version = 0
        self._refused_version = -1
        self._claims: dict[str, ce.Claim] = {}
        self._finishes: dict[str, ce.Finish] = {}
        self._finish_due = float("inf")
        self._batch: _Batch | None = None
        self._filters: dict[str, rbloom.Bloom] = {}
        self._segments: dict[str, dict[bytes, cr.ClaimRecord]] = {}
        self._checked: dict[str, set[str]] = {}
        self._requested: set[str] = set()
        self._last_write = float("-inf")
        self.commits = 0

    @property
    def phase(self) -> Phase:
        """What the committer waits for."""
        return self._phase

    @property
    def head(self) -> cr.ClaimHead:
        """The last head known to be in the store."""
        return self._head

    def handle(
        self, event: ce.CommitterEvent, now: float, now_unix_s: float
    ) -> list[ce.CommitterAction]:
        """Takes one event and returns what to do.

        Args:
            event: What happened.
            now: Monotonic time, seconds.
            now_unix_s: Wall-clock time, seconds since 1970; used for
                retention only.
        """
        actions: list[ce.CommitterAction] = []
        match event:
            case ce.Claim():
                self._accept_claim(event, actions)
            case ce.Finish():
                self._finishes[event.attempt_id] = event
                due = now + self._settings.finish_delay_s
                self._finish_due = min(self._finish_due, due)
            case ce.Tick():
                if self._phase is Phase.PAUSED:
                    self._phase = Phase.EMPTY
            case ce.SegmentMissing() | ce.StoreFailed():
                # A missing segment was expired by another committer, whose
                # head no longer lists it.
                self._pause(now, actions)
            case ce.FilterRead(segment_id, data):
                self._filters[segment_id] = cr.load_filter(data)
                self._requested.discard(segment_id)
            case ce.SegmentRead(segment_id, data):
                self._install_segment(segment_id, data)
            case _:
                self._handle_head(event, now, actions)
        self._advance(now, now_unix_s, actions)
        return actions

    def _handle_head(
        self,
        event: ce.CommitterEvent,
        now: float,
        actions: list[ce.CommitterAction],
    ) -> None:
        match event:
            case ce.HeadRead(data, version):
                self._install_read_head(data, version, now, actions)
            case ce.HeadWritten(version):
                self._settle_batch(version, now, actions)
            case ce.HeadRefused():
                self._refused_version = self._version
                self._drop_batch()
            case ce.HeadUnsure():
                # Read back; an attempt found in the head was committed.
                self._drop_batch()
            case ce.SegmentStored():
                if self._phase is Phase.SEALING:
                    self._write_batch(now, actions)

    def _accept_claim(
        self, claim: ce.Claim, actions: list[ce.CommitterAction]
    ) -> None:
        full = len(self._claims) >= self._settings.max_queue
        if self._phase is Phase.PAUSED or full:
            actions.append(ce.Unavailable(claim.attempt_id))
            return
        self._claims[claim.attempt_id] = claim

    def _drop_batch(self) -> None:
        self._phase = Phase.EMPTY
        self._batch = None

    def _pause(self, now: float, actions: list[ce.CommitterAction]) -> None:
        for attempt_id in self._claims:
            actions.append(ce.Unavailable(attempt_id))
        self._claims.clear()
        self._checked.clear()
        self._requested.clear()
        self._batch = None
        self._phase = Phase.PAUSED
        actions.append(ce.WakeAt(now + self._settings.retry_s))

    def _install_read_head(
        self,
        data: bytes,
        version: int,
        now: float,
        actions: list[ce.CommitterAction],
    ) -> None:
        if self._phase is not Phase.READING:
            return
        if version < self._version or version == self._refused_version:
            # An old copy: a write onto it would be refused.
            self._pause(now, actions)
            return
        self._head = cr.decode_head(data) if data else cr.ClaimHead()
        self._version = version
        self._phase = Phase.READY
        known = {entry.segment_id for entry in self._head.segments}
        for segment_id in self._filters.keys() - known:
            del self._filters[segment_id]

    def _install_segment(self, segment_id: str, data: bytes) -> None:
        segment = cr.decode_segment(data)
        self._requested.discard(segment_id)
        self._segments[segment_id] = {r.key_hash: r for r in segment.records}
        while len(self._segments) > self._settings.segment_cache:
            del self._segments[next(iter(self._segments))]

    def _advance(
        self, now: float, now_unix_s: float, actions: list[ce.CommitterAction]
    ) -> None:
        if not self._claims and not self._finishes:
            return
        if self._phase is Phase.EMPTY:
            self._phase = Phase.READING
            actions.append(ce.ReadHead())
            return
        if self._phase is not Phase.READY:
            return
        due = self._last_write + self._settings.commit_period_s
        if not self._claims:
            due = max(due, self._finish_due)
        if now < due:
            actions.append(ce.WakeAt(due))
            return
        if not self._request_filters(actions):
            self._commit(now, now_unix_s, actions)

    def _request_filters(self, actions: list[ce.CommitterAction]) -> bool:
        missing = [
            entry.segment_id
            for entry in self._head.segments
            if entry.segment_id not in self._filters
        ]
        for segment_id in missing:
            if segment_id not in self._requested:
                self._requested.add(segment_id)
                actions.append(ce.ReadFilter(segment_id))
        return bool(missing)

    def _commit(
        self, now: float, now_unix_s: float, actions: list[ce.CommitterAction]
    ) -> None:
        records = self._age_records(now_unix_s)
        finishes = self._apply_finishes(records, actions)
        claims = self._apply_claims(records, now_unix_s, actions)
        if not claims and not finishes:
            return
        kept, sealed = self._split_sealed(records)
        segments, expired = self._split_expired(now_unix_s)
        if sealed:
            segment = cr.Segment(records=sealed)
            data = cr.encode_value(segment)
            entry = cr.SegmentEntry(
                segment_id=cr.identify_segment(data),
                newest_unix_s=max(r.claimed_unix_s for r in sealed),
                count=len(sealed),
            )
            filter_data = cr.build_filter(segment)
            self._filters[entry.segment_id] = cr.load_filter(filter_data)
            segments = (*segments, entry)
            actions.append(ce.StoreSegment(entry.segment_id, data, filter_data))
        head = cr.ClaimHead(records=kept, segments=segments)
        self._batch = _Batch(head, expired, claims, finishes)
        if sealed:
            self._phase = Phase.SEALING
            return
        self._write_batch(now, actions)

    def _write_batch(
        self, now: float, actions: list[ce.CommitterAction]
    ) -> None:
        if self._batch is None:
            return
        self._phase = Phase.WRITING
        self._last_write = now
        data = cr.encode_value(self._batch.head)
        actions.append(ce.WriteHead(data, self._version))

    def _age_records(self, now_unix_s: float) -> dict[bytes, cr.ClaimRecord]:
        """Returns the head's records; those pending too long are unknown."""
        oldest = now_unix_s - self._settings.pending_limit_s
        records = {}
        for record in self._head.records:
            pending = record.state is cr.ClaimState.PENDING
            if pending and record.claimed_unix_s < oldest:
                record = dataclasses.replace(
                    record, state=cr.ClaimState.UNKNOWN
                )
            records[record.key_hash] = record
        return records

    def _apply_finishes(
        self,
        records: dict[bytes, cr.ClaimRecord],
        actions: list[ce.CommitterAction],
    ) -> tuple[ce.Finish, ...]:
        applied: list[ce.Finish] = []
        for finish in list(self._finishes.values()):
            if len(applied) >= self._settings.max_finishes:
                break
            record = records.get(finish.key_hash)
            if record is None or record.attempt_id != finish.attempt_id:
                # Released, sealed or expired: a release needs nothing more.
                kept = finish.state is None
            elif record.state is cr.ClaimState.COMPLETED:
                kept = finish.state is cr.ClaimState.COMPLETED
            else:
                applied.append(finish)
                self._finish_record(records, record, finish)
                continue
            actions.append(ce.Finished(finish.attempt_id, kept))
            del self._finishes[finish.attempt_id]
        return tuple(applied)

    def _finish_record(
        self,
        records: dict[bytes, cr.ClaimRecord],
        record: cr.ClaimRecord,
        finish: ce.Finish,
    ) -> None:
        if finish.state is None:
            del records[record.key_hash]
            return
        fits = len(finish.body) <= self._settings.answer_bytes
        records[record.key_hash] = dataclasses.replace(
            record,
            state=finish.state,
            status=finish.status,
            content_type=finish.content_type,
            body=finish.body if fits else b"",
        )

    def _apply_claims(
        self,
        records: dict[bytes, cr.ClaimRecord],
        now_unix_s: float,
        actions: list[ce.CommitterAction],
    ) -> tuple[ce.Claim, ...]:
        applied: list[ce.Claim] = []
        for claim in list(self._claims.values()):
            record = records.get(claim.key_hash)
            if record is None:
                waiting, record = self._look_up(claim, actions)
                if waiting:
                    continue
            if record is not None:
                actions.append(_answer_claim(claim, record))
                self._drop_claim(claim)
                continue
            applied.append(claim)
            records[claim.key_hash] = cr.ClaimRecord(
                key_hash=claim.key_hash,
                attempt_id=claim.attempt_id,
                fingerprint=claim.fingerprint,
                claimed_unix_s=now_unix_s,
            )
        return tuple(applied)

    def _look_up(
        self, claim: ce.Claim, actions: list[ce.CommitterAction]
    ) -> tuple[bool, cr.ClaimRecord | None]:
        """Returns whether a segment must be read, and the record if found."""
        checked = self._checked.setdefault(claim.attempt_id, set())
        for entry in self._head.segments:
            segment_id = entry.segment_id
            if segment_id in checked:
                continue
            if claim.key_hash not in self._filters[segment_id]:
                continue
            segment = self._segments.get(segment_id)
            if segment is None:
                if segment_id not in self._requested:
                    self._requested.add(segment_id)
                    actions.append(ce.ReadSegment(segment_id))
                return True, None
            record = segment.get(claim.key_hash)
            if record is not None:
                return False, record
            checked.add(segment_id)
        return False, None

    def _settle_batch(
        self, version: int, now: float, actions: list[ce.CommitterAction]
    ) -> None:
        if self._phase is not Phase.WRITING or self._batch is None:
            return
        invariants.check(
            version > self._version,
            f"head version grows: {self._version} then {version}",
        )
        self._head = self._batch.head
        self._version = version
        self._phase = Phase.READY
        self.commits += 1
        holders = {record.attempt_id for record in self._head.records}
        for claim in self._batch.claims:
            invariants.check(
                claim.attempt_id in holders,
                f"attempt {claim.attempt_id} is granted only if committed",
            )
            if self._claims.get(claim.attempt_id) is claim:
                actions.append(ce.Claimed(claim.attempt_id))
            self._drop_claim(claim)
        for finish in self._batch.finishes:
            if self._finishes.get(finish.attempt_id) is finish:
                del self._finishes[finish.attempt_id]
            actions.append(ce.Finished(finish.attempt_id, True))
        for segment_id in self._batch.expired:
            actions.append(ce.DeleteSegment(segment_id))
        self._batch = None
        has_finishes = bool(self._finishes)
        delay_s = self._settings.finish_delay_s
        self._finish_due = now + delay_s if has_finishes else float("inf")

    def _drop_claim(self, claim: ce.Claim) -> None:
        self._claims.pop(claim.attempt_id, None)
        self._checked.pop(claim.attempt_id, None)

    def _split_sealed(
        self, records: dict[bytes, cr.ClaimRecord]
    ) -> tuple[tuple[cr.ClaimRecord, ...], tuple[cr.ClaimRecord, ...]]:
        """Returns the records that stay in the head and those to seal."""
        finished = [
            record
            for record in records.values()
            if record.state is not cr.ClaimState.PENDING
        ]
        size = sum(len(r.body) + _RECORD_OVERHEAD_BYTES for r in finished)
        if size <= self._settings.seal_bytes:
            return tuple(records.values()), ()
        pending = tuple(
            record
            for record in records.values()
            if record.state is cr.ClaimState.PENDING
        )
        return pending, tuple(finished)

    def _split_expired(
        self, now_unix_s: float
    ) -> tuple[tuple[cr.SegmentEntry, ...], tuple[str, ...]]:
        """Returns the segments to keep and the ids of the expired ones."""
        oldest = now_unix_s - self._settings.retention_s
        kept = []
        expired = []
        for entry in self._head.segments:
            if entry.newest_unix_s < oldest:
                expired.append(entry.segment_id)
            else:
                kept.append(entry)
        return tuple(kept), tuple(expired)


def _answer_claim(
    claim: ce.Claim, record: cr.ClaimRecord
) -> ce.CommitterAction:
    if record.attempt_id == claim.attempt_id:
        if record.state is cr.ClaimState.PENDING:
            return ce.Claimed(claim.attempt_id)
        return ce.Repeated(claim.attempt_id, record)
    if record.fingerprint != claim.fingerprint:
        return ce.Mismatched(claim.attempt_id)
    return ce.Repeated(claim.attempt_id, record)
