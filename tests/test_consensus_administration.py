"""Membership changes and leadership transfer by operators' calls, without I/O."""

from __future__ import annotations

import random

import pytest

from chutepin.consensus import Apply, Membership, PersistentState, RaftSettings, ReadReady, RejectedError, Restore, Role
from chutepin.consensus.administration import AddedNode, TransferStarted, add_node, remove_node, transfer_leadership
from chutepin.consensus.identity import node_name
from chutepin.consensus.key_value import KeyValueMachine
from chutepin.consensus.outbox import Send
from chutepin.consensus.participant import Participant

TICK_S = 0.05  # of virtual time
INITIAL_VOTERS = ("n1", "n2", "n3")
ADDED_IDENTITY = "n4~5eed"  # the identity of a node that is not a configured voter


class Group:
    """Participants in virtual time, with immediate message delivery and durable writes without delay."""

    def __init__(self) -> None:
        self.now = 0.0
        self.unreachable: set[str] = set()  # nodes that receive no messages
        self.members = {
            node_name(name): Participant(
                name,
                Membership(INITIAL_VOTERS),
                PersistentState(),
                KeyValueMachine(),
                0.0,
                random.Random(name),
                RaftSettings(),
            )
            for name in (*INITIAL_VOTERS, ADDED_IDENTITY)
        }
        for member in self.members.values():
            member.set_alive(tuple(self.members))
        self.run(5.0)

    def run(self, seconds: float) -> None:
        """Advance the virtual time and carry out all effects."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            for member in self.members.values():
                member.tick(self.now)
            while any(self._carry_out(member) for member in self.members.values()):
                pass

    def _carry_out(self, member: Participant) -> bool:
        effects = member.drain_effects()
        for effect in effects:
            match effect:
                case Send() if node_name(effect.to) not in self.unreachable:
                    to = self.members[node_name(effect.to)]
                    to.directory.record(member.name, KeyValueMachine.version)
                    to.receive(self.now, member.name, effect.message)
                case Apply() | Restore() | ReadReady():
                    member.carry_out(self.now, effect)
        return bool(effects)

    @property
    def leader(self) -> Participant:
        """The leader; there must be exactly one."""
        (leader,) = (member for member in self.members.values() if member.raft.role is Role.LEADER)
        return leader


def test_node_is_a_learner_after_the_first_call_and_a_voter_after_the_second() -> None:
    group = Group()
    assert add_node(group.leader, group.now, "n4") == AddedNode(ADDED_IDENTITY, is_voter=False)
    group.run(2.0)
    assert {member.membership for member in group.members.values()} == {Membership(INITIAL_VOTERS, (ADDED_IDENTITY,))}
    assert add_node(group.leader, group.now, "n4") == AddedNode(ADDED_IDENTITY, is_voter=True)
    group.run(2.0)
    assert {member.membership for member in group.members.values()} == {Membership((*INITIAL_VOTERS, ADDED_IDENTITY))}


def test_learner_that_lags_does_not_become_a_voter() -> None:
    group = Group()
    group.unreachable.add("n4")
    add_node(group.leader, group.now, "n4")
    group.run(0.5)
    with pytest.raises(RejectedError, match=rf"^{ADDED_IDENTITY} has not caught up as a learner$"):
        add_node(group.leader, group.now, "n4")
    assert group.leader.membership == Membership(INITIAL_VOTERS, (ADDED_IDENTITY,))


def test_unknown_node_is_not_added() -> None:
    group = Group()
    with pytest.raises(RejectedError, match=r"^n9 is not known here: only a leader has met all nodes that live$"):
        add_node(group.leader, group.now, "n9")


@pytest.mark.parametrize("name", ["n4", ADDED_IDENTITY])
def test_learner_is_removed_by_node_name_or_identity(name: str) -> None:
    group = Group()
    add_node(group.leader, group.now, "n4")
    group.run(2.0)
    assert remove_node(group.leader, group.now, name) is None
    group.run(2.0)
    assert group.leader.membership == Membership(INITIAL_VOTERS)
    with pytest.raises(RejectedError, match=f"^{name} takes no part$"):
        remove_node(group.leader, group.now, name)


def test_voter_is_removed() -> None:
    group = Group()
    removed = next(name for name in INITIAL_VOTERS if name != group.leader.name)
    assert remove_node(group.leader, group.now, removed) is None
    group.run(2.0)
    assert group.leader.membership == Membership(tuple(name for name in INITIAL_VOTERS if name != removed))


def test_leader_transfers_its_leadership_before_its_removal() -> None:
    group = Group()
    old = group.leader
    answer = remove_node(old, group.now, old.name)
    assert isinstance(answer, TransferStarted) and answer.to in INITIAL_VOTERS and answer.to != old.name
    group.run(2.0)
    assert group.leader.name == answer.to and group.leader.membership == Membership(INITIAL_VOTERS)
    assert remove_node(group.leader, group.now, old.name) is None
    group.run(2.0)
    assert old.name not in group.leader.membership.all_members


def test_leadership_is_transferred_by_node_name_and_only_to_a_voter() -> None:
    group = Group()
    for _ in range(2):
        add_node(group.leader, group.now, "n4")
        group.run(2.0)
    assert transfer_leadership(group.leader, group.now, "n4") == ADDED_IDENTITY
    group.run(2.0)
    assert group.leader.name == ADDED_IDENTITY
    with pytest.raises(RejectedError, match=r"^n9 is no other voter$"):
        transfer_leadership(group.leader, group.now, "n9")


def test_follower_rejects_changes_and_names_the_leader() -> None:
    group = Group()
    other = next(group.members[name] for name in INITIAL_VOTERS if name != group.leader.name)
    for change in (add_node, remove_node, transfer_leadership):
        with pytest.raises(RejectedError, match=r"^not the leader$") as error:
            change(other, group.now, other.name)
        assert error.value.leader == group.leader.name


@pytest.mark.parametrize("voter", [*INITIAL_VOTERS, "n4"])
def test_voter_is_not_added_twice(voter: str) -> None:
    """A member listed twice among the voters would count twice in a majority."""
    group = Group()
    for _ in range(2):
        add_node(group.leader, group.now, "n4")
        group.run(2.0)
    members = group.leader.membership
    with pytest.raises(RejectedError, match=r"takes part already$"):
        add_node(group.leader, group.now, voter)
    group.run(2.0)
    assert {member.membership for member in group.members.values()} == {members}


@pytest.mark.parametrize(
    "members",
    [
        Membership((*INITIAL_VOTERS, "n1")),
        Membership(INITIAL_VOTERS, (ADDED_IDENTITY, ADDED_IDENTITY)),
        Membership(INITIAL_VOTERS, ("n1",)),
    ],
    ids=str,
)
def test_membership_with_a_repeated_member_is_rejected(members: Membership) -> None:
    group = Group()
    with pytest.raises(RejectedError, match=r" takes part already$"):
        group.leader.change_membership(group.now, members)
