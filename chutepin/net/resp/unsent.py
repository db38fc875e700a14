"""Limits on sent data that balancers have not read: per connection and in total."""

from __future__ import annotations

from collections.abc import Callable

MAX_UNSENT_BYTES = 192 * 1024  # per connection: 32 answers of the maximum size fit
MAX_UNSENT_TOTAL_BYTES = 24 * 2**20  # for all connections together
MIN_COUNTED_UNSENT_BYTES = 16384  # connections with fewer unsent bytes are not counted


class UnsentLimit:
    """Tracks unsent bytes per connection. Bounds the memory held for balancers that do not read."""

    def __init__(self, current_unsent: Callable[[int], int]) -> None:
        """`current_unsent(key)` returns the unsent bytes of a connection now, 0 if the connection has ended."""
        self._current_unsent = current_unsent
        self._unsent: dict[int, int] = {}  # by key, as last measured; only connections over MIN_COUNTED_UNSENT_BYTES

    def is_exceeded(self, key: int, unsent: int) -> bool:
        """Record the unsent bytes of a connection after a write; return whether it must be dropped."""
        if unsent <= MIN_COUNTED_UNSENT_BYTES:
            self._unsent.pop(key, None)
            return False
        self._unsent[key] = unsent
        return unsent > MAX_UNSENT_BYTES or self._total() > MAX_UNSENT_TOTAL_BYTES

    def forget(self, key: int) -> None:
        """Remove a connection that has ended."""
        self._unsent.pop(key, None)

    def _total(self) -> int:
        """Return the unsent bytes of all counted connections, refreshed if the total limit could be exceeded."""
        if len(self._unsent) * MAX_UNSENT_BYTES <= MAX_UNSENT_TOTAL_BYTES:
            return 0
        for key in list(self._unsent):
            unsent = self._current_unsent(key)
            if unsent > MIN_COUNTED_UNSENT_BYTES:
                self._unsent[key] = unsent
            else:
                del self._unsent[key]
        return sum(self._unsent.values())
