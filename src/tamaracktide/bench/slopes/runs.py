"""Runs the trials and stores their results."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import pathlib

import msgspec

from tamaracktide.bench.slopes import claim_throughput
from tamaracktide.bench.slopes import entry_reports
from tamaracktide.bench.slopes import instance_lists
from tamaracktide.bench.slopes import links
from tamaracktide.bench.slopes import memory
from tamaracktide.bench.slopes import meters
from tamaracktide.bench.slopes import processor
from tamaracktide.bench.slopes import series as slope_series
from tamaracktide.bench.slopes import table_followers

TRIALS = (
    *memory.TRIALS,
    *processor.TRIALS,
    *instance_lists.TRIALS,
    *links.TRIALS,
    *entry_reports.TRIALS,
    *table_followers.TRIALS,
    *claim_throughput.TRIALS,
)
DATA_FILE = "slopes.json"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The results of one run.

    Attributes:
        repeats: Runs at each size.
        reference_us: CPU time of encoding and decoding one heartbeat, at the
            start and at the end of each run.
        series: All series.
        fits: The fitted line of each series, by the name of the series.
    """

    repeats: int
    reference_us: tuple[tuple[float, float], ...]
    series: tuple[slope_series.Series, ...]
    fits: dict[str, slope_series.Fit]


def choose_trials(names: Sequence[str]) -> tuple[slope_series.Trial, ...]:
    """Returns the trials with the given names; all trials if none is given.

    Raises:
        ValueError: No trial has one of the names.
    """
    if not names:
        return TRIALS
    trials_by_name = {trial.name: trial for trial in TRIALS}
    unknown = [name for name in names if name not in trials_by_name]
    if unknown:
        raise ValueError(
            f"unknown trials {unknown}; known trials: {sorted(trials_by_name)}"
        )
    return tuple(trials_by_name[name] for name in names)


async def measure_all(
    trials: Sequence[slope_series.Trial],
    repeats: int,
    on_series: Callable[[slope_series.Series, slope_series.Fit], None],
) -> Report:
    """Runs trials sequentially.

    Args:
        trials: The trials to run.
        repeats: Runs at each size.
        on_series: Called with each series and its fitted line.
    """
    first = meters.measure_reference_s()
    measured: list[slope_series.Series] = []
    fits: dict[str, slope_series.Fit] = {}
    for trial in trials:
        for series in await slope_series.collect_series(trial, repeats):
            fits[series.name] = slope_series.fit_line(series)
            measured.append(series)
            on_series(series, fits[series.name])
    last = meters.measure_reference_s()
    return Report(
        repeats=repeats,
        reference_us=((first * 1e6, last * 1e6),),
        series=tuple(measured),
        fits=fits,
    )


def describe_series(series: slope_series.Series, fit: slope_series.Fit) -> str:
    """Returns a series and its fitted line as one line of text."""
    points = ", ".join(
        f"{point.size}: {min(point.values):.4g}..{max(point.values):.4g}"
        for point in series.points
    )
    bend = ""
    if fit.bends:
        bend = f"; bends from {fit.first_slope:.4g} to {fit.last_slope:.4g}"
    return (
        f"{series.name} [{series.unit}] = {fit.slope:.4g}"
        f" (+-{fit.slope_error:.2g}) x {series.size_label}"
        f" + {fit.intercept:.4g}{bend} ({points})"
    )


def write_report(report: Report, path: pathlib.Path) -> None:
    """Stores a report as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.encode(report)
    path.write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")


def read_report(path: pathlib.Path) -> Report:
    """Returns a stored report.

    Raises:
        msgspec.ValidationError: The file does not hold a report.
    """
    return msgspec.json.decode(path.read_bytes(), type=Report)


def read_reports(paths: Sequence[pathlib.Path]) -> Report:
    """Merges stored reports.

    If several reports hold the same series, the last one is used.

    Raises:
        ValueError: No path is given.
        msgspec.ValidationError: A file does not hold a report.
    """
    reports = [read_report(path) for path in paths]
    if not reports:
        raise ValueError("no report is given")
    fits: dict[str, slope_series.Fit] = {}
    by_name: dict[str, slope_series.Series] = {}
    for report in reports:
        fits.update(report.fits)
        by_name.update((s.name, s) for s in report.series)
    return Report(
        repeats=min(report.repeats for report in reports),
        reference_us=tuple(
            times for report in reports for times in report.reference_us
        ),
        series=tuple(by_name.values()),
        fits=fits,
    )
