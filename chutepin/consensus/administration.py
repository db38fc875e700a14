"""Membership changes and leadership transfer requested by operators, who use node names."""

from __future__ import annotations

from typing import NamedTuple

from .errors import RejectedError
from .identity import node_name
from .messages import Membership
from .participant import Participant
from .state import Role


class AddedNode(NamedTuple):
    """The identity of an added node, and whether it is a voter now or a learner."""

    identity: str
    is_voter: bool


class TransferStarted(NamedTuple):
    """A leadership transfer to the voter `to` was started."""

    to: str


def transfer_leadership(participant: Participant, now: float, name: str) -> str:
    """Transfer the leadership to the voter with this node name or identity; return its identity.

    Raises RejectedError."""
    voters = participant.raft.membership.voters
    identity = next((voter for voter in voters if name in (voter, node_name(voter))), name)
    participant.transfer_leadership(now, identity)
    return identity


def add_node(participant: Participant, now: float, name: str) -> AddedNode:
    """Add a node as a learner, or promote it to a voter if it is a learner already. Raises RejectedError."""
    membership = participant.raft.membership
    identity = _identity_of(participant, name)
    is_voter = identity in membership.all_members
    if is_voter:
        learners = tuple(other for other in membership.learners if other != identity)
        participant.change_membership(now, Membership((*membership.voters, identity), learners))
    else:
        participant.change_membership(now, Membership(membership.voters, (*membership.learners, identity)))
    return AddedNode(identity, is_voter)


def _identity_of(participant: Participant, name: str) -> str:
    if name in participant.directory.known:
        return participant.directory.known[name].identity
    if name == node_name(participant.name):
        return participant.name
    raise RejectedError(f"{name} is not known here: only a leader has met all nodes that live")


def remove_node(participant: Participant, now: float, name: str) -> TransferStarted | None:
    """Remove the voter or learner with this node name or identity. Raises RejectedError.

    A leader does not remove itself: it starts a leadership transfer, and the caller must repeat the call at the new
    leader."""
    raft = participant.raft
    if name in (participant.name, node_name(participant.name)) and raft.role is Role.LEADER:
        target = next(iter(raft.voters_by_lag()), "")
        participant.transfer_leadership(now, target)
        return TransferStarted(target)
    remaining = Membership(
        tuple(other for other in raft.membership.voters if name not in (other, node_name(other))),
        tuple(other for other in raft.membership.learners if name not in (other, node_name(other))),
    )
    if remaining == raft.membership:
        raise RejectedError(f"{name} takes no part")
    participant.change_membership(now, remaining)
    return None
