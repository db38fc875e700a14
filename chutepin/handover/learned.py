"""Validation of the learned statistics in a LEARNED frame: the shape and range of each value. Pure.

The names are those of `decision.experience`. A value outside its range would distort the successor's decisions, or
raise an error, such as a division by an average run time of zero."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from .fields import MAX_COUNT, MAX_NUMBER, MalformedFrameError, is_number

MIN_POSITIVE = 1e-12  # lower bound of seconds and ratios that are used as divisors
MAX_RETRY_SHARE = 1 - 1e-9  # the odds of a retry are divided by (1 - share)


class Check(Protocol):
    """The shape and range of a JSON value."""

    def accepts(self, value: object) -> bool:
        """Return whether a value has this shape and is in range."""


@dataclass(frozen=True, slots=True)
class Number:
    """A number within bounds."""

    minimum: float = 0.0
    maximum: float = MAX_NUMBER

    def accepts(self, value: object) -> bool:
        """Return whether the value is a number within the bounds."""
        return is_number(value, self.minimum, self.maximum)


@dataclass(frozen=True, slots=True)
class FirstRequestTime:
    """A time, or infinity before the first request."""

    def accepts(self, value: object) -> bool:
        """Return whether the value is a time or infinity."""
        return is_number(value) or value == math.inf


@dataclass(frozen=True, slots=True)
class ListOf:
    """A list whose items pass another check, of a fixed length or, if `length` is None, of any length."""

    item: Check
    length: int | None = None

    def accepts(self, value: object) -> bool:
        """Return whether the value is a list of the required length and its items pass."""
        if not isinstance(value, list) or self.length not in (None, len(value)):
            return False
        return all(self.item.accepts(item) for item in value)


@dataclass(frozen=True, slots=True)
class PairsOf:
    """A table that is encoded as a list of pairs of a whole number and a value."""

    key: Check
    value: Check

    def accepts(self, value: object) -> bool:
        """Return whether the value is a list of pairs whose keys and values pass."""
        return isinstance(value, list) and all(self._is_pair(pair) for pair in value)

    def _is_pair(self, pair: object) -> bool:
        if not isinstance(pair, list) or len(pair) != 2:
            return False
        key, value = pair
        return isinstance(key, int) and self.key.accepts(key) and self.value.accepts(value)


_NUMBER = Number()
_SIGNED = Number(minimum=-MAX_NUMBER)
_POSITIVE = Number(minimum=MIN_POSITIVE)
_SHARE = Number(maximum=1.0)
_LIMIT = Number(minimum=1, maximum=MAX_COUNT)

LEARNED_CHECKS: dict[str, Check] = {
    "work": ListOf(_POSITIVE),
    "turned": ListOf(_NUMBER),
    "waits": ListOf(_NUMBER),
    "patience": PairsOf(_SIGNED, _NUMBER),
    "tries": _NUMBER,
    "parts": PairsOf(_NUMBER, ListOf(_NUMBER, length=2)),  # by caller: recent requests, time of the first request
    "heard": PairsOf(_NUMBER, _NUMBER),
    "returned": _NUMBER,
    "silent": _NUMBER,
    "first": FirstRequestTime(),
    "served": ListOf(_NUMBER),
    "buckets": ListOf(_SIGNED),  # negative for a tenant that has exceeded its quota
    "share": _SHARE,
    "refused_share": _NUMBER,
    "unread": _NUMBER,
    "reading": _NUMBER,
    "slowness": _POSITIVE,
    "core_use": _NUMBER,
    "usual_use": _NUMBER,
    "again_share": Number(maximum=MAX_RETRY_SHARE),
    "runs.limit": _LIMIT,
    "runs.average": _POSITIVE,
    "runs.deviation": _NUMBER,
    "runs.time": _POSITIVE,
    "calls.limit": _LIMIT,
    "calls.average": _POSITIVE,
    "calls.deviation": _NUMBER,
    "calls.time": _POSITIVE,
}


def check_learned(values: dict[str, object]) -> dict[str, object]:
    """Return the known values of a LEARNED frame. Raises MalformedFrameError for a value of wrong shape or range.

    Missing values are accepted and unknown names are dropped, since another version of the program may learn other
    statistics. The decision module checks whether the remaining values are sufficient."""
    known = {name: value for name, value in values.items() if name in LEARNED_CHECKS}
    for name, value in known.items():
        if not LEARNED_CHECKS[name].accepts(value):
            raise MalformedFrameError(f"LEARNED: malformed value {name}")
    return known
