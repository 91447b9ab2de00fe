"""The subcommand `slopes` of `tamaracktide-bench`."""

import pathlib

import anyio
import loguru
import msgspec

from tamaracktide.bench.slopes import plots
from tamaracktide.bench.slopes import projection
from tamaracktide.bench.slopes import runs
from tamaracktide.bench.slopes import series

Names = str | tuple[str, ...]
"""Comma-separated names; `fire` parses them into a tuple."""


def run_slopes(only: Names, repeats: int, plot: str, data: Names) -> None:
    """Measures how costs grow with size, or reads reports, and plots them.

    Args:
        only: Comma-separated names of trials; all trials if empty.
        repeats: Number of runs at each size.
        plot: Directory for the data and the plots; neither is written if
            empty.
        data: Comma-separated paths of stored reports to read instead of
            measuring.
    """
    if data:
        paths = [pathlib.Path(path) for path in _split(data)]
        report = runs.read_reports(paths)
    else:
        loguru.logger.remove()
        trials = runs.choose_trials(_split(only))
        report = anyio.run(runs.measure_all, trials, repeats, _print_series)
    if plot:
        directory = pathlib.Path(plot)
        runs.write_report(report, directory / runs.DATA_FILE)
        plots.draw_all(report.series, directory)
    if not only:
        for figure in projection.project(report.fits):
            print(f"{figure.description}: {figure.value:.4g} {figure.unit}")
    print(msgspec.json.encode(report).decode())


def _split(names: Names) -> tuple[str, ...]:
    if isinstance(names, str):
        return tuple(names.split(",")) if names else ()
    return names


def _print_series(measured_series: series.Series, fit: series.Fit) -> None:
    print(runs.describe_series(measured_series, fit), flush=True)
