"""Link checks: find the failed direction of the link to a member that only indirect probes reach. Sans-I/O."""

from __future__ import annotations

import math

from .context import MemberContext
from .messages import PingReq, ProbeResult
from .probe_state import LINK_RECHECK_PINGS, MAX_LINK_CHECKS, LinkCheck
from .send_queue import SendQueue


class LinkChecks:
    """The checks of one member's own links."""

    def __init__(self, context: MemberContext, send_queue: SendQueue) -> None:
        self._context = context
        self._send_queue = send_queue
        self._by_subject: dict[str, LinkCheck] = {}
        self._subject_by_nonce: dict[int, str] = {}
        self._recheck_at: dict[str, float] = {}

    def choose_helpers(self, subject: str) -> list[str]:
        """Choose random helpers for an indirect probe, preferring members without known bad links."""
        view = self._context.view
        live = view.table.live()
        unreliable = {name for link in view.links.own for name in link}
        others = [name for name in live if name != subject and name not in unreliable]
        if not others:
            others = [name for name in live if name != subject]
        return self._context.rng.sample(others, min(self._context.settings.helpers, len(others)))

    def is_bad(self, subject: str) -> bool:
        """Return whether the link to or from this subject is recorded as bad."""
        return any(subject in link for link in self._context.view.links.own)

    def start(self, now: float, subject: str, pings: int) -> None:
        """Start a check of a link with so many direct pings, unless one is pending."""
        if subject in self._by_subject or len(self._by_subject) >= MAX_LINK_CHECKS:
            return
        self._by_subject[subject] = LinkCheck(subject, now, now, pings)

    def due(self, now: float) -> list[LinkCheck]:
        """Return the checks whose next step is due."""
        return [check for check in self._by_subject.values() if now >= check.next_step_at]

    def advance(self, now: float, check: LinkCheck) -> None:
        """Run the next step: a direct ping while any are left, then PingReq to helpers, then the conclusion."""
        context = self._context
        if not context.view.table.is_live(check.subject) or check.helpers_asked:
            self._conclude(now, check)
            return
        nonce = self._send_queue.next_nonce()
        check.nonces.append(nonce)
        self._subject_by_nonce[nonce] = check.subject
        if check.pings_left > 0:
            check.pings_left -= 1
            check.next_step_at = now + context.scaled(context.settings.probe_timeout)
            self._send_queue.ping(check.subject, nonce)
            return
        check.helpers_asked = True
        check.next_step_at = now + context.scaled(context.settings.probe_every)
        for helper in self.choose_helpers(check.subject):
            self._send_queue.send(helper, PingReq(nonce, check.subject))

    def handle_ack(self, now: float, nonce: int, subject: str) -> None:
        """Process a direct ack, if it answers a ping of a link check."""
        if self._subject_by_nonce.get(nonce) == subject and subject in self._by_subject:
            check = self._by_subject[subject]
            check.acked = True
            self._conclude(now, check)

    def handle_result(self, now: float, result: ProbeResult) -> bool:
        """Process a helper's result; return False if it belongs to no link check."""
        check = self._by_subject.get(result.subject)
        if check is None or result.nonce not in check.nonces:
            return False
        if result.answered:
            check.last_heard_ms = result.last_heard_ms
            self._conclude(now, check)
        return True

    def _conclude(self, now: float, check: LinkCheck) -> None:
        """End a check, and record the direction or directions of the link whose state it has proven."""
        del self._by_subject[check.subject]
        for nonce in check.nonces:
            self._subject_by_nonce.pop(nonce, None)
        member = self._context.view.table.members.get(check.subject)
        if member is None or not member.record.live:
            return
        if check.acked:
            self.record(now, check.subject, True, True)
        elif check.last_heard_ms is not None:
            outbound_works = 0 <= check.last_heard_ms <= 1000 * (now - check.started_at)
            inbound_works = member.last_heard >= check.started_at
            # If the own pings do not arrive, the subject has nothing to ack, so missing acks prove nothing.
            self.record(now, check.subject, outbound_works, inbound_works if outbound_works or inbound_works else None)

    def record(self, now: float, subject: str, outbound_works: bool, inbound_works: bool | None) -> None:
        """Record the state of the link to a member and of the link from it (None: unknown)."""
        view = self._context.view
        view.record_link(now, view.me.name, subject, not outbound_works)
        if inbound_works is not None:
            view.record_link(now, subject, view.me.name, not inbound_works)
        if self.is_bad(subject):
            self._recheck_at[subject] = now + self._context.settings.link_every
        else:
            self._recheck_at.pop(subject, None)

    def recheck_bad_links(self, now: float) -> None:
        """Start the due rechecks of bad links."""
        for subject, at in list(self._recheck_at.items()):
            if not self._context.view.table.is_live(subject):
                del self._recheck_at[subject]
            elif now >= at:
                self._recheck_at[subject] = now + self._context.settings.link_every
                self.start(now, subject, LINK_RECHECK_PINGS)

    def next_due(self) -> float:
        """Return when the next step of a check is due."""
        if not self._by_subject:
            return math.inf
        return min(check.next_step_at for check in self._by_subject.values())

    def postpone(self, seconds: float) -> None:
        """Shift all deadlines by so many seconds."""
        for check in self._by_subject.values():
            check.started_at += seconds
            check.next_step_at += seconds

    def clear(self) -> None:
        """Cancel all pending checks."""
        self._by_subject.clear()
        self._subject_by_nonce.clear()
