"""Immutable snapshots of the routes and pools tables.

Routes are sharded by a hash of the route's name, so that an edit copies only
the shards that it changes and snapshots share the others.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

import xxhash

from tamaracktide.core import rows
from tamaracktide.core import table_shards

ROUTES_PER_SHARD = 256
MIN_ROUTES_PER_SHARD = 64
MAX_ROUTES_PER_SHARD = 512

Row = rows.Route | rows.Pool
Shard = table_shards.Shard


def find_shard_index(name: str, shard_count: int) -> int:
    """Returns the index of the shard for a route's name."""
    return xxhash.xxh64_intdigest(name.encode()) & (shard_count - 1)


def choose_shard_count(route_count: int, current: int) -> int:
    """Returns the number of shards, a power of two.

    Keeps the current number while shards hold between
    `MIN_ROUTES_PER_SHARD` and `MAX_ROUTES_PER_SHARD` routes on average.
    """
    below_maximum = route_count <= current * MAX_ROUTES_PER_SHARD
    above_minimum = (
        current == 1 or route_count >= current * MIN_ROUTES_PER_SHARD
    )
    if below_maximum and above_minimum:
        return current
    needed = max(1, -(-route_count // ROUTES_PER_SHARD))
    return 1 << (needed - 1).bit_length()


def split_routes(
    routes: Iterable[rows.Route], shard_count: int
) -> tuple[Shard, ...]:
    """Distributes routes over shards."""
    shards: list[dict[str, rows.Route]] = [{} for _ in range(shard_count)]
    for route in routes:
        shards[find_shard_index(route.name, shard_count)][route.name] = route
    return tuple(shards)


class ShardedRoutes(Mapping[str, rows.Route]):
    """Routes by name, held in shards.

    Attributes:
        shards: The shards by index; their number is a power of two.
    """

    __slots__ = ("_length", "shards")

    def __init__(self, shards: tuple[Shard, ...]) -> None:
        """Wraps the shards, which must not be modified afterwards."""
        self.shards = shards
        self._length = sum(map(len, shards))

    def __getitem__(self, name: str) -> rows.Route:
        """Returns the route with a name."""
        return self.shards[find_shard_index(name, len(self.shards))][name]

    def __iter__(self) -> Iterator[str]:
        """Iterates over the names, shard by shard."""
        for shard in self.shards:
            yield from shard

    def __len__(self) -> int:
        """Returns the number of routes."""
        return self._length

    def iterate_routes(self) -> Iterator[rows.Route]:
        """Iterates over the routes, shard by shard."""
        for shard in self.shards:
            yield from table_shards.list_routes(shard)


@dataclasses.dataclass(frozen=True, slots=True)
class Tables:
    """Both tables at one revision.

    Attributes:
        revision: Increases by one with each edit; 0 before the first edit.
        routes: Routes by name.
        pools: Pools by name.
    """

    revision: int
    routes: ShardedRoutes
    pools: Mapping[str, rows.Pool]

    def find_route(self, name: str) -> rows.Route | None:
        """Returns the route with a name, or None if there is none."""
        return self.routes.get(name)

    def find_pool(self, name: str) -> rows.Pool | None:
        """Returns the pool with a name, or None if there is none."""
        return self.pools.get(name)

    def list_customer_routes(self, customer: str) -> list[rows.Route]:
        """Returns the customer's routes, sorted by name."""
        customer_routes = [
            route
            for shard in self.routes.shards
            for route in table_shards.list_customer_routes(shard, customer)
        ]
        return sorted(customer_routes, key=lambda route: route.name)


def make_tables(
    revision: int,
    routes: Iterable[rows.Route] = (),
    pools: Iterable[rows.Pool] = (),
    shard_count: int = 1,
) -> Tables:
    """Returns a snapshot of the given rows."""
    all_routes = list(routes)
    count = choose_shard_count(len(all_routes), shard_count)
    shards = split_routes(all_routes, count)
    return Tables(
        revision, ShardedRoutes(shards), {pool.name: pool for pool in pools}
    )


EMPTY = Tables(0, ShardedRoutes(({},)), {})
