"""Accusations: who failed this member's probe is tested again until its time is up, and let go at any answer. Pure."""

from __future__ import annotations

import random

from ..config.cluster import ClusterSetup
from .probe_state import WITNESS_COUNT, ProbeReason, Suspicion, suspicion_time
from .probing import Probing
from .records import Status

SUSPICION_CHECK_INTERVAL_S = 0.1  # seconds between looks at an accusation


class Accusing(Probing):
    """One member as it accuses."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self._accusations: dict[str, Suspicion] = {}

    def _look_at_suspects(self, now: float, certain: int = 0) -> None:
        """Some of those that hear of an accusation test it at once: about three, however many members there are. The
        first `certain` are tested in any case."""
        reported_suspects, self.view.reported_suspects = self.view.reported_suspects, []
        for number, (name, by) in enumerate(reported_suspects):
            chance = 1.0 if number < certain else WITNESS_COUNT / max(1, self.view.live_count - 2)
            if by != self.me.name and self._rng.random() < chance:
                self._probe(now, name, ProbeReason.SCHEDULED)

    def _lonely(self, now: float) -> bool:
        """Nobody has answered this member lately."""
        window = 4 * self._setup.probe_every * self.health.timeout_multiplier
        return now - self.health.last_answered_at > window

    def _accuse(self, now: float, subject: str) -> None:
        """The own probe has failed. A member that gets no answer from anybody keeps its doubt to itself."""
        member = self.view.table.members.get(subject)
        if member is None or not member.record.live or subject in self._accusations:
            return
        record = member.record._replace(status=Status.SUSPECT, by=self.me.name)
        self._accusations[subject] = Suspicion(subject, record.incarnation, now, now, now)
        queued = len(self.view.queue)
        self.view.merge(now, record)
        self.view.reported_suspects.clear()
        if self._lonely(now) and len(self.view.queue) > queued:
            self.view.queue.remove(record)

    def _withdraw(self, subject: str) -> None:
        """The subject has answered."""
        if self._accusations.pop(subject, None) is not None:
            self.view.record_event("withdrawn", subject, by=self.me.name)

    def _deadline(self, accusation: Suspicion) -> float:
        member = self.view.table.members[accusation.subject]
        others = sum(by != self.me.name for by in member.suspected_by)
        least = suspicion_time(self._setup.suspect_least, self._setup.suspect_most, self.view.live_count, others)
        # Doubt of oneself stretches it, but not past the time after which even one that hears nobody makes up its mind.
        return accusation.began + max(least, min(self.health.timeout_multiplier * least, self._setup.alone))

    def _hold(self, now: float, accusation: Suspicion) -> None:
        """Test an accused again, or judge it once its time is up."""
        member = self.view.table.members.get(accusation.subject)
        if (
            member is None
            or member.record.status is not Status.SUSPECT
            or member.record.incarnation != accusation.incarnation
        ):
            del self._accusations[accusation.subject]
            return
        alone = self._lonely(now) and now < accusation.began + self._setup.alone
        if now >= self._deadline(accusation) and accusation.verified >= 2 and not alone:
            del self._accusations[accusation.subject]
            self.view.counts["declared"] += 1
            self.view.merge(now, member.record._replace(status=Status.DEAD, by=self.me.name))
            return
        accusation.next = now + SUSPICION_CHECK_INTERVAL_S
        if now >= accusation.verify_at:
            accusation.verify_at = now + self._setup.probe_every
            accusation.verified += 1
            self._probe(now, accusation.subject, ProbeReason.VERIFICATION)
