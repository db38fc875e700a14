"""The learned statistics of a LEARNED frame: the shape and the range of each value. Pure.

The names are those of `decision.experience`. A value outside its range would not only mislead the successor's
decisions: a zero average run time, say, is divided by."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from .fields import MAX_COUNT, MAX_NUMBER, MalformedFrameError, is_number

MIN_POSITIVE = 1e-12  # seconds or ratios that are divided by
MAX_RETRY_SHARE = 1 - 1e-9  # the odds of a retry divide by what is missing to 1


class Check(Protocol):
    """The shape and range of a JSON value."""

    def accepts(self, value: object) -> bool:
        """Whether a value has this shape and is in range."""


@dataclass(frozen=True, slots=True)
class Number:
    """A number within bounds."""

    minimum: float = 0.0
    maximum: float = MAX_NUMBER

    def accepts(self, value: object) -> bool:
        """Whether the value is such a number."""
        return is_number(value, self.minimum, self.maximum)


@dataclass(frozen=True, slots=True)
class FirstRequestTime:
    """A time, or infinity where no request has come yet."""

    def accepts(self, value: object) -> bool:
        """Whether the value is such a time."""
        return is_number(value) or value == math.inf


@dataclass(frozen=True, slots=True)
class ListOf:
    """A list of values that pass another check, of any length or of a given one."""

    item: Check
    length: int | None = None

    def accepts(self, value: object) -> bool:
        """Whether the value is such a list."""
        if not isinstance(value, list) or self.length not in (None, len(value)):
            return False
        return all(self.item.accepts(item) for item in value)


@dataclass(frozen=True, slots=True)
class PairsOf:
    """A table, which travels as a list of pairs of a whole number and a value."""

    key: Check
    value: Check

    def accepts(self, value: object) -> bool:
        """Whether the value is such a table."""
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
    "parts": PairsOf(_NUMBER, ListOf(_NUMBER, length=2)),  # by caller: requests of late, first seen at
    "heard": PairsOf(_NUMBER, _NUMBER),
    "returned": _NUMBER,
    "silent": _NUMBER,
    "first": FirstRequestTime(),
    "served": ListOf(_NUMBER),
    "buckets": ListOf(_SIGNED),  # below 0 for a tenant that has overdrawn its quota
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
    """Return the known values of a LEARNED frame. Raises MalformedFrameError for one outside its shape or range.

    A value may be absent, and names that are not known here are left out: another version of the program may have
    learned something else. The decision module itself says whether what is there is enough."""
    known = {name: value for name, value in values.items() if name in LEARNED_CHECKS}
    for name, value in known.items():
        if not LEARNED_CHECKS[name].accepts(value):
            raise MalformedFrameError(f"LEARNED has a malformed value {name}")
    return known
