"""Data types of Raft: log entries, messages between members and the effects requested by a node.

Names follow the Raft papers. The order and types of a message's fields define its wire format (`codec`)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

READ_REJECTED = -1  # in place of an index: this member cannot serve the read


class EntryKind(IntEnum):
    """The kind of content of a log entry."""

    NO_OP = 0  # the first entry of a new leader
    PROPOSAL = 1
    VOTERS = 2  # a membership change


class Membership(NamedTuple):
    """The members of the group. Learners receive all entries and do not vote."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def all_members(self) -> tuple[str, ...]:
        """All members: voters, then learners."""
        return self.voters + self.learners


class Snapshot(NamedTuple):
    """The serialized state and the membership after the entry at `up_to_index`."""

    up_to_index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry; `membership` is set only in a membership change."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    membership: Membership | None = None


class RequestVote(NamedTuple):
    """A candidate's vote request. In a pre-vote, `term` is the term that the candidate would start.

    `is_transfer`: the leader requested this election, so voters with recent leader contact do not ignore it."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    is_transfer: bool


class RequestVoteReply(NamedTuple):
    """The reply to a RequestVote."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(NamedTuple):
    """The leader's entries after (`prev_index`, `prev_term`) and its commit index; without entries, a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    heartbeat_round: int


class AppendEntriesReply(NamedTuple):
    """The reply to AppendEntries: the durable log matches the leader's up to `match_index`.

    Without `success` the logs do not match, and `match_index` is the index for the leader to try next."""

    term: int
    success: bool
    match_index: int
    heartbeat_round: int


class InstallSnapshotChunk(NamedTuple):
    """A chunk of the leader's snapshot, for a follower that needs entries which the leader has compacted.

    `checksum` covers the whole snapshot, so chunks from an earlier leader are used only if the data is identical."""

    term: int
    up_to_index: int
    last_term: int
    membership: Membership
    total_bytes: int
    checksum: int
    offset: int
    data: bytes
    heartbeat_round: int


class InstallSnapshotReply(NamedTuple):
    """The reply to a snapshot chunk: the number of bytes of the snapshot received so far."""

    term: int
    up_to_index: int
    received_bytes: int
    heartbeat_round: int


class TimeoutNow(NamedTuple):
    """A leadership transfer: the receiver starts an election without waiting for its timeout."""

    term: int


RaftMessage = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshotChunk
    | InstallSnapshotReply
    | TimeoutNow
)


class Send(NamedTuple):
    """An effect: send a message to another member."""

    to: str
    message: RaftMessage


class Persist(NamedTuple):
    """An effect: make term, vote and the log from `first_index` on durable before any later effect.

    With a snapshot, that is made durable too, and the log then begins after `base_index`. With `discard_log`, all
    earlier entries are deleted."""

    term: int
    voted_for: str
    first_index: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None
    base_index: int = 0
    discard_log: bool = False


class Restore(NamedTuple):
    """An effect: replace the state with that of a snapshot."""

    snapshot: Snapshot


class Apply(NamedTuple):
    """An effect: apply these committed entries in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ReadReady:
    """An effect: the read may complete once `index` is applied; with READ_REJECTED, this member cannot serve it."""

    read_id: int
    index: int


Effect = Send | Persist | Apply | Restore | ReadReady
