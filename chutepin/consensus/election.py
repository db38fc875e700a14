"""Elections: the election timeout, pre-vote, and the votes that a node grants and receives.

A node raises its term only after a majority has granted its pre-vote, so a node that was partitioned does not depose
the leader when it reconnects."""

from __future__ import annotations

import copy
import math
import random

from .messages import RequestVote, RequestVoteReply
from .settings import RaftSettings
from .state import NodeState, Role


class Election:
    """The election timeout of one node and the votes of its current candidacy."""

    def __init__(self, now: float, rng: random.Random, settings: RaftSettings) -> None:
        self._rng = rng
        self.votes: set[str] = set()
        self.last_leader_contact = -math.inf
        self.restart_timeout(now, settings)

    def copy(self) -> Election:
        """Return an independent copy."""
        other = copy.copy(self)
        other.votes = set(self.votes)
        return other

    def restart_timeout(self, now: float, settings: RaftSettings) -> None:
        """Draw a new timeout at random, to prevent repeated split votes."""
        self.deadline = now + settings.election_timeout_s * (1 + self._rng.random())

    def record_leader_contact(self, now: float, settings: RaftSettings) -> None:
        """Record a message from the leader of the current term and restart the election timeout."""
        self.last_leader_contact = now
        self.restart_timeout(now, settings)

    def has_recent_leader_contact(self, now: float, state: NodeState) -> bool:
        """Return whether a message from the leader arrived within the election timeout."""
        return state.leader != "" and now < self.last_leader_contact + state.settings.election_timeout_s

    def start(self, now: float, state: NodeState, role: Role, *, is_transfer: bool) -> None:
        """Send a vote request, or a pre-vote request as a pre-candidate, to all other voters."""
        state.role = role
        state.leader = ""
        self.restart_timeout(now, state.settings)
        term = state.term + 1
        if role is Role.CANDIDATE:
            state.term = term
            state.voted_for = state.name
            state.persist()
        self.votes = {state.name}
        last_index = state.log.last_index
        request = RequestVote(term, last_index, state.log.term_at(last_index), role is Role.PRE_CANDIDATE, is_transfer)
        for name in state.other_voters:
            state.send(name, request)

    def answer(self, now: float, state: NodeState, sender: str, request: RequestVote) -> None:
        """Reply to a vote request.

        A node grants one vote per term, and only to a candidate whose log is at least as up to date as its own."""
        last_index = state.log.last_index
        candidate_log = (request.last_log_term, request.last_log_index)
        is_up_to_date = candidate_log >= (state.log.term_at(last_index), last_index)
        if request.pre_vote:
            would_vote = is_up_to_date and request.term > state.term
            state.send(sender, RequestVoteReply(request.term if would_vote else state.term, True, would_vote))
            return
        granted = (
            request.term == state.term
            and state.voted_for in ("", sender)
            and is_up_to_date
            and state.role is Role.FOLLOWER
        )
        if granted and state.voted_for != sender:
            state.voted_for = sender
            state.persist()
        if granted:
            self.restart_timeout(now, state.settings)
        state.send(sender, RequestVoteReply(state.term, False, granted))

    def add_vote(self, state: NodeState, sender: str, reply: RequestVoteReply) -> bool:
        """Record a granted vote; return whether it belongs to the current candidacy."""
        expected = (Role.PRE_CANDIDATE, state.term + 1) if reply.pre_vote else (Role.CANDIDATE, state.term)
        if not reply.granted or (state.role, reply.term) != expected or sender not in state.membership.voters:
            return False
        self.votes.add(sender)
        return True

    def is_won(self, state: NodeState) -> bool:
        """Return whether a majority of the voters has granted its vote."""
        return len(self.votes & set(state.membership.voters)) >= state.majority()
