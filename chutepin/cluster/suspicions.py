"""Suspicions that this member raised: the suspect is probed again until the suspicion times out. Sans-I/O.

Only the member whose own probe failed keeps a suspicion timer, and any ack from the suspect ends the suspicion."""

from __future__ import annotations

import math

from .context import MemberContext
from .probe_state import Suspicion, suspicion_timeout
from .records import Status

CHECK_INTERVAL_S = 0.1  # between checks of a suspicion's deadline
MIN_VERIFICATIONS = 2  # verification probes started before a suspect may be declared dead
UNANSWERED_PROBE_PERIODS = 4  # without any ack, after which this member considers itself cut off


class Suspicions:
    """The suspicions that one member raised itself."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._by_subject: dict[str, Suspicion] = {}

    def has_no_recent_answer(self, now: float) -> bool:
        """Return whether no member has answered a probe within the last `UNANSWERED_PROBE_PERIODS`."""
        context = self._context
        window = UNANSWERED_PROBE_PERIODS * context.scaled(context.settings.probe_every)
        return now - context.health.last_answered_at > window

    def add(self, now: float, subject: str) -> None:
        """Suspect a member whose probe has failed.

        If no member answers, the suspicion is not disseminated: this member's own isolation is a likelier cause than
        the failure of all others."""
        view = self._context.view
        member = view.table.members.get(subject)
        if member is None or not member.record.live or subject in self._by_subject:
            return
        record = member.record._replace(status=Status.SUSPECT, by=view.me.name)
        self._by_subject[subject] = Suspicion(subject, record.incarnation, now, now, now)
        queued = len(view.queue)
        view.merge(now, record)
        view.reported_suspects.clear()
        if self.has_no_recent_answer(now) and len(view.queue) > queued:
            view.queue.remove(record)

    def withdraw(self, subject: str) -> None:
        """End the suspicion of a subject that has answered."""
        if self._by_subject.pop(subject, None) is not None:
            self._context.view.record_event("withdrawn", subject, by=self._context.me.name)

    def deadline(self, suspicion: Suspicion) -> float:
        """Return when the suspect is declared dead unless it answers or refutes."""
        context = self._context
        settings = context.settings
        member = context.view.table.members[suspicion.subject]
        confirmations = sum(by != context.me.name for by in member.suspected_by)
        timeout = suspicion_timeout(
            settings.suspect_least, settings.suspect_most, context.view.live_count, confirmations
        )
        # Poor local health extends the time-out, at most to `alone`, after which an isolated member decides as well.
        return suspicion.started_at + max(timeout, min(context.scaled(timeout), settings.alone))

    def due(self, now: float) -> list[Suspicion]:
        """Return the suspicions whose next check is due."""
        return [suspicion for suspicion in self._by_subject.values() if now >= suspicion.next_check_at]

    def advance(self, now: float, suspicion: Suspicion) -> bool:
        """Drop a suspicion that has ended, or declare its subject dead after the deadline.

        Returns whether the subject is to be probed again."""
        view = self._context.view
        member = view.table.members.get(suspicion.subject)
        if (
            member is None
            or member.record.status is not Status.SUSPECT
            or member.record.incarnation != suspicion.incarnation
        ):
            del self._by_subject[suspicion.subject]
            return False
        cut_off = self.has_no_recent_answer(now) and now < suspicion.started_at + self._context.settings.alone
        if now >= self.deadline(suspicion) and suspicion.verifications >= MIN_VERIFICATIONS and not cut_off:
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
        """Return when the next check of a suspicion is due."""
        if not self._by_subject:
            return math.inf
        return min(suspicion.next_check_at for suspicion in self._by_subject.values())

    def postpone(self, seconds: float) -> None:
        """Shift all deadlines by so many seconds."""
        for suspicion in self._by_subject.values():
            suspicion.started_at += seconds
            suspicion.verify_at += seconds
            suspicion.next_check_at += seconds

    def clear(self) -> None:
        """Drop all suspicions."""
        self._by_subject.clear()
