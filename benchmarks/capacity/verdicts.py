"""Verdicts: the comparison of an estimate with its limit."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .slopes import Estimate

TIMES = "\N{MULTIPLICATION SIGN}"


class Verdict(Enum):
    """The outcome of comparing a value with its limit."""

    HOLDS = "holds"
    BREAKS = "breaks"
    NOT_MEASURED = "not measured"


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict and the ratio, at least 1, between value and limit. `factor` is 0 if nothing was decided."""

    verdict: Verdict
    factor: float = 0.0
    within_error: bool = False  # measured, but the limit lies within one standard error of the value

    @property
    def load(self) -> float:
        """Return the value as a multiple of the limit, or 0 if this ratio is not known."""
        if self.verdict is Verdict.NOT_MEASURED:
            return 0.0
        return self.factor if self.verdict is Verdict.BREAKS else 1 / self.factor

    def __str__(self) -> str:
        if self.within_error:
            return "*not measured* well enough: the limit is within the error"
        if self.verdict is Verdict.NOT_MEASURED:
            return "*not measured*"
        return f"*{self.verdict.value} by {TIMES}{_short(self.factor)}*"


NOT_MEASURED = Judgement(Verdict.NOT_MEASURED)
UNDECIDED = Judgement(Verdict.NOT_MEASURED, within_error=True)


def judge(estimate: Estimate, limit: float) -> Judgement:
    """Compare an estimate with its limit."""
    if estimate.error and abs(estimate.value - limit) <= estimate.error:
        return UNDECIDED
    if estimate.value > limit:
        return Judgement(Verdict.BREAKS, estimate.value / limit)
    if estimate.value <= 0:
        return NOT_MEASURED  # a fitted line below zero gives no usable value
    return Judgement(Verdict.HOLDS, limit / estimate.value)


def _short(factor: float) -> str:
    if factor >= 100:
        return f"{factor:,.0f}"
    return f"{factor:.1f}" if factor >= 10 else f"{factor:.2f}"
