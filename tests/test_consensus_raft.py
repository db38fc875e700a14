"""The Raft node: elections, replication, reads, membership changes and leadership transfer in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from chutepin.consensus import (
    Entry,
    EntryKind,
    Membership,
    PersistentState,
    RaftNode,
    RaftSettings,
    ReadReady,
    RejectedError,
    Role,
    Send,
)
from chutepin.consensus.leadership import Leadership
from chutepin.consensus.messages import AppendEntries, AppendEntriesReply, RaftMessage, RequestVoteReply
from chutepin.consensus.state import NodeState

THREE = Membership(("v1", "v2", "v3"))


class CommitsAnyTerm(Leadership):
    """An entry of an earlier term is committed once a majority has it."""

    def advance_commit(self, state: NodeState) -> None:
        state.commit(self.replication.majority_match_index(state))


class CountsOldTerms(RaftNode):
    """Its leader commits entries of earlier terms by counting."""

    def __init__(self, name: str, first: Membership, saved: PersistentState, now: float, rng: random.Random) -> None:
        super().__init__(name, first, saved, now, rng)
        self.leadership = CommitsAnyTerm()


def test_entry_of_an_earlier_term_is_not_committed_by_counting() -> None:
    """A leader of term 3 must not commit an entry of term 1 because a majority has it."""

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


class Group:
    """Nodes in virtual time; messages arrive at once unless their link is cut."""

    def __init__(self, members: Membership = THREE, seed: int = 1) -> None:
        self.now, self.cuts = 0.0, set[tuple[str, str]]()
        self.cores = {
            name: RaftNode(name, members, PersistentState(), 0.0, random.Random(f"{seed} {name}"))
            for name in members.everybody
        }
        self.readable: list[ReadReady] = []
        self.stopped: set[str] = set()

    def settle(self) -> None:
        active = True
        while active:
            active = False
            for name, core in self.cores.items():
                for effect in core.drain_effects():
                    active = True
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

    def elected(self) -> RaftNode:
        self.run(10.0, lambda: len(self.leaders()) == 1 and self.cores[self.leaders()[0]].log.commit_index > 0)
        return self.cores[self.leaders()[0]]


def test_leader_is_elected_commits_and_is_replaced() -> None:
    for seed in range(20):
        group = Group(seed=seed)
        leader = group.elected()
        index = leader.propose(b"x")
        group.settle()
        assert leader.log.commit_index == index
        group.stopped.add(leader.name)
        group.run(4.0)
        other = group.elected()
        assert other.name != leader.name and other.term > leader.term and other.log.commit_index >= index


def test_member_behind_a_one_sided_cut_does_not_depose_the_leader() -> None:
    group = Group()
    leader = group.elected()
    deaf = next(name for name in group.cores if name != leader.name)
    group.cuts = {(name, deaf) for name in group.cores}
    term = leader.term
    group.run(20.0)
    assert group.leaders() == [leader.name] and leader.term == term
    group.cuts = set()
    group.run(3.0)
    assert leader.role is Role.LEADER and leader.term == term and group.cores[deaf].leader == leader.name


def test_leader_without_a_majority_steps_down_and_answers_no_read() -> None:
    group = Group()
    leader = group.elected()
    group.cuts = {(name, leader.name) for name in group.cores}
    leader.read(7)
    group.settle()
    assert not group.readable
    group.run(1.5)
    assert leader.role is not Role.LEADER and group.readable == [ReadReady(7, -1)]
    with pytest.raises(RejectedError, match="not the leader"):
        leader.propose(b"x")


def test_read_index_covers_earlier_commits() -> None:
    group = Group()
    leader = group.elected()
    index = leader.propose(b"x")
    group.settle()
    leader.read(1)
    group.settle()
    assert group.readable == [ReadReady(1, index)]


def test_leadership_transfer_elects_the_target() -> None:
    group = Group()
    leader = group.elected()
    to = next(name for name in group.cores if name != leader.name)
    leader.transfer_leadership(group.now, to)
    with pytest.raises(RejectedError, match="hands over"):
        leader.propose(b"x")
    group.settle()
    assert group.leaders() == [to] and leader.leader == to


def test_voters_change_one_at_a_time_after_catching_up() -> None:
    group = Group(Membership(THREE.voters))
    group.cores["v4"] = RaftNode("v4", THREE, PersistentState(), 0.0, random.Random(4))
    leader = group.elected()
    with pytest.raises(RejectedError, match="caught up"):
        leader.change_membership(Membership((*THREE.voters, "v4")))
    leader.change_membership(Membership(THREE.voters, ("v4",)))
    group.settle()
    with pytest.raises(RejectedError, match="one voter"):
        leader.change_membership(Membership(("v1", "v4")))
    leader.change_membership(Membership((*THREE.voters, "v4")))
    with pytest.raises(RejectedError, match="under way"):
        leader.change_membership(THREE)
    group.settle()
    removed = leader.name
    leader.change_membership(Membership(tuple(name for name in (*THREE.voters, "v4") if name != removed)))
    group.settle()
    group.run(6.0, lambda: group.leaders() not in ([], [removed]))
    assert removed not in group.elected().membership.voters and group.elected().log.commit_index >= 4


def test_lagging_follower_catches_up_within_a_second() -> None:
    group = Group()
    leader = group.elected()
    behind = next(name for name in group.cores if name != leader.name)
    group.stopped.add(behind)
    for number in range(500):
        leader.propose(b"%d" % number)
    group.settle()
    group.stopped.clear()
    group.run(1.0)
    assert (
        group.cores[behind].log.entries == leader.log.entries
        and group.cores[behind].log.commit_index == leader.log.commit_index
    )


def test_bytes_in_flight_to_a_follower_are_bounded() -> None:
    times = RaftSettings(max_in_flight_bytes=10_000, max_chunk_bytes=2_000)
    core = RaftNode("v1", THREE, PersistentState(), 0.0, random.Random(1), times)
    core.campaign(0.0, Role.CANDIDATE)
    core.receive(0.0, "v2", _granted(1))
    core.receive(0.0, "v2", _acked(1))
    for _ in range(100):
        core.propose(bytes(500))
    sent = [effect.message for effect in core.drain_effects() if isinstance(effect, Send) and effect.to == "v2"]
    in_flight = sum(
        len(entry.data) + 32 for message in sent if isinstance(message, AppendEntries) for entry in message.entries
    )
    assert 9_000 <= in_flight <= 11_000


def _acked(match: int) -> RaftMessage:
    return AppendEntriesReply(1, True, match, 0)


def test_committed_entry_is_never_replaced() -> None:
    core = RaftNode("v1", THREE, PersistentState(), 0.0, random.Random(1))
    core.receive(0.0, "v2", AppendEntries(1, 0, 0, (Entry(1, 1, EntryKind.NO_OP),), 1, 1))
    with pytest.raises(AssertionError, match="committed entry"):
        core.receive(0.0, "v3", AppendEntries(2, 0, 0, (Entry(1, 2, EntryKind.NO_OP),), 0, 1))
