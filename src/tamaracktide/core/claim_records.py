"""Stored records of claimed idempotency keys.

A shard has one head object, `claims/SHARD/head`, that is changed only by
conditional writes, and immutable segments that hold finished records by age.
Each segment has a Bloom filter, so that a committer finds a reused key without
keeping every key in memory. Head and segments are encoded as CBOR.
"""

import dataclasses
import enum
import hashlib
from typing import Any
from typing import TypeVar

import cbor2
import msgspec
import rbloom
import xxhash

_T = TypeVar("_T")

SHARD_COUNT = 16
KEY_HASH_BYTES = 16
MAX_STORED_BODY_BYTES = 4096
"""Maximum size of a response body that is stored for duplicate requests."""
FILTER_FALSE_POSITIVE_RATE = 0.001


class ClaimState(enum.StrEnum):
    """Known outcome of the request that holds a claim."""

    PENDING = "pending"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRecord:
    """One claimed key.

    Attributes:
        key_hash: 16-byte hash of customer and key.
        attempt_id: Id of the attempt that holds the claim; never changes.
        fingerprint: Hash of the request that is sent under the key.
        claimed_unix_s: Time of the claim, seconds since 1970.
        state: Known outcome of the request.
        status: HTTP status of a completed response.
        content_type: Content type of a completed response.
        body: Body of a completed response.
        body_kept: Whether `body` is the complete body, which may be empty.
    """

    key_hash: bytes
    attempt_id: str
    fingerprint: str
    claimed_unix_s: float
    state: ClaimState = ClaimState.PENDING
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SegmentEntry:
    """Entry of a sealed segment in the head.

    Attributes:
        segment_id: Hash of the segment's content, part of its object key.
        newest_unix_s: Claim time of the newest record in the segment.
        count: Number of records in the segment.
        is_archive: Whether the segment was merged from others, without
            response bodies.
    """

    segment_id: str
    newest_unix_s: float
    count: int
    is_archive: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimHead:
    """The mutable part of a shard: recent records and the list of segments.

    Attributes:
        records: Recent records, one per key.
        segments: Sealed segments, oldest first.
    """

    records: tuple[ClaimRecord, ...] = ()
    segments: tuple[SegmentEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """An immutable set of finished records."""

    records: tuple[ClaimRecord, ...]


def hash_key(customer: str, key: str) -> bytes:
    """Returns the 16-byte hash under which a customer's key is stored."""
    digest = hashlib.sha256(f"{customer}\x00{key}".encode())
    return digest.digest()[:KEY_HASH_BYTES]


def find_shard(customer: str, key: str) -> int:
    """Returns the number of the shard that holds a customer's key."""
    return xxhash.xxh64_intdigest(f"{customer}\x00{key}".encode()) % SHARD_COUNT


def name_shard(shard: int) -> str:
    """Returns the name that is hashed to choose a shard's committer."""
    return f"claims/{shard}"


def name_head(shard: int) -> str:
    """Returns the object key of a shard's head."""
    return f"claims/{shard}/head"


def name_segment(shard: int, segment_id: str) -> str:
    """Returns the object key of a segment."""
    return f"claims/{shard}/segments/{segment_id}"


def name_filter(shard: int, segment_id: str) -> str:
    """Returns the object key of a segment's filter."""
    return f"claims/{shard}/filters/{segment_id}"


def encode_head(head: ClaimHead) -> bytes:
    """Encodes a head as CBOR."""
    return cbor2.dumps(
        [
            [_list_values(record) for record in head.records],
            [_list_values(entry) for entry in head.segments],
        ]
    )


def decode_head(data: bytes) -> ClaimHead:
    """Decodes a head from CBOR.

    Raises:
        msgspec.ValidationError: The data does not match the schema.
    """
    records, segments = msgspec.convert(
        cbor2.loads(data), tuple[list[list[Any]], list[list[Any]]]
    )
    return ClaimHead(
        records=tuple(_build(ClaimRecord, values) for values in records),
        segments=tuple(_build(SegmentEntry, values) for values in segments),
    )


def encode_segment(segment: Segment) -> bytes:
    """Encodes a segment as CBOR."""
    return cbor2.dumps([_list_values(record) for record in segment.records])


def decode_segment(data: bytes) -> Segment:
    """Decodes a segment from CBOR.

    Raises:
        msgspec.ValidationError: The data does not match the schema.
    """
    records = msgspec.convert(cbor2.loads(data), list[list[Any]])
    return Segment(
        records=tuple(_build(ClaimRecord, values) for values in records)
    )


def shorten_record(record: ClaimRecord) -> ClaimRecord:
    """Returns the record without the fields that archives do not keep."""
    return dataclasses.replace(
        record, attempt_id="", claimed_unix_s=0, content_type="", body=b""
    )


def _list_values(value: ClaimRecord | SegmentEntry) -> list[object]:
    """Returns the field values in order; names would double the size."""
    return [getattr(value, field.name) for field in dataclasses.fields(value)]


def _build(kind: type[_T], values: list[Any]) -> _T:
    """Builds a dataclass from ordered values; missing ones use defaults."""
    names = [field.name for field in dataclasses.fields(kind)]  # type: ignore[arg-type]
    return msgspec.convert(
        dict(zip(names, values, strict=False)), kind, builtin_types=(bytes,)
    )


def compute_segment_id(data: bytes) -> str:
    """Computes the id of a segment from its encoded content."""
    return xxhash.xxh3_128_hexdigest(data)


def build_filter(segment: Segment) -> bytes:
    """Returns the serialized Bloom filter of a segment's key hashes."""
    bloom = rbloom.Bloom(
        max(len(segment.records), 1), FILTER_FALSE_POSITIVE_RATE, _hash_member
    )
    for record in segment.records:
        bloom.add(record.key_hash)
    return bytes(bloom.save_bytes())


def load_filter(data: bytes) -> rbloom.Bloom:
    """Loads a Bloom filter that `build_filter` serialized."""
    return rbloom.Bloom.load_bytes(data, _hash_member)


def _hash_member(key_hash: bytes) -> int:
    return int.from_bytes(key_hash, "big", signed=True)
