"""Dissemination: which updates are gossiped, how often, and at which interval. Sans-I/O.

The queue holds one update per subject: a newer one replaces an older one. Each update is sent a bounded number of
times, the least-sent first, so that new updates overtake old ones. Urgent updates (a suspicion, a death, a refutation)
are sent more often and sooner than routine ones (an orderly restart). Anti-entropy transfers the updates that a member
missed."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

from .frames import update_bytes
from .records import LinkReport, Update

REPEAT_FACTOR = 4  # times the logarithm of the number of members
MAX_ROUTINE_REPEATS = 6  # of a routine update: a share of e^-6 of the members, one in 400, misses it
MIN_REPEATS = 2  # however many updates are queued: a share of e^-2 of the members, one in seven, misses it
MAX_PENDING_REPEATS = 512  # queued updates times repeats; above it the repeats are reduced
MAX_QUEUED_UPDATES = 4096  # when full, the most-sent update is dropped
MIN_UPDATE_BYTES = 12
MAX_MISFITS = 8  # skipped updates that do not fit, after which a packet counts as full
ROUTINE_MEMBERS = 25  # cluster size up to which routine gossip is as frequent as urgent gossip
MAX_ROUTINE_INTERVAL_S = 2.0  # in large clusters probes carry most updates

Key = tuple[int, str]


class Limits(NamedTuple):
    """The number of times that each member sends an urgent and a routine update."""

    urgent: int
    routine: int


def repeats(members: int) -> int:
    """Return the number of times that each member sends an urgent update, unless many are queued."""
    return REPEAT_FACTOR * math.ceil(math.log10(members + 1))


def limits(urgent: int, queued: int) -> Limits:
    """Return the repeats of updates at this queue length.

    They shrink as the queue grows, because gossip of many updates costs more than anti-entropy."""
    allowed = max(MIN_REPEATS, MAX_PENDING_REPEATS // max(1, queued))
    return Limits(min(urgent, allowed), min(urgent, MAX_ROUTINE_REPEATS, allowed))


def gossip_interval(every: float, members: int, urgent: bool) -> float:
    """Return the seconds between two rounds of gossip packets. `every`: the interval in a small cluster.

    The interval grows with the cluster: more updates share a packet, and more members send each update."""
    urgent_interval = every * max(1.0, math.log10(members))
    if urgent:
        return urgent_interval
    return max(urgent_interval, min(MAX_ROUTINE_INTERVAL_S, every * members / ROUTINE_MEMBERS))


class _QueuedUpdate:
    __slots__ = ("send_count", "size", "update", "urgent")

    def __init__(self, update: Update, urgent: bool) -> None:
        self.update = update
        self.urgent = urgent
        self.send_count = 0
        self.size = update_bytes(update)


class UpdateQueue:
    """The queue of updates that one member gossips, by number of times sent."""

    def __init__(self) -> None:
        self._items: dict[Key, _QueuedUpdate] = {}
        self._by_send_count: dict[int, dict[Key, _QueuedUpdate]] = {}
        self.urgent = 0  # urgent updates in the queue
        self.dropped = 0  # updates dropped because the queue was full

    def __len__(self) -> int:
        return len(self._items)

    @staticmethod
    def _key(update: Update) -> Key:
        return (1, update.reporter) if isinstance(update, LinkReport) else (0, update.name)

    def remove(self, update: Update) -> None:
        """Remove the queued update of the same subject."""
        self._discard(self._key(update))

    def _discard(self, key: Key) -> None:
        item = self._items.pop(key, None)
        if item is not None:
            self.urgent -= item.urgent
            self._remove_from_level(key, item)

    def _remove_from_level(self, key: Key, item: _QueuedUpdate) -> None:
        level = self._by_send_count[item.send_count]
        del level[key]
        if not level:
            del self._by_send_count[item.send_count]

    def _add_to_level(self, key: Key, item: _QueuedUpdate) -> None:
        self._by_send_count.setdefault(item.send_count, {})[key] = item

    def add(self, update: Update, urgent: bool = True) -> None:
        """Queue an update, replacing any queued update of the same subject."""
        key = self._key(update)
        self._discard(key)
        if len(self._items) >= MAX_QUEUED_UPDATES:
            self._discard(next(iter(self._by_send_count[max(self._by_send_count)])))
            self.dropped += 1
        self._items[key] = item = _QueuedUpdate(update, urgent)
        self.urgent += urgent
        self._add_to_level(key, item)

    def pick(self, room: int, limit: int, routine: int | None = None) -> list[Update]:
        """Pick the updates for a packet with so many bytes of room.

        `limit`: number of times that an urgent update is sent; `routine`: that of a routine update (None: `limit`)."""
        if not self._items:
            return []
        allowed = Limits(limit, limit if routine is None else routine)
        chosen: list[Update] = []
        for key, item in list(self._fitting(room)):
            limit_of_item = allowed.urgent if item.urgent else allowed.routine
            if item.send_count >= limit_of_item:  # the limit has shrunk since the update was queued
                self._discard(key)
                continue
            chosen.append(item.update)
            self._remove_from_level(key, item)
            item.send_count += 1
            self._add_to_level(key, item)
            if item.send_count >= limit_of_item:
                self._discard(key)
        return chosen

    def _fitting(self, room: int) -> Iterator[tuple[Key, _QueuedUpdate]]:
        """Yield the least-sent updates that fit into the room together."""
        misfits = 0
        for send_count in sorted(self._by_send_count):
            for key, item in self._by_send_count[send_count].items():
                if item.size <= room:
                    room -= item.size
                    yield key, item
                    continue
                misfits += 1
                if room < MIN_UPDATE_BYTES or misfits >= MAX_MISFITS:
                    return
