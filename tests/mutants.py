"""Deliberate errors in the detector, each a subclass of the real one. Every one must be caught by the invariants."""

from __future__ import annotations

import random

from chutepin.cluster import Detector, Record, Status
from chutepin.cluster.anti_entropy import RepairPace
from chutepin.cluster.budget import ByteBudget
from chutepin.cluster.local_health import LocalHealth
from chutepin.cluster.member_table import MemberTable
from chutepin.cluster.membership_view import MembershipView
from chutepin.cluster.probe_state import Suspicion
from chutepin.cluster.records import MergeResult, Update
from chutepin.config.cluster import ClusterSetup


class NoRefutation(Detector):
    """It hears that it is accused and says nothing."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.refute = lambda record: None  # type: ignore[method-assign]


class IncarnationNotRaised(Detector):
    """It refutes at the incarnation at which it stands accused."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.raise_incarnation_above = lambda incarnation: self.view.queue.add(self.view.me)  # type: ignore[method-assign]


class NoHelpers(Detector):
    """It asks directly only."""

    def _helpers(self, subject: str) -> list[str]:
        return []


class _Sure(LocalHealth):
    def degrade(self, by: int = 1) -> None:
        """Never in doubt of itself."""


class NoLocalHealth(Detector):
    """It takes its own pauses for the silence of others."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.health = _Sure()

    def _catch_up(self, now: float) -> None:
        pass


class _Chatterbox(MembershipView):
    def repeats(self) -> int:
        return 10**9


class UnboundedRepeats(Detector):
    """It tells everything for ever."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view = _Chatterbox(self.view.me, setup.members, setup.remember)


class NoTimeToRefute(Detector):
    """The first accusation is a verdict."""

    def _deadline(self, accusation: Suspicion) -> float:
        accusation.verified = 2
        return accusation.began


class ForgetsTheDead(Detector):
    """It never asks the dead again."""

    def _wants_back(self) -> bool:
        return False

    def _join(self, now: float) -> None:
        if not self.view.joined:
            super()._join(now)


class EveryLinkIsWell(Detector):
    """It keeps to itself which links are bad."""

    def _links(self, now: float, subject: str, reaches: bool, hears: bool | None) -> None:
        pass


class SlowToAccuse(Detector):
    """It leaves an accused ten times as long."""

    def _deadline(self, accusation: Suspicion) -> float:
        return accusation.began + 10 * (super()._deadline(accusation) - accusation.began)


class _Gullible(MemberTable):
    def put(self, now: float, record: Record) -> MergeResult:
        member = self.members.get(record.name)
        if member is None or record.status is not Status.ALIVE:
            return super().put(now, record)
        news = record.incarnation != member.record.incarnation
        self.replace(member, record)
        return MergeResult.ACCEPTED if news else MergeResult.UNCHANGED


class TakesBackNews(Detector):
    """It believes whoever spoke last, whatever the incarnation."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view.table = _Gullible(setup.members, setup.remember)


class RepairsMoveWholeTables(Detector):
    """Its digests of buckets differ from everybody's, so that all records are moved."""

    def _digests(self, count: int) -> bytes:
        return bytes(self._rng.randrange(256) for _ in super()._digests(count))


class NoRepair(Detector):
    """It sees that views differ and does nothing."""

    def _compare(self, now: float, sender: str, digest: int) -> None:
        pass


class _Restless(RepairPace):
    def compare(self, now: float, mine: int, theirs: int, patience: float) -> bool:
        return mine != theirs


class RepairsWithoutPause(Detector):
    """It repairs at each digest that differs, also where gossip is still under way."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self._pace = _Restless(now, setup.sync_every)


class _Spendthrift(ByteBudget):
    def available(self, now: float) -> int:
        return 10**9


class _Unpressed(MembershipView):
    def pick_updates(self, room: int) -> list[Update]:
        return self.queue.pick(room, 10**9)


class NoBudget(Detector):
    """It tells everything for ever, however much waits, and nothing holds it back."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.view = _Unpressed(self.view.me, setup.members, setup.remember)
        self._budget = _Spendthrift(now)


class NeverForgets(Detector):
    """It keeps the names of all that ever left."""

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
