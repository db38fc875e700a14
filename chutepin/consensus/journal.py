"""The persistent state of a Raft node as keys and values of the store. Performs no I/O: writes are returned as data.

The journal relies on a guarantee of `chutepin.store`: after a crash, the unacknowledged writes that survive are a
prefix of all of them, in the order in which they were made. So the log needs no end marker: entries are deleted from
the last one backwards, and a snapshot's header is written after its chunks."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

import msgpack

from .errors import JournalError
from .fields import read_bytes, read_integer, read_list, read_names, read_text
from .messages import Entry, EntryKind, Membership, Persist, Snapshot
from .persistent_state import PersistentState

Operation = tuple[bytes, bytes | None]  # a key and its value; None deletes it

CHUNK_BYTES = 32 * 1024  # snapshot data per value; fits the smallest store segment
TERM_KEY = b"agree/term"
SNAPSHOT_KEY = b"agree/snapshot"


def entry_key(index: int) -> bytes:
    """Return the key of a log entry."""
    return b"agree/entry/%d" % index


def chunk_key(up_to_index: int, number: int) -> bytes:
    """Return the key of a snapshot chunk."""
    return b"agree/snapshot/%d/%d" % (up_to_index, number)


def pack_entry(entry: Entry) -> list[Any]:
    """Return an entry as a list of msgpack values."""
    membership = None if entry.membership is None else [list(names) for names in entry.membership]
    return [entry.index, entry.term, int(entry.kind), entry.data, membership]


def unpack_membership(raw: Any) -> Membership:
    """Return a membership from its msgpack values. Raises ValueError."""
    voters, learners = read_list(raw, 2)
    return Membership(read_names(voters), read_names(learners))


def unpack_entry(raw: Any) -> Entry:
    """Return an entry from its msgpack values. Raises ValueError."""
    index, term, kind, data, membership = read_list(raw, 5)
    return Entry(
        read_integer(index, minimum=1),
        read_integer(term),
        EntryKind(read_integer(kind)),
        read_bytes(data),
        None if membership is None else unpack_membership(membership),
    )


class Journal:
    """The layout of one node's persistent state in the store; computes the writes that change it."""

    def __init__(self) -> None:
        self._first_index = 1  # index of the first entry in the store
        self._last_index = 0
        self._term_and_vote = (0, "")
        self._snapshot_index = 0
        self._chunk_count = 0

    def write(self, change: Persist) -> list[Operation]:
        """Return the writes for a change, in the order in which they must be made."""
        operations: list[Operation] = []
        if change.snapshot is not None:
            operations += self._write_snapshot(change.snapshot, change.base_index, change.discard_log)
        if change.entries:
            operations += self._delete_entries_back(change.first_index)
            operations += [(entry_key(entry.index), _pack(pack_entry(entry))) for entry in change.entries]
            self._last_index = change.entries[-1].index
        if (change.term, change.voted_for) != self._term_and_vote:
            self._term_and_vote = (change.term, change.voted_for)
            # Written before the entries: `load` rejects an entry of a later term than the stored term.
            operations.insert(0, (TERM_KEY, _pack([change.term, change.voted_for])))
        return operations

    def _delete_entries_back(self, first_index: int) -> list[Operation]:
        """Return deletes of entries from the last one backwards, so that a crash in between leaves no gap."""
        return [(entry_key(index), None) for index in range(self._last_index, first_index - 1, -1)]

    def _write_snapshot(self, snapshot: Snapshot, base_index: int, discard_log: bool) -> list[Operation]:
        """Return the writes of a snapshot, followed by deletes of the entries and snapshot that it replaces."""
        operations: list[Operation] = []
        first_index = max(self._first_index, base_index)  # keeps the entry at the base, whose term is needed
        if discard_log:
            operations += self._delete_entries_back(snapshot.up_to_index + 1)
            first_index = snapshot.up_to_index + 1
            self._last_index = snapshot.up_to_index
        chunks = [snapshot.data[at : at + CHUNK_BYTES] for at in range(0, len(snapshot.data), CHUNK_BYTES)]
        operations += [(chunk_key(snapshot.up_to_index, number), chunk) for number, chunk in enumerate(chunks)]
        header = [
            snapshot.up_to_index,
            snapshot.term,
            [list(names) for names in snapshot.membership],
            len(chunks),
            zlib.crc32(snapshot.data),
            first_index,
            [self._first_index, self._snapshot_index, self._chunk_count],
        ]
        operations.append((SNAPSHOT_KEY, _pack(header)))
        operations += _deletions(self._first_index, first_index, self._snapshot_index, self._chunk_count)
        self._first_index = first_index
        self._snapshot_index = snapshot.up_to_index
        self._chunk_count = len(chunks)
        return operations

    def load(self, get: Callable[[bytes], bytes | None]) -> tuple[PersistentState, list[Operation]]:
        """Return the stored state and the deletes that a crash has interrupted. Raises JournalError."""
        try:
            return self._load(get)
        except (ValueError, TypeError, IndexError, msgpack.exceptions.UnpackException) as error:
            raise JournalError(f"not readable: {error}") from error

    def _load(self, get: Callable[[bytes], bytes | None]) -> tuple[PersistentState, list[Operation]]:
        saved = PersistentState()
        cleanup_operations = list[Operation]()
        raw_term = get(TERM_KEY)
        if raw_term is not None:
            term, voted_for = read_list(msgpack.unpackb(raw_term), 2)
            saved.term, saved.voted_for = read_integer(term), read_text(voted_for)
            self._term_and_vote = (saved.term, saved.voted_for)
        raw_header = get(SNAPSHOT_KEY)
        if raw_header is not None:
            cleanup_operations = self._load_snapshot(get, saved, raw_header)
        self._load_entries(get, saved)
        if saved.snapshot is not None:
            self._check_continuity(saved, saved.snapshot)
        return saved, cleanup_operations

    def _load_snapshot(
        self, get: Callable[[bytes], bytes | None], saved: PersistentState, raw_header: bytes
    ) -> list[Operation]:
        """Read the snapshot; return the deletes of the data that it replaced."""
        raw_index, raw_term, membership, raw_chunk_count, checksum, raw_first_index, former = read_list(
            msgpack.unpackb(raw_header), 7
        )
        up_to_index = read_integer(raw_index, minimum=1)
        term = read_integer(raw_term)
        chunk_count = read_integer(raw_chunk_count)
        first_index = read_integer(raw_first_index, minimum=1)
        former_first_index, former_snapshot_index, former_chunk_count = map(read_integer, read_list(former, 3))
        data = _read_chunks(get, up_to_index, chunk_count)
        if zlib.crc32(data) != checksum:
            raise JournalError(f"the snapshot at {up_to_index} is damaged")
        saved.snapshot = Snapshot(up_to_index, term, unpack_membership(membership), data)
        saved.base_index = up_to_index
        saved.base_term = term
        self._snapshot_index = up_to_index
        self._chunk_count = chunk_count
        self._first_index = first_index
        self._last_index = first_index - 1
        if former_snapshot_index == up_to_index:
            return []
        return _deletions(former_first_index, first_index, former_snapshot_index, former_chunk_count)

    def _load_entries(self, get: Callable[[bytes], bytes | None], saved: PersistentState) -> None:
        while (raw := get(entry_key(self._last_index + 1))) is not None:
            entry = unpack_entry(msgpack.unpackb(raw))
            if entry.index != self._last_index + 1 or entry.term > saved.term:
                raise JournalError(f"the entry at {self._last_index + 1} is not one of this member's")
            saved.entries.append(entry)
            self._last_index = entry.index

    def _check_continuity(self, saved: PersistentState, snapshot: Snapshot) -> None:
        """Check that no entries are missing between base and snapshot; remove the entry at the base from the log.

        The first stored entry is the base if the entries begin before the end of the snapshot."""
        if self._first_index > snapshot.up_to_index:
            return
        if self._last_index < snapshot.up_to_index:
            raise JournalError(f"entries up to {snapshot.up_to_index} should be there, {self._last_index} is the last")
        base = saved.entries.pop(0)
        saved.base_index = base.index
        saved.base_term = base.term


def _read_chunks(get: Callable[[bytes], bytes | None], up_to_index: int, chunk_count: int) -> bytes:
    """Return the data of a snapshot. Raises JournalError if a chunk is missing."""
    chunks = list[bytes]()
    for number in range(chunk_count):
        chunk = get(chunk_key(up_to_index, number))
        if chunk is None:
            raise JournalError(f"the snapshot at {up_to_index} is damaged")
        chunks.append(chunk)
    return b"".join(chunks)


def _pack(value: list[Any]) -> bytes:
    return bytes(msgpack.packb(value))


def _deletions(former_first_index: int, first_index: int, snapshot_index: int, chunk_count: int) -> list[Operation]:
    """Return the deletes of the earlier entries and the former snapshot that a snapshot replaces."""
    keys = [entry_key(index) for index in range(former_first_index, first_index)]
    keys += [chunk_key(snapshot_index, number) for number in range(chunk_count)]
    return [(key, None) for key in keys]
