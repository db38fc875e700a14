"""Bounds on what balancers leave unread: for one connection and for all together."""

from __future__ import annotations

from collections.abc import Callable

MAX_UNSENT_BYTES = 192 * 1024  # that one balancer may leave unread: 32 answers of the greatest size fit
MAX_UNSENT_TOTAL_BYTES = 24 * 2**20  # the same for all connections together
MIN_COUNTED_UNSENT_BYTES = 16384  # connections that leave less unread are not counted


class UnsentLimit:
    """Counts unsent bytes by connection. Guards memory against balancers that do not read."""

    def __init__(self, current_unsent: Callable[[int], int]) -> None:
        """`current_unsent(key)`: bytes that this connection leaves unread now, 0 if it has ended."""
        self._current_unsent = current_unsent
        self._unsent: dict[int, int] = {}  # by key, as last seen; only connections that leave much unread

    def is_exceeded(self, key: int, unsent: int) -> bool:
        """Note what a connection leaves unread after a write; true if it must be dropped."""
        if unsent <= MIN_COUNTED_UNSENT_BYTES:
            self._unsent.pop(key, None)
            return False
        self._unsent[key] = unsent
        return unsent > MAX_UNSENT_BYTES or self._total() > MAX_UNSENT_TOTAL_BYTES

    def forget(self, key: int) -> None:
        """A connection has ended."""
        self._unsent.pop(key, None)

    def _total(self) -> int:
        """Bytes that all leave unread; looks anew at those that were seen to leave much."""
        if len(self._unsent) * MAX_UNSENT_BYTES <= MAX_UNSENT_TOTAL_BYTES:
            return 0
        for key in list(self._unsent):
            unsent = self._current_unsent(key)
            if unsent > MIN_COUNTED_UNSENT_BYTES:
                self._unsent[key] = unsent
            else:
                del self._unsent[key]
        return sum(self._unsent.values())
