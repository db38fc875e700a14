"""Log events and counters about changes of the leader and of the membership."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from .messages import Membership
from .outbox import Outbox


class LeaderView(NamedTuple):
    """Whether this node leads, and who does as far as it knows."""

    leads: bool
    leader: str


class ChangeReports:
    """Reports each change once."""

    def __init__(self, outbox: Outbox, membership: Membership) -> None:
        self._outbox = outbox
        self._membership = membership
        self._view = LeaderView(False, "")
        self.counts: Counter[str] = Counter()

    @property
    def leader(self) -> str:
        """The leader as it was last reported."""
        return self._view.leader

    def report_leader(self, view: LeaderView, term: int) -> None:
        """Report the leader, if that has changed."""
        if view == self._view:
            return
        self._view = view
        if view.leads:
            event = "leader_elected"
        elif view.leader:
            event = "following_leader"
        else:
            event = "no_leader"
        self.counts[event] += 1
        self._outbox.log(event, {"leader": view.leader, "term": term})

    def report_membership(self, membership: Membership) -> None:
        """Report the membership, if that has changed."""
        if membership == self._membership:
            return
        self._membership = membership
        voters = ",".join(membership.voters)
        learners = ",".join(membership.learners)
        self._outbox.log("membership_changed", {"voters": voters, "learners": learners})
