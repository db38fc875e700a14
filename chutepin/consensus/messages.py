"""Raft's log entries, the messages between members and the effects that a node asks for, as data.

The names are those of the Raft papers. Order and types of a message's fields are its form on the wire (`codec`)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

READ_ELSEWHERE = -1  # in place of an index: this member cannot answer the read


class EntryKind(IntEnum):
    """What a log entry holds."""

    NO_OP = 0  # a new leader's first entry
    PROPOSAL = 1
    VOTERS = 2  # a change of membership


class Membership(NamedTuple):
    """Who takes part. Learners are sent all entries and do not vote."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def everybody(self) -> tuple[str, ...]:
        """Voters and learners."""
        return self.voters + self.learners


class Snapshot(NamedTuple):
    """The state after the entry at `up_to_index`, as bytes, and the membership at that point."""

    up_to_index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry. `membership` is set in a change of membership only."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    membership: Membership | None = None


class RequestVote(NamedTuple):
    """A candidate's request. In a pre-vote `term` is the one it would begin.

    `is_transfer`: the leader has asked for this election, so voters that hear the leader vote all the same."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    is_transfer: bool


class RequestVoteReply(NamedTuple):
    """The reply to RequestVote."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(NamedTuple):
    """A leader's entries behind (`prev_index`, `prev_term`) and its commit index; without entries, a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    heartbeat_round: int


class AppendEntriesReply(NamedTuple):
    """The reply: the log matches the leader's up to `match_index`, durably.

    Without `success` it does not match, and `match_index` is where the leader is to try next."""

    term: int
    success: bool
    match_index: int
    heartbeat_round: int


class InstallSnapshotChunk(NamedTuple):
    """A chunk of the leader's snapshot, for a follower that needs entries which the leader has compacted.

    `checksum` is that of the whole data: chunks of an earlier leader count only if they are part of the same bytes."""

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
    """The reply to a chunk: how many bytes of the snapshot have arrived."""

    term: int
    up_to_index: int
    received_bytes: int
    heartbeat_round: int


class TimeoutNow(NamedTuple):
    """The leader transfers its leadership: the receiver is to call an election without waiting."""

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
    """Send a message to another member."""

    to: str
    message: RaftMessage


class Persist(NamedTuple):
    """Make this durable before any later effect: term, vote, and the log from `first_index` on.

    With a snapshot, that too; the log then begins behind `base_index`. With `discard_log` nothing of the former log
    holds."""

    term: int
    voted_for: str
    first_index: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None
    base_index: int = 0
    discard_log: bool = False


class Restore(NamedTuple):
    """Replace the state by that of a snapshot."""

    snapshot: Snapshot


class Apply(NamedTuple):
    """Apply these entries, which are committed, in this order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read may be answered once all up to `index` is applied; with READ_ELSEWHERE, another member must be asked."""

    read_id: int
    index: int


Effect = Send | Persist | Apply | Restore | ReadReady
