"""Which changes of membership a leader accepts.

One voter at a time, so that any majority before the change and any after it share a voter."""

from __future__ import annotations

from .errors import RejectedError
from .messages import Membership
from .replication import Replication
from .state import NodeState


def check_change(state: NodeState, replication: Replication, wanted: Membership) -> None:
    """Check a change before it enters the leader's log. Raises RejectedError."""
    check_term_committed(state)
    if state.log.has_pending_membership_change():
        raise RejectedError("another change of voters is under way", state.name)
    if len(set(wanted.voters) ^ set(state.membership.voters)) > 1:
        raise RejectedError("one voter at a time", state.name)
    if not wanted.voters:
        raise RejectedError("nobody would vote", state.name)
    for name in wanted.everybody:
        if wanted.everybody.count(name) > 1:  # it would count as two in a majority
            raise RejectedError(f"{name} takes part already", state.name)
    for name in set(wanted.voters) - set(state.membership.voters):
        progress = replication.progress.get(name)
        if progress is None or progress.match_index < state.log.commit_index:
            raise RejectedError(f"{name} has not caught up as a learner", state.name)


def check_term_committed(state: NodeState) -> None:
    """Until an entry of its own term is committed a leader does not know the commit index. Raises RejectedError."""
    if state.log.term_at(state.log.commit_index) != state.term:
        raise RejectedError("nothing of this term is agreed yet", state.name)
