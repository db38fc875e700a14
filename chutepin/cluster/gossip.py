"""What is to be told on, and how often yet. Pure.

One update for each subject: a newer one takes the place of an older one. Each is told a bounded number of times, those
told least first, so that news overtakes what all have heard."""

from __future__ import annotations

import heapq
import math

from .frames import update_bytes
from .records import Record, Update

REPEATS = 4  # times the logarithm of the number of members
MOST = 4096  # updates that wait; beyond that the one told most often goes


def repeats(members: int) -> int:
    """How often an update is told by each member."""
    return REPEATS * math.ceil(math.log10(members + 1))


class _Item:
    __slots__ = ("room", "told", "update")

    def __init__(self, update: Update) -> None:
        self.update, self.told, self.room = update, 0, update_bytes(update)


class Queue:
    """The updates of one member."""

    def __init__(self) -> None:
        self._items: dict[tuple[int, str], _Item] = {}
        self.dropped = 0  # for want of room

    def __len__(self) -> int:
        return len(self._items)

    @staticmethod
    def _key(update: Update) -> tuple[int, str]:
        return (0, update.name) if isinstance(update, Record) else (1, update.reporter)

    def remove(self, update: Update) -> None:
        """Tell nothing of its subject."""
        self._items.pop(self._key(update), None)

    def add(self, update: Update) -> None:
        """Tell this from now on, in place of what was told of the same subject."""
        key = self._key(update)
        self._items.pop(key, None)  # so that the newest of equal count is the last, and `told` begins anew
        if len(self._items) >= MOST:
            worn = max(self._items, key=lambda other: self._items[other].told)
            del self._items[worn]
            self.dropped += 1
        self._items[key] = _Item(update)

    def pick(self, room: int, limit: int) -> list[Update]:
        """What goes into a packet with so many bytes of room; `limit` is how often each update may be told."""
        if not self._items:
            return []
        chosen = []
        fit = max(4, room // 24)  # no more than so many can fit: 24 bytes is the shortest record
        for key, item in heapq.nsmallest(fit, self._items.items(), key=lambda pair: pair[1].told):
            if item.room > room:
                continue
            room -= item.room
            item.told += 1
            chosen.append(item.update)
            if item.told >= limit:
                del self._items[key]
        return chosen
