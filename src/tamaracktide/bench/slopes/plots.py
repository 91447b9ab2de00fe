"""Draws the measured series with their lines."""

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
    """Draws one PNG for each series; returns their paths."""
    directory.mkdir(parents=True, exist_ok=True)
    paths = []
    for one in measured:
        path = directory / f"{make_file_name(one.name)}.png"
        _draw(one, path)
        paths.append(path)
    return paths


def make_file_name(name: str) -> str:
    """Returns a series' name as a file name without its suffix."""
    return re.sub(r"[^a-z0-9]+", "-", name.lower()).strip("-")


def _draw(one: series.Series, path: pathlib.Path) -> None:
    fit = series.fit_line(one)
    figure = mpl.figure.Figure(
        figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained"
    )
    axes = figure.subplots()
    for point in one.points:
        axes.plot(
            [point.size] * len(point.values), point.values, "o", color="C0"
        )
    ends = np.array([0, one.points[-1].size])
    bend = ", bends" if fit.bends else ""
    label = f"{fit.slope:.4g} x + {fit.intercept:.4g}{bend}"
    axes.plot(ends, fit.slope * ends + fit.intercept, "C1", label=label)
    axes.set_xlabel(one.size_label)
    axes.set_ylabel(one.unit)
    axes.set_title(one.name, fontsize="medium")
    axes.set_ylim(bottom=0)
    axes.legend(fontsize="small")
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
