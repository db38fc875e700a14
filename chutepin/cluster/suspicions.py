"""Suspicions: a member that failed this member's probe is probed again until its time is up. Pure.

Only a member whose own probe has failed holds a suspicion, and any answer ends it."""

from __future__ import annotations

import math

from .context import MemberContext
from .probe_state import Suspicion, suspicion_timeout
from .records import Status

CHECK_INTERVAL_S = 0.1  # between checks of a suspicion
MIN_VERIFICATIONS = 2  # probes that must have been begun before a suspect is declared dead
UNANSWERED_PROBE_PERIODS = 4  # without any answer after which a member takes itself for cut off


class Suspicions:
    """The suspicions that one member holds itself."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._by_subject: dict[str, Suspicion] = {}

    def is_unanswered(self, now: float) -> bool:
        """Whether no member at all has answered this one lately."""
        context = self._context
        window = UNANSWERED_PROBE_PERIODS * context.scaled(context.settings.probe_every)
        return now - context.health.last_answered_at > window

    def add(self, now: float, subject: str) -> None:
        """Suspect a member whose probe has failed.

        A member that gets no answer from anybody does not spread it: its own silence explains more than the death of
        all others."""
        view = self._context.view
        member = view.table.members.get(subject)
        if member is None or not member.record.live or subject in self._by_subject:
            return
        record = member.record._replace(status=Status.SUSPECT, by=view.me.name)
        self._by_subject[subject] = Suspicion(subject, record.incarnation, now, now, now)
        queued = len(view.queue)
        view.merge(now, record)
        view.reported_suspects.clear()
        if self.is_unanswered(now) and len(view.queue) > queued:
            view.queue.remove(record)

    def withdraw(self, subject: str) -> None:
        """End a suspicion, as the subject has answered."""
        if self._by_subject.pop(subject, None) is not None:
            self._context.view.record_event("withdrawn", subject, by=self._context.me.name)

    def deadline(self, suspicion: Suspicion) -> float:
        """When the suspect is declared dead, unless it answers or refutes."""
        context = self._context
        settings = context.settings
        member = context.view.table.members[suspicion.subject]
        confirmations = sum(by != context.me.name for by in member.suspected_by)
        timeout = suspicion_timeout(
            settings.suspect_least, settings.suspect_most, context.view.live_count, confirmations
        )
        # Bad local health stretches it, but not past the time after which a member that hears nobody decides, too.
        return suspicion.started_at + max(timeout, min(context.scaled(timeout), settings.alone))

    def due(self, now: float) -> list[Suspicion]:
        """Return the suspicions that are to be advanced."""
        return [suspicion for suspicion in self._by_subject.values() if now >= suspicion.next_check_at]

    def advance(self, now: float, suspicion: Suspicion) -> bool:
        """Drop a suspicion that is over, or declare its subject dead; whether the subject is to be probed again."""
        view = self._context.view
        member = view.table.members.get(suspicion.subject)
        if (
            member is None
            or member.record.status is not Status.SUSPECT
            or member.record.incarnation != suspicion.incarnation
        ):
            del self._by_subject[suspicion.subject]
            return False
        alone = self.is_unanswered(now) and now < suspicion.started_at + self._context.settings.alone
        if now >= self.deadline(suspicion) and suspicion.verifications >= MIN_VERIFICATIONS and not alone:
            del self._by_subject[suspicion.subject]
            view.counts["declared_dead"] += 1
            view.merge(now, member.record._replace(status=Status.DEAD, by=view.me.name))
            return False
        suspicion.next_check_at = now + CHECK_INTERVAL_S
        if now < suspicion.verify_at:
            return False
        suspicion.verify_at = now + self._context.settings.probe_every
        suspicion.verifications += 1
        return True

    def next_due(self) -> float:
        """When the next suspicion is to be advanced."""
        if not self._by_subject:
            return math.inf
        return min(suspicion.next_check_at for suspicion in self._by_subject.values())

    def postpone(self, seconds: float) -> None:
        """Shift all deadlines."""
        for suspicion in self._by_subject.values():
            suspicion.started_at += seconds
            suspicion.verify_at += seconds
            suspicion.next_check_at += seconds

    def clear(self) -> None:
        """Drop all suspicions."""
        self._by_subject.clear()
