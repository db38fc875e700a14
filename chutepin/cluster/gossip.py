"""Dissemination: which updates are gossiped, how often, and at which interval. Pure.

There is one update for each subject: a newer one replaces an older one. Each is sent a bounded number of times, those
sent least first, so that new updates overtake old ones. Urgent updates (a suspicion, a death, a refutation) are sent
more often and sooner than expected ones (an orderly restart). What a member misses, anti-entropy brings."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

from .frames import update_bytes
from .records import LinkReport, Update

REPEAT_FACTOR = 4  # times the logarithm of the number of members
MAX_ROUTINE_REPEATS = 6  # of an update that is not urgent: e^-6, one member of 400, misses it
MIN_REPEATS = 2  # however many updates are queued: e^-2, one member of seven, misses it
MAX_PENDING_REPEATS = 512  # queued updates times repeats from which on the repeats shrink
MAX_QUEUED_UPDATES = 4096  # beyond that the update sent most often is dropped
MIN_UPDATE_BYTES = 12
MAX_MISFITS = 8  # updates too long for the room left before a packet counts as full
ROUTINE_MEMBERS = 25  # up to which routine gossip is as frequent as urgent gossip
MAX_ROUTINE_INTERVAL_S = 2.0  # in large clusters probes carry most updates

Key = tuple[int, str]


class Limits(NamedTuple):
    """How often each member sends an update."""

    urgent: int
    routine: int


def repeats(members: int) -> int:
    """Return how often each member sends an urgent update, unless many are queued."""
    return REPEAT_FACTOR * math.ceil(math.log10(members + 1))


def limits(urgent: int, queued: int) -> Limits:
    """Return the repeats with so many updates queued: with many of them gossip costs more than anti-entropy."""
    allowed = max(MIN_REPEATS, MAX_PENDING_REPEATS // max(1, queued))
    return Limits(min(urgent, allowed), min(urgent, MAX_ROUTINE_REPEATS, allowed))


def gossip_interval(every: float, members: int, urgent: bool) -> float:
    """Return the seconds between two rounds of gossip packets. `every`: in a small cluster.

    The more members, the more updates share a packet, and the more packets of others bring each update here."""
    urgent_interval = every * max(1.0, math.log10(members))
    if urgent:
        return urgent_interval
    return max(urgent_interval, min(MAX_ROUTINE_INTERVAL_S, every * members / ROUTINE_MEMBERS))


class _QueuedUpdate:
    __slots__ = ("sent", "size", "update", "urgent")

    def __init__(self, update: Update, urgent: bool) -> None:
        self.update = update
        self.urgent = urgent
        self.sent = 0  # times
        self.size = update_bytes(update)


class UpdateQueue:
    """The updates that one member gossips."""

    def __init__(self) -> None:
        self._items: dict[Key, _QueuedUpdate] = {}
        self._by_sent: dict[int, dict[Key, _QueuedUpdate]] = {}
        self.urgent = 0  # queued ones
        self.dropped = 0  # as the queue was full

    def __len__(self) -> int:
        return len(self._items)

    @staticmethod
    def _key(update: Update) -> Key:
        return (1, update.reporter) if isinstance(update, LinkReport) else (0, update.name)

    def remove(self, update: Update) -> None:
        """Drop the update of the same subject."""
        self._discard(self._key(update))

    def _discard(self, key: Key) -> None:
        item = self._items.pop(key, None)
        if item is not None:
            self.urgent -= item.urgent
            self._leave_level(key, item)

    def _leave_level(self, key: Key, item: _QueuedUpdate) -> None:
        level = self._by_sent[item.sent]
        del level[key]
        if not level:
            del self._by_sent[item.sent]

    def _enter_level(self, key: Key, item: _QueuedUpdate) -> None:
        self._by_sent.setdefault(item.sent, {})[key] = item

    def add(self, update: Update, urgent: bool = True) -> None:
        """Queue an update, in place of any other one of the same subject."""
        key = self._key(update)
        self._discard(key)
        if len(self._items) >= MAX_QUEUED_UPDATES:
            self._discard(next(iter(self._by_sent[max(self._by_sent)])))
            self.dropped += 1
        self._items[key] = item = _QueuedUpdate(update, urgent)
        self.urgent += urgent
        self._enter_level(key, item)

    def pick(self, room: int, limit: int, routine: int | None = None) -> list[Update]:
        """Pick the updates for a packet with so many bytes of room.

        `limit`: how often each update is sent; `routine`: how often one that is not urgent is (None: as often)."""
        if not self._items:
            return []
        allowed = Limits(limit, limit if routine is None else routine)
        chosen: list[Update] = []
        for key, item in list(self._fitting(room)):
            limit_of_item = allowed.urgent if item.urgent else allowed.routine
            if item.sent >= limit_of_item:  # the limit has shrunk since
                self._discard(key)
                continue
            chosen.append(item.update)
            self._leave_level(key, item)
            item.sent += 1
            self._enter_level(key, item)
            if item.sent >= limit_of_item:
                self._discard(key)
        return chosen

    def _fitting(self, room: int) -> Iterator[tuple[Key, _QueuedUpdate]]:
        """Yield the updates sent least that fit into the room together."""
        misfits = 0
        for sent in sorted(self._by_sent):
            for key, item in self._by_sent[sent].items():
                if item.size <= room:
                    room -= item.size
                    yield key, item
                    continue
                misfits += 1
                if room < MIN_UPDATE_BYTES or misfits >= MAX_MISFITS:
                    return
