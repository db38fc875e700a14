"""What of a member is durable, as keys and values of the store, and back. Pure: what is to be written comes out as
data.

It rests on one promise of `chutepin.store`: of what was laid out and not acknowledged a beginning survives, in the
order in which it was laid out. So the log needs no mark of its end: entries are deleted from the last one back, and a
snapshot's head is written behind its pieces."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

import msgpack

from .core import Durable
from .messages import Entry, Kind, Persist, Snapshot, Voters

Operation = tuple[bytes, bytes | None]  # a key and its value; None deletes it

PIECE = 32 * 1024  # bytes of a snapshot in one value: it fits the smallest segment
HARD, HEAD = b"agree/term", b"agree/snapshot"


class JournalError(Exception):
    """What is there is not what a member of this kind has written: it must not vote with it."""


def entry_key(index: int) -> bytes:
    """Where an entry stands."""
    return b"agree/entry/%d" % index


def piece_key(upto: int, number: int) -> bytes:
    """Where a part of a snapshot stands."""
    return b"agree/snapshot/%d/%d" % (upto, number)


def pack_entry(entry: Entry) -> list[Any]:
    """As a list of plain values."""
    return [
        entry.index,
        entry.term,
        int(entry.kind),
        entry.data,
        None if entry.members is None else [list(names) for names in entry.members],
    ]


def unpack_members(raw: list[list[str]]) -> Voters:
    """Voters of plain values."""
    voters, learners = raw
    return Voters(tuple(voters), tuple(learners))


def unpack_entry(raw: list[Any]) -> Entry:
    """The entry of plain values. Raises ValueError, TypeError."""
    index, term, kind, data, members = raw
    return Entry(index, term, Kind(kind), data, None if members is None else unpack_members(members))


class Journal:
    """Where things of one member stand in the store."""

    def __init__(self) -> None:
        self._first, self._last = 1, 0  # entries that stand there
        self._hard = (0, "")
        self._snapshot: Snapshot | None = None
        self._pieces = 0

    def write(self, change: Persist) -> list[Operation]:
        """What makes a change durable, in order."""
        done: list[Operation] = []
        if change.snapshot is not None:
            done += self._keep(change.snapshot, change.base, change.anew)
        if change.entries:
            done += [(entry_key(index), None) for index in range(self._last, change.first - 1, -1)]
            done += [(entry_key(entry.index), bytes(msgpack.packb(pack_entry(entry)))) for entry in change.entries]
            self._last = change.entries[-1].index
        if (change.term, change.vote) != self._hard:
            self._hard = change.term, change.vote
            # Before the entries: one of a later term than this member is in was never its own.
            done.insert(0, (HARD, bytes(msgpack.packb([change.term, change.vote]))))
        return done

    def _keep(self, snapshot: Snapshot, base: int, anew: bool) -> list[Operation]:
        """A snapshot, and what it makes worthless. Entries that it stands for go only when it is there."""
        done: list[Operation] = []
        first, last = max(self._first, base), self._last  # the entry at the base stays: its term is asked for
        if anew:
            done += [(entry_key(index), None) for index in range(last, snapshot.upto, -1)]
            first = last = snapshot.upto + 1
            self._last = snapshot.upto
        old, pieces = self._snapshot, self._pieces
        parts = [snapshot.data[at : at + PIECE] for at in range(0, len(snapshot.data), PIECE)]
        done += [(piece_key(snapshot.upto, number), part) for number, part in enumerate(parts)]
        head = [
            snapshot.upto,
            snapshot.term,
            [list(names) for names in snapshot.members],
            len(parts),
            zlib.crc32(snapshot.data),
            first,
            [self._first, old.upto if old is not None else 0, pieces],
        ]
        done.append((HEAD, bytes(msgpack.packb(head))))
        done += self._leftover(self._first, first, old.upto if old is not None else 0, pieces)
        self._first, self._snapshot, self._pieces = first, snapshot, len(parts)
        return done

    @staticmethod
    def _leftover(was: int, first: int, upto: int, pieces: int) -> list[Operation]:
        """What stands for nothing any more; to be deleted again after a crash in between."""
        keys = [entry_key(index) for index in range(was, first)]
        return [(key, None) for key in keys + [piece_key(upto, number) for number in range(pieces)]]

    def load(self, get: Callable[[bytes], bytes | None]) -> tuple[Durable, list[Operation]]:
        """What is there, and what is to be deleted of an earlier crash. Raises JournalError."""
        try:
            return self._load(get)
        except (ValueError, TypeError, IndexError, msgpack.exceptions.UnpackException) as error:
            raise JournalError(f"not readable: {error}") from None

    def _load(self, get: Callable[[bytes], bytes | None]) -> tuple[Durable, list[Operation]]:
        durable, rest = Durable(), list[Operation]()
        if (raw := get(HARD)) is not None:
            durable.term, durable.vote = msgpack.unpackb(raw)
            self._hard = durable.term, durable.vote
        if (raw := get(HEAD)) is not None:
            upto, term, members, pieces, check, first, (was, old, old_pieces) = msgpack.unpackb(raw)
            parts = [get(piece_key(upto, number)) for number in range(pieces)]
            data = b"".join(part for part in parts if part is not None)
            if zlib.crc32(data) != check:
                raise JournalError(f"the snapshot at {upto} is damaged")
            durable.snapshot = self._snapshot = Snapshot(upto, term, unpack_members(members), data)
            self._pieces, self._first, self._last = pieces, first, first - 1
            durable.base, durable.base_term = upto, term
            if old != upto:
                rest = self._leftover(was, first, old, old_pieces)
        self._entries(get, durable)
        return durable, rest

    def _entries(self, get: Callable[[bytes], bytes | None], durable: Durable) -> None:
        while (raw := get(entry_key(self._last + 1))) is not None:
            entry = unpack_entry(msgpack.unpackb(raw))
            if entry.index != self._last + 1 or entry.term > durable.term:
                raise JournalError(f"the entry at {self._last + 1} is not one of this member's")
            durable.entries.append(entry)
            self._last = entry.index
        if durable.snapshot is not None:
            if self._last < durable.snapshot.upto and self._first <= durable.snapshot.upto:
                raise JournalError(f"entries up to {durable.snapshot.upto} should be there, {self._last} is the last")
            if self._first <= durable.snapshot.upto:
                base = durable.entries.pop(0)
                durable.base, durable.base_term = base.index, base.term
