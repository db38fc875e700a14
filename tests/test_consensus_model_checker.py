"""The model checker: Raft's invariants hold in small scopes and on random walks, and mutants violate them."""

from __future__ import annotations

import pytest

from chutepin.consensus import (
    Effect,
    Entry,
    EntryKind,
    Membership,
    Persist,
    RaftNode,
)
from chutepin.consensus.messages import AppendEntries, RequestVote
from chutepin.testbench.checks.model_checker import Scope, explore, walk

THREE = Membership(("v1", "v2", "v3"))


class SendsBeforePersist(RaftNode):
    """A mutant that sends votes and acknowledgements before they are durable."""

    def drain_effects(self) -> list[Effect]:
        return sorted(super().drain_effects(), key=lambda effect: isinstance(effect, Persist))


class VotesForAnyLog(RaftNode):
    """A mutant that grants its vote to candidates with an outdated log."""

    def _receive_vote_request(self, now: float, sender: str, request: RequestVote) -> None:
        super()._receive_vote_request(now, sender, request._replace(last_log_term=10**9))


class VotesTwiceInATerm(RaftNode):
    """A mutant that grants several votes in one term."""

    def _receive_vote_request(self, now: float, sender: str, request: RequestVote) -> None:
        self.state.voted_for = ""
        super()._receive_vote_request(now, sender, request)


class DoesNotPersistVote(RaftNode):
    """A mutant that does not persist its vote."""

    def drain_effects(self) -> list[Effect]:
        return [
            effect._replace(voted_for="") if isinstance(effect, Persist) else effect
            for effect in super().drain_effects()
        ]


class ChangesTwoVoters(RaftNode):
    """A mutant that accepts a change of several voters at once."""

    def change_membership(self, wanted: Membership) -> int:
        self._require_leadership()
        entry = Entry(self.log.last_index + 1, self.term, EntryKind.VOTERS, membership=wanted)
        return self.leadership.append(self.state, entry)


class IgnoresPreviousEntry(RaftNode):
    """A mutant that accepts entries without the check of the previous entry's term."""

    def _receive_append_entries(self, now: float, sender: str, message: AppendEntries) -> None:
        if message.prev_index <= self.log.last_index:
            message = message._replace(prev_term=self.log.term_at(message.prev_index))
        super()._receive_append_entries(now, sender, message)


@pytest.mark.parametrize(
    ("scope", "states"),
    [
        (Scope(elections=1, proposals=1), 100),
        (Scope(elections=1, proposals=1, crashes=1), 1000),
        (Scope(elections=1, proposals=0, beats=1), 100),
        (Scope(elections=1, proposals=0, snapshots=1, crashes=1), 300),
    ],
)
def test_invariants_hold_in_every_interleaving_of_a_small_scope(scope: Scope, states: int) -> None:
    result = explore(scope)
    assert result.whole and not result.broken and result.states > states, result


def test_invariants_hold_in_the_first_states_of_a_larger_scope() -> None:
    """Two elections; the complete scope of about 20,000 states is explored by `lab explore`."""
    result = explore(Scope(elections=2, proposals=0), max_states=3000)
    assert not result.broken and result.states >= 3000


@pytest.mark.parametrize(
    ("mutant", "scope", "violation"),
    [
        (SendsBeforePersist, Scope(elections=2, proposals=0, crashes=1), "lead in term"),
        (DoesNotPersistVote, Scope(elections=2, proposals=0, crashes=1), "lead in term"),
        (VotesForAnyLog, Scope(elections=2, proposals=0), "without a committed entry"),
        (VotesTwiceInATerm, Scope(elections=2, proposals=0), "lead in term"),
    ],
)
def test_mutant_is_found_by_a_shortest_path(mutant: type[RaftNode], scope: Scope, violation: str) -> None:
    result = explore(scope, mutant)
    assert violation in result.broken and len(result.path) <= 10


WIDE = Scope(elections=8, proposals=4, beats=20, crashes=3, twice=3)
CHANGING_MEMBERSHIP = Scope(
    elections=8,
    proposals=2,
    beats=30,
    crashes=2,
    twice=2,
    changes=(Membership(THREE.voters, ("v4",)), Membership((*THREE.voters, "v4")), Membership(("v2", "v3", "v4"))),
)


COMPACTING = Scope(elections=8, proposals=6, beats=40, crashes=3, twice=3, snapshots=6)


@pytest.mark.parametrize("scope", [WIDE, CHANGING_MEMBERSHIP, COMPACTING])
def test_invariants_hold_on_long_walks_with_crashes_and_membership_changes(scope: Scope) -> None:
    walks = [walk(scope, seed, 300) for seed in range(200)]
    assert not [walked.broken for walked in walks if walked.broken]
    assert sum(walked.committed for walked in walks) > 400 and max(walked.term for walked in walks) >= 6


def test_walk_finds_a_follower_that_ignores_the_previous_entry() -> None:
    assert any(walk(WIDE, seed, 300, IgnoresPreviousEntry).broken for seed in range(1000))


def test_walk_finds_a_change_of_two_voters_at_once() -> None:
    scope = Scope(elections=8, proposals=4, beats=10, changes=(Membership(("v3", "v4", "v5")),))
    assert any(walk(scope, seed, 200, ChangesTwoVoters).broken for seed in range(2000))
    assert not any(walk(scope, seed, 200).broken for seed in range(10))
