"""A log in common: what the fleet has agreed on.

`core.Core` is the consensus, free of clock, file and socket; `messages` is what it says and wants done.
`docs/consensus.md` has the design and what is still open: no node uses it yet."""

from .messages import (
    Apply,
    Effect,
    Entry,
    EntryKind,
    Membership,
    Persist,
    RaftMessage,
    ReadReady,
    Restore,
    Send,
    Snapshot,
)
from .raft import PersistentState, Progress, RaftNode, RaftSettings, RejectedError, Role

__all__ = [
    "Apply",
    "Effect",
    "Entry",
    "EntryKind",
    "Membership",
    "Persist",
    "PersistentState",
    "Progress",
    "RaftMessage",
    "RaftNode",
    "RaftSettings",
    "ReadReady",
    "RejectedError",
    "Restore",
    "Role",
    "Send",
    "Snapshot",
]
