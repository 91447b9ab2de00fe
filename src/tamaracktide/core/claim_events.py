"""Events and actions of the committer of a claim shard."""

import dataclasses

from tamaracktide.core import claim_records


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A gateway requests a claim on a key for one attempt.

    Attributes:
        attempt_id: Unique id of the attempt; a resent claim keeps it.
        key_hash: Hash of customer and key.
        fingerprint: Hash of the request that is sent under the key.
    """

    attempt_id: str
    key_hash: bytes
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimOutcome:
    """A gateway reports the outcome of the attempt that holds a claim.

    Attributes:
        attempt_id: Id of the attempt.
        key_hash: Hash of customer and key.
        state: Completed or unknown. None releases the claim, which is allowed
            only if the attempt certainly never ran.
        status: HTTP status of the response.
        content_type: Content type of the response.
        body: Body of the response.
        body_kept: Whether `body` is the complete body, which may be empty.
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
    """The head was read; version 0 and empty data mean that it is absent."""

    data: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWritten:
    """The conditional write of the head was applied."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWriteConflict:
    """The conditional write was rejected because the version changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWriteUncertain:
    """It is unknown whether the write of the head was applied."""


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentStored:
    """A segment and its filter were stored."""

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
    """A listed segment or its filter no longer exists in the store."""

    segment_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """A read or the write of a segment failed; the store may be down."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer that `WakeAt` requested has expired."""


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
    """Read the head of the shard; yields `HeadRead` or `StoreFailed`."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteHead:
    """Write the head if its version equals the expected one (0: absent)."""

    data: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSegment:
    """Store a segment and its filter; both are immutable."""

    segment_id: str
    data: bytes
    filter_data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFilter:
    """Read the filter of a segment."""

    segment_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSegment:
    """Read a segment."""

    segment_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteSegment:
    """Delete an expired or merged segment and its filter."""

    segment_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is committed; only this attempt may run the request."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """The key is already claimed; the record states the known outcome."""

    attempt_id: str
    record: claim_records.ClaimRecord


@dataclasses.dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """The key is claimed for a request with another fingerprint."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No claim was committed; the attempt must not run."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """Reply to a reported outcome.

    Attributes:
        attempt_id: Id of the attempt.
        kept: Whether the store reflects the outcome; False if it cannot be
            recorded.
    """

    attempt_id: str
    kept: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WakeAt:
    """Send a `Tick` at this time; replaces an earlier `WakeAt`."""

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
