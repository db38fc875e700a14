"""A limit on the bytes that are held for the connections of one kind: for each connection, and for all together."""

from __future__ import annotations

from collections.abc import Callable


class ByteLimit:
    """Tracks the bytes held for each connection, and selects the connection to drop when a limit is exceeded."""

    def __init__(self, max_each: int, max_total: int, min_counted: int, current: Callable[[int], int]) -> None:
        """Create a limit, in bytes.

        Connections with up to `min_counted` bytes are not counted. `current(key)` returns the bytes that are held for a
        connection now, 0 if the connection has ended."""
        self._max_each = max_each
        self._max_total = max_total
        self._min_counted = min_counted
        self._current = current
        self._held: dict[int, int] = {}  # by key, as last recorded; only counted connections
        self._total = 0

    def record(self, key: int, held: int) -> int | None:
        """Record the bytes held for a connection; return the key of the connection to drop, or None.

        Above the total limit that is the connection with most bytes, so that one that holds much costs no other its
        place."""
        if held <= self._min_counted and key not in self._held:
            return None
        self._set(key, held)
        if held > self._max_each:
            return key
        if self._total <= self._max_total:
            return None
        for counted in list(self._held):
            self._set(counted, self._current(counted))
        return max(self._held, key=self._held.__getitem__) if self._total > self._max_total else None

    def forget(self, key: int) -> None:
        """Remove a connection that has ended or was dropped."""
        self._total -= self._held.pop(key, 0)

    def _set(self, key: int, held: int) -> None:
        self.forget(key)
        if held > self._min_counted:
            self._held[key] = held
            self._total += held
