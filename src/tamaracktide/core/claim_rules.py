"""Rules for changing the records of a claim shard."""

from collections.abc import Iterable
import dataclasses

from tamaracktide.core import claim_events as ce
from tamaracktide.core import claim_records as cr

_RECORD_OVERHEAD_BYTES = 96

Records = dict[bytes, cr.ClaimRecord]


def expire_pending_records(
    records: Iterable[cr.ClaimRecord], oldest_unix_s: float
) -> Records:
    """Returns records by key; marks expired pending claims as unknown."""
    records_by_key = {}
    for record in records:
        pending = record.state is cr.ClaimState.PENDING
        if pending and record.claimed_unix_s < oldest_unix_s:
            record = dataclasses.replace(record, state=cr.ClaimState.UNKNOWN)
        records_by_key[record.key_hash] = record
    return records_by_key


def apply_outcome(
    records: Records,
    record: cr.ClaimRecord,
    outcome: ce.ClaimOutcome,
    max_stored_body_bytes: int,
) -> None:
    """Applies an attempt's outcome to its record; a release removes it."""
    if outcome.state is None:
        del records[record.key_hash]
        return
    kept = outcome.body_kept and len(outcome.body) <= max_stored_body_bytes
    records[record.key_hash] = dataclasses.replace(
        record,
        state=outcome.state,
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body if kept else b"",
        body_kept=kept,
    )


def split_sealed(
    records: Records, seal_bytes: int
) -> tuple[tuple[cr.ClaimRecord, ...], tuple[cr.ClaimRecord, ...]]:
    """Returns the records to keep in the head and the records to seal."""
    finished = [
        record
        for record in records.values()
        if record.state is not cr.ClaimState.PENDING
    ]
    size = sum(len(r.body) + _RECORD_OVERHEAD_BYTES for r in finished)
    if size <= seal_bytes:
        return tuple(records.values()), ()
    pending = tuple(
        record
        for record in records.values()
        if record.state is cr.ClaimState.PENDING
    )
    return pending, tuple(finished)


def resolve_claim(
    claim: ce.Claim, record: cr.ClaimRecord
) -> ce.CommitterAction:
    """Returns the reply to a claim whose key already has a record."""
    if claim.attempt_id == record.attempt_id:
        if record.state is cr.ClaimState.PENDING:
            return ce.Claimed(claim.attempt_id)
        return ce.Duplicate(claim.attempt_id, record)
    if claim.fingerprint != record.fingerprint:
        return ce.FingerprintMismatch(claim.attempt_id)
    return ce.Duplicate(claim.attempt_id, record)
