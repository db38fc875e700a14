"""Mutations of the replicated log. Each must break a named invariant; the product has no such switches."""

from __future__ import annotations

import random

from chutepin.consensus import Entry, Membership, PersistentState, RaftNode, RaftSettings, ReadReady, Role
from chutepin.consensus.identity import Identity, StoreStatus
from chutepin.consensus.messages import RequestVote
from chutepin.consensus.participant import Participant
from chutepin.consensus.replicated_state import ReplicatedState, StateMachine, new_proposal_id
from chutepin.testbench.simulators.consensus_hosts import Parts


class NoPreVote(RaftNode):
    """Whoever misses the leader raises the term at once, and everybody listens."""

    def campaign(self, now: float, role: Role, *, is_transfer: bool = False) -> None:
        super().campaign(now, Role.CANDIDATE, is_transfer=is_transfer)

    def _disregards(self, now: float, request: RequestVote) -> bool:
        return False


class ReadsAtOnce(RaftNode):
    """A leader answers reads without asking whether it still leads."""

    def read(self, read_id: int) -> None:
        self._require_leadership()
        self.state.effects.append(ReadReady(read_id, self.log.commit_index))


class SnapshotSkips(Participant):
    """The state that is kept is one entry old."""

    before = b""

    def _apply(self, now: float, entries: tuple[Entry, ...]) -> None:
        self.before = self.state.snapshot()
        super()._apply(now, entries)

    def compact(self, now: float) -> None:
        if self.state.applied_index == self.raft.log.commit_index and self.before:
            self.raft.compact(now, self.before)
            self._drain_raft()


class _Forgetful(ReplicatedState):
    def snapshot(self) -> bytes:
        decisions, self._decisions = self._decisions, {}
        data = super().snapshot()
        self._decisions = decisions
        return data


class SessionsForgotten(Participant):
    """Which proposals were committed is no part of the state that is kept."""

    def __init__(
        self,
        name: str,
        first: Membership,
        saved: PersistentState,
        machine: StateMachine,
        now: float,
        rng: random.Random,
        settings: RaftSettings,
        raft_type: type[RaftNode] = RaftNode,
    ) -> None:
        super().__init__(name, first, saved, machine, now, rng, settings, raft_type)
        self.state = _Forgetful(machine)


class IdsRepeat(Participant):
    """Chance begins anew with each process."""

    def new_proposal_id(self) -> bytes:
        return new_proposal_id(self.state.applied_index // 8 * 8, 7)


class LostDiskVotes(Identity):
    """A voter needs nobody to have met its store."""

    def __init__(
        self, name: str, voters: tuple[str, ...], born: str, standing: StoreStatus | None, met: dict[str, str]
    ) -> None:
        super().__init__(name, voters, born, standing, met)
        if name in voters:
            self.status = StoreStatus.CONFIRMED


class TellsUnagreed(Participant):
    """What it holds is told to those that follow, agreed or not."""

    def _answer_fetches(self, now: float) -> None:
        applied, self.state.applied_index = (
            self.state.applied_index,
            max(self.state.applied_index, self.raft.log.last_index),
        )
        super()._answer_fetches(now)
        self.state.applied_index = applied


# By name: the mutated part, the schedule that brings the error out, the invariant that it breaks.
MUTANTS: dict[str, tuple[Parts, str, str]] = {
    "acknowledged before the sync": (Parts(acknowledges_early=True), "blackout", "equal_logs_up_to_equal_index"),
    "no pre-vote": (Parts(raft=NoPreVote), "deaf", "leader_changes_have_a_cause"),
    "reads without a check": (Parts(raft=ReadsAtOnce), "lone", "requests_are_linearizable"),
    "a snapshot that skips one": (Parts(participant=SnapshotSkips), "power", "equal_logs_up_to_equal_index"),
    "sessions forgotten": (Parts(participant=SessionsForgotten), "lossy", "proposals_are_applied_once"),
    "ids that repeat": (Parts(participant=IdsRepeat), "calm", "one_proposal_per_index"),
    "a lost disk votes": (Parts(identity=LostDiskVotes), "wiped", "equal_logs_up_to_equal_index"),
    "what is not agreed is told": (Parts(participant=TellsUnagreed), "parted", "equal_logs_up_to_equal_index"),
}
