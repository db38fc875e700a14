"""Mutants of the detector: subclasses with one deliberate fault each, which a certain invariant must catch."""

from __future__ import annotations

import random

from chutepin.cluster import Detector, Record, Status
from chutepin.cluster.anti_entropy import RepairSchedule
from chutepin.cluster.budget import ByteBudget
from chutepin.cluster.joining import Joining
from chutepin.cluster.local_health import LocalHealth
from chutepin.cluster.member_table import MemberTable
from chutepin.cluster.membership_view import MembershipView
from chutepin.cluster.probe_state import Suspicion
from chutepin.cluster.records import MergeResult, Update
from chutepin.config.cluster import ClusterSetup


class NoRefutation(Detector):
    """A detector that does not refute suspicions of itself."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.refute = lambda record: None  # type: ignore[method-assign]


class IncarnationNotRaised(Detector):
    """A detector that refutes without raising its incarnation."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.raise_incarnation_above = lambda incarnation: self.view.queue.add(self.view.me)  # type: ignore[method-assign]


class NoHelpers(Detector):
    """A detector without indirect probes."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.link_checks.choose_helpers = lambda subject: []  # type: ignore[method-assign]


class _AlwaysHealthy(LocalHealth):
    def degrade(self, amount: int = 1) -> None:
        """Ignore local faults."""


class NoLocalHealth(Detector):
    """A detector without local health that blames other members for its own delays."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.context.health = _AlwaysHealthy()

    def _compensate_delay(self, now: float) -> None:
        pass


class _UnboundedRepeatsView(MembershipView):
    def repeats(self) -> int:
        return 10**9


class UnboundedRepeats(Detector):
    """A detector that gossips each update without bound."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.context.view = _UnboundedRepeatsView(self.view.me, setup.members, setup.remember)


class NoSuspicionTimeout(Detector):
    """A detector that declares a suspect dead without a suspicion time-out."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.suspicions.deadline = self._expire_at_once  # type: ignore[method-assign]

    @staticmethod
    def _expire_at_once(suspicion: Suspicion) -> float:
        suspicion.verifications = 2
        return suspicion.started_at


class _NoReconnect(Joining):
    def dead_count(self) -> int:
        return 0

    def _contact_seed(self, now: float) -> None:
        if not self._context.view.joined:
            super()._contact_seed(now)


class NoReconnectProbes(Detector):
    """A detector that never contacts a dead member again."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.joining = _NoReconnect(self.context, self.send_queue, self.state_exchange, self.probing, now)


class NoLinkReports(Detector):
    """A detector that records no bad links."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.link_checks.record = lambda now, subject, outbound_works, inbound_works: None  # type: ignore[method-assign]


class SlowSuspicion(Detector):
    """A detector whose suspicion time-out is ten times as long."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        deadline = self.suspicions.deadline
        self.suspicions.deadline = lambda suspicion: (  # type: ignore[method-assign]
            suspicion.started_at + 10 * (deadline(suspicion) - suspicion.started_at)
        )


class _LastWriteWinsTable(MemberTable):
    def put(self, now: float, record: Record) -> MergeResult:
        member = self.members.get(record.name)
        if member is None or record.status is not Status.ALIVE:
            return super().put(now, record)
        changed = record.incarnation != member.record.incarnation
        self.replace(member, record)
        return MergeResult.ACCEPTED if changed else MergeResult.UNCHANGED


class LastWriteWins(Detector):
    """A detector that merges the last received alive record, whatever its incarnation."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.table = _LastWriteWinsTable(setup.members, setup.remember)


class DigestsAlwaysDiffer(Detector):
    """A detector whose bucket digests are random, so that each repair transfers all records."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        bucket_digests = self.state_exchange.bucket_digests
        self.state_exchange.bucket_digests = lambda count: bytes(  # type: ignore[method-assign]
            rng.randrange(256) for _ in bucket_digests(count)
        )


class NoRepair(Detector):
    """A detector that ignores differing digests."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.state_exchange.compare_digest = lambda now, sender, digest: None  # type: ignore[method-assign]


class _AlwaysRepair(RepairSchedule):
    def compare(self, now: float, own: int, peer: int, dissemination_time: float) -> bool:
        return own != peer


class NoRepairPause(Detector):
    """A detector that repairs at each differing digest, even during dissemination by gossip."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.state_exchange.repair_schedule = _AlwaysRepair(now, setup.sync_every)


class _UnlimitedBudget(ByteBudget):
    def available(self, now: float) -> int:
        return 10**9


class _UnboundedPicksView(MembershipView):
    def pick_updates(self, room: int) -> list[Update]:
        return self.queue.pick(room, 10**9)


class NoByteBudget(Detector):
    """A detector that gossips each update without bound and has no byte budget."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.context.view = _UnboundedPicksView(self.view.me, setup.members, setup.remember)
        self.context.budget = _UnlimitedBudget(now)


class NoExpiry(Detector):
    """A detector that never removes members that left."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.table.expired = lambda now: []  # type: ignore[method-assign]


ALL: tuple[type[Detector], ...] = (
    NoRefutation,
    IncarnationNotRaised,
    NoHelpers,
    NoLocalHealth,
    UnboundedRepeats,
    NoSuspicionTimeout,
    NoReconnectProbes,
    NoLinkReports,
    SlowSuspicion,
    LastWriteWins,
)

DISSEMINATION: tuple[type[Detector], ...] = (
    DigestsAlwaysDiffer,
    NoRepair,
    NoRepairPause,
    NoByteBudget,
    NoExpiry,
)
