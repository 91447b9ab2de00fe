"""The stored form of the tables: a head and content-addressed shards.

The head, `tables/head`, holds the revision and the hash of every shard and of
the pools. A shard, `tables/shards/HASH`, is immutable. Encodings are JSON and
deterministic, so that equal rows have equal hashes.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import TypeVar

import msgspec
import xxhash

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import rows
from tamaracktide.core import tables

HEAD_KEY = "tables/head"
SHARDS_PREFIX = "tables/shards/"
MAX_OBJECT_BYTES = 1_000_000
MAX_RECENT_EDITS = 64

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecentEdit:
    """Summary of a recent edit, stored in the head.

    Attributes:
        revision: Revision that the edit created.
        edit_id: Unique id of the edit.
        author: Author of the edit.
        at_unix_s: Time of the edit.
        summary: One-line description.
        rows: Number of rows that the edit changed.
        digest: Hash of the edit's record.
    """

    revision: int
    edit_id: str
    author: str
    at_unix_s: float
    summary: str
    rows: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """The content of the tables at one revision, by hash.

    Attributes:
        revision: Increases by one with each edit.
        write_id: Id of the edit that created the revision.
        routes: Hashes of the route shards, by shard index.
        pools: Hash of the pools.
        recent: The most recent edits, oldest first.
    """

    revision: int
    write_id: str
    routes: tuple[str, ...]
    pools: str
    recent: tuple[RecentEdit, ...] = ()

    @property
    def hashes(self) -> tuple[str, ...]:
        """The hashes of all shards and of the pools."""
        return (*self.routes, self.pools)

    def find_edit(self, edit_id: str) -> RecentEdit | None:
        """Returns the recent edit with an id, or None if it is not listed."""
        for edit in self.recent:
            if edit.edit_id == edit_id:
                return edit
        return None


def make_shard_key(digest: str) -> str:
    """Returns the object key of the shard with a hash."""
    return SHARDS_PREFIX + digest


def hash_content(data: bytes) -> str:
    """Returns the hash by which an immutable object is addressed."""
    return xxhash.xxh3_128_hexdigest(data)


def encode_object(value: object) -> bytes:
    """Returns the deterministic JSON encoding of a data class."""
    return msgspec.json.encode(value, order="deterministic")


def decode_object(data: bytes, kind: type[_T], key: str) -> _T:
    """Decodes and validates a data class.

    Raises:
        errors.ProtocolError: The data is malformed; the detail names the key.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as error:
        raise errors.ProtocolError(
            result_codes.ResultCode.MALFORMED_MESSAGE, f"{key}: {error}"
        ) from error


def decode_head(data: bytes) -> Head:
    """Decodes and validates a head.

    Raises:
        errors.ProtocolError: The data is malformed.
    """
    head = decode_object(data, Head, HEAD_KEY)
    count = len(head.routes)
    if count == 0 or count & (count - 1):
        raise errors.ProtocolError(
            result_codes.ResultCode.MALFORMED_MESSAGE,
            f"{HEAD_KEY}: {count} shards, expected a power of two",
        )
    return head


def encode_rows(table: Iterable[tables.Row]) -> bytes:
    """Returns the encoding of the rows of a shard or of the pools."""
    return encode_object(sorted(table, key=lambda row: row.name))


def decode_routes(data: bytes) -> dict[str, rows.Route]:
    """Returns a shard's routes by name.

    Raises:
        errors.ProtocolError: The data is malformed.
    """
    routes = decode_object(data, list[rows.Route], SHARDS_PREFIX)
    return {route.name: route for route in routes}


def decode_pools(data: bytes) -> dict[str, rows.Pool]:
    """Returns the pools by name.

    Raises:
        errors.ProtocolError: The data is malformed.
    """
    pools = decode_object(data, list[rows.Pool], SHARDS_PREFIX)
    return {pool.name: pool for pool in pools}


def append_recent(
    recent: Sequence[RecentEdit], edit: RecentEdit
) -> tuple[RecentEdit, ...]:
    """Appends an edit and drops the oldest beyond the limit."""
    return (*recent, edit)[-MAX_RECENT_EDITS:]
