"""The stored form of the tables: a head object and shards named by hash.

The head, `tables/head`, names the revision and the hash of every shard and of
the pools. A shard, `tables/shards/HASH`, never changes. Encodings are JSON
and deterministic, so equal rows have equal hashes.
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
RECENT_EDITS = 64

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecentEdit:
    """One of the last edits, as the head remembers it.

    Attributes:
        revision: Revision that the edit made.
        edit_id: Unique id of the edit.
        author: Who made it.
        at_unix_s: When it was made.
        summary: One line for people.
        rows: Number of rows that it changed.
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
    """What the tables are at one revision.

    Attributes:
        revision: Grows by one with each edit.
        write_id: Id of the edit that made the revision.
        routes: Hash of each shard of routes by index.
        pools: Hash of the pools.
        recent: The last edits, oldest first.
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
        """Returns the recent edit of an id, None if it is not recent."""
        for edit in self.recent:
            if edit.edit_id == edit_id:
                return edit
        return None


def make_shard_key(digest: str) -> str:
    """Returns the key of the shard with a hash."""
    return SHARDS_PREFIX + digest


def hash_content(data: bytes) -> str:
    """Returns the hash that names an immutable object."""
    return xxhash.xxh3_128_hexdigest(data)


def encode_object(value: object) -> bytes:
    """Returns the deterministic encoding of a data class."""
    return msgspec.json.encode(value, order="deterministic")


def decode_object(data: bytes, kind: type[_T], key: str) -> _T:
    """Returns a checked data class from its encoding.

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
    """Returns a checked head.

    Raises:
        errors.ProtocolError: The data is malformed.
    """
    head = decode_object(data, Head, HEAD_KEY)
    count = len(head.routes)
    if count == 0 or count & (count - 1):
        raise errors.ProtocolError(
            result_codes.ResultCode.MALFORMED_MESSAGE,
            f"{HEAD_KEY}: {count} shards, not a power of two",
        )
    return head


def encode_rows(table: Iterable[tables.Row]) -> bytes:
    """Returns the encoding of a shard's or the pools' rows."""
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
    """Returns the recent edits with one more, dropping the oldest."""
    return (*recent, edit)[-RECENT_EDITS:]
