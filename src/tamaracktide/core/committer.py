"""Group commit of the idempotency keys of one claim shard.

Several schedulers may act as committer of the same shard at once; the choice
of committer is only a hint. Correctness rests on the conditional write of the
shard's head alone: a batch is evaluated against one version of the head and
committed only on top of that version. A claim is granted only after the head
that contains it is stored. A committer that was paused, or that has a stale
head, therefore grants nothing that the store does not contain.
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
    """Limits of the committer of a claim shard.

    Attributes:
        commit_period_s: Minimum time between two writes of the head.
        outcome_delay_s: Maximum time that an outcome waits for a claim that
            can share its write.
        seal_bytes: Total size of finished records above which they are sealed.
        max_queue: Maximum number of queued claims.
        retention_s: Time for which a finished key is retained.
        pending_limit_s: Age at which a claim without an outcome is reported
            as outcome unknown.
        retry_s: Pause after a failed call to the platform.
        segment_cache_size: Maximum number of segments to cache after lookups.
        max_stored_body_bytes: Maximum size of a response body that is stored
            for duplicate requests.
        max_outcomes_per_commit: Maximum number of outcomes in one write.
        archive: Settings for merging sealed segments.
    """

    commit_period_s: float = 0.06
    outcome_delay_s: float = 0.25
    seal_bytes: int = 48 * 1024
    max_queue: int = 4096
    retention_s: float = 24 * 3600.0
    pending_limit_s: float = 600.0
    retry_s: float = 0.5
    segment_cache_size: int = 4
    max_stored_body_bytes: int = cr.MAX_STORED_BODY_BYTES
    max_outcomes_per_commit: int = 128
    archive: claim_archive.ArchiveSettings = dataclasses.field(
        default_factory=claim_archive.ArchiveSettings
    )


class Phase(enum.Enum):
    """Phase of the committer."""

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
    outcomes: tuple[ce.ClaimOutcome, ...]


class Committer:
    """State machine that commits the claims of one shard; performs no I/O."""

    __slots__ = (
        "_batch",
        "_claims",
        "_head",
        "_index",
        "_last_write",
        "_merger",
        "_outcome_due",
        "_outcomes",
        "_phase",
        "_refused_version",
        "_settings",
        "_version",
        "commits",
    )

    def __init__(self, settings: CommitterSettings) -> None:
        """Starts without a head; the first claim or outcome triggers a read."""
        self._settings = settings
        self._phase = Phase.EMPTY
        self._head = cr.ClaimHead()
        self._version = 0
        self._refused_version = -1
        self._claims: dict[str, ce.Claim] = {}
        self._outcomes: dict[str, ce.ClaimOutcome] = {}
        self._outcome_due = float("inf")
        self._batch: _Batch | None = None
        self._index = claim_segments.SegmentIndex(settings.segment_cache_size)
        self._merger = claim_archive.SegmentMerger(settings.archive)
        self._last_write = float("-inf")
        self.commits = 0

    @property
    def phase(self) -> Phase:
        """Phase of the committer."""
        return self._phase

    @property
    def head(self) -> cr.ClaimHead:
        """The last head that is known to be stored."""
        return self._head

    def handle(
        self, event: ce.CommitterEvent, now: float, now_unix_s: float
    ) -> list[ce.CommitterAction]:
        """Applies an event and returns the resulting actions.

        Args:
            event: The event to apply.
            now: Monotonic time, seconds.
            now_unix_s: Wall-clock time, seconds since 1970; used only for
                claim times, expiry and retention.
        """
        actions: list[ce.CommitterAction] = []
        match event:
            case ce.Claim():
                self._accept_claim(event, actions)
            case ce.ClaimOutcome():
                self._outcomes[event.attempt_id] = event
                due = now + self._settings.outcome_delay_s
                self._outcome_due = min(self._outcome_due, due)
            case ce.Tick():
                if self._phase is Phase.PAUSED:
                    self._phase = Phase.EMPTY
            case ce.SegmentMissing() | ce.StoreFailed():
                # Another committer has deleted the missing segment; its head
                # no longer lists the segment.
                self._pause(now, actions)
            case ce.FilterRead(segment_id, data):
                self._index.add_filter(segment_id, data)
            case ce.SegmentRead(segment_id, data):
                self._index.add_segment(segment_id, data)
                actions.extend(self._merger.add_segment(segment_id, data))
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
                self._apply_read_head(data, version, now, actions)
            case ce.HeadWritten(version):
                self._settle_batch(version, now, actions)
            case ce.HeadWriteConflict():
                self._refused_version = self._version
                self._drop_batch()
            case ce.HeadWriteUncertain():
                # Read the head again: an attempt that it contains was
                # committed.
                self._drop_batch()
            case ce.SegmentStored(segment_id):
                is_archive = self._merger.record_stored(segment_id)
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
        self._merger.drop()
        self._batch = None
        self._phase = Phase.PAUSED
        actions.append(ce.WakeAt(now + self._settings.retry_s))

    def _apply_read_head(
        self,
        data: bytes,
        version: int,
        now: float,
        actions: list[ce.CommitterAction],
    ) -> None:
        if self._phase is not Phase.READING:
            return
        if version < self._version or version == self._refused_version:
            # Stale read: a conditional write on this version would fail.
            self._pause(now, actions)
            return
        self._head = cr.decode_head(data) if data else cr.ClaimHead()
        self._version = version
        self._phase = Phase.READY
        self._index.retain_listed(self._head.segments)

    def _advance(
        self, now: float, now_unix_s: float, actions: list[ce.CommitterAction]
    ) -> None:
        if not self._claims and not self._outcomes:
            return
        if self._phase is Phase.EMPTY:
            self._phase = Phase.READING
            actions.append(ce.ReadHead())
            return
        if self._phase is not Phase.READY:
            return
        due = self._last_write + self._settings.commit_period_s
        if not self._claims:
            due = max(due, self._outcome_due)
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
        records = claim_rules.expire_pending_records(self._head.records, oldest)
        outcomes = self._apply_outcomes(records, actions)
        claims = self._apply_claims(records, now_unix_s, actions)
        if not claims and not outcomes:
            return
        kept, sealed = claim_rules.split_sealed(
            records, self._settings.seal_bytes
        )
        segments, obsolete = self._update_segments(now_unix_s)
        if sealed:
            segments = (*segments, self._seal(sealed, actions))
        head = cr.ClaimHead(records=kept, segments=segments)
        self._batch = _Batch(head, obsolete, claims, outcomes)
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

    def _apply_outcomes(
        self,
        records: dict[bytes, cr.ClaimRecord],
        actions: list[ce.CommitterAction],
    ) -> tuple[ce.ClaimOutcome, ...]:
        applied: list[ce.ClaimOutcome] = []
        for outcome in list(self._outcomes.values()):
            if len(applied) >= self._settings.max_outcomes_per_commit:
                break
            record = records.get(outcome.key_hash)
            if record is None or record.attempt_id != outcome.attempt_id:
                # The record was released, sealed or expired. A release needs
                # no further write.
                kept = outcome.state is None
            elif record.state is cr.ClaimState.COMPLETED:
                kept = outcome.state is cr.ClaimState.COMPLETED
            else:
                applied.append(outcome)
                claim_rules.apply_outcome(
                    records,
                    record,
                    outcome,
                    self._settings.max_stored_body_bytes,
                )
                continue
            actions.append(ce.OutcomeRecorded(outcome.attempt_id, kept))
            del self._outcomes[outcome.attempt_id]
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
                actions.append(claim_rules.resolve_claim(claim, record))
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
            f"head version did not increase: {self._version} to {version}",
        )
        self._head = self._batch.head
        self._version = version
        self._phase = Phase.READY
        self.commits += 1
        attempt_ids = {record.attempt_id for record in self._head.records}
        for claim in self._batch.claims:
            invariants.check(
                claim.attempt_id in attempt_ids,
                f"attempt {claim.attempt_id} is not in the committed head",
            )
            if self._claims.get(claim.attempt_id) is claim:
                actions.append(ce.Claimed(claim.attempt_id))
            self._drop_claim(claim)
        for outcome in self._batch.outcomes:
            if self._outcomes.get(outcome.attempt_id) is outcome:
                del self._outcomes[outcome.attempt_id]
            actions.append(ce.OutcomeRecorded(outcome.attempt_id, True))
        for segment_id in self._batch.obsolete:
            actions.append(ce.DeleteSegment(segment_id))
        self._batch = None
        self._merger.settle(self._head.segments)
        actions.extend(self._merger.start(self._head.segments))
        has_outcomes = bool(self._outcomes)
        delay_s = self._settings.outcome_delay_s
        self._outcome_due = now + delay_s if has_outcomes else float("inf")

    def _drop_claim(self, claim: ce.Claim) -> None:
        self._claims.pop(claim.attempt_id, None)
        self._index.forget_claim(claim.attempt_id)

    def _update_segments(
        self, now_unix_s: float
    ) -> tuple[tuple[cr.SegmentEntry, ...], tuple[str, ...]]:
        """Returns the segments to list and the ids of segments to delete."""
        listed = self._head.segments
        obsolete: list[str] = []
        replacement = self._merger.replace(listed)
        if replacement is not None:
            listed = replacement.segments
            obsolete.extend(replacement.obsolete)
        oldest = now_unix_s - self._settings.retention_s
        kept = tuple(e for e in listed if e.newest_unix_s >= oldest)
        obsolete.extend(
            e.segment_id for e in listed if e.newest_unix_s < oldest
        )
        return kept, tuple(obsolete)
