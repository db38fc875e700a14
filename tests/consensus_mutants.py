"""Deliberate errors in the log in common. Each must be found by a named claim; the product has no such switches."""

from __future__ import annotations

import random

from chutepin.consensus import Entry, Membership, PersistentState, RaftNode, RaftSettings, ReadReady, Role
from chutepin.consensus.identity import Identity, StoreStatus
from chutepin.consensus.messages import RequestVote
from chutepin.consensus.participant import Participant
from chutepin.consensus.replica import Replica, StateMachine, new_proposal_id
from chutepin.testbench.simulators.consensus import Parts


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
        self.before = self.replica.snapshot()
        super()._apply(now, entries)

    def compact(self, now: float) -> None:
        if self.replica.applied_index == self.raft.log.commit_index and self.before:
            self.raft.compact(now, self.before)
            self._from_core()


class _Forgetful(Replica):
    def snapshot(self) -> bytes:
        known, self._known = self._known, {}
        data = super().snapshot()
        self._known = known
        return data


class SessionsForgotten(Participant):
    """Which proposals were agreed is no part of the state that is kept."""

    def __init__(
        self,
        name: str,
        first: Membership,
        durable: PersistentState,
        machine: StateMachine,
        now: float,
        rng: random.Random,
        settings: RaftSettings,
    ) -> None:
        super().__init__(name, first, durable, machine, now, rng, settings)
        self.replica = _Forgetful(machine)


class IdsRepeat(Participant):
    """Chance begins anew with each process."""

    def new_proposal_id(self) -> bytes:
        return new_proposal_id(self.replica.applied_index // 8 * 8, 7)


class LostDiskVotes(Identity):
    """A voter needs nobody to have met its store."""

    def __init__(
        self, name: str, voters: tuple[str, ...], born: str, standing: StoreStatus | None, met: dict[str, str]
    ) -> None:
        super().__init__(name, voters, born, standing, met)
        if name in voters:
            self.standing = StoreStatus.CONFIRMED


class TellsUnagreed(Participant):
    """What it holds is told to those that follow, agreed or not."""

    def _feed(self, now: float) -> None:
        applied, self.replica.applied_index = (
            self.replica.applied_index,
            max(self.replica.applied_index, self.raft.log.last_index),
        )
        super()._feed(now)
        self.replica.applied_index = applied


# A planted error, the schedule that brings it out, and the claim that must find it.
PLANTED: dict[str, tuple[Parts, str, str]] = {
    "acknowledged before the sync": (Parts(acknowledges_early=True), "blackout", "one_state_at_an_index"),
    "no pre-vote": (Parts(core=NoPreVote), "deaf", "a_leader_stands"),
    "reads without a check": (Parts(core=ReadsAtOnce), "lone", "order_is_that_of_time"),
    "a snapshot that skips one": (Parts(member=SnapshotSkips), "power", "one_state_at_an_index"),
    "sessions forgotten": (Parts(member=SessionsForgotten), "lossy", "every_proposal_counts_once"),
    "ids that repeat": (Parts(member=IdsRepeat), "calm", "every_entry_is_one_proposal"),
    "a lost disk votes": (Parts(identity=LostDiskVotes), "wiped", "one_state_at_an_index"),
    "what is not agreed is told": (Parts(member=TellsUnagreed), "parted", "one_state_at_an_index"),
}
