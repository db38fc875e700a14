"""Recovery from the permanent loss of a majority of the voters: one store becomes the only voter. Performs no I/O.

Entries stored only on the lost voters are lost, including committed ones; all entries in this store become committed,
including ones that were not. Recovery must be run on one store only, and no other former voter may start again with
its store."""

from __future__ import annotations

from .messages import Entry, EntryKind, Membership, Persist
from .persistent_state import PersistentState


def make_only_voter(identity: str, saved: PersistentState) -> Persist:
    """Return the change that makes `identity` the only voter of the log in `saved`."""
    last_index = saved.base_index + len(saved.entries)
    term = saved.term + 1
    entry = Entry(last_index + 1, term, EntryKind.VOTERS, membership=Membership((identity,)))
    return Persist(term, identity, last_index + 1, (entry,))
