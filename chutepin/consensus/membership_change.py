"""Validation of membership changes on the leader.

A change adds or removes at most one voter, so any majority before the change and any majority after it overlap."""

from __future__ import annotations

from .errors import RejectedError
from .messages import Membership
from .replication import Replication
from .state import NodeState


def check_change(state: NodeState, replication: Replication, wanted: Membership) -> None:
    """Validate a membership change before the leader appends it to its log. Raises RejectedError."""
    check_term_committed(state)
    if state.log.has_pending_membership_change():
        raise RejectedError("another change of voters is under way", state.name)
    if len(set(wanted.voters) ^ set(state.membership.voters)) > 1:
        raise RejectedError("one voter at a time", state.name)
    if not wanted.voters:
        raise RejectedError("nobody would vote", state.name)
    for name in wanted.all_members:
        if wanted.all_members.count(name) > 1:  # a repeated member would count twice in a majority
            raise RejectedError(f"{name} takes part already", state.name)
    for name in set(wanted.voters) - set(state.membership.voters):
        progress = replication.progress.get(name)
        if progress is None or progress.match_index < state.log.commit_index:
            raise RejectedError(f"{name} has not caught up as a learner", state.name)


def check_term_committed(state: NodeState) -> None:
    """Check that an entry of the current term is committed; before that, the leader's commit index may be stale.

    Raises RejectedError."""
    if state.log.term_at(state.log.commit_index) != state.term:
        raise RejectedError("nothing of this term is agreed yet", state.name)
