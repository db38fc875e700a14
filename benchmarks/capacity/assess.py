"""Evaluates roles against kept results: the estimate and verdict of each demand under each condition."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from .model import Bound, Condition, Demand, Role
from .results import Result, Series, find
from .slopes import Estimate, Fit, TooFewSizesError, fit
from .verdicts import NOT_MEASURED, Judgement, Verdict, judge


@dataclass(frozen=True, slots=True)
class Cell:
    """The estimate and verdict of a demand or bound under one condition. The estimate is None if not measured."""

    estimate: Estimate | None
    judgement: Judgement

    @property
    def decided(self) -> bool:
        """Return whether the verdict is HOLDS or BREAKS."""
        return self.judgement.verdict is not Verdict.NOT_MEASURED


UNKNOWN = Cell(None, NOT_MEASURED)


@dataclass(frozen=True, slots=True)
class Slope:
    """One series of a demand and its fit. `fit_error` gives the reason if a kept series cannot be fitted."""

    name: str  # PART.NAME
    result: Result | None = None
    series: Series | None = None
    fit: Fit | None = None
    fit_error: str = ""


@dataclass(frozen=True, slots=True)
class Assessment:
    """A demand or bound with its cells, and the slopes from which they are computed."""

    role: Role
    requirement: Demand | Bound
    cells: Mapping[Condition, Cell]
    slopes: tuple[Slope, ...] = ()

    @property
    def worst(self) -> Cell:
        """Return the cell with the highest ratio of value to limit."""
        return max(self.cells.values(), key=lambda cell: cell.judgement.load)

    @property
    def measured(self) -> bool:
        """Return whether at least one condition has the verdict HOLDS or BREAKS."""
        return any(cell.decided for cell in self.cells.values())

    @property
    def disturbed(self) -> bool:
        """Return whether other work on the machine may have increased the measured value."""
        shared = any(slope.result is not None and slope.result.run.machine_shared for slope in self.slopes)
        return shared and isinstance(self.requirement, Demand) and self.requirement.wall_time

    @property
    def when(self) -> list[Condition]:
        """Return the conditions under which the limit is exceeded."""
        return [condition for condition, cell in self.cells.items() if cell.judgement.verdict is Verdict.BREAKS]


def assess(role: Role, results: Mapping[str, Result]) -> list[Assessment]:
    """Return the assessments of all demands and bounds of a role, in order."""
    return [_demand(role, demand, results) for demand in role.demands] + [_bound(role, bound) for bound in role.bounds]


def _bound(role: Role, bound: Bound) -> Assessment:
    estimate = Estimate(bound.needed, 0.0)
    cell = Cell(estimate, judge(estimate, bound.limit.value))
    return Assessment(role, bound, dict.fromkeys(Condition, cell))


def _demand(role: Role, demand: Demand, results: Mapping[str, Result]) -> Assessment:
    slopes = tuple(_slope(name, demand, results) for name in (demand.series, *demand.addends))
    fits = [slope.fit for slope in slopes if slope.fit is not None]
    if len(fits) < len(slopes):
        return Assessment(role, demand, dict.fromkeys(Condition, UNKNOWN), slopes)
    return Assessment(role, demand, {condition: _cell(demand, fits, condition) for condition in Condition}, slopes)


def _slope(name: str, demand: Demand, results: Mapping[str, Result]) -> Slope:
    match = find(dict(results), name)
    if match is None:
        return Slope(name)
    result, series = match
    try:
        return Slope(name, result, series, fit(series, demand.model))
    except TooFewSizesError as error:
        return Slope(name, result, series, fit_error=str(error))


def _cell(demand: Demand, fits: list[Fit], condition: Condition) -> Cell:
    load = demand.loads.get(condition)
    if load is None:
        return UNKNOWN
    parts = [fitted.at(load.size) for fitted in fits]
    value = load.factor * sum(part.value for part in parts)
    error = load.factor * math.hypot(*(part.error for part in parts))
    estimate = Estimate(value, error)
    judgement = judge(estimate, demand.limit.value)
    return UNKNOWN if judgement is NOT_MEASURED else Cell(estimate, judgement)
