"""Verdicts: what a limit says of an estimate."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from .slopes import Estimate

TIMES = "\N{MULTIPLICATION SIGN}"


class Verdict(IntEnum):
    """Of several, the greatest counts for all."""

    HOLDS = 0
    NOT_MEASURED = 1
    BREAKS = 2


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict; `factor` is how far the value is from the limit, at least 1. Without a measurement it is 0."""

    verdict: Verdict
    factor: float = 0.0
    within_error: bool = False  # the limit lies within one standard error of the value

    @property
    def load(self) -> float:
        """The value as a multiple of the limit; 0 where nothing was measured."""
        if self.verdict is Verdict.NOT_MEASURED:
            return 0.0
        return self.factor if self.verdict is Verdict.BREAKS else 1 / self.factor

    def __str__(self) -> str:
        if self.verdict is Verdict.NOT_MEASURED:
            return "*not measured*"
        text = f"*{self.verdict.name.lower()} by {TIMES}{_short(self.factor)}*"
        return text + " (within the error)" if self.within_error else text


NOT_MEASURED = Judgement(Verdict.NOT_MEASURED)


def judge(estimate: Estimate, limit: float) -> Judgement:
    """Compare an estimate with the most that it may be."""
    within = abs(estimate.value - limit) <= estimate.error
    if estimate.value > limit:
        return Judgement(Verdict.BREAKS, estimate.value / limit, within)
    if estimate.value <= 0:
        return NOT_MEASURED  # a line that falls below zero says nothing there
    return Judgement(Verdict.HOLDS, limit / estimate.value, within)


def worst(judgements: list[Judgement]) -> Judgement:
    """What decides: the greatest load over its limit; else what is not measured; else the least room."""
    if not judgements:
        return NOT_MEASURED
    return max(judgements, key=lambda judgement: (judgement.verdict, judgement.load))


def _short(factor: float) -> str:
    if factor >= 100:
        return f"{factor:,.0f}"
    return f"{factor:.1f}" if factor >= 10 else f"{factor:.2f}"
