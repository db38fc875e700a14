"""Mutants of the consensus package, each of which must violate a named invariant in the simulator."""

from __future__ import annotations

import random

from chutepin.consensus import Entry, Membership, PersistentState, RaftNode, RaftSettings, ReadReady, Role
from chutepin.consensus.identity import Identity, StoreStatus
from chutepin.consensus.messages import RequestVote
from chutepin.consensus.participant import Participant
from chutepin.consensus.replicated_state import ReplicatedState, StateMachine, new_proposal_id
from chutepin.testbench.simulators.consensus_hosts import Parts


class NoPreVote(RaftNode):
    """A mutant that starts elections without a pre-vote and ignores no vote request."""

    def campaign(self, now: float, role: Role, *, is_transfer: bool = False) -> None:
        super().campaign(now, Role.CANDIDATE, is_transfer=is_transfer)

    def _ignores_vote_request(self, now: float, request: RequestVote) -> bool:
        return False


class ReadsWithoutHeartbeat(RaftNode):
    """A mutant leader that serves reads without a heartbeat round that confirms its leadership."""

    def read(self, read_id: int) -> None:
        self._require_leadership()
        self.state.effects.append(ReadReady(read_id, self.log.commit_index))


class SnapshotLacksLastEntry(Participant):
    """A mutant whose snapshots hold the state before the last applied entries."""

    state_before_last_entry = b""

    def _apply(self, now: float, entries: tuple[Entry, ...]) -> None:
        self.state_before_last_entry = self.state.snapshot()
        super()._apply(now, entries)

    def compact(self, now: float) -> None:
        if self.state.applied_index == self.raft.log.commit_index and self.state_before_last_entry:
            self.raft.compact(now, self.state_before_last_entry)
            self._drain_raft()


class _SnapshotWithoutDecisions(ReplicatedState):
    def snapshot(self) -> bytes:
        decisions, self._decisions = self._decisions, {}
        data = super().snapshot()
        self._decisions = decisions
        return data


class DropsDecisionsInSnapshot(Participant):
    """A mutant whose snapshots lack the decisions on proposal ids."""

    def __init__(
        self,
        name: str,
        initial_membership: Membership,
        saved: PersistentState,
        machine: StateMachine,
        now: float,
        rng: random.Random,
        settings: RaftSettings,
        raft_type: type[RaftNode] = RaftNode,
    ) -> None:
        super().__init__(name, initial_membership, saved, machine, now, rng, settings, raft_type)
        self.state = _SnapshotWithoutDecisions(machine)


class RepeatsProposalIds(Participant):
    """A mutant that generates the same proposal ids again after a restart."""

    def new_proposal_id(self) -> bytes:
        return new_proposal_id(self.state.applied_index // 8 * 8, 7)


class LostStoreVotes(Identity):
    """A mutant that votes without the acknowledgements of its store by the other voters."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        store_id: str,
        status: StoreStatus | None,
        known_stores: dict[str, str],
    ) -> None:
        super().__init__(name, voters, store_id, status, known_stores)
        if name in voters:
            self.status = StoreStatus.CONFIRMED


class ServesUncommittedEntries(Participant):
    """A mutant that serves fetches from its whole log, including uncommitted entries."""

    def _answer_fetches(self, now: float) -> None:
        applied, self.state.applied_index = (
            self.state.applied_index,
            max(self.state.applied_index, self.raft.log.last_index),
        )
        super()._answer_fetches(now)
        self.state.applied_index = applied


# By name: the mutated component, the schedule that triggers the fault, and the invariant that it violates.
MUTANTS: dict[str, tuple[Parts, str, str]] = {
    "acknowledgement before sync": (
        Parts(acknowledges_early=True),
        "simultaneous_power_cuts",
        "equal_logs_up_to_equal_index",
    ),
    "no pre-vote": (Parts(raft=NoPreVote), "one_way_partition", "leader_changes_have_a_cause"),
    "reads without a heartbeat round": (
        Parts(raft=ReadsWithoutHeartbeat),
        "isolated_voters",
        "requests_are_linearizable",
    ),
    "snapshot without the last entry": (
        Parts(participant=SnapshotLacksLastEntry),
        "power_cuts",
        "equal_logs_up_to_equal_index",
    ),
    "snapshot without decisions": (
        Parts(participant=DropsDecisionsInSnapshot),
        "message_loss",
        "proposals_are_applied_once",
    ),
    "repeated proposal ids": (Parts(participant=RepeatsProposalIds), "no_faults", "one_proposal_per_index"),
    "vote with a lost store": (Parts(identity=LostStoreVotes), "wiped_disk", "equal_logs_up_to_equal_index"),
    "uncommitted entries served": (
        Parts(participant=ServesUncommittedEntries),
        "partitions",
        "equal_logs_up_to_equal_index",
    ),
}
