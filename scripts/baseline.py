"""Measures memory and CPU time of idle gateways and schedulers.

The gateways and schedulers are real processes, at least two of each, and run
against stand-ins with different numbers of routes. The last line of the output
is one JSON object.
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
MEASUREMENT_S = 8.0
MAX_TRIES = 4
ZONES = ("za", "zb", "zc")
NODES = (2, 4, 8)
ROUTES = (24, 4000, 16_000)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_cpu_time_s(process_id: int) -> float:
    """Returns the CPU time that a process has used."""
    stat = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_bytes(process_id: int) -> int:
    """Returns the resident set size of a process."""
    statm = pathlib.Path(f"/proc/{process_id}/statm").read_text()
    return int(statm.split()[1]) * PAGE_BYTES


def measure_idle(
    running: deployment.Deployment,
) -> tuple[series.Reading, ...]:
    """Returns mean CPU time and median memory of the idle processes by role."""
    time.sleep(SETTLE_S)
    before = {
        name: read_cpu_time_s(process.pid)
        for name, process in running.processes.items()
    }
    time.sleep(MEASUREMENT_S)
    readings: list[series.Reading] = []
    for role in ("gateway", "scheduler"):
        names = [name for name in running.processes if name.startswith(role)]
        process_ids = {name: running.processes[name].pid for name in names}
        cpu_times_s = [
            read_cpu_time_s(process_ids[name]) - before[name] for name in names
        ]
        resident_bytes = [
            read_resident_bytes(process_ids[name]) for name in names
        ]
        mean_ms_per_s = statistics.mean(cpu_times_s) / MEASUREMENT_S * 1e3
        median_bytes = statistics.median(resident_bytes)
        readings += [
            series.Reading(f"{role}: processor time", "ms/s", mean_ms_per_s),
            series.Reading(f"{role}: resident memory", "bytes", median_bytes),
        ]
    return tuple(readings)


def measure(
    nodes: int, routes: int, directory: pathlib.Path
) -> tuple[series.Reading, ...]:
    """Starts a deployment, measures it and stops it."""
    zones = tuple(ZONES[i % len(ZONES)] for i in range(nodes))
    shape = topology.Topology(gateways=zones, schedulers=zones, adapters=routes)
    running = topology.build_deployment(shape, directory)
    tables = running.directory / "tables.json"
    tables.write_text(json.dumps(topology.make_tables(shape)))
    try:
        quickstart.start_all(running)
        return measure_idle(running)
    finally:
        running.stop_all()


def measure_with_retries(
    nodes: int, routes: int, directory: pathlib.Path
) -> tuple[series.Reading, ...]:
    """Measures a deployment; retries if another process takes its port.

    A port is free when it is chosen, but can be taken before the program binds
    it.
    """
    for attempt in range(MAX_TRIES - 1):
        try:
            return measure(nodes, routes, directory / str(attempt))
        except deployment.StartError as error:
            if "address already in use" not in str(error):
                raise
            print(
                f"port taken, retrying: {str(error).splitlines()[0]}",
                flush=True,
            )
    return measure(nodes, routes, directory / str(MAX_TRIES - 1))


def measure_all(repeats: int, directory: pathlib.Path) -> list[series.Series]:
    """Measures every size `repeats` times."""
    cases = [("nodes", nodes, ROUTES[0], nodes) for nodes in NODES]
    cases += [("routes", NODES[0], routes, routes) for routes in ROUTES]
    values: dict[tuple[str, str, str], dict[int, list[float]]] = {}
    for repeat in range(repeats):
        for label, nodes, routes, size in cases:
            run_directory = directory.resolve() / f"{label}-{size}-{repeat}"
            for reading in measure_with_retries(nodes, routes, run_directory):
                key = (label, f"{reading.name} against {label}", reading.unit)
                by_size = values.setdefault(key, {})
                by_size.setdefault(size, []).append(reading.value)
    return [
        series.Series(
            name=name,
            unit=unit,
            size_label=label,
            points=tuple(
                series.Point(size, tuple(samples))
                for size, samples in by_size.items()
            ),
        )
        for (label, name, unit), by_size in values.items()
    ]


def main() -> None:
    """Measures all sizes and prints a fitted line for each series."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=2)
    parser.add_argument("--directory", type=pathlib.Path, required=True)
    parser.add_argument("--output", type=pathlib.Path)
    flags = parser.parse_args()
    report = measure_all(flags.repeats, flags.directory)
    for measured in report:
        print(runs.describe_series(measured, series.fit_line(measured)))
    encoded = msgspec.json.encode(report)
    if flags.output:
        flags.output.write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")
    print(encoded.decode())


if __name__ == "__main__":
    main()
