"""Limits enforced by the configuration checks, determined by calling these checks."""

from __future__ import annotations

from chutepin.config import ConfigError
from chutepin.config.cluster import CHECKS

MAX_TRIED_MEMBERS = 2**20


class _Quantity:
    """A number with its unit, in the form produced by the configuration parser."""

    def __init__(self, unit: str, value: int) -> None:
        self.type_annotation, self.value = unit, value


def max_members() -> int:
    """Return the largest value of `members` that the block `cluster` accepts."""
    check = CHECKS["members"]
    assert callable(check)

    def accepted(value: int) -> bool:
        try:
            check(_Quantity("members", value), "cluster.members")
        except ConfigError:
            return False
        return True

    low, high = 2, MAX_TRIED_MEMBERS
    while low < high:
        middle = (low + high + 1) // 2
        low, high = (middle, high) if accepted(middle) else (low, middle - 1)
    return low
