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

from .errors import JournalError
from .messages import Entry, EntryKind, Membership, Persist, Snapshot
from .persistent_state import PersistentState

Operation = tuple[bytes, bytes | None]  # a key and its value; None deletes it

PIECE = 32 * 1024  # bytes of a snapshot in one value: it fits the smallest segment
HARD, HEAD = b"agree/term", b"agree/snapshot"


def entry_key(index: int) -> bytes:
    """Where an entry stands."""
    return b"agree/entry/%d" % index


def piece_key(up_to_index: int, number: int) -> bytes:
    """Where a part of a snapshot stands."""
    return b"agree/snapshot/%d/%d" % (up_to_index, number)


def pack_entry(entry: Entry) -> list[Any]:
    """As a list of plain values."""
    return [
        entry.index,
        entry.term,
        int(entry.kind),
        entry.data,
        None if entry.membership is None else [list(names) for names in entry.membership],
    ]


def unpack_members(raw: list[list[str]]) -> Membership:
    """Voters of plain values."""
    voters, learners = raw
    return Membership(tuple(voters), tuple(learners))


def unpack_entry(raw: list[Any]) -> Entry:
    """The entry of plain values. Raises ValueError, TypeError."""
    index, term, kind, data, membership = raw
    return Entry(index, term, EntryKind(kind), data, None if membership is None else unpack_members(membership))


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
            done += self._keep(change.snapshot, change.base_index, change.discard_log)
        if change.entries:
            done += [(entry_key(index), None) for index in range(self._last, change.first_index - 1, -1)]
            done += [(entry_key(entry.index), bytes(msgpack.packb(pack_entry(entry)))) for entry in change.entries]
            self._last = change.entries[-1].index
        if (change.term, change.voted_for) != self._hard:
            self._hard = change.term, change.voted_for
            # Before the entries: one of a later term than this member is in was never its own.
            done.insert(0, (HARD, bytes(msgpack.packb([change.term, change.voted_for]))))
        return done

    def _keep(self, snapshot: Snapshot, base_index: int, discard_log: bool) -> list[Operation]:
        """A snapshot, and what it makes worthless. Entries that it stands for go only when it is there."""
        done: list[Operation] = []
        first, last = max(self._first, base_index), self._last  # the entry at the base stays: its term is asked for
        if discard_log:
            done += [(entry_key(index), None) for index in range(last, snapshot.up_to_index, -1)]
            first = last = snapshot.up_to_index + 1
            self._last = snapshot.up_to_index
        old, pieces = self._snapshot, self._pieces
        parts = [snapshot.data[at : at + PIECE] for at in range(0, len(snapshot.data), PIECE)]
        done += [(piece_key(snapshot.up_to_index, number), part) for number, part in enumerate(parts)]
        head = [
            snapshot.up_to_index,
            snapshot.term,
            [list(names) for names in snapshot.membership],
            len(parts),
            zlib.crc32(snapshot.data),
            first,
            [self._first, old.up_to_index if old is not None else 0, pieces],
        ]
        done.append((HEAD, bytes(msgpack.packb(head))))
        done += self._leftover(self._first, first, old.up_to_index if old is not None else 0, pieces)
        self._first, self._snapshot, self._pieces = first, snapshot, len(parts)
        return done

    @staticmethod
    def _leftover(was: int, first: int, up_to_index: int, pieces: int) -> list[Operation]:
        """What stands for nothing any more; to be deleted again after a crash in between."""
        keys = [entry_key(index) for index in range(was, first)]
        return [(key, None) for key in keys + [piece_key(up_to_index, number) for number in range(pieces)]]

    def load(self, get: Callable[[bytes], bytes | None]) -> tuple[PersistentState, list[Operation]]:
        """What is there, and what is to be deleted of an earlier crash. Raises JournalError."""
        try:
            return self._load(get)
        except (ValueError, TypeError, IndexError, msgpack.exceptions.UnpackException) as error:
            raise JournalError(f"not readable: {error}") from None

    def _load(self, get: Callable[[bytes], bytes | None]) -> tuple[PersistentState, list[Operation]]:
        durable, rest = PersistentState(), list[Operation]()
        if (raw := get(HARD)) is not None:
            durable.term, durable.voted_for = msgpack.unpackb(raw)
            self._hard = durable.term, durable.voted_for
        if (raw := get(HEAD)) is not None:
            up_to_index, term, membership, pieces, check, first, (was, old, old_pieces) = msgpack.unpackb(raw)
            parts = [get(piece_key(up_to_index, number)) for number in range(pieces)]
            data = b"".join(part for part in parts if part is not None)
            if zlib.crc32(data) != check:
                raise JournalError(f"the snapshot at {up_to_index} is damaged")
            durable.snapshot = self._snapshot = Snapshot(up_to_index, term, unpack_members(membership), data)
            self._pieces, self._first, self._last = pieces, first, first - 1
            durable.base_index, durable.base_term = up_to_index, term
            if old != up_to_index:
                rest = self._leftover(was, first, old, old_pieces)
        self._entries(get, durable)
        return durable, rest

    def _entries(self, get: Callable[[bytes], bytes | None], durable: PersistentState) -> None:
        while (raw := get(entry_key(self._last + 1))) is not None:
            entry = unpack_entry(msgpack.unpackb(raw))
            if entry.index != self._last + 1 or entry.term > durable.term:
                raise JournalError(f"the entry at {self._last + 1} is not one of this member's")
            durable.entries.append(entry)
            self._last = entry.index
        if durable.snapshot is not None:
            if self._last < durable.snapshot.up_to_index and self._first <= durable.snapshot.up_to_index:
                raise JournalError(
                    f"entries up to {durable.snapshot.up_to_index} should be there, {self._last} is the last"
                )
            if self._first <= durable.snapshot.up_to_index:
                base_index = durable.entries.pop(0)
                durable.base_index, durable.base_term = base_index.index, base_index.term
