"""Least-squares fits of measured series and their extrapolation, with errors."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from .results import Series

MIN_SIZES = 4
MIN_FACTOR = 8.0  # ratio of the largest to the smallest size


class TooFewSizesError(ValueError):
    """An error for a series with too few sizes, or sizes too close together; the message gives the reason."""


class Model(Enum):
    """The function of the size in which a value is modelled as linear."""

    LINEAR = "size"
    LOGARITHMIC = "log2 size"
    BETTER = "that of the two which leaves the smaller residual"


_SCALES: dict[Model, Callable[[float], float]] = {Model.LINEAR: float, Model.LOGARITHMIC: math.log2}


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value with its standard error."""

    value: float
    error: float


@dataclass(frozen=True, slots=True)
class Fit:
    """value = intercept + slope * scale(size), fitted by least squares."""

    model: Model
    intercept: float
    slope: Estimate
    sizes: tuple[float, ...]
    residual: float  # standard deviation of the points about the line
    _count: int
    _mean: float  # mean of the scaled sizes
    _spread: float  # sum of squares of the scaled sizes about their mean

    def at(self, size: float) -> Estimate:
        """Return the value of the fitted line at a size, with the standard error of the line at this size."""
        x = _SCALES[self.model](size)
        error = self.residual * math.sqrt(1 / self._count + (x - self._mean) ** 2 / self._spread)
        return Estimate(self.intercept + self.slope.value * x, error)


def fit(series: Series, model: Model = Model.LINEAR) -> Fit:
    """Fit a series. Raises TooFewSizesError below four sizes, or below a factor of 8 between them."""
    sizes = series.sizes
    if len(sizes) < MIN_SIZES:
        raise TooFewSizesError(f"{series.name}: {len(sizes)} sizes, {MIN_SIZES} are needed")
    if sizes[0] <= 0 or sizes[-1] / sizes[0] < MIN_FACTOR:
        raise TooFewSizesError(f"{series.name}: sizes over less than a factor of {MIN_FACTOR:.0f}")
    if model is Model.BETTER:
        return min((fit(series, candidate) for candidate in _SCALES), key=lambda fitted: fitted.residual)
    scale = _SCALES[model]
    xs = [scale(point.size) for point in series.points]
    ys = [point.value for point in series.points]
    count = len(xs)
    mean_x, mean_y = sum(xs) / count, sum(ys) / count
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    intercept = mean_y - slope * mean_x
    squares = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    residual = math.sqrt(squares / (count - 2))
    return Fit(
        model,
        intercept,
        Estimate(slope, residual / math.sqrt(spread)),
        tuple(sizes),
        residual,
        count,
        mean_x,
        spread,
    )
