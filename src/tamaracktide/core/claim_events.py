"""Events and actions of a claim shard's committer."""

import dataclasses

from tamaracktide.core import claim_records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A gateway asks for a key on behalf of one attempt.

    Attributes:
        attempt_id: Unique id of the attempt, kept over resends.
        key_hash: Hash of customer and key.
        fingerprint: Hash of the request that the key stands for.
    """

    attempt_id: str
    key_hash: bytes
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOutcome:
    """A gateway reports how the attempt that holds a claim ended.

    Attributes:
        attempt_id: The attempt.
        key_hash: Hash of customer and key.
        state: Completed or unknown; None releases the claim, which only an
            attempt that certainly never ran may ask for.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        body: The answer.
        body_kept: Whether `body` is the whole answer; it may be empty.
    """

    attempt_id: str
    key_hash: bytes
    state: claim_records.ClaimState | None
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """The head was read; version 0 and empty data if it does not exist."""

    data: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWritten:
    """The conditional write of the head took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWriteConflict:
    """The conditional write certainly did not take effect: other version."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWriteUncertain:
    """The write of the head got no certain answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentStored:
    """A segment and its filter are in the store."""

    segment_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FilterRead:
    """A segment's filter was read."""

    segment_id: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentRead:
    """A segment was read."""

    segment_id: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentMissing:
    """A listed segment or its filter is not in the store any more."""

    segment_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """A read or a segment's write failed; the platform may be out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer asked for by `WakeAt` is due."""


CommitterEvent = (
    Claim
    | ClaimOutcome
    | HeadRead
    | HeadWritten
    | HeadWriteConflict
    | HeadWriteUncertain
    | SegmentStored
    | FilterRead
    | SegmentRead
    | SegmentMissing
    | StoreFailed
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the shard's head; answered by HeadRead or StoreFailed."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteHead:
    """Write the head if its version is still the expected one (0: absent)."""

    data: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSegment:
    """Write a segment and its filter; both are immutable."""

    segment_id: str
    data: bytes
    filter_data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFilter:
    """Read a segment's filter."""

    segment_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSegment:
    """Read a segment."""

    segment_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteSegment:
    """Delete an expired segment and its filter."""

    segment_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The store holds the claim for this attempt: it alone may run."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """Another attempt holds the key; its record tells what is known."""

    attempt_id: str
    record: claim_records.ClaimRecord


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """The key stands for another request."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No claim was obtained; the attempt must not run."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """The outcome of the attempt is in the store, or can't be."""

    attempt_id: str
    kept: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WakeAt:
    """Send a `Tick` at this time; a later action replaces an earlier one."""

    at: float


CommitterAction = (
    ReadHead
    | WriteHead
    | StoreSegment
    | ReadFilter
    | ReadSegment
    | DeleteSegment
    | Claimed
    | Duplicate
    | FingerprintMismatch
    | Unavailable
    | OutcomeRecorded
    | WakeAt
)
