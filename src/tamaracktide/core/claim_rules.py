"""Rules by which a claim shard's records change."""

from collections.abc import Iterable
import dataclasses

from tamaracktide.core import claim_events as ce
from tamaracktide.core import claim_records as cr

_RECORD_OVERHEAD_BYTES = 96

Records = dict[bytes, cr.ClaimRecord]


def age_records(
    records: Iterable[cr.ClaimRecord], oldest_unix_s: float
) -> Records:
    """Returns records by key; those pending from before are unknown."""
    aged = {}
    for record in records:
        pending = record.state is cr.ClaimState.PENDING
        if pending and record.claimed_unix_s < oldest_unix_s:
            record = dataclasses.replace(record, state=cr.ClaimState.UNKNOWN)
        aged[record.key_hash] = record
    return aged


def finish_record(
    records: Records,
    record: cr.ClaimRecord,
    finish: ce.ClaimOutcome,
    answer_bytes: int,
) -> None:
    """Changes a record by its attempt's outcome; a release removes it."""
    if finish.state is None:
        del records[record.key_hash]
        return
    kept = finish.body_kept and len(finish.body) <= answer_bytes
    records[record.key_hash] = dataclasses.replace(
        record,
        state=finish.state,
        status=finish.status,
        content_type=finish.content_type,
        body=finish.body if kept else b"",
        body_kept=kept,
    )


def split_sealed(
    records: Records, seal_bytes: int
) -> tuple[tuple[cr.ClaimRecord, ...], tuple[cr.ClaimRecord, ...]]:
    """Returns the records that stay in the head and those to seal."""
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


def answer_claim(claim: ce.Claim, record: cr.ClaimRecord) -> ce.CommitterAction:
    """Returns the answer to a claim whose key has a record."""
    if claim.attempt_id == record.attempt_id:
        if record.state is cr.ClaimState.PENDING:
            return ce.Claimed(claim.attempt_id)
        return ce.Duplicate(claim.attempt_id, record)
    if claim.fingerprint != record.fingerprint:
        return ce.FingerprintMismatch(claim.attempt_id)
    return ce.Duplicate(claim.attempt_id, record)
