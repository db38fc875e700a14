"""Mutants of the detector, each a subclass with one deliberate error that a named invariant must catch."""

from __future__ import annotations

import random

from chutepin.cluster import Detector, Record, Status
from chutepin.cluster.anti_entropy import RepairPace
from chutepin.cluster.budget import ByteBudget
from chutepin.cluster.joining import Joining
from chutepin.cluster.local_health import LocalHealth
from chutepin.cluster.member_table import MemberTable
from chutepin.cluster.membership_view import MembershipView
from chutepin.cluster.probe_state import Suspicion
from chutepin.cluster.records import MergeResult, Update
from chutepin.config.cluster import ClusterSetup


class NoRefutation(Detector):
    """It does not refute suspicions of itself."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.refute = lambda record: None  # type: ignore[method-assign]


class IncarnationNotRaised(Detector):
    """It refutes without raising its incarnation."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.raise_incarnation_above = lambda incarnation: self.view.queue.add(self.view.me)  # type: ignore[method-assign]


class NoHelpers(Detector):
    """It makes no indirect probes."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.link_checks.helpers = lambda subject: []  # type: ignore[method-assign]


class _AlwaysHealthy(LocalHealth):
    def degrade(self, by: int = 1) -> None:
        """Stay healthy."""


class NoLocalHealth(Detector):
    """It has no local health, and takes its own pauses for the silence of others."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.context.health = _AlwaysHealthy()

    def _absorb_delay(self, now: float) -> None:
        pass


class _UnboundedRepeatsView(MembershipView):
    def repeats(self) -> int:
        return 10**9


class UnboundedRepeats(Detector):
    """It gossips each update without bound."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.context.view = _UnboundedRepeatsView(self.view.me, setup.members, setup.remember)


class NoTimeToRefute(Detector):
    """It declares a suspect dead at once."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.suspicions.deadline = self._decide_at_once  # type: ignore[method-assign]

    @staticmethod
    def _decide_at_once(suspicion: Suspicion) -> float:
        suspicion.verifications = 2
        return suspicion.started_at


class _NoReconnect(Joining):
    def dead_count(self) -> int:
        return 0

    def _contact_seed(self, now: float) -> None:
        if not self._context.view.joined:
            super()._contact_seed(now)


class ForgetsTheDead(Detector):
    """It never contacts a dead member again."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.joining = _NoReconnect(self.context, self.send_queue, self.state_exchange, self.probing, now)


class EveryLinkIsWell(Detector):
    """It records no bad link."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.link_checks.record = lambda now, subject, reaches, heard: None  # type: ignore[method-assign]


class SlowToAccuse(Detector):
    """It suspects for ten times as long."""

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
        news = record.incarnation != member.record.incarnation
        self.replace(member, record)
        return MergeResult.ACCEPTED if news else MergeResult.UNCHANGED


class TakesBackNews(Detector):
    """It merges the last record, whatever the incarnation."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.table = _LastWriteWinsTable(setup.members, setup.remember)


class RepairsMoveWholeTables(Detector):
    """Its digests of buckets differ from everybody's, so that all records are moved."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        digests = self.state_exchange.digests
        self.state_exchange.digests = lambda count: bytes(  # type: ignore[method-assign]
            rng.randrange(256) for _ in digests(count)
        )


class NoRepair(Detector):
    """It ignores digests that differ."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.state_exchange.compare_digest = lambda now, sender, digest: None  # type: ignore[method-assign]


class _UnpacedRepairs(RepairPace):
    def compare(self, now: float, mine: int, theirs: int, patience: float) -> bool:
        return mine != theirs


class RepairsWithoutPause(Detector):
    """It repairs at each digest that differs, also where gossip is still under way."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.state_exchange.pace = _UnpacedRepairs(now, setup.sync_every)


class _UnlimitedBudget(ByteBudget):
    def available(self, now: float) -> int:
        return 10**9


class _UnboundedPicksView(MembershipView):
    def pick_updates(self, room: int) -> list[Update]:
        return self.queue.pick(room, 10**9)


class NoBudget(Detector):
    """It gossips each update without bound, and has no byte budget."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.context.view = _UnboundedPicksView(self.view.me, setup.members, setup.remember)
        self.context.budget = _UnlimitedBudget(now)


class NeverForgets(Detector):
    """It never forgets members that left."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.table.expired = lambda now: []  # type: ignore[method-assign]


ALL: tuple[type[Detector], ...] = (
    NoRefutation,
    IncarnationNotRaised,
    NoHelpers,
    NoLocalHealth,
    UnboundedRepeats,
    NoTimeToRefute,
    ForgetsTheDead,
    EveryLinkIsWell,
    SlowToAccuse,
    TakesBackNews,
)

DISSEMINATION_S: tuple[type[Detector], ...] = (
    RepairsMoveWholeTables,
    NoRepair,
    RepairsWithoutPause,
    NoBudget,
    NeverForgets,
)
