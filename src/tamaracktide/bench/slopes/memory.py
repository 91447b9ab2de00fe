"""Bytes of memory for each route, upstream, waiting request and claim key."""

import rbloom

from tamaracktide.bench.slopes import clocks
from tamaracktide.bench.slopes import samples
from tamaracktide.bench.slopes import series
from tamaracktide.core import cell_events
from tamaracktide.core import claim_records
from tamaracktide.core import table_assembly

PREFIXES = 256
SEGMENT_KEYS = 16_000
CELL_ENGINES = 4


async def measure_routes(size: int, _seed: int) -> tuple[series.Reading, ...]:
    """Reads tables of some routes as a daemon does."""
    head, contents = samples.store_tables(samples.make_tables(size))
    memory = clocks.Memory()
    assembly = table_assembly.Assembly()
    assembly.accept_head(head)
    for digest, data in contents.items():
        # A copy, as it comes from a connection.
        assembly.accept_shards({digest: bytes(bytearray(data))})
    held = memory.stop()
    stored = sum(map(len, contents.values()))
    shards = len(assembly.tables.routes.shards)
    return (
        series.Reading("memory of tables", "bytes", held),
        series.Reading("stored shards and pools", "bytes", stored),
        series.Reading("stored head", "bytes", len(head)),
        series.Reading("shards", "objects", shards),
        series.Reading("stored shard", "bytes", stored / (shards + 1)),
    )


async def measure_upstreams(size: int, seed: int) -> tuple[series.Reading, ...]:
    """Lets a cell know engines with all slots and prefixes in use."""
    memory = clocks.Memory()
    cell = samples.make_cell(size, seed)
    for number in range(size):
        for prefix in range(PREFIXES):
            event = cell_events.PrefixReported(
                f"engine-{number}", f"{number:08x}{prefix:08x}", True
            )
            cell.handle(event, 0.0)
    return (series.Reading("memory of a cell", "bytes", memory.stop()),)


async def measure_waiting(size: int, seed: int) -> tuple[series.Reading, ...]:
    """Lets requests wait in a cell whose places are all taken."""
    cell = samples.make_cell(CELL_ENGINES, seed)
    places = CELL_ENGINES * samples.BATCH_LIMIT
    adapters = CELL_ENGINES * samples.SLOTS
    for number in range(places):
        cell.handle(samples.make_submit(number, number % adapters), 0.0)
    memory = clocks.Memory()
    for number in range(places, places + size):
        cell.handle(samples.make_submit(number, number % adapters), 0.0)
    held = memory.stop()
    waiting = cell.measure_utilization().waiting
    if waiting != size:
        raise ValueError(f"{waiting} requests wait, not {size}")
    return (series.Reading("memory of waiting requests", "bytes", held),)


async def measure_claim_keys(
    size: int, _seed: int
) -> tuple[series.Reading, ...]:
    """Holds the filters and entries of sealed segments of some keys."""
    filters: list[rbloom.Bloom] = []
    entries: list[claim_records.SegmentEntry] = []
    # What the first use of a library allocates belongs to no key.
    claim_records.load_filter(
        claim_records.build_filter(samples.make_segment(0, 1))
    )
    memory = clocks.Memory()
    for start in range(0, size, SEGMENT_KEYS):
        segment = samples.make_segment(start, min(SEGMENT_KEYS, size - start))
        data = claim_records.encode_segment(segment)
        entry = claim_records.SegmentEntry(
            segment_id=claim_records.compute_segment_id(data),
            newest_unix_s=1.7e9 + start,
            count=len(segment.records),
            is_archive=True,
        )
        entries.append(entry)
        saved = claim_records.build_filter(segment)
        filters.append(claim_records.load_filter(saved))
        del segment, data, saved
    # The filter's own memory is outside Python's allocator.
    held = memory.stop() + sum(one.size_in_bits // 8 for one in filters)
    head = claim_records.ClaimHead(segments=tuple(entries))
    head_bytes = len(claim_records.encode_head(head))
    return (
        series.Reading("memory of claim keys", "bytes", held),
        series.Reading("claim head for segments", "bytes", head_bytes),
    )


TRIALS = (
    series.Trial(
        name="routes",
        size_label="routes",
        sizes=(4096, 16_384, 34_000, 68_000),
        run=measure_routes,
    ),
    series.Trial(
        name="upstreams",
        size_label="upstreams of a cell",
        sizes=(5, 10, 20, 40),
        run=measure_upstreams,
    ),
    series.Trial(
        name="waiting",
        size_label="waiting requests",
        sizes=(64, 128, 256, 448),
        run=measure_waiting,
    ),
    series.Trial(
        name="claim_keys",
        size_label="claim keys",
        sizes=(16_000, 64_000, 160_000),
        run=measure_claim_keys,
    ),
)
