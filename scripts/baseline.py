"""Measures memory and processor time at rest of gateways and schedulers.

Real processes on stand-ins, two of each at least, with a few routes or more.
The last line is one JSON object.
"""

import argparse
import json
import os
import pathlib
import statistics
import time

import msgspec

import deployment
import quickstart
from tamaracktide.bench.slopes import runs
from tamaracktide.bench.slopes import series
import topology

SETTLE_S = 6.0
REST_S = 8.0
TRIES = 4
ZONES = ("za", "zb", "zc")
NODES = (2, 4, 8)
ROUTES = (24, 4000, 16_000)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_processor_s(process_id: int) -> float:
    """Returns the processor time of a process so far."""
    stat = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_bytes(process_id: int) -> int:
    """Returns the resident memory of a process."""
    statm = pathlib.Path(f"/proc/{process_id}/statm").read_text()
    return int(statm.split()[1]) * PAGE_BYTES


def measure_at_rest(
    running: deployment.Deployment,
) -> tuple[series.Reading, ...]:
    """Returns medians over the processes of each role."""
    time.sleep(SETTLE_S)
    before = {
        name: read_processor_s(process.pid)
        for name, process in running.processes.items()
    }
    time.sleep(REST_S)
    readings: list[series.Reading] = []
    for role in ("gateway", "scheduler"):
        names = [name for name in running.processes if name.startswith(role)]
        ids = {name: running.processes[name].pid for name in names}
        used = [read_processor_s(ids[n]) - before[n] for n in names]
        held = [read_memory_bytes(ids[n]) for n in names]
        rate = statistics.mean(used) / REST_S * 1e3
        median = statistics.median(held)
        readings += [
            series.Reading(f"{role}: processor time", "ms/s", rate),
            series.Reading(f"{role}: resident memory", "bytes", median),
        ]
    return tuple(readings)


def measure(
    nodes: int, routes: int, directory: pathlib.Path
) -> tuple[series.Reading, ...]:
    """Runs one deployment and measures it."""
    zones = tuple(ZONES[i % len(ZONES)] for i in range(nodes))
    shape = topology.Topology(gateways=zones, schedulers=zones, adapters=routes)
    running = topology.build_deployment(shape, directory)
    tables = running.directory / "tables.json"
    tables.write_text(json.dumps(topology.make_tables(shape)))
    try:
        quickstart.start_all(running)
        return measure_at_rest(running)
    finally:
        running.stop_all()


def try_measure(
    nodes: int, routes: int, directory: pathlib.Path
) -> tuple[series.Reading, ...]:
    """Runs one deployment; begins again if a found port was taken since."""
    for attempt in range(TRIES - 1):
        try:
            return measure(nodes, routes, directory / str(attempt))
        except deployment.StartError as error:
            if "address already in use" not in str(error):
                raise
            print(f"started again: {str(error).splitlines()[0]}", flush=True)
    return measure(nodes, routes, directory / str(TRIES - 1))


def measure_all(repeats: int, directory: pathlib.Path) -> list[series.Series]:
    """Measures all sizes, each several times."""
    cases = [("nodes", nodes, ROUTES[0], nodes) for nodes in NODES]
    cases += [("routes", NODES[0], routes, routes) for routes in ROUTES]
    values: dict[tuple[str, str, str], dict[int, list[float]]] = {}
    for repeat in range(repeats):
        for label, nodes, routes, size in cases:
            place = directory.resolve() / f"{label}-{size}-{repeat}"
            for one in try_measure(nodes, routes, place):
                key = (label, f"{one.name} against {label}", one.unit)
                by_size = values.setdefault(key, {})
                by_size.setdefault(size, []).append(one.value)
    return [
        series.Series(
            name=name,
            unit=unit,
            size_label=label,
            points=tuple(
                series.Point(size, tuple(read))
                for size, read in by_size.items()
            ),
        )
        for (label, name, unit), by_size in values.items()
    ]


def main() -> None:
    """Measures all sizes and prints the lines through them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=2)
    parser.add_argument("--directory", type=pathlib.Path, required=True)
    parser.add_argument("--output", type=pathlib.Path)
    flags = parser.parse_args()
    report = measure_all(flags.repeats, flags.directory)
    for one in report:
        print(runs.describe_series(one, series.fit_line(one)))
    coded = msgspec.json.encode(report)
    if flags.output:
        flags.output.write_bytes(msgspec.json.format(coded, indent=1) + b"\n")
    print(coded.decode())


if __name__ == "__main__":
    main()
