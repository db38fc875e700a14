"""The state that all parts of a Raft node share, and the effects that they produce."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum

from .messages import Apply, Effect, Membership, Persist, RaftMessage, Send
from .raft_log import RaftLog
from .settings import RaftSettings


class Role(IntEnum):
    """The role of a node in its term."""

    FOLLOWER = 0
    PRE_CANDIDATE = 1  # asks whether it would win, without raising its term
    CANDIDATE = 2
    LEADER = 3


@dataclass(slots=True)
class NodeState:
    """Term, vote, role, membership and log of one node, with the effects that have yet to be carried out."""

    name: str
    settings: RaftSettings
    log: RaftLog
    term: int
    voted_for: str
    membership: Membership
    role: Role = Role.FOLLOWER
    leader: str = ""
    effects: list[Effect] = field(default_factory=list)

    def copy(self) -> NodeState:
        """Return an independent state without pending effects."""
        return replace(self, log=self.log.copy(), effects=[])

    @property
    def is_voter(self) -> bool:
        """Whether this node votes."""
        return self.name in self.membership.voters

    @property
    def other_voters(self) -> list[str]:
        """All voters but this node."""
        return [name for name in self.membership.voters if name != self.name]

    def majority(self) -> int:
        """Return how many voters are a majority."""
        return len(self.membership.voters) // 2 + 1

    def reached_by_majority(self, values: Iterable[int]) -> int:
        """Return the highest value that a majority has reached; `values` holds one for each voter."""
        ordered = sorted(values)
        return ordered[len(ordered) - self.majority()]

    def send(self, to: str, message: RaftMessage) -> None:
        """Have a message sent."""
        self.effects.append(Send(to, message))

    def persist(self, first_index: int = 0) -> None:
        """Have term and vote made durable, with the log from `first_index` on (0: without the log)."""
        entries = tuple(self.log.entries_from(first_index)) if first_index else ()
        self.effects.append(Persist(self.term, self.voted_for, first_index, entries))

    def commit(self, index: int) -> None:
        """Have all entries up to an index applied."""
        if index > self.log.commit_index:
            self.effects.append(Apply(self.log.commit(index)))
