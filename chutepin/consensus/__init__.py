"""A replicated log for decisions shared by all nodes: Raft with a key-value state machine.

`raft.RaftNode` implements the consensus algorithm, `participant.Participant` the logic of one node; both perform no
I/O and read no clock. `subsystem` runs them on the store and the cluster's connections. See `docs/consensus.md`."""

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
