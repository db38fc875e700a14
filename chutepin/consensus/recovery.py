"""Going on after a majority of the voters is lost for good: one store is made the only voter. Pure.

What only the lost ones had is lost, also where it was agreed; what this one holds is agreed from then on, also where it
never was. It must happen on one store only, and none of the other old voters may ever start with theirs again."""

from __future__ import annotations

from .messages import Entry, EntryKind, Membership, Persist
from .persistent_state import PersistentState


def alone(identity: str, durable: PersistentState) -> Persist:
    """What makes `identity` the only voter of the log that its store holds."""
    last = durable.base_index + len(durable.entries)
    entry = Entry(last + 1, durable.term + 1, EntryKind.VOTERS, membership=Membership((identity,)))
    return Persist(durable.term + 1, identity, last + 1, (entry,))
