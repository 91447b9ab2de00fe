"""Runs the trials and keeps what they measured."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import pathlib

import msgspec

from tamaracktide.bench.slopes import claiming
from tamaracktide.bench.slopes import clocks
from tamaracktide.bench.slopes import following
from tamaracktide.bench.slopes import instance_lists
from tamaracktide.bench.slopes import links
from tamaracktide.bench.slopes import memory
from tamaracktide.bench.slopes import processor
from tamaracktide.bench.slopes import series as slope_series

TRIALS = (
    *memory.TRIALS,
    *processor.TRIALS,
    *instance_lists.TRIALS,
    *links.TRIALS,
    *following.TRIALS,
    *claiming.TRIALS,
)
DATA_FILE = "slopes.json"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What one run measured.

    Attributes:
        repeats: Runs at each size.
        reference_us: Processor time of coding and decoding one heartbeat,
            at the start and at the end of each run.
        series: All series.
        fits: The line through each series, by its name.
    """

    repeats: int
    reference_us: tuple[tuple[float, float], ...]
    series: tuple[slope_series.Series, ...]
    fits: dict[str, slope_series.Fit]


def choose_trials(names: Sequence[str]) -> tuple[slope_series.Trial, ...]:
    """Returns the trials of the given names; all if none is given.

    Raises:
        ValueError: A name is unknown.
    """
    if not names:
        return TRIALS
    known = {trial.name: trial for trial in TRIALS}
    unknown = [name for name in names if name not in known]
    if unknown:
        raise ValueError(f"unknown trials {unknown}; there are {sorted(known)}")
    return tuple(known[name] for name in names)


async def measure_all(
    trials: Sequence[slope_series.Trial],
    repeats: int,
    tell: Callable[[slope_series.Series, slope_series.Fit], None],
) -> Report:
    """Runs trials one after another.

    Args:
        trials: What to run.
        repeats: Runs at each size.
        tell: Called with each series and its line.
    """
    first = clocks.measure_reference_s()
    measured: list[slope_series.Series] = []
    fits: dict[str, slope_series.Fit] = {}
    for trial in trials:
        for one in await slope_series.collect_series(trial, repeats):
            fits[one.name] = slope_series.fit_line(one)
            measured.append(one)
            tell(one, fits[one.name])
    last = clocks.measure_reference_s()
    return Report(
        repeats=repeats,
        reference_us=((first * 1e6, last * 1e6),),
        series=tuple(measured),
        fits=fits,
    )


def describe_series(one: slope_series.Series, fit: slope_series.Fit) -> str:
    """Returns a series and its line as one line of text."""
    points = ", ".join(
        f"{point.size}: {min(point.values):.4g}..{max(point.values):.4g}"
        for point in one.points
    )
    bend = ""
    if fit.bends:
        bend = f"; bends from {fit.first_slope:.4g} to {fit.last_slope:.4g}"
    return (
        f"{one.name} [{one.unit}] = {fit.slope:.4g} (+-{fit.slope_error:.2g})"
        f" x {one.size_label} + {fit.intercept:.4g}{bend} ({points})"
    )


def write_report(report: Report, path: pathlib.Path) -> None:
    """Keeps a report as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    coded = msgspec.json.encode(report)
    path.write_bytes(msgspec.json.format(coded, indent=1) + b"\n")


def read_report(path: pathlib.Path) -> Report:
    """Returns a report that was kept.

    Raises:
        msgspec.ValidationError: The file has another shape.
    """
    return msgspec.json.decode(path.read_bytes(), type=Report)


def read_reports(paths: Sequence[pathlib.Path]) -> Report:
    """Returns kept reports as one; of a series in several the last counts.

    Raises:
        ValueError: No path is given.
        msgspec.ValidationError: A file has another shape.
    """
    reports = [read_report(path) for path in paths]
    if not reports:
        raise ValueError("no report is given")
    fits: dict[str, slope_series.Fit] = {}
    by_name: dict[str, slope_series.Series] = {}
    for one in reports:
        fits.update(one.fits)
        by_name.update((s.name, s) for s in one.series)
    return Report(
        repeats=min(one.repeats for one in reports),
        reference_us=tuple(r for one in reports for r in one.reference_us),
        series=tuple(by_name.values()),
        fits=fits,
    )
