"""Deadlines of many keys whose cost does not grow with their number: a timing wheel. Pure.

Time is cut into slots; setting, moving and cancelling one deadline are a step each, and a look at what is due touches
nothing else. A deadline is told at the end of its slot, never early. After Varghese and Lauck (1987), scheme 4, with
a dictionary and a heap of the slots that are in use in place of a fixed ring."""

from __future__ import annotations

import heapq
import math

SLOT = 0.25  # seconds


class Deadlines:
    """One deadline for each key."""

    def __init__(self, slot: float = SLOT) -> None:
        self._slot = slot
        self._slots: dict[int, set[int]] = {}
        self._order: list[int] = []
        self._at: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._at)

    def set(self, key: int, at: float) -> None:
        """A key's deadline, in place of the one that it had; an infinite one is none."""
        number = math.ceil(at / self._slot) if at < math.inf else None
        if self._at.get(key) == number:
            return
        self.cancel(key)
        if number is None:
            return
        self._at[key] = number
        if number not in self._slots:
            self._slots[number] = set()
            heapq.heappush(self._order, number)
        self._slots[number].add(key)

    def cancel(self, key: int) -> None:
        """A key has no deadline any more."""
        number = self._at.pop(key, None)
        if number is not None:
            self._slots[number].discard(key)

    def due(self, now: float) -> list[int]:
        """The keys whose deadline has passed; they have none any more."""
        found: list[int] = []
        while self._order and self._order[0] * self._slot <= now:
            keys = self._slots.pop(heapq.heappop(self._order))
            for key in keys:
                del self._at[key]
            found += keys
        return found
