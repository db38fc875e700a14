"""Deadlines of many keys in a timing wheel. No clock: times are arguments.

Time is divided into slots. Setting, moving and cancelling a deadline take constant time, and collecting due keys visits
only those that are due. A deadline is due at the end of its slot, never early. After Varghese and Lauck (1987), scheme
4, with a dictionary and a heap of the used slots instead of a fixed ring."""

from __future__ import annotations

import heapq
import math

SLOT_S = 0.25


class Deadlines:
    """A timing wheel with one deadline per key."""

    def __init__(self, slot_s: float = SLOT_S) -> None:
        self._slot_s = slot_s
        self._slots: dict[int, set[int]] = {}
        self._heap: list[int] = []  # numbers of the used slots
        self._slot_of: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._slot_of)

    def set(self, key: int, at: float) -> None:
        """Set or replace a key's deadline. An infinite deadline removes it."""
        slot = math.ceil(at / self._slot_s) if at < math.inf else None
        if self._slot_of.get(key) == slot:
            return
        self.cancel(key)
        if slot is None:
            return
        self._slot_of[key] = slot
        if slot not in self._slots:
            self._slots[slot] = set()
            heapq.heappush(self._heap, slot)
        self._slots[slot].add(key)

    def cancel(self, key: int) -> None:
        """Remove a key's deadline, if it has one."""
        slot = self._slot_of.pop(key, None)
        if slot is not None:
            self._slots[slot].discard(key)

    def due(self, now: float) -> list[int]:
        """Remove and return the keys whose deadline has passed."""
        due_keys: list[int] = []
        while self._heap and self._heap[0] * self._slot_s <= now:
            keys = self._slots.pop(heapq.heappop(self._heap))
            for key in keys:
                del self._slot_of[key]
            due_keys += keys
        return due_keys
