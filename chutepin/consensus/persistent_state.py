"""The state that a Raft node must recover after a crash."""

from __future__ import annotations

from dataclasses import dataclass, field

from .messages import Entry, Persist, Snapshot


@dataclass(slots=True)
class PersistentState:
    """Term, vote, log and snapshot as stored on disk; `entries` are those after `base_index`."""

    term: int = 0
    voted_for: str = ""
    entries: list[Entry] = field(default_factory=list)
    snapshot: Snapshot | None = None
    base_index: int = 0
    base_term: int = 0

    def persist(self, change: Persist) -> None:
        """Apply a durable change."""
        self.term = change.term
        self.voted_for = change.voted_for
        if change.snapshot is not None:
            self._replace_snapshot(change, change.snapshot)
        if change.entries:
            self.entries[change.first_index - self.base_index - 1 :] = change.entries

    def _replace_snapshot(self, change: Persist, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        if change.discard_log:
            self.entries = []
            self.base_index = snapshot.up_to_index
            self.base_term = snapshot.term
        elif change.base_index > self.base_index:
            self.base_term = self.entries[change.base_index - self.base_index - 1].term
            del self.entries[: change.base_index - self.base_index]
            self.base_index = change.base_index
