"""Tests of encoded shards against the rows that they encode."""

from collections.abc import Iterable

from tamaracktide.core import rows
from tamaracktide.core import table_head
from tamaracktide.core import table_shards


def make_route(number: int, customer: str = "acme") -> rows.Route:
    """Returns a route."""
    return rows.Route(
        name=f"route-{number}", customer=customer, pool="p", weight=2.5
    )


def encode_shard(
    routes: Iterable[rows.Route], cache: table_shards.RowCache
) -> table_shards.EncodedShard:
    """Returns the encoded shard of some routes."""
    content = table_head.encode_rows(routes)
    digest = table_head.hash_content(content)
    decoded = table_head.decode_routes(content).values()
    return table_shards.EncodedShard(digest, content, decoded, cache)


def test_encoded_shard_equals_its_rows() -> None:
    """Lookup, iteration, length and content match the rows."""
    routes = {f"route-{i}": make_route(i, f"c{i % 3}") for i in range(30)}
    shard = encode_shard(routes.values(), table_shards.RowCache())
    assert dict(shard) == routes
    assert len(shard) == 30
    assert shard.get("route-30") is None
    content = shard.read_content()
    assert table_head.hash_content(content) == shard.digest
    customer_routes = table_shards.list_customer_routes(shard, "c1")
    assert {route.name for route in customer_routes} == {
        f"route-{i}" for i in range(1, 30, 3)
    }
    assert table_shards.list_customer_routes(shard, "c9") == []


def test_cache_never_returns_a_row_of_another_shard() -> None:
    """Rows of the same name in two shards are cached separately.

    The cache is keyed by the shard's hash as well as by the name.
    """
    cache = table_shards.RowCache(limit=2)
    old = encode_shard([make_route(1), make_route(2), make_route(3)], cache)
    new = encode_shard([make_route(1, "other"), make_route(2)], cache)
    for _ in range(3):
        assert old["route-1"].customer == "acme"
        assert new["route-1"].customer == "other"
        assert old["route-3"] == make_route(3)
        assert "route-3" not in new


def test_row_with_an_unknown_column_is_read() -> None:
    """Columns written by a newer version are ignored."""
    content = table_head.encode_rows([make_route(1)])
    content = content.replace(b'"name"', b'"colour":"blue","name"')
    shard = table_shards.EncodedShard(
        "digest", content, [make_route(1)], table_shards.RowCache()
    )
    assert shard["route-1"] == make_route(1)
