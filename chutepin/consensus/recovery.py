"""Recovery after a majority of the voters is lost for good: one store becomes the only voter. Pure.

Entries that only the lost voters had are lost, also committed ones; entries of this store count as committed, also
those that never were. It must happen on one store only, and no other former voter may ever start with its store."""

from __future__ import annotations

from .messages import Entry, EntryKind, Membership, Persist
from .persistent_state import PersistentState


def make_only_voter(identity: str, saved: PersistentState) -> Persist:
    """Return the change that makes `identity` the only voter of the log in its store."""
    last_index = saved.base_index + len(saved.entries)
    term = saved.term + 1
    entry = Entry(last_index + 1, term, EntryKind.VOTERS, membership=Membership((identity,)))
    return Persist(term, identity, last_index + 1, (entry,))
