"""Messages of entry instances under steady traffic, by number of instances.

Every instance starts and ends a few requests per second, so whatever grows with
the number of instances is caused by the reports alone.
"""

import random

import anyio

from tamaracktide.bench.slopes import memory_network
from tamaracktide.bench.slopes import meters
from tamaracktide.bench.slopes import series

ZONES = 5
ENGINES = 62
ADAPTERS = 24_000
REQUESTS_PER_S = 4.0
"""Requests per second of one instance."""

REQUEST_S = 1.0
"""Duration of a request."""

STEP_S = 0.05
SETTLE_S = 4.0
MEASURE_S = 4.0
MS_PER_S = 1e3


async def measure_entry_reports(
    size: int, seed: int
) -> tuple[series.Reading, ...]:
    """Counts the messages of `size` instances and their CPU time."""
    rng = random.Random(seed)
    topology = memory_network.make_zones(size, min(ZONES, size))
    async with memory_network.run_network(topology) as network:
        await _run_traffic(network, rng, SETTLE_S)
        network.traffic.clear()
        cpu_timer = meters.CpuTimer()
        started_at = anyio.current_time()
        await _run_traffic(network, rng, MEASURE_S)
        elapsed_s = anyio.current_time() - started_at
        cpu_s = cpu_timer.seconds
        traffic = list(network.traffic.values())
    total = sum(counts.messages for counts in traffic)
    zone_bytes = sum(counts.zone_bytes for counts in traffic)
    most = max(counts.messages for counts in traffic)
    prefix = "entry reports"
    return (
        series.Reading(
            f"{prefix}: messages of an instance",
            "messages/s",
            total / size / elapsed_s,
        ),
        series.Reading(
            f"{prefix}: messages of the busiest instance",
            "messages/s",
            most / elapsed_s,
        ),
        series.Reading(
            f"{prefix}: bytes of an instance to other zones",
            "B/s",
            zone_bytes / size / elapsed_s,
        ),
        series.Reading(
            f"{prefix}: processor time of an instance",
            "ms/s",
            cpu_s * MS_PER_S / size / elapsed_s,
        ),
    )


async def _run_traffic(
    network: memory_network.Network, rng: random.Random, seconds: float
) -> None:
    """Starts and ends requests at all instances for a time."""
    ends: list[tuple[float, memory_network.Instance, str, str]] = []
    until = anyio.current_time() + seconds
    while (now := anyio.current_time()) < until:
        while ends and ends[0][0] <= now:
            _, instance, engine, adapter = ends.pop(0)
            _change(instance, engine, adapter, -1)
        for instance in network.instances.values():
            if rng.random() < REQUESTS_PER_S * STEP_S:
                engine = f"engine-{rng.randrange(ENGINES)}"
                adapter = f"base/a{rng.randrange(ADAPTERS)}"
                _change(instance, engine, adapter, 1)
                instance.exchange.record_request(adapter)
                ends.append((now + REQUEST_S, instance, engine, adapter))
        await anyio.sleep(STEP_S)
    for _, instance, engine, adapter in ends:
        _change(instance, engine, adapter, -1)


def _change(
    instance: memory_network.Instance, engine: str, adapter: str, count: int
) -> None:
    counts = instance.running.setdefault(engine, {})
    counts[adapter] = counts.get(adapter, 0) + count
    if not counts[adapter]:
        del counts[adapter]
    if not counts:
        del instance.running[engine]


TRIALS = (
    series.Trial(
        name="entry_reports",
        size_label="entry instances",
        sizes=(4, 30, 79, 160),
        run=measure_entry_reports,
    ),
)
