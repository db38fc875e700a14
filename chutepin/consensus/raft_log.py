"""The in-memory log of a Raft node: entries after the compacted part, the latest snapshot and the commit index."""

from __future__ import annotations

import copy
from collections.abc import Sequence

from .messages import Entry, EntryKind, Membership, Snapshot
from .persistent_state import PersistentState

ENTRY_OVERHEAD_BYTES = 32  # approximate memory of an entry besides its data


def entry_bytes(entry: Entry) -> int:
    """Return the approximate memory usage of an entry."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES


def total_bytes(entries: Sequence[Entry]) -> int:
    """Return the approximate memory usage of entries."""
    return sum(map(entry_bytes, entries))


class RaftLog:
    """The log entries from `base_index` + 1 on; `commit` has returned all entries up to `commit_index`."""

    def __init__(self, initial_membership: Membership, saved: PersistentState) -> None:
        """Load the log from `saved`, which is copied.

        `initial_membership` applies until the log or a snapshot contains a membership."""
        self._initial_membership = initial_membership
        self.entries: list[Entry] = list(saved.entries)
        self.base_index = saved.base_index
        self.base_term = saved.base_term
        self.snapshot = saved.snapshot
        self.size_bytes = total_bytes(self.entries)
        self.bytes_since_snapshot = 0  # size of the entries committed since the last snapshot
        self.commit_index = self.snapshot_index

    def copy(self) -> RaftLog:
        """Return an independent log with the same content."""
        other = copy.copy(self)
        other.entries = self.entries[:]
        return other

    @property
    def last_index(self) -> int:
        """The index of the last entry; 0 for an empty log."""
        return self.base_index + len(self.entries)

    @property
    def snapshot_index(self) -> int:
        """The last index that the snapshot covers; 0 without a snapshot."""
        return self.snapshot.up_to_index if self.snapshot is not None else 0

    def term_at(self, index: int) -> int:
        """Return the term of the entry at an index; 0 if it is compacted or does not exist."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return 0

    def entries_from(self, index: int) -> list[Entry]:
        """Return all entries from an index on."""
        return self.entries[index - self.base_index - 1 :]

    def replace_from(self, index: int, entries: Sequence[Entry]) -> None:
        """Replace all entries from an index on."""
        self.size_bytes += total_bytes(entries) - total_bytes(self.entries_from(index))
        self.entries[index - self.base_index - 1 :] = entries

    def membership_at(self, index: int) -> Membership:
        """Return the membership as of an index; a change takes effect once it is in the log, committed or not."""
        for entry in reversed(self.entries[: max(0, index - self.base_index)]):
            if entry.membership is not None:
                return entry.membership
        return self.snapshot.membership if self.snapshot is not None else self._initial_membership

    def has_pending_membership_change(self) -> bool:
        """Return whether the log contains an uncommitted membership change."""
        return any(entry.kind is EntryKind.VOTERS for entry in self.entries_from(self.commit_index + 1))

    def commit(self, index: int) -> tuple[Entry, ...]:
        """Raise the commit index; return the entries that became committed, oldest first."""
        entries = tuple(self.entries_from(self.commit_index + 1)[: index - self.commit_index])
        self.bytes_since_snapshot += total_bytes(entries)
        self.commit_index = index
        return entries

    def retention_base(self, retained_bytes: int) -> int:
        """Return the lowest base index that retains at most `retained_bytes` of entries."""
        base = self.commit_index
        size = total_bytes(self.entries_from(self.commit_index + 1))
        for entry in reversed(self.entries[: self.commit_index - self.base_index]):
            size += entry_bytes(entry)
            if size > retained_bytes:
                break
            base = entry.index - 1
        return base

    def compact(self, snapshot: Snapshot, base_index: int) -> None:
        """Set the snapshot of the committed state and drop the entries up to `base_index`."""
        base_term = self.term_at(base_index)
        dropped = self.entries[: base_index - self.base_index]
        del self.entries[: len(dropped)]
        self.size_bytes -= total_bytes(dropped)
        self.bytes_since_snapshot = 0
        self.snapshot = snapshot
        self.base_index = base_index
        self.base_term = base_term

    def install(self, snapshot: Snapshot) -> None:
        """Replace the whole log with a snapshot from the leader."""
        self.snapshot = snapshot
        self.entries = []
        self.size_bytes = 0
        self.bytes_since_snapshot = 0
        self.base_index = snapshot.up_to_index
        self.base_term = snapshot.term
        self.commit_index = snapshot.up_to_index
