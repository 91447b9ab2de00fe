"""Synthetic tables, cells and requests for the measurements."""

import random

from tamaracktide.core import cell as cell_core
from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import claim_records
from tamaracktide.core import rows
from tamaracktide.core import table_head
from tamaracktide.core import tables

POOLS = 5
ENGINES = 600
SLOTS = 16
BATCH_LIMIT = 64
LARGE_CUSTOMER_EVERY = 4
"""One route in this many belongs to the large customer."""


def make_route(index: int, version: str = "1") -> rows.Route:
    """Returns the route of one adapter."""
    large = index % LARGE_CUSTOMER_EVERY == 0
    return rows.Route(
        name=f"assistant-{index}",
        customer="large" if large else f"customer-{index}",
        pool=f"base-{index % POOLS}",
        adapter=f"adapter-{index}",
        version=version,
    )


def make_pools() -> list[rows.Pool]:
    """Returns one pool for each base model; together they hold all engines."""
    return [
        rows.Pool(
            name=f"base-{number}",
            kind=rows.UpstreamKind.ENGINE,
            upstreams=tuple(
                f"engine-{i}" for i in range(number, ENGINES, POOLS)
            ),
        )
        for number in range(POOLS)
    ]


def make_tables(routes: int, revision: int = 1) -> tables.Tables:
    """Returns tables with a number of routes."""
    return tables.make_tables(
        revision, [make_route(i) for i in range(routes)], make_pools()
    )


def encode_tables(
    snapshot: tables.Tables, edits: int = table_head.MAX_RECENT_EDITS
) -> tuple[bytes, dict[str, bytes]]:
    """Returns the encoded head and the encoded objects by hash.

    Args:
        snapshot: The tables.
        edits: Number of recent edits that the head lists.
    """
    shards = [
        table_head.encode_rows(shard.values())
        for shard in snapshot.routes.shards
    ]
    pools = table_head.encode_rows(snapshot.pools.values())
    contents = {
        table_head.hash_content(data): data for data in (*shards, pools)
    }
    head = table_head.Head(
        revision=snapshot.revision,
        write_id=f"{snapshot.revision:032x}",
        routes=tuple(table_head.hash_content(data) for data in shards),
        pools=table_head.hash_content(pools),
        recent=tuple(_make_recent(number) for number in range(edits)),
    )
    return table_head.encode_object(head), contents


def encode_changed_tables(
    routes: int, revision: int, changed: rows.Route
) -> tuple[bytes, dict[str, bytes]]:
    """Returns encoded tables in which one row is replaced."""
    routes_by_name = {
        route.name: route for route in (make_route(i) for i in range(routes))
    }
    routes_by_name[changed.name] = changed
    return encode_tables(
        tables.make_tables(revision, routes_by_name.values(), make_pools())
    )


def _make_recent(number: int) -> table_head.RecentEdit:
    return table_head.RecentEdit(
        revision=number,
        edit_id=f"{number:032x}",
        author="operator",
        at_unix_s=1.7e9 + number,
        summary="adds the adapter of a new customer",
        rows=1,
        digest=f"{number:032x}",
    )


def make_cell(engines: int, seed: int) -> cell_core.Cell:
    """Returns a cell whose engines have `SLOTS` adapters loaded each."""
    settings = cell_settings.CellSettings(max_waiting=4096)
    cell = cell_core.Cell(settings, random.Random(seed))
    for number in range(engines):
        cell.handle(make_engine(number), 0.0)
    return cell


def make_engine(number: int) -> cell_events.UpstreamSnapshot:
    """Returns the state of an engine whose adapter slots are all in use."""
    return cell_events.UpstreamSnapshot(
        upstream=f"engine-{number}",
        incarnation=f"incarnation-{number}",
        slots=SLOTS,
        batch_limit=BATCH_LIMIT,
        loaded=tuple(
            cell_events.LoadedAdapter(f"adapter-{index}@1", make_key(index))
            for index in range(number * SLOTS, (number + 1) * SLOTS)
        ),
    )


def make_key(index: int) -> rows.AdapterKey:
    """Returns the key of an adapter."""
    return rows.AdapterKey(f"adapter-{index}", "1")


def make_submit(number: int, adapter: int) -> cell_events.Submit:
    """Returns a request for an adapter by the customer of that adapter."""
    return cell_events.Submit(
        request_id=f"{number:032x}",
        customer=f"customer-{adapter}",
        key=make_key(adapter),
        prompt_tokens=300,
        max_tokens=256,
        prefix=f"{adapter:016x}",
    )


def make_segment(start: int, count: int) -> claim_records.Segment:
    """Returns a segment of completed claims."""
    return claim_records.Segment(
        records=tuple(
            claim_records.ClaimRecord(
                key_hash=claim_records.hash_key("customer", str(number)),
                attempt_id=f"{number:032x}",
                fingerprint=f"{number:032x}",
                claimed_unix_s=1.7e9,
                state=claim_records.ClaimState.COMPLETED,
                status=200,
                content_type="application/json",
            )
            for number in range(start, start + count)
        )
    )
