"""Measured values at several sizes and the line fitted to them."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import statistics

import numpy as np

BEND_THRESHOLD = 0.25
"""A fit bends if its first and last slope differ by a larger fraction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """One value that a trial measured.

    Attributes:
        name: Name of the quantity, unique among all trials.
        unit: Unit of the value.
        value: The measured value.
    """

    name: str
    unit: str
    value: float


Run = Callable[[int, int], Awaitable[tuple[Reading, ...]]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """A measurement that is repeated at several sizes.

    Attributes:
        name: Name by which the trial is selected.
        size_label: What the size counts.
        sizes: The sizes, at least three, in ascending order.
        run: Measures once; called with a size and a seed.
    """

    name: str
    size_label: str
    sizes: tuple[int, ...]
    run: Run


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """The values that were measured at one size."""

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
        name: Name of the quantity.
        unit: Unit of the values.
        size_label: What the sizes count.
        points: The values at each size, in ascending order of size.
    """

    name: str
    unit: str
    size_label: str
    points: tuple[Point, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fit:
    """The least squares line through a series.

    Attributes:
        slope: Increase of the value for each unit of size.
        intercept: Value of the line at size 0.
        slope_error: Standard error of the slope.
        first_slope: Slope between the medians of the two smallest sizes.
        last_slope: Slope between the medians of the two largest sizes.
        bends: Whether these two slopes differ by more than `BEND_THRESHOLD`
            times the larger one, so that a straight line does not describe
            the series.
    """

    slope: float
    intercept: float
    slope_error: float
    first_slope: float
    last_slope: float
    bends: bool


async def collect_series(trial: Trial, repeats: int) -> list[Series]:
    """Runs a trial at all its sizes and returns a series for each quantity.

    Args:
        trial: The trial to run.
        repeats: Runs at each size, with seeds from 0.
    """
    units: dict[str, str] = {}
    values: dict[str, dict[int, list[float]]] = {}
    for size in trial.sizes:
        for seed in range(repeats):
            for reading in await trial.run(size, seed):
                units[reading.name] = reading.unit
                by_size = values.setdefault(reading.name, {})
                by_size.setdefault(size, []).append(reading.value)
    return [
        Series(
            name=name,
            unit=units[name],
            size_label=trial.size_label,
            points=tuple(
                Point(size, tuple(readings))
                for size, readings in by_size.items()
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
    residuals = y - (slope * x + intercept)
    variance = float(residuals @ residuals) / max(len(x) - 2, 1)
    squared_deviations = float(((x - x.mean()) ** 2).sum())
    first = _compute_slope(series.points[0], series.points[1])
    last = _compute_slope(series.points[-2], series.points[-1])
    larger = max(abs(first), abs(last))
    return Fit(
        slope=float(slope),
        intercept=float(intercept),
        slope_error=(variance / squared_deviations) ** 0.5,
        first_slope=first,
        last_slope=last,
        bends=abs(first - last) > BEND_THRESHOLD * larger,
    )


def _compute_slope(low: Point, high: Point) -> float:
    return (high.median - low.median) / (high.size - low.size)
