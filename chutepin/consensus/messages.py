"""What voters say to each other and what the core wants done, as data."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class EntryKind(IntEnum):
    """What an entry is."""

    NO_OP = 0  # of a new leader: commits what came before it
    PROPOSAL = 1
    VOTERS = 2  # a change of who votes and who learns


class Membership(NamedTuple):
    """Who takes part. Learners are sent everything and do not vote."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def everybody(self) -> tuple[str, ...]:
        """Voters and learners."""
        return self.voters + self.learners


class Snapshot(NamedTuple):
    """The state after the entry at `upto`, as bytes, and who took part then."""

    up_to_index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log. `members` only of a change of voters."""

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""
    membership: Membership | None = None


class RequestVote(NamedTuple):
    """Vote for me. `pre`: would you? `handed`: the leader told me to begin."""

    term: int
    last_index: int
    last_term: int
    pre: bool
    handed: bool


class RequestVoteReply(NamedTuple):
    """The answer to an Ask."""

    term: int
    pre: bool
    granted: bool


class AppendEntries(NamedTuple):
    """A leader's entries after (`prev_index`, `prev_term`), and how far all is committed; also its heartbeat. `round`
    numbers its rounds of heartbeats."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    round: int


class AppendEntriesReply(NamedTuple):
    """The answer: all up to `match` is there and durable; or, where `ok` is false, look at `match` next."""

    term: int
    ok: bool
    match_index: int
    round: int


class InstallSnapshotChunk(NamedTuple):
    """A part of the leader's snapshot, for a follower whose next entry the leader has no more. `check` is the sum of
    the whole: what a follower has of an earlier leader's counts only if it is part of the same bytes."""

    term: int
    up_to_index: int
    last_term: int
    membership: Membership
    total: int
    check: int
    offset: int
    data: bytes
    round: int


class InstallSnapshotReply(NamedTuple):
    """So many bytes of the snapshot at `upto` are here."""

    term: int
    up_to_index: int
    offset: int
    round: int


class TimeoutNow(NamedTuple):
    """The leader hands over: begin an election at once."""

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
    """A message for another member."""

    to: str
    message: RaftMessage


class Persist(NamedTuple):
    """Make this durable before anything behind it is done: term and vote, and the log from `first` on, which replaces
    what stood there. With a snapshot, that too; the log then begins behind `base`, and with `anew` nothing of the
    former log holds."""

    term: int
    voted_for: str
    first: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None
    base_index: int = 0
    discard_log: bool = False


class Restore(NamedTuple):
    """The state is that of the snapshot, whatever was applied before."""

    snapshot: Snapshot


class Apply(NamedTuple):
    """These entries are agreed, in this order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read may be answered once all up to `index` is applied; or (`index` -1) ask elsewhere."""

    id: int
    index: int


Effect = Send | Persist | Apply | Restore | ReadReady
