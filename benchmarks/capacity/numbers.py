"""Numbers as the page shows them."""

from __future__ import annotations

import math

from .slopes import Estimate

_PREFIXES = ((1e9, "G"), (1e6, "M"), (1e3, "k"))
FIGURES = 3  # significant


def short(value: float) -> str:
    """Three significant figures, without an exponent."""
    if value == 0:
        return "0"
    decimals = max(0, FIGURES - 1 - math.floor(math.log10(abs(value))))
    rounded = round(value, FIGURES - 1 - math.floor(math.log10(abs(value))))
    return f"{rounded:,.{min(decimals, 8)}f}"


def whole(value: float) -> str:
    """A stated number as it stands."""
    return f"{value:,.0f}" if value == int(value) else f"{value:,g}"


def with_unit(value: float, unit: str) -> str:
    """Large numbers of bytes and the like by thousands."""
    for size, prefix in _PREFIXES:
        if abs(value) >= 10 * size and unit.startswith("B"):
            return f"{short(value / size)} {prefix}{unit}"
    return f"{short(value)} {unit}"


def estimate(value: Estimate, unit: str) -> str:
    """A value with its error, where it has one."""
    text = with_unit(value.value, unit)
    return f"{text} ± {with_unit(value.error, unit)}" if value.error else text
