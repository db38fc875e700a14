"""The log of a Raft node in memory: entries behind the compacted part, the latest snapshot and the commit index."""

from __future__ import annotations

import copy
from collections.abc import Sequence

from .messages import Entry, EntryKind, Membership, Snapshot
from .persistent_state import PersistentState

ENTRY_OVERHEAD_BYTES = 32  # of an entry beyond its data, about


def entry_bytes(entry: Entry) -> int:
    """The memory that an entry takes, about."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES


def total_bytes(entries: Sequence[Entry]) -> int:
    """The memory that entries take, about."""
    return sum(map(entry_bytes, entries))


class RaftLog:
    """Entries from `base_index` + 1 on. All up to `commit_index` were handed out to be applied."""

    def __init__(self, initial_membership: Membership, saved: PersistentState) -> None:
        """`initial_membership` holds until the log or a snapshot says otherwise. `saved` is read, not kept."""
        self._initial_membership = initial_membership
        self.entries: list[Entry] = list(saved.entries)
        self.base_index = saved.base_index
        self.base_term = saved.base_term
        self.snapshot = saved.snapshot
        self.size_bytes = total_bytes(self.entries)
        self.bytes_since_snapshot = 0  # committed since the last snapshot
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
        """Return the term of an entry; 0 before the first entry and for compacted ones."""
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
        """Return the membership after an entry. A change holds as soon as it is in the log, committed or not."""
        for entry in reversed(self.entries[: max(0, index - self.base_index)]):
            if entry.membership is not None:
                return entry.membership
        return self.snapshot.membership if self.snapshot is not None else self._initial_membership

    def has_pending_membership_change(self) -> bool:
        """Whether a change of membership is in the log and not yet committed."""
        return any(entry.kind is EntryKind.VOTERS for entry in self.entries_from(self.commit_index + 1))

    def commit(self, index: int) -> tuple[Entry, ...]:
        """Raise the commit index; return the entries that became committed, oldest first."""
        entries = tuple(self.entries_from(self.commit_index + 1)[: index - self.commit_index])
        self.bytes_since_snapshot += total_bytes(entries)
        self.commit_index = index
        return entries

    def retention_base(self, retained_bytes: int) -> int:
        """Return the lowest base index that keeps no more than this many bytes of entries."""
        base = self.commit_index
        size = total_bytes(self.entries_from(self.commit_index + 1))
        for entry in reversed(self.entries[: self.commit_index - self.base_index]):
            size += entry_bytes(entry)
            if size > retained_bytes:
                break
            base = entry.index - 1
        return base

    def compact(self, snapshot: Snapshot, base_index: int) -> None:
        """Keep a snapshot of the committed state and drop the entries up to `base_index`."""
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
