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

from tamaracktide import invariants
from tamaracktide.core import claim_archive
from tamaracktide.core import claim_events as ce
from tamaracktide.core import claim_records as cr
from tamaracktide.core import claim_rules
from tamaracktide.core import claim_segments


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
        archive: When sealed segments are merged.
    """

    commit_period_s: float = 0.06
    finish_delay_s: float = 0.25
    seal_bytes: int = 48 * 1024
    max_queue: int = 4096
    retention_s: float = 24 * 3600.0
    pending_limit_s: float = 600.0
    retry_s: float = 0.5
    segment_cache: int = 4
    answer_bytes: int = cr.MAX_STORED_BODY_BYTES
    max_finishes: int = 128
    archive: claim_archive.ArchiveSettings = dataclasses.field(
        default_factory=claim_archive.ArchiveSettings
    )


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
    obsolete: tuple[str, ...]
    claims: tuple[ce.Claim, ...]
    finishes: tuple[ce.ClaimOutcome, ...]


class Committer:
    """Decides about the claims of one shard; performs no I/O itself."""

    __slots__ = (
        "_archive",
        "_batch",
        "_claims",
        "_finish_due",
        "_finishes",
        "_head",
        "_index",
        "_last_write",
        "_phase",
        "_refused_version",
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
        self._finishes: dict[str, ce.ClaimOutcome] = {}
        self._finish_due = float("inf")
        self._batch: _Batch | None = None
        self._index = claim_segments.SegmentIndex(settings.segment_cache)
        self._archive = claim_archive.Archive(settings.archive)
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
            case ce.ClaimOutcome():
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
                self._index.add_filter(segment_id, data)
            case ce.SegmentRead(segment_id, data):
                self._index.add_segment(segment_id, data)
                actions.extend(self._archive.add_segment(segment_id, data))
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
            case ce.HeadWriteConflict():
                self._refused_version = self._version
                self._drop_batch()
            case ce.HeadWriteUncertain():
                # Read back; an attempt found in the head was committed.
                self._drop_batch()
            case ce.SegmentStored(segment_id):
                is_archive = self._archive.note_stored(segment_id)
                if not is_archive and self._phase is Phase.SEALING:
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
        self._index.forget_reads()
        self._archive.drop()
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
        self._index.keep_listed(self._head.segments)

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
        missing = self._index.list_missing(self._head.segments)
        actions.extend(
            ce.ReadFilter(segment_id)
            for segment_id in missing
            if self._index.request(segment_id)
        )
        return bool(missing)

    def _commit(
        self, now: float, now_unix_s: float, actions: list[ce.CommitterAction]
    ) -> None:
        oldest = now_unix_s - self._settings.pending_limit_s
        records = claim_rules.age_records(self._head.records, oldest)
        finishes = self._apply_finishes(records, actions)
        claims = self._apply_claims(records, now_unix_s, actions)
        if not claims and not finishes:
            return
        kept, sealed = claim_rules.split_sealed(
            records, self._settings.seal_bytes
        )
        segments, obsolete = self._update_segments(now_unix_s)
        if sealed:
            segments = (*segments, self._seal(sealed, actions))
        head = cr.ClaimHead(records=kept, segments=segments)
        self._batch = _Batch(head, obsolete, claims, finishes)
        if sealed:
            self._phase = Phase.SEALING
            return
        self._write_batch(now, actions)

    def _seal(
        self,
        sealed: tuple[cr.ClaimRecord, ...],
        actions: list[ce.CommitterAction],
    ) -> cr.SegmentEntry:
        segment = cr.Segment(records=sealed)
        data = cr.encode_segment(segment)
        filter_data = cr.build_filter(segment)
        entry = cr.SegmentEntry(
            segment_id=cr.compute_segment_id(data),
            newest_unix_s=max(r.claimed_unix_s for r in sealed),
            count=len(sealed),
        )
        self._index.add_filter(entry.segment_id, filter_data)
        actions.append(ce.StoreSegment(entry.segment_id, data, filter_data))
        return entry

    def _write_batch(
        self, now: float, actions: list[ce.CommitterAction]
    ) -> None:
        if self._batch is None:
            return
        self._phase = Phase.WRITING
        self._last_write = now
        data = cr.encode_head(self._batch.head)
        actions.append(ce.WriteHead(data, self._version))

    def _apply_finishes(
        self,
        records: dict[bytes, cr.ClaimRecord],
        actions: list[ce.CommitterAction],
    ) -> tuple[ce.ClaimOutcome, ...]:
        applied: list[ce.ClaimOutcome] = []
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
                claim_rules.finish_record(
                    records, record, finish, self._settings.answer_bytes
                )
                continue
            actions.append(ce.OutcomeRecorded(finish.attempt_id, kept))
            del self._finishes[finish.attempt_id]
        return tuple(applied)

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
                lookup = self._index.look_up(claim, self._head.segments)
                actions.extend(lookup.reads)
                if not lookup.is_complete:
                    continue
                record = lookup.record
            if record is not None:
                actions.append(claim_rules.answer_claim(claim, record))
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
            actions.append(ce.OutcomeRecorded(finish.attempt_id, True))
        for segment_id in self._batch.obsolete:
            actions.append(ce.DeleteSegment(segment_id))
        self._batch = None
        self._archive.settle(self._head.segments)
        actions.extend(self._archive.start(self._head.segments))
        has_finishes = bool(self._finishes)
        delay_s = self._settings.finish_delay_s
        self._finish_due = now + delay_s if has_finishes else float("inf")

    def _drop_claim(self, claim: ce.Claim) -> None:
        self._claims.pop(claim.attempt_id, None)
        self._index.forget_claim(claim.attempt_id)

    def _update_segments(
        self, now_unix_s: float
    ) -> tuple[tuple[cr.SegmentEntry, ...], tuple[str, ...]]:
        """Returns the segments to list and the ids of those to delete."""
        listed = self._head.segments
        obsolete: list[str] = []
        replacement = self._archive.replace(listed)
        if replacement is not None:
            listed = replacement.segments
            obsolete.extend(replacement.obsolete)
        oldest = now_unix_s - self._settings.retention_s
        kept = tuple(e for e in listed if e.newest_unix_s >= oldest)
        obsolete.extend(
            e.segment_id for e in listed if e.newest_unix_s < oldest
        )
        return kept, tuple(obsolete)
