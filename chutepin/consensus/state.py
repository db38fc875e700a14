"""The state shared by the components of a Raft node, and the effects that they produce."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum

from .messages import Apply, Effect, Membership, Persist, RaftMessage, Send
from .raft_log import RaftLog
from .settings import RaftSettings


class Role(IntEnum):
    """The role of a node in its current term."""

    FOLLOWER = 0
    PRE_CANDIDATE = 1  # runs a pre-vote, without raising its term
    CANDIDATE = 2
    LEADER = 3


@dataclass(slots=True)
class NodeState:
    """Term, vote, role, membership and log of one node, and its pending effects."""

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
        """Return whether this node is a voter."""
        return self.name in self.membership.voters

    @property
    def other_voters(self) -> list[str]:
        """All voters except this node."""
        return [name for name in self.membership.voters if name != self.name]

    def majority(self) -> int:
        """Return the number of voters that form a majority."""
        return len(self.membership.voters) // 2 + 1

    def reached_by_majority(self, values: Iterable[int]) -> int:
        """Return the highest value reached by a majority; `values` has one value per voter."""
        ordered = sorted(values)
        return ordered[len(ordered) - self.majority()]

    def send(self, to: str, message: RaftMessage) -> None:
        """Add an effect that sends a message."""
        self.effects.append(Send(to, message))

    def persist(self, first_index: int = 0) -> None:
        """Add an effect that persists term, vote and the log from `first_index` on (0: no log entries)."""
        entries = tuple(self.log.entries_from(first_index)) if first_index else ()
        self.effects.append(Persist(self.term, self.voted_for, first_index, entries))

    def commit(self, index: int) -> None:
        """Raise the commit index and add an effect that applies the newly committed entries."""
        if index > self.log.commit_index:
            self.effects.append(Apply(self.log.commit(index)))
