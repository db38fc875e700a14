"""The consensus core: explored in small scopes, walked through in larger ones, with planted errors."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from chutepin.consensus import (
    Effect,
    Entry,
    EntryKind,
    Membership,
    Persist,
    PersistentState,
    RaftNode,
    RaftSettings,
    ReadReady,
    RejectedError,
    Role,
    Send,
)
from chutepin.consensus.leadership import Leadership
from chutepin.consensus.messages import AppendEntries, AppendEntriesReply, RaftMessage, RequestVote, RequestVoteReply
from chutepin.consensus.state import NodeState
from chutepin.lab.model_checker import Scope, explore, walk

THREE = Membership(("v1", "v2", "v3"))


# --- planted errors ---


class SendsBeforeDurable(RaftNode):
    """Votes and acknowledgements leave before what they say is on the disk."""

    def drain_effects(self) -> list[Effect]:
        return sorted(super().drain_effects(), key=lambda effect: isinstance(effect, Persist))


class CommitsAnyTerm(Leadership):
    """An entry of an earlier term is committed once a majority has it."""

    def advance_commit(self, state: NodeState) -> None:
        state.commit(self.replication.majority_match_index(state))


class CountsOldTerms(RaftNode):
    """Its leader commits entries of earlier terms by counting."""

    def __init__(self, name: str, first: Membership, saved: PersistentState, now: float, rng: random.Random) -> None:
        super().__init__(name, first, saved, now, rng)
        self.leadership = CommitsAnyTerm()


class VotesForAnyLog(RaftNode):
    """Whoever asks gets the vote, however old its log."""

    def _receive_vote_request(self, now: float, sender: str, request: RequestVote) -> None:
        super()._receive_vote_request(now, sender, request._replace(last_log_term=10**9))


class VotesTwice(RaftNode):
    """It forgets whom it voted for."""

    def _receive_vote_request(self, now: float, sender: str, request: RequestVote) -> None:
        self.state.voted_for = ""
        super()._receive_vote_request(now, sender, request)


class VoteNotDurable(RaftNode):
    """For whom it voted is not written."""

    def drain_effects(self) -> list[Effect]:
        return [
            effect._replace(voted_for="") if isinstance(effect, Persist) else effect
            for effect in super().drain_effects()
        ]


class ChangesTwoVoters(RaftNode):
    """Any change of voters is taken."""

    def change_membership(self, wanted: Membership) -> int:
        self._require_leadership()
        entry = Entry(self.log.last_index + 1, self.term, EntryKind.VOTERS, membership=wanted)
        return self.leadership.append(self.state, entry)


class IgnoresPreviousEntry(RaftNode):
    """It takes entries whatever stands before them."""

    def _receive_append_entries(self, now: float, sender: str, message: AppendEntries) -> None:
        if message.prev_index <= self.log.last_index:
            message = message._replace(prev_term=self.log.term_at(message.prev_index))
        super()._receive_append_entries(now, sender, message)


# --- the explorer ---


@pytest.mark.parametrize(
    ("scope", "states"),
    [
        (Scope(elections=1, proposals=1), 100),
        (Scope(elections=1, proposals=1, crashes=1), 1000),
        (Scope(elections=1, proposals=0, beats=1), 100),
        (Scope(elections=1, proposals=0, snapshots=1, crashes=1), 300),
    ],
)
def test_no_interleaving_of_a_small_scope_breaks_an_invariant(scope: Scope, states: int) -> None:
    found = explore(scope)
    assert found.whole and not found.broken and found.states > states, found


def test_the_beginning_of_a_larger_scope_breaks_no_invariant() -> None:
    """Two elections; the whole of it, some 20,000 states, is for `lab explore`."""
    found = explore(Scope(elections=2, proposals=0), most=3000)
    assert not found.broken and found.states >= 3000


@pytest.mark.parametrize(
    ("planted", "scope", "says"),
    [
        (SendsBeforeDurable, Scope(elections=2, proposals=0, crashes=1), "lead in term"),
        (VoteNotDurable, Scope(elections=2, proposals=0, crashes=1), "lead in term"),
        (VotesForAnyLog, Scope(elections=2, proposals=0), "without an agreed entry"),
        (VotesTwice, Scope(elections=2, proposals=0), "lead in term"),
    ],
)
def test_a_planted_error_is_found_by_the_shortest_way(planted: type[RaftNode], scope: Scope, says: str) -> None:
    found = explore(scope, planted)
    assert says in found.broken and len(found.path) <= 10


WIDE = Scope(elections=8, proposals=4, beats=20, crashes=3, twice=3)
CHANGING = Scope(
    elections=8,
    proposals=2,
    beats=30,
    crashes=2,
    twice=2,
    changes=(Membership(THREE.voters, ("v4",)), Membership((*THREE.voters, "v4")), Membership(("v2", "v3", "v4"))),
)


FORGETTING = Scope(elections=8, proposals=6, beats=40, crashes=3, twice=3, snapshots=6)


@pytest.mark.parametrize("scope", [WIDE, CHANGING, FORGETTING])
def test_long_walks_with_crashes_and_changes_of_voters_break_nothing(scope: Scope) -> None:
    walks = [walk(scope, seed, 300) for seed in range(200)]
    assert not [walked.broken for walked in walks if walked.broken]
    assert sum(walked.agreed for walked in walks) > 400 and max(walked.term for walked in walks) >= 6


def test_a_walk_finds_who_does_not_look_back() -> None:
    assert any(walk(WIDE, seed, 300, IgnoresPreviousEntry).broken for seed in range(1000))


def test_a_walk_finds_a_change_of_two_voters_at_a_time() -> None:
    scope = Scope(elections=8, proposals=4, beats=10, changes=(Membership(("v3", "v4", "v5")),))
    assert any(walk(scope, seed, 200, ChangesTwoVoters).broken for seed in range(2000))
    assert not any(walk(scope, seed, 200).broken for seed in range(10))


def test_entries_of_an_earlier_term_are_not_agreed_by_counting() -> None:
    """A leader of term 3 whose entry of term 1 is with a majority must not take it for agreed."""

    def lead(make: type[RaftNode]) -> RaftNode:
        core = make("v1", THREE, PersistentState(), 0.0, random.Random(1))
        core.campaign(0.0, Role.CANDIDATE)
        core.receive(0.0, "v2", _granted(1))
        core.follow(1.0, 2, "")  # another one leads in term 2
        core.campaign(1.0, Role.CANDIDATE)
        core.receive(1.0, "v3", _granted(3))
        assert core.role is Role.LEADER and core.term == 3 and core.log.term_at(1) == 1
        core.leadership.replication.progress["v3"].match_index = 1  # the old entry is with two of three
        core.leadership.advance_commit(core.state)
        return core

    assert lead(RaftNode).log.commit_index == 0
    assert lead(CountsOldTerms).log.commit_index == 1  # and this is what the test would see


def _granted(term: int) -> RequestVoteReply:
    return RequestVoteReply(term, False, True)


# --- elections, leases, reads, handing over: in virtual time ---


class Net:
    """Members on virtual time; messages come at once unless their link is cut."""

    def __init__(self, members: Membership = THREE, seed: int = 1) -> None:
        self.now, self.cuts = 0.0, set[tuple[str, str]]()
        self.cores = {
            name: RaftNode(name, members, PersistentState(), 0.0, random.Random(f"{seed} {name}"))
            for name in members.everybody
        }
        self.readable: list[ReadReady] = []
        self.stopped: set[str] = set()

    def settle(self) -> None:
        busy = True
        while busy:
            busy = False
            for name, core in self.cores.items():
                for effect in core.drain_effects():
                    busy = True
                    if (
                        isinstance(effect, Send)
                        and (name, effect.to) not in self.cuts
                        and effect.to in self.cores
                        and effect.to not in self.stopped
                    ):
                        self.cores[effect.to].receive(self.now, name, effect.message)
                    elif isinstance(effect, ReadReady):
                        self.readable.append(effect)

    def run(self, seconds: float, holds: Callable[[], bool] = lambda: False) -> None:
        end = self.now + seconds
        while self.now < end and not holds():
            self.now += 0.01
            for name, core in self.cores.items():
                if name not in self.stopped and self.now >= core.next_deadline():
                    core.tick(self.now)
            self.settle()

    def leaders(self) -> list[str]:
        return [name for name, core in self.cores.items() if core.role is Role.LEADER and name not in self.stopped]

    def led(self) -> RaftNode:
        self.run(10.0, lambda: len(self.leaders()) == 1 and self.cores[self.leaders()[0]].log.commit_index > 0)
        return self.cores[self.leaders()[0]]


def test_a_leader_is_elected_agrees_and_is_replaced() -> None:
    for seed in range(20):
        net = Net(seed=seed)
        leader = net.led()
        index = leader.propose(b"x")
        net.settle()
        assert leader.log.commit_index == index
        net.stopped.add(leader.name)
        net.run(4.0)
        other = net.led()
        assert other.name != leader.name and other.term > leader.term and other.log.commit_index >= index


def test_a_member_behind_a_one_sided_cut_does_not_depose_the_leader() -> None:
    net = Net()
    leader = net.led()
    deaf = next(name for name in net.cores if name != leader.name)
    net.cuts = {(name, deaf) for name in net.cores}
    term = leader.term
    net.run(20.0)
    assert net.leaders() == [leader.name] and leader.term == term
    net.cuts = set()
    net.run(3.0)
    assert leader.role is Role.LEADER and leader.term == term and net.cores[deaf].leader == leader.name


def test_a_leader_without_a_majority_steps_down_and_answers_no_read() -> None:
    net = Net()
    leader = net.led()
    net.cuts = {(name, leader.name) for name in net.cores}
    leader.read(7)
    net.settle()
    assert not net.readable
    net.run(1.5)
    assert leader.role is not Role.LEADER and net.readable == [ReadReady(7, -1)]
    with pytest.raises(RejectedError, match="not the leader"):
        leader.propose(b"x")


def test_a_read_sees_what_was_agreed_before_it() -> None:
    net = Net()
    leader = net.led()
    index = leader.propose(b"x")
    net.settle()
    leader.read(1)
    net.settle()
    assert net.readable == [ReadReady(1, index)]


def test_a_leader_hands_over_to_whom_it_names() -> None:
    net = Net()
    leader = net.led()
    to = next(name for name in net.cores if name != leader.name)
    leader.transfer_leadership(net.now, to)
    with pytest.raises(RejectedError, match="hands over"):
        leader.propose(b"x")
    net.settle()
    assert net.leaders() == [to] and leader.leader == to


def test_voters_change_one_at_a_time_and_only_after_they_have_caught_up() -> None:
    net = Net(Membership(THREE.voters))
    net.cores["v4"] = RaftNode("v4", THREE, PersistentState(), 0.0, random.Random(4))
    leader = net.led()
    with pytest.raises(RejectedError, match="caught up"):
        leader.change_membership(Membership((*THREE.voters, "v4")))
    leader.change_membership(Membership(THREE.voters, ("v4",)))
    net.settle()
    with pytest.raises(RejectedError, match="one voter"):
        leader.change_membership(Membership(("v1", "v4")))
    leader.change_membership(Membership((*THREE.voters, "v4")))
    with pytest.raises(RejectedError, match="under way"):
        leader.change_membership(THREE)
    net.settle()
    gone = leader.name
    leader.change_membership(Membership(tuple(name for name in (*THREE.voters, "v4") if name != gone)))
    net.settle()
    net.run(6.0, lambda: net.leaders() not in ([], [gone]))
    assert gone not in net.led().membership.voters and net.led().log.commit_index >= 4


def test_a_far_behind_log_is_found_in_as_many_steps_as_there_are_terms() -> None:
    net = Net()
    leader = net.led()
    behind = next(name for name in net.cores if name != leader.name)
    net.stopped.add(behind)
    for number in range(500):
        leader.propose(b"%d" % number)
    net.settle()
    net.stopped.clear()
    net.run(1.0)
    assert (
        net.cores[behind].log.entries == leader.log.entries
        and net.cores[behind].log.commit_index == leader.log.commit_index
    )


def test_what_flies_to_a_follower_is_bounded_in_bytes() -> None:
    times = RaftSettings(max_in_flight_bytes=10_000, max_chunk_bytes=2_000)
    core = RaftNode("v1", THREE, PersistentState(), 0.0, random.Random(1), times)
    core.campaign(0.0, Role.CANDIDATE)
    core.receive(0.0, "v2", _granted(1))
    core.receive(0.0, "v2", _acked(1))
    for _ in range(100):
        core.propose(bytes(500))
    sent = [effect.message for effect in core.drain_effects() if isinstance(effect, Send) and effect.to == "v2"]
    flying = sum(
        len(entry.data) + 32 for message in sent if isinstance(message, AppendEntries) for entry in message.entries
    )
    assert 9_000 <= flying <= 11_000


def _acked(match: int) -> RaftMessage:
    return AppendEntriesReply(1, True, match, 0)


def test_an_agreed_entry_is_never_replaced() -> None:
    core = RaftNode("v1", THREE, PersistentState(), 0.0, random.Random(1))
    core.receive(0.0, "v2", AppendEntries(1, 0, 0, (Entry(1, 1, EntryKind.NO_OP),), 1, 1))
    with pytest.raises(AssertionError, match="committed entry"):
        core.receive(0.0, "v3", AppendEntries(2, 0, 0, (Entry(1, 2, EntryKind.NO_OP),), 0, 1))
