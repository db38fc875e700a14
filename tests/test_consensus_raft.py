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
    """A mutant that commits an entry of an earlier term as soon as a majority has stored it."""

    def advance_commit(self, state: NodeState) -> None:
        state.commit(self.replication.majority_match_index(state))


class CommitsEarlierTerms(RaftNode):
    """A mutant node whose leader commits entries of earlier terms by counting replicas."""

    def __init__(
        self, name: str, initial_membership: Membership, saved: PersistentState, now: float, rng: random.Random
    ) -> None:
        super().__init__(name, initial_membership, saved, now, rng)
        self.leadership = CommitsAnyTerm()


def test_entry_of_an_earlier_term_is_not_committed_by_counting() -> None:
    """A leader of term 3 must not commit an entry of term 1 only because a majority has stored it."""

    def lead(node_type: type[RaftNode]) -> RaftNode:
        node = node_type("v1", THREE, PersistentState(), 0.0, random.Random(1))
        node.campaign(0.0, Role.CANDIDATE)
        node.receive(0.0, "v2", _granted(1))
        node.follow(1.0, 2, "")  # another node is leader in term 2
        node.campaign(1.0, Role.CANDIDATE)
        node.receive(1.0, "v3", _granted(3))
        assert node.role is Role.LEADER and node.term == 3 and node.log.term_at(1) == 1
        node.leadership.replication.progress["v3"].match_index = 1  # two of three voters have the old entry
        node.leadership.advance_commit(node.state)
        return node

    assert lead(RaftNode).log.commit_index == 0
    assert lead(CommitsEarlierTerms).log.commit_index == 1  # the mutant fails the check above


def _granted(term: int) -> RequestVoteReply:
    return RequestVoteReply(term, False, True)


class Group:
    """Nodes in virtual time; messages are delivered immediately unless their link is cut."""

    def __init__(self, members: Membership = THREE, seed: int = 1) -> None:
        self.now, self.cuts = 0.0, set[tuple[str, str]]()
        self.nodes = {
            name: RaftNode(name, members, PersistentState(), 0.0, random.Random(f"{seed} {name}"))
            for name in members.all_members
        }
        self.ready_reads: list[ReadReady] = []
        self.stopped: set[str] = set()

    def deliver_messages(self) -> None:
        active = True
        while active:
            active = False
            for name, node in self.nodes.items():
                for effect in node.drain_effects():
                    active = True
                    if (
                        isinstance(effect, Send)
                        and (name, effect.to) not in self.cuts
                        and effect.to in self.nodes
                        and effect.to not in self.stopped
                    ):
                        self.nodes[effect.to].receive(self.now, name, effect.message)
                    elif isinstance(effect, ReadReady):
                        self.ready_reads.append(effect)

    def run(self, seconds: float, condition: Callable[[], bool] = lambda: False) -> None:
        end = self.now + seconds
        while self.now < end and not condition():
            self.now += 0.01
            for name, node in self.nodes.items():
                if name not in self.stopped and self.now >= node.next_deadline():
                    node.tick(self.now)
            self.deliver_messages()

    def leaders(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.role is Role.LEADER and name not in self.stopped]

    def wait_for_leader(self) -> RaftNode:
        self.run(10.0, lambda: len(self.leaders()) == 1 and self.nodes[self.leaders()[0]].log.commit_index > 0)
        return self.nodes[self.leaders()[0]]


def test_leader_is_elected_commits_entries_and_is_replaced_after_a_crash() -> None:
    for seed in range(20):
        group = Group(seed=seed)
        leader = group.wait_for_leader()
        index = leader.propose(b"x")
        group.deliver_messages()
        assert leader.log.commit_index == index
        group.stopped.add(leader.name)
        group.run(4.0)
        other = group.wait_for_leader()
        assert other.name != leader.name and other.term > leader.term and other.log.commit_index >= index


def test_member_behind_a_one_way_partition_does_not_depose_the_leader() -> None:
    group = Group()
    leader = group.wait_for_leader()
    isolated = next(name for name in group.nodes if name != leader.name)
    group.cuts = {(name, isolated) for name in group.nodes}
    term = leader.term
    group.run(20.0)
    assert group.leaders() == [leader.name] and leader.term == term
    group.cuts = set()
    group.run(3.0)
    assert leader.role is Role.LEADER and leader.term == term and group.nodes[isolated].leader == leader.name


