"""Tests of snapshots, their stored form and the validation of rows."""

import dataclasses

import pytest

from tamaracktide import errors
from tamaracktide.core import rows
from tamaracktide.core import table_assembly
from tamaracktide.core import table_checks
from tamaracktide.core import table_edits
from tamaracktide.core import table_head
from tamaracktide.core import tables

ENGINES = rows.Pool(
    name="engines", kind=rows.UpstreamKind.ENGINE, upstreams=("e1",)
)
SERVICES = rows.Pool(
    name="services", kind=rows.UpstreamKind.SERVICE, upstreams=("s1",)
)


def make_route(number: int, customer: str = "acme") -> rows.Route:
    """Returns a route to the engines."""
    return rows.Route(
        name=f"route-{number}",
        customer=customer,
        pool="engines",
        adapter="a",
        version="1",
    )


def make_edit(*changes: table_edits.Change) -> table_edits.Edit:
    """Returns an edit with the given changes."""
    return table_edits.Edit(
        edit_id="e", author="a", at_unix_s=0.0, summary="s", changes=changes
    )


def test_shard_count_has_hysteresis() -> None:
    """The count changes only if the mean shard size is out of bounds."""
    assert tables.choose_shard_count(0, 1) == 1
    assert tables.choose_shard_count(513, 1) == 4
    assert tables.choose_shard_count(300, 4) == 4
    assert tables.choose_shard_count(255, 4) == 1
    assert tables.choose_shard_count(68_000, 1) == 512


def test_customer_routes_reflect_edits() -> None:
    """The routes of a customer reflect changes and deletions of rows."""
    routes = [make_route(i, f"c{i % 3}") for i in range(600)]
    snapshot = tables.make_tables(1, routes, [ENGINES])
    moved = dataclasses.replace(routes[0], customer="other")
    edit = make_edit(
        table_edits.PutRow(moved, routes[0]),
        *(table_edits.DeleteRow(route) for route in routes[1::3]),
    )
    after = table_edits.merge_edit(snapshot, edit)
    assert after.list_customer_routes("other") == [moved]
    assert after.list_customer_routes("c1") == []
    assert len(after.list_customer_routes("c0")) == 199
    assert len(snapshot.list_customer_routes("c1")) == 200


def test_equal_rows_have_equal_hashes() -> None:
    """A shard's hash does not depend on the order of its rows."""
    routes = [make_route(i) for i in range(9)]
    forward = table_head.encode_rows(routes)
    backward = table_head.encode_rows(reversed(routes))
    assert table_head.hash_content(forward) == table_head.hash_content(backward)
    assert table_head.decode_routes(forward) == {r.name: r for r in routes}


def test_head_with_three_shards_is_malformed() -> None:
    """A head whose number of shards is not a power of two is rejected."""
    head = table_head.Head(
        revision=1, write_id="e", routes=("a", "b", "c"), pools="p"
    )
    with pytest.raises(errors.ProtocolError, match="3 shards"):
        table_head.decode_head(table_head.encode_object(head))


def test_assembly_revision_never_decreases() -> None:
    """An older head is ignored, even while a newer one is incomplete."""
    empty = table_head.hash_content(table_head.encode_rows([]))
    heads = [
        table_head.encode_object(
            table_head.Head(
                revision=revision, write_id="e", routes=(empty,), pools=pools
            )
        )
        for revision, pools in ((1, empty), (2, "missing"), (3, empty))
    ]
    assembly = table_assembly.Assembly()
    assert assembly.accept_head(heads[0])
    assembly.accept_shards({empty: table_head.encode_rows([])})
    assert assembly.tables.revision == 1
    assert assembly.accept_head(heads[1])
    assert assembly.list_missing() == ["missing"]
    assert not assembly.accept_head(heads[0])
    assert assembly.accept_head(heads[2])
    assert assembly.tables.revision == 3
    assert not assembly.accept_head(heads[1])
    assert assembly.tables.revision == 3


def test_faults_of_raw_rows_name_table_row_and_column() -> None:
    """All faults of a file are reported, not only the first."""
    faults = table_checks.find_value_faults(
        {
            "routes": [
                {"name": "x", "customer": "c", "pool": "p", "adaptor": "a"},
                {"name": "x", "customer": "c", "pool": "p", "weight": 0},
                {"customer": "c"},
            ],
            "pools": [{"name": "p", "kind": "engin", "upstreams": ["e 1"]}],
            "rules": [],
        }
    )
    assert {(f.table, f.row, f.column) for f in faults} == {
        ("routes", "x", "adaptor"),
        ("routes", "x", "weight"),
        ("routes", "x", "name"),
        ("routes", "#2", "name"),
        ("routes", "#2", "pool"),
        ("pools", "p", "kind"),
        ("pools", "p", "upstreams[0]"),
        ("rules", "", ""),
    }


@pytest.mark.parametrize(
    ("route", "pool", "column"),
    [
        (make_route(1), SERVICES, "pool"),
        (dataclasses.replace(make_route(1), version=""), ENGINES, "version"),
        (dataclasses.replace(make_route(1), adapter=""), ENGINES, "adapter"),
        (
            dataclasses.replace(make_route(1), pool="services", version=""),
            SERVICES,
            "adapter",
        ),
        (
            make_route(1),
            dataclasses.replace(ENGINES, upstreams=("e1", "e1")),
            "upstreams",
        ),
    ],
)
def test_inconsistent_rows_are_reported(
    route: rows.Route, pool: rows.Pool, column: str
) -> None:
    """Each violated constraint is one fault with the right column."""
    snapshot = tables.make_tables(1, [route], [pool])
    faults = table_checks.find_table_faults(snapshot)
    assert [fault.column for fault in faults] == [column]


def test_upstream_in_two_pools_is_reported() -> None:
    """The fault names the upstream and the other pool."""
    other = dataclasses.replace(ENGINES, name="others")
    snapshot = tables.make_tables(1, [], [ENGINES, other])
    (fault,) = table_checks.find_table_faults(snapshot)
    assert fault.text == (
        'pools row "others" column upstreams: "e1" is already in pool "engines"'
    )


def test_reverted_record_restores_the_rows() -> None:
    """Reverting an edit by its record restores the previous rows."""
    route, changed = make_route(1), make_route(1, "other")
    before = tables.make_tables(1, [route, make_route(2)], [ENGINES])
    edit = make_edit(
        table_edits.PutRow(changed, route),
        table_edits.DeleteRow(make_route(2)),
        table_edits.PutRow(SERVICES, None),
    )
    after = table_edits.merge_edit(before, edit)
    records = table_edits.make_records(edit, before, "")
    revert = make_edit(*table_edits.revert_records(records))
    restored = table_edits.merge_edit(after, revert)
    assert dict(restored.routes) == dict(before.routes)
    assert restored.pools == before.pools
    assert restored.revision == 3
