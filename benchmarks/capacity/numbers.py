"""Formats numbers for the capacity page."""

from __future__ import annotations

import math

from .slopes import Estimate

_PREFIXES = ((1e9, "G"), (1e6, "M"), (1e3, "k"))
SIGNIFICANT_FIGURES = 3


def short(value: float) -> str:
    """Format a number with three significant figures and without an exponent."""
    if value == 0:
        return "0"
    decimals = max(0, SIGNIFICANT_FIGURES - 1 - math.floor(math.log10(abs(value))))
    rounded = round(value, SIGNIFICANT_FIGURES - 1 - math.floor(math.log10(abs(value))))
    return f"{rounded:,.{min(decimals, 8)}f}"


def whole(value: float) -> str:
    """Format a given number without rounding it to significant figures."""
    return f"{value:,.0f}" if value == int(value) else f"{value:,g}"


def with_unit(value: float, unit: str) -> str:
    """Format a number with its unit; large byte counts and rates get a decimal prefix."""
    for size, prefix in _PREFIXES:
        if abs(value) >= 10 * size and unit.startswith("B"):
            return f"{short(value / size)} {prefix}{unit}"
    return f"{short(value)} {unit}"


def estimate(value: Estimate, unit: str) -> str:
    """Format a value, with its error if the error is not zero."""
    text = with_unit(value.value, unit)
    return f"{text} ± {with_unit(value.error, unit)}" if value.error else text
