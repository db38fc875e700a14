"""Log events and counters for changes of the leader and of the membership."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from .messages import Membership
from .outbox import Outbox


class LeaderStatus(NamedTuple):
    """The leader known to this node, and whether it is this node."""

    is_leader: bool
    leader: str


class ChangeReporter:
    """A reporter of changes of leader and membership, each of which is logged once."""

    def __init__(self, outbox: Outbox, membership: Membership) -> None:
        self._outbox = outbox
        self._membership = membership
        self._leader_status = LeaderStatus(False, "")
        self.counts: Counter[str] = Counter()

    @property
    def leader(self) -> str:
        """The last reported leader."""
        return self._leader_status.leader

    def report_leader(self, status: LeaderStatus, term: int) -> None:
        """Log and count the leader if it has changed."""
        if status == self._leader_status:
            return
        self._leader_status = status
        if status.is_leader:
            event = "leader_elected"
        elif status.leader:
            event = "following_leader"
        else:
            event = "no_leader"
        self.counts[event] += 1
        self._outbox.log(event, {"leader": status.leader, "term": term})

    def report_membership(self, membership: Membership) -> None:
        """Log the membership if it has changed."""
        if membership == self._membership:
            return
        self._membership = membership
        voters = ",".join(membership.voters)
        learners = ",".join(membership.learners)
        self._outbox.log("membership_changed", {"voters": voters, "learners": learners})
