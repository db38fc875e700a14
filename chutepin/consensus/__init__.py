"""A replicated log for the fleet's common decisions: Raft, and a key-value state machine on it.

`raft.RaftNode` is the consensus algorithm, `participant.Participant` a node's part in it; both are free of clock, file
and socket. `subsystem` runs them on the store and the cluster's connections. See `docs/consensus.md`."""

from .errors import ConsensusError, RejectedError
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
from .persistent_state import PersistentState
from .progress import Progress
from .raft import RaftNode
from .settings import RaftSettings
from .state import Role

__all__ = [
    "Apply",
    "ConsensusError",
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
