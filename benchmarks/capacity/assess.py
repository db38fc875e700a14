"""Brings together roles and kept results: what each demand comes to under each condition, and how it is judged."""

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
    """A demand or bound under one condition. Without an estimate nothing was measured."""

    estimate: Estimate | None
    judgement: Judgement

    @property
    def decided(self) -> bool:
        """It holds or breaks."""
        return self.judgement.verdict is not Verdict.NOT_MEASURED


UNKNOWN = Cell(None, NOT_MEASURED)


@dataclass(frozen=True, slots=True)
class Slope:
    """One series of a demand; without a fit it is not kept, or `refused` says why it gives none."""

    name: str  # PART.NAME
    result: Result | None = None
    series: Series | None = None
    fit: Fit | None = None
    refused: str = ""


@dataclass(frozen=True, slots=True)
class Assessed:
    """A demand or bound with its cells, and the slopes that they rest on."""

    role: Role
    of: Demand | Bound
    cells: Mapping[Condition, Cell]
    slopes: tuple[Slope, ...] = ()

    @property
    def worst(self) -> Cell:
        """That of the condition that asks most."""
        return max(self.cells.values(), key=lambda cell: cell.judgement.load)

    @property
    def measured(self) -> bool:
        """Under one condition at least, so well that it holds or breaks."""
        return any(cell.decided for cell in self.cells.values())

    @property
    def disturbed(self) -> bool:
        """Other work on the machine may have made it greater."""
        shared = any(slope.result is not None and slope.result.run.machine_shared for slope in self.slopes)
        return shared and isinstance(self.of, Demand) and self.of.wall_time

    @property
    def when(self) -> list[Condition]:
        """The conditions under which it breaks."""
        return [condition for condition, cell in self.cells.items() if cell.judgement.verdict is Verdict.BREAKS]


def assess(role: Role, results: Mapping[str, Result]) -> list[Assessed]:
    """All demands and bounds of a role, in order."""
    return [_demand(role, demand, results) for demand in role.demands] + [_bound(role, bound) for bound in role.bounds]


def _bound(role: Role, bound: Bound) -> Assessed:
    estimate = Estimate(bound.needed, 0.0)
    cell = Cell(estimate, judge(estimate, bound.limit.value))
    return Assessed(role, bound, dict.fromkeys(Condition, cell))


def _demand(role: Role, demand: Demand, results: Mapping[str, Result]) -> Assessed:
    slopes = tuple(_slope(name, demand, results) for name in (demand.series, *demand.addends))
    fits = [slope.fit for slope in slopes if slope.fit is not None]
    if len(fits) < len(slopes):
        return Assessed(role, demand, dict.fromkeys(Condition, UNKNOWN), slopes)
    return Assessed(role, demand, {condition: _cell(demand, fits, condition) for condition in Condition}, slopes)


def _slope(name: str, demand: Demand, results: Mapping[str, Result]) -> Slope:
    found = find(dict(results), name)
    if found is None:
        return Slope(name)
    result, series = found
    try:
        return Slope(name, result, series, fit(series, demand.model))
    except TooFewSizesError as error:
        return Slope(name, result, series, refused=str(error))


def _cell(demand: Demand, fits: list[Fit], condition: Condition) -> Cell:
    load = demand.loads.get(condition)
    if load is None:
        return UNKNOWN
    parts = [one.at(load.size) for one in fits]
    value = load.times * sum(part.value for part in parts)
    error = load.times * math.hypot(*(part.error for part in parts))
    estimate = Estimate(value, error)
    judgement = judge(estimate, demand.limit.value)
    return UNKNOWN if judgement is NOT_MEASURED else Cell(estimate, judgement)
