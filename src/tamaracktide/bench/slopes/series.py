"""Readings at several sizes and the straight line through them."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import statistics

import numpy as np

BEND_LIMIT = 0.25
"""Relative difference between the first and the last piece that is told."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """One quantity that a trial measured.

    Attributes:
        name: What it is, unique among all trials.
        unit: Its unit.
        value: Its value.
    """

    name: str
    unit: str
    value: float


Run = Callable[[int, int], Awaitable[tuple[Reading, ...]]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """A measurement that is repeated at several sizes.

    Attributes:
        name: Its name, for choosing it.
        size_label: What its size counts.
        sizes: The sizes, at least three, growing.
        run: Measures once; called with a size and a seed.
    """

    name: str
    size_label: str
    sizes: tuple[int, ...]
    run: Run


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """The values that were read at one size."""

    size: int
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """The median of the values."""
        return statistics.median(self.values)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """One quantity at several sizes.

    Attributes:
        name: What was measured.
        unit: Its unit.
        size_label: What the sizes count.
        points: Values by size, growing.
    """

    name: str
    unit: str
    size_label: str
    points: tuple[Point, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fit:
    """The least squares line through a series.

    Attributes:
        slope: Growth for each one of the size.
        intercept: Value at size 0.
        slope_error: Standard error of the slope.
        first_slope: Slope between the medians of the two smallest sizes.
        last_slope: Slope between the medians of the two largest sizes.
        bends: Whether these two differ by more than `BEND_LIMIT` of the
            larger one.
    """

    slope: float
    intercept: float
    slope_error: float
    first_slope: float
    last_slope: float
    bends: bool


async def collect_series(trial: Trial, repeats: int) -> list[Series]:
    """Runs a trial at all its sizes; returns a series for each quantity.

    Args:
        trial: What to run.
        repeats: Runs at each size, with the seeds from 0 on.
    """
    units: dict[str, str] = {}
    values: dict[str, dict[int, list[float]]] = {}
    for size in trial.sizes:
        for seed in range(repeats):
            for one in await trial.run(size, seed):
                units[one.name] = one.unit
                by_size = values.setdefault(one.name, {})
                by_size.setdefault(size, []).append(one.value)
    return [
        Series(
            name=name,
            unit=units[name],
            size_label=trial.size_label,
            points=tuple(
                Point(size, tuple(read)) for size, read in by_size.items()
            ),
        )
        for name, by_size in values.items()
    ]


def fit_line(series: Series) -> Fit:
    """Returns the least squares line through all values of a series.

    Raises:
        ValueError: The series has fewer than three sizes.
    """
    if len(series.points) < 3:
        raise ValueError(f"{series.name}: {len(series.points)} sizes, need 3")
    pairs = [(p.size, value) for p in series.points for value in p.values]
    x = np.array([pair[0] for pair in pairs], dtype=float)
    y = np.array([pair[1] for pair in pairs], dtype=float)
    design = np.column_stack((x, np.ones_like(x)))
    (slope, intercept), *_ = np.linalg.lstsq(design, y, rcond=None)
    left = y - (slope * x + intercept)
    variance = float(left @ left) / max(len(x) - 2, 1)
    spread = float(((x - x.mean()) ** 2).sum())
    first = _measure_slope(series.points[0], series.points[1])
    last = _measure_slope(series.points[-2], series.points[-1])
    larger = max(abs(first), abs(last))
    return Fit(
        slope=float(slope),
        intercept=float(intercept),
        slope_error=(variance / spread) ** 0.5,
        first_slope=first,
        last_slope=last,
        bends=abs(first - last) > BEND_LIMIT * larger,
    )


def _measure_slope(low: Point, high: Point) -> float:
    return (high.median - low.median) / (high.size - low.size)
