"""Assembles newer revisions of the tables from heads and shards.

Heads and shards arrive from the platform or from peers in any order, delayed
or repeatedly. A revision is in force once every shard of its head is present,
and revisions in force only increase. A process that needs no routes assembles
the pools only.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from tamaracktide import errors
from tamaracktide import invariants
from tamaracktide import result_codes
from tamaracktide.core import rows
from tamaracktide.core import table_head
from tamaracktide.core import table_shards
from tamaracktide.core import tables


class Assembly:
    """The tables in force and the newer revision that is being assembled.

    Attributes:
        tables: The snapshot in force.
        head: Head of the snapshot in force, None before the first.
    """

    def __init__(self, *, include_routes: bool = True) -> None:
        """Starts with empty tables at revision 0.

        Args:
            include_routes: Whether routes are assembled as well as pools.
        """
        self.tables = tables.EMPTY
        self._include_routes = include_routes
        self._cache = table_shards.RowCache()
        self.head: table_head.Head | None = None
        self._pending: table_head.Head | None = None
        self._shards: dict[str, table_shards.EncodedShard] = {}
        self._pools: dict[str, Mapping[str, rows.Pool]] = {}

    @property
    def newest_revision(self) -> int:
        """The highest revision of any accepted head, in force or pending."""
        head = self._pending or self.head
        return head.revision if head else 0

    def accept_head(self, data: bytes) -> bool:
        """Applies a head; returns whether it is newer than all before.

        Raises:
            errors.ProtocolError: The head is malformed.
        """
        head = table_head.decode_head(data)
        if head.revision <= self.newest_revision:
            return False
        self._pending = head
        required = self._list_required_shards(head)
        self._shards = {k: v for k, v in self._shards.items() if k in required}
        self._pools = {k: v for k, v in self._pools.items() if k == head.pools}
        self._apply_when_complete()
        return True

    def accept_shards(self, contents: Mapping[str, bytes]) -> None:
        """Applies shards by hash; ignores those that are not missing.

        Raises:
            errors.ProtocolError: A shard's content does not match its hash or
                is malformed.
        """
        missing = set(self.list_missing())
        for digest, content in contents.items():
            _check_hash(digest, content)
            if digest in missing:
                self._accept_content(digest, content)
        self._apply_when_complete()

    def list_missing(self) -> list[str]:
        """Returns the hashes that the pending revision still lacks."""
        if self._pending is None:
            return []
        missing = (
            self._list_required_shards(self._pending) - self._shards.keys()
        )
        if self.head is not None:
            missing.difference_update(self.head.routes)
        if not self._has_pools(self._pending.pools):
            missing.add(self._pending.pools)
        return sorted(missing)

    def read_shards(self, hashes: Iterable[str]) -> dict[str, bytes]:
        """Returns the content of those shards that are held."""
        held_shards = self._index_shards()
        contents: dict[str, bytes] = {}
        for digest in hashes:
            if digest in held_shards:
                contents[digest] = held_shards[digest].read_content()
            elif digest in self._pools:
                contents[digest] = _encode_pools(self._pools[digest])
            elif self.head is not None and self.head.pools == digest:
                contents[digest] = _encode_pools(self.tables.pools)
        return contents

    def _list_required_shards(self, head: table_head.Head) -> set[str]:
        return set(head.routes) if self._include_routes else set()

    def _accept_content(self, digest: str, content: bytes) -> None:
        if self._pending is None:
            return
        if digest == self._pending.pools:
            self._pools[digest] = table_head.decode_pools(content)
        if digest in self._list_required_shards(self._pending):
            self._shards[digest] = table_shards.EncodedShard(
                digest,
                content,
                table_head.decode_routes(content).values(),
                self._cache,
            )

    def _has_pools(self, digest: str) -> bool:
        in_force = self.head is not None and self.head.pools == digest
        return in_force or digest in self._pools

    def _index_shards(self) -> dict[str, table_shards.EncodedShard]:
        """Returns the held shards by hash."""
        index = dict(self._shards)
        for shard in self.tables.routes.shards:
            if isinstance(shard, table_shards.EncodedShard):
                index[shard.digest] = shard
        return index

    def _apply_when_complete(self) -> None:
        head = self._pending
        if head is None or self.list_missing():
            return
        invariants.check(
            head.revision > self.tables.revision,
            f"tables at revision {self.tables.revision} must not be replaced"
            f" by revision {head.revision}",
        )
        self.tables = self._build_tables(head)
        self.head = head
        self._pending = None
        self._shards = {}
        self._pools = {}

    def _build_tables(self, head: table_head.Head) -> tables.Tables:
        pools = self._pools.get(head.pools, self.tables.pools)
        if not self._include_routes:
            return tables.Tables(head.revision, tables.EMPTY.routes, pools)
        held_shards = self._index_shards()
        shards = tuple(held_shards[digest] for digest in head.routes)
        return tables.Tables(head.revision, tables.ShardedRoutes(shards), pools)


def _encode_pools(pools: Mapping[str, rows.Pool]) -> bytes:
    return table_head.encode_rows(pools.values())


def _check_hash(digest: str, content: bytes) -> None:
    computed = table_head.hash_content(content)
    if computed != digest:
        raise errors.ProtocolError(
            result_codes.ResultCode.MALFORMED_MESSAGE,
            f"{table_head.make_shard_key(digest)}: content does not match its"
            f" hash: computed {computed}",
        )
