"""Memory per route, upstream, waiting request and claim key, in bytes."""

import rbloom

from tamaracktide.bench.slopes import meters
from tamaracktide.bench.slopes import samples
from tamaracktide.bench.slopes import series
from tamaracktide.core import cell_events
from tamaracktide.core import claim_records
from tamaracktide.core import table_assembly

PREFIXES_PER_ENGINE = 256
SEGMENT_KEYS = 16_000
CELL_ENGINES = 4


async def measure_routes(size: int, _seed: int) -> tuple[series.Reading, ...]:
    """Decodes tables of `size` routes as a daemon does."""
    head, contents = samples.encode_tables(samples.make_tables(size))
    memory = meters.MemoryTracer()
    assembly = table_assembly.Assembly()
    assembly.accept_head(head)
    for digest, data in contents.items():
        # A connection delivers each object in a buffer of its own.
        assembly.accept_shards({digest: bytes(bytearray(data))})
    held_bytes = memory.stop()
    stored = sum(map(len, contents.values()))
    shards = len(assembly.tables.routes.shards)
    return (
        series.Reading("memory of tables", "bytes", held_bytes),
        series.Reading("stored shards and pools", "bytes", stored),
        series.Reading("stored head", "bytes", len(head)),
        series.Reading("shards", "objects", shards),
        series.Reading("stored shard", "bytes", stored / (shards + 1)),
    )


async def measure_upstreams(size: int, seed: int) -> tuple[series.Reading, ...]:
    """Fills a cell with engines whose slots and prefixes are all in use."""
    memory = meters.MemoryTracer()
    cell = samples.make_cell(size, seed)
    for number in range(size):
        for prefix in range(PREFIXES_PER_ENGINE):
            event = cell_events.PrefixReported(
                f"engine-{number}", f"{number:08x}{prefix:08x}", True
            )
            cell.handle(event, 0.0)
    return (series.Reading("memory of a cell", "bytes", memory.stop()),)


async def measure_waiting(size: int, seed: int) -> tuple[series.Reading, ...]:
    """Queues requests in a cell whose batch slots are all in use."""
    cell = samples.make_cell(CELL_ENGINES, seed)
    batch_slots = CELL_ENGINES * samples.BATCH_LIMIT
    adapters = CELL_ENGINES * samples.SLOTS
    for number in range(batch_slots):
        cell.handle(samples.make_submit(number, number % adapters), 0.0)
    memory = meters.MemoryTracer()
    for number in range(batch_slots, batch_slots + size):
        cell.handle(samples.make_submit(number, number % adapters), 0.0)
    held_bytes = memory.stop()
    waiting = cell.measure_utilization().waiting
    if waiting != size:
        raise ValueError(
            f"cell has {waiting} waiting requests, expected {size}"
        )
    return (series.Reading("memory of waiting requests", "bytes", held_bytes),)


async def measure_claim_keys(
    size: int, _seed: int
) -> tuple[series.Reading, ...]:
    """Builds the filters and entries of sealed segments for `size` keys."""
    filters: list[rbloom.Bloom] = []
    entries: list[claim_records.SegmentEntry] = []
    # Memory that a library allocates on its first use belongs to no key, so
    # it is allocated before tracing starts.
    claim_records.load_filter(
        claim_records.build_filter(samples.make_segment(0, 1))
    )
    memory = meters.MemoryTracer()
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
        encoded_filter = claim_records.build_filter(segment)
        filters.append(claim_records.load_filter(encoded_filter))
        del segment, data, encoded_filter
    # The bits of a filter are not allocated by Python, so they are not traced.
    held_bytes = memory.stop() + sum(
        bloom_filter.size_in_bits // 8 for bloom_filter in filters
    )
    head = claim_records.ClaimHead(segments=tuple(entries))
    head_bytes = len(claim_records.encode_head(head))
    return (
        series.Reading("memory of claim keys", "bytes", held_bytes),
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
