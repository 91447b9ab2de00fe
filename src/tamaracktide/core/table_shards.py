"""Shards of routes, held compressed and decoded row by row on lookup.

Decoded rows of tens of thousands of routes take some thirty times the memory
of their compressed encoding, and only popular routes are looked up often. So
a shard keeps its encoding, and a cache that all shards share keeps the rows
that were looked up last.
"""

import array
import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Any
import zlib

import msgspec
import xxhash

from tamaracktide.core import rows

COMPRESSION_LEVEL = 1
CACHED_ROWS = 2048

Shard = Mapping[str, rows.Route]
StoredRow = dict[str, Any]

# Contents are checked once, when they are taken in; checking the names'
# patterns again would be most of the cost of a lookup.
_DECODER = msgspec.json.Decoder(list[StoredRow])
_COLUMNS = frozenset(field.name for field in dataclasses.fields(rows.Route))


class RowCache:
    """The rows that were looked up last, and the last shard decoded."""

    __slots__ = ("_limit", "_rows", "_shard", "_shard_digest")

    def __init__(self, limit: int = CACHED_ROWS) -> None:
        """Builds an empty cache.

        Args:
            limit: Rows that are kept at most.
        """
        self._limit = limit
        self._rows: collections.OrderedDict[tuple[str, str], rows.Route] = (
            collections.OrderedDict()
        )
        self._shard_digest = ""
        self._shard: dict[str, StoredRow] = {}

    def find_row(self, digest: str, name: str) -> rows.Route | None:
        """Returns a shard's row if it is cached."""
        row = self._rows.get((digest, name))
        if row is not None:
            self._rows.move_to_end((digest, name))
        return row

    def keep_row(self, digest: str, row: rows.Route) -> None:
        """Keeps a row; the one not looked up for longest is dropped."""
        self._rows[(digest, row.name)] = row
        if len(self._rows) > self._limit:
            self._rows.popitem(last=False)

    def decode_shard(self, digest: str, packed: bytes) -> dict[str, StoredRow]:
        """Returns the stored rows of a shard; the last decoded are kept."""
        if digest != self._shard_digest:
            decoded = _DECODER.decode(zlib.decompress(packed))
            self._shard = {row["name"]: row for row in decoded}
            self._shard_digest = digest
        return self._shard


class EncodedShard(Mapping[str, rows.Route]):
    """An immutable shard, held as its compressed encoding.

    Attributes:
        digest: Hash of the content, the shard's name.
    """

    __slots__ = ("_cache", "_customers", "_length", "_packed", "digest")

    def __init__(
        self,
        digest: str,
        content: bytes,
        decoded: Iterable[rows.Route],
        cache: RowCache,
    ) -> None:
        """Compresses a shard's content.

        Args:
            digest: Hash of the content.
            content: The encoding.
            decoded: The rows of the content, which are not kept.
            cache: The cache that the shards of a process share.
        """
        hashes = [_hash_customer(row.customer) for row in decoded]
        self.digest = digest
        self._cache = cache
        self._customers = array.array("I", sorted(set(hashes)))
        self._length = len(hashes)
        self._packed = zlib.compress(content, COMPRESSION_LEVEL)

    def __getitem__(self, name: str) -> rows.Route:
        """Returns the route of a name."""
        row = self._cache.find_row(self.digest, name)
        if row is None:
            row = _convert_row(self._decode()[name])
            self._cache.keep_row(self.digest, row)
        return row

    def __iter__(self) -> Iterator[str]:
        """Iterates over the names."""
        return iter(self._decode())

    def __len__(self) -> int:
        """Returns the number of routes."""
        return self._length

    def read_content(self) -> bytes:
        """Returns the encoding."""
        return zlib.decompress(self._packed)

    def list_routes(self) -> list[rows.Route]:
        """Returns all routes, none of which is cached."""
        return [_convert_row(row) for row in self._decode().values()]

    def list_customer_routes(self, customer: str) -> list[rows.Route]:
        """Returns the routes of a customer, none of which is cached."""
        if _hash_customer(customer) not in self._customers:
            return []
        return [
            _convert_row(row)
            for row in self._decode().values()
            if row["customer"] == customer
        ]

    def _decode(self) -> dict[str, StoredRow]:
        return self._cache.decode_shard(self.digest, self._packed)


def list_routes(shard: Shard) -> list[rows.Route]:
    """Returns all routes of a shard."""
    if isinstance(shard, EncodedShard):
        return shard.list_routes()
    return list(shard.values())


def list_customer_routes(shard: Shard, customer: str) -> list[rows.Route]:
    """Returns the routes of a shard that are a customer's."""
    if isinstance(shard, EncodedShard):
        return shard.list_customer_routes(customer)
    return [row for row in shard.values() if row.customer == customer]


def _convert_row(stored: StoredRow) -> rows.Route:
    if stored.keys() <= _COLUMNS:
        return rows.Route(**stored)
    return msgspec.convert(stored, rows.Route)


def _hash_customer(customer: str) -> int:
    return xxhash.xxh32_intdigest(customer.encode())
