"""Brings together roles and kept results: what each demand comes to under each condition, and how it is judged."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .model import Bound, Condition, Demand, Role
from .results import Result, find
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
class Assessed:
    """A demand or bound with its cells; `fit` and `result` are there where a slope was measured."""

    role: Role
    of: Demand | Bound
    cells: Mapping[Condition, Cell]
    fit: Fit | None = None
    result: Result | None = None
    refused: str = ""  # why a kept series gives no slope

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
        shared = self.result is not None and self.result.run.machine_shared
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
    nothing = dict.fromkeys(Condition, UNKNOWN)
    found = find(dict(results), demand.series)
    if found is None:
        return Assessed(role, demand, nothing)
    result, series = found
    try:
        line = fit(series, demand.model)
    except TooFewSizesError as error:
        return Assessed(role, demand, nothing, result=result, refused=str(error))
    return Assessed(role, demand, {condition: _cell(demand, line, condition) for condition in Condition}, line, result)


def _cell(demand: Demand, line: Fit, condition: Condition) -> Cell:
    load = demand.loads.get(condition)
    if load is None:
        return UNKNOWN
    at = line.at(load.size)
    estimate = Estimate(at.value * load.times, at.error * load.times)
    judgement = judge(estimate, demand.limit.value)
    return UNKNOWN if judgement is NOT_MEASURED else Cell(estimate, judgement)
