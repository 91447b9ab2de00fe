"""Plots the measured series with their fitted lines."""

from collections.abc import Sequence
import pathlib
import re

import matplotlib as mpl
import matplotlib.figure
import numpy as np

from tamaracktide.bench.slopes import series

WIDTH_INCHES = 5.0
HEIGHT_INCHES = 3.4
DOTS_PER_INCH = 90


def draw_all(
    measured: Sequence[series.Series], directory: pathlib.Path
) -> list[pathlib.Path]:
    """Plots each series into a PNG file and returns the paths of the files."""
    directory.mkdir(parents=True, exist_ok=True)
    paths = []
    for drawn_series in measured:
        path = directory / f"{make_file_name(drawn_series.name)}.png"
        _draw(drawn_series, path)
        paths.append(path)
    return paths


def make_file_name(name: str) -> str:
    """Returns the file name, without suffix, for the name of a series."""
    return re.sub(r"[^a-z0-9]+", "-", name.lower()).strip("-")


def _draw(drawn_series: series.Series, path: pathlib.Path) -> None:
    fit = series.fit_line(drawn_series)
    figure = mpl.figure.Figure(
        figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained"
    )
    axes = figure.subplots()
    for point in drawn_series.points:
        axes.plot(
            [point.size] * len(point.values), point.values, "o", color="C0"
        )
    ends = np.array([0, drawn_series.points[-1].size])
    bend = ", bends" if fit.bends else ""
    label = f"{fit.slope:.4g} x + {fit.intercept:.4g}{bend}"
    axes.plot(ends, fit.slope * ends + fit.intercept, "C1", label=label)
    axes.set_xlabel(drawn_series.size_label)
    axes.set_ylabel(drawn_series.unit)
    axes.set_title(drawn_series.name, fontsize="medium")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize="small")
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