def test_leader_without_a_majority_steps_down_and_rejects_reads() -> None:
    group = Group()
    leader = group.wait_for_leader()
    group.cuts = {(name, leader.name) for name in group.nodes}
    leader.read(7)
    group.deliver_messages()
    assert not group.ready_reads
    group.run(1.5)
    assert leader.role is not Role.LEADER and group.ready_reads == [ReadReady(7, -1)]
    with pytest.raises(RejectedError, match="not the leader"):
        leader.propose(b"x")


def test_read_index_covers_earlier_commits() -> None:
    group = Group()
    leader = group.wait_for_leader()
    index = leader.propose(b"x")
    group.deliver_messages()
    leader.read(1)
    group.deliver_messages()
    assert group.ready_reads == [ReadReady(1, index)]


def test_leadership_transfer_elects_the_target() -> None:
    group = Group()
    leader = group.wait_for_leader()
    target = next(name for name in group.nodes if name != leader.name)
    leader.transfer_leadership(group.now, target)
    with pytest.raises(RejectedError, match="hands over"):
        leader.propose(b"x")
    group.deliver_messages()
    assert group.leaders() == [target] and leader.leader == target


def test_voters_change_one_at_a_time_and_only_after_catching_up() -> None:
    group = Group(Membership(THREE.voters))
    group.nodes["v4"] = RaftNode("v4", THREE, PersistentState(), 0.0, random.Random(4))
    leader = group.wait_for_leader()
    with pytest.raises(RejectedError, match="caught up"):
        leader.change_membership(Membership((*THREE.voters, "v4")))
    leader.change_membership(Membership(THREE.voters, ("v4",)))
    group.deliver_messages()
    with pytest.raises(RejectedError, match="one voter"):
        leader.change_membership(Membership(("v1", "v4")))
    leader.change_membership(Membership((*THREE.voters, "v4")))
    with pytest.raises(RejectedError, match="under way"):
        leader.change_membership(THREE)
    group.deliver_messages()
    removed = leader.name
    leader.change_membership(Membership(tuple(name for name in (*THREE.voters, "v4") if name != removed)))
    group.deliver_messages()
    group.run(6.0, lambda: group.leaders() not in ([], [removed]))
    assert removed not in group.wait_for_leader().membership.voters and group.wait_for_leader().log.commit_index >= 4


def test_lagging_follower_catches_up_within_a_second() -> None:
    group = Group()
    leader = group.wait_for_leader()
    lagging = next(name for name in group.nodes if name != leader.name)
    group.stopped.add(lagging)
    for number in range(500):
        leader.propose(b"%d" % number)
    group.deliver_messages()
    group.stopped.clear()
    group.run(1.0)
    assert (
        group.nodes[lagging].log.entries == leader.log.entries
        and group.nodes[lagging].log.commit_index == leader.log.commit_index
    )


def test_bytes_in_flight_to_a_follower_are_bounded() -> None:
    settings = RaftSettings(max_in_flight_bytes=10_000, max_chunk_bytes=2_000)
    node = RaftNode("v1", THREE, PersistentState(), 0.0, random.Random(1), settings)
    node.campaign(0.0, Role.CANDIDATE)
    node.receive(0.0, "v2", _granted(1))
    node.receive(0.0, "v2", _acknowledged(1))
    for _ in range(100):
        node.propose(bytes(500))
    sent = [effect.message for effect in node.drain_effects() if isinstance(effect, Send) and effect.to == "v2"]
    in_flight = sum(
        len(entry.data) + 32 for message in sent if isinstance(message, AppendEntries) for entry in message.entries
    )
    assert 9_000 <= in_flight <= 11_000


def _acknowledged(match_index: int) -> RaftMessage:
    return AppendEntriesReply(1, True, match_index, 0)


def test_committed_entry_is_never_replaced() -> None:
    node = RaftNode("v1", THREE, PersistentState(), 0.0, random.Random(1))
    node.receive(0.0, "v2", AppendEntries(1, 0, 0, (Entry(1, 1, EntryKind.NO_OP),), 1, 1))
    with pytest.raises(AssertionError, match="committed entry"):
        node.receive(0.0, "v3", AppendEntries(2, 0, 0, (Entry(1, 2, EntryKind.NO_OP),), 0, 1))
