"""Compressed shards of routes, whose rows are decoded on lookup.

Decoded rows of tens of thousands of routes take about thirty times the memory
of their compressed encoding, and only popular routes are looked up often. A
shard therefore holds only its encoding, and an LRU cache shared by all shards
holds decoded rows.
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
MAX_CACHED_ROWS = 2048

Shard = Mapping[str, rows.Route]
StoredRow = dict[str, Any]

# Contents are validated once, when a shard is built. Validating the name
# patterns again would be most of the cost of a lookup.
_DECODER = msgspec.json.Decoder(list[StoredRow])
_COLUMN_NAMES = frozenset(
    field.name for field in dataclasses.fields(rows.Route)
)


class RowCache:
    """LRU cache of decoded rows, and the last decoded shard."""

    __slots__ = ("_limit", "_rows", "_shard", "_shard_digest")

    def __init__(self, limit: int = MAX_CACHED_ROWS) -> None:
        """Builds an empty cache.

        Args:
            limit: Maximum number of cached rows.
        """
        self._limit = limit
        self._rows: collections.OrderedDict[tuple[str, str], rows.Route] = (
            collections.OrderedDict()
        )
        self._shard_digest = ""
        self._shard: dict[str, StoredRow] = {}

    def find_row(self, digest: str, name: str) -> rows.Route | None:
        """Returns a cached row of a shard, or None."""
        row = self._rows.get((digest, name))
        if row is not None:
            self._rows.move_to_end((digest, name))
        return row

    def add_row(self, digest: str, row: rows.Route) -> None:
        """Adds a row; evicts the least recently used row beyond the limit."""
        self._rows[(digest, row.name)] = row
        if len(self._rows) > self._limit:
            self._rows.popitem(last=False)

    def decode_shard(
        self, digest: str, compressed: bytes
    ) -> dict[str, StoredRow]:
        """Returns a shard's stored rows; caches those of the last shard."""
        if digest != self._shard_digest:
            decoded = _DECODER.decode(zlib.decompress(compressed))
            self._shard = {row["name"]: row for row in decoded}
            self._shard_digest = digest
        return self._shard


class EncodedShard(Mapping[str, rows.Route]):
    """An immutable shard that holds its compressed encoding.

    Attributes:
        digest: Hash of the content, by which the shard is addressed.
    """

    __slots__ = ("_cache", "_compressed", "_customers", "_length", "digest")

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
            decoded: The rows of the content, which are not retained.
            cache: The cache shared by the shards of a process.
        """
        hashes = [_hash_customer(row.customer) for row in decoded]
        self.digest = digest
        self._cache = cache
        self._customers = array.array("I", sorted(set(hashes)))
        self._length = len(hashes)
        self._compressed = zlib.compress(content, COMPRESSION_LEVEL)

    def __getitem__(self, name: str) -> rows.Route:
        """Returns the route with a name."""
        row = self._cache.find_row(self.digest, name)
        if row is None:
            row = _convert_row(self._decode()[name])
            self._cache.add_row(self.digest, row)
        return row

    def __iter__(self) -> Iterator[str]:
        """Iterates over the names."""
        return iter(self._decode())

    def __len__(self) -> int:
        """Returns the number of routes."""
        return self._length

    def read_content(self) -> bytes:
        """Returns the encoding."""
        return zlib.decompress(self._compressed)

    def list_routes(self) -> list[rows.Route]:
        """Returns all routes without adding them to the cache."""
        return [_convert_row(row) for row in self._decode().values()]

    def list_customer_routes(self, customer: str) -> list[rows.Route]:
        """Returns a customer's routes without adding them to the cache."""
        if _hash_customer(customer) not in self._customers:
            return []
        return [
            _convert_row(row)
            for row in self._decode().values()
            if row["customer"] == customer
        ]

    def _decode(self) -> dict[str, StoredRow]:
        return self._cache.decode_shard(self.digest, self._compressed)


def list_routes(shard: Shard) -> list[rows.Route]:
    """Returns all routes of a shard."""
    if isinstance(shard, EncodedShard):
        return shard.list_routes()
    return list(shard.values())


def list_customer_routes(shard: Shard, customer: str) -> list[rows.Route]:
    """Returns the routes of a shard that belong to a customer."""
    if isinstance(shard, EncodedShard):
        return shard.list_customer_routes(customer)
    return [row for row in shard.values() if row.customer == customer]


def _convert_row(stored: StoredRow) -> rows.Route:
    if stored.keys() <= _COLUMN_NAMES:
        return rows.Route(**stored)
    return msgspec.convert(stored, rows.Route)


def _hash_customer(customer: str) -> int:
    return xxhash.xxh32_intdigest(customer.encode())
