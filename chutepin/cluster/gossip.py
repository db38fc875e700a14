"""Dissemination: what is to be told on, how often yet, and at which pace. Pure.

One update for each subject: a newer one takes the place of an older one. Each is told a bounded number of times, those
told least first, so that news overtakes what all have heard. What is urgent (an accusation, a death, what refutes one)
is told more often and sooner than what everybody expects (a restart in order); what a member misses, anti-entropy
brings."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import NamedTuple

from .frames import update_bytes
from .records import LinkReport, Update

REPEAT_FACTOR = 4  # times the logarithm of the number of members
MAX_ROUTINE_REPEATS = 6  # of an update that is not urgent: e^-6, one member of 400, misses it and learns it by repair
MIN_REPEATS = 2  # however many updates wait: e^-2, one member of seven, is left to repair
MAX_PENDING_REPEATS = 512  # updates times repeats that may wait before the repeats shrink
MAX_QUEUED_UPDATES = 4096  # updates that wait; beyond that the one told most often goes
MIN_UPDATE_BYTES = 12  # bytes
MAX_MISFITS = 8  # updates that are passed over for want of room before a packet is held for full
ROUTINE_MEMBERS = 25  # up to which gossip of what is not urgent is as frequent as of what is
MAX_ROUTINE_INTERVAL_S = 2.0  # seconds; at 25 times that number of members probes carry most updates anyway

Key = tuple[int, str]


class Limits(NamedTuple):
    """How often an update is told by each member."""

    urgent: int
    routine: int


def repeats(members: int) -> int:
    """How often an urgent update is told by each member, unless many wait."""
    return REPEAT_FACTOR * math.ceil(math.log10(members + 1))


def limits(urgent: int, waiting: int) -> Limits:
    """Repeats while so many updates wait: with many of them telling costs more than repair."""
    allowed = max(MIN_REPEATS, MAX_PENDING_REPEATS // max(1, waiting))
    return Limits(min(urgent, allowed), min(urgent, MAX_ROUTINE_REPEATS, allowed))


def gossip_interval(every: float, members: int, urgent: bool) -> float:
    """Seconds between two rounds of gossip packets, by their interval in a small cluster. The more members, the more
    updates share a packet, and the more packets of others bring each update here."""
    urgent_interval = every * max(1.0, math.log10(members))
    if urgent:
        return urgent_interval
    return max(urgent_interval, min(MAX_ROUTINE_INTERVAL_S, every * members / ROUTINE_MEMBERS))


class _Item:
    __slots__ = ("sent", "size", "update", "urgent")

    def __init__(self, update: Update, urgent: bool) -> None:
        self.update, self.urgent = update, urgent
        self.sent, self.size = 0, update_bytes(update)


class UpdateQueue:
    """The updates of one member."""

    def __init__(self) -> None:
        self._items: dict[Key, _Item] = {}
        self._by_sent: dict[int, dict[Key, _Item]] = {}
        self.urgent = 0  # of those that wait
        self.dropped = 0  # for want of room

    def __len__(self) -> int:
        return len(self._items)

    @staticmethod
    def _key(update: Update) -> Key:
        return (1, update.reporter) if isinstance(update, LinkReport) else (0, update.name)

    def remove(self, update: Update) -> None:
        """Tell nothing of its subject."""
        self._discard(self._key(update))

    def _discard(self, key: Key) -> None:
        item = self._items.pop(key, None)
        if item is not None:
            self.urgent -= item.urgent
            self._leave_level(key, item)

    def _leave_level(self, key: Key, item: _Item) -> None:
        level = self._by_sent[item.sent]
        del level[key]
        if not level:
            del self._by_sent[item.sent]

    def _enter_level(self, key: Key, item: _Item) -> None:
        self._by_sent.setdefault(item.sent, {})[key] = item

    def add(self, update: Update, urgent: bool = True) -> None:
        """Tell this from now on, in place of what was told of the same subject."""
        key = self._key(update)
        self._discard(key)
        if len(self._items) >= MAX_QUEUED_UPDATES:
            self._discard(next(iter(self._by_sent[max(self._by_sent)])))
            self.dropped += 1
        self._items[key] = item = _Item(update, urgent)
        self.urgent += urgent
        self._enter_level(key, item)

    def pick(self, room: int, limit: int, routine: int | None = None) -> list[Update]:
        """What goes into a packet with so many bytes of room; `limit` is how often each update may be told, `routine`
        how often one that is not urgent may be."""
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

    def _fitting(self, room: int) -> Iterator[tuple[Key, _Item]]:
        """The updates told least that fit together."""
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
