"""Log events and counters for changes of the leader and of the membership."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from .messages import Membership
from .outbox import Outbox


class LeaderView(NamedTuple):
    """The leader known to this node, and whether it is this node."""

    is_leader: bool
    leader: str


class ChangeReports:
    """The last reported leader and membership; reports each change once."""

    def __init__(self, outbox: Outbox, membership: Membership) -> None:
        self._outbox = outbox
        self._membership = membership
        self._view = LeaderView(False, "")
        self.counts: Counter[str] = Counter()

    @property
    def leader(self) -> str:
        """The last reported leader."""
        return self._view.leader

    def report_leader(self, view: LeaderView, term: int) -> None:
        """Log and count the leader if it has changed."""
        if view == self._view:
            return
        self._view = view
        if view.is_leader:
            event = "leader_elected"
        elif view.leader:
            event = "following_leader"
        else:
            event = "no_leader"
        self.counts[event] += 1
        self._outbox.log(event, {"leader": view.leader, "term": term})

    def report_membership(self, membership: Membership) -> None:
        """Log the membership if it has changed."""
        if membership == self._membership:
            return
        self._membership = membership
        voters = ",".join(membership.voters)
        learners = ",".join(membership.learners)
        self._outbox.log("membership_changed", {"voters": voters, "learners": learners})
