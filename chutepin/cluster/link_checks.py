"""Link checks: does a member that only helpers can reach hear this one, and does this one hear it? Pure."""

from __future__ import annotations

import math

from .context import MemberContext
from .messages import PingReq, ProbeResult
from .probe_state import LINK_RECHECK_PINGS, MAX_LINK_CHECKS, LinkCheck
from .send_queue import SendQueue


class LinkChecks:
    """The checks that one member makes of its own links."""

    def __init__(self, context: MemberContext, send_queue: SendQueue) -> None:
        self._context = context
        self._send_queue = send_queue
        self._by_subject: dict[str, LinkCheck] = {}
        self._subject_by_nonce: dict[int, str] = {}
        self._recheck_at: dict[str, float] = {}

    def helpers(self, subject: str) -> list[str]:
        """Draw helpers for an indirect probe: none over a link that is known to be bad, if there are others."""
        view = self._context.view
        live = view.table.live()
        unreliable = {name for link in view.links.own for name in link}
        others = [name for name in live if name != subject and name not in unreliable]
        if not others:
            others = [name for name in live if name != subject]
        return self._context.rng.sample(others, min(self._context.settings.helpers, len(others)))

    def is_bad(self, subject: str) -> bool:
        """Whether a link with this member is known to be bad."""
        return any(subject in link for link in self._context.view.links.own)

    def start(self, now: float, subject: str, pings: int) -> None:
        """Begin to check a link with so many direct pings, unless a check is under way."""
        if subject in self._by_subject or len(self._by_subject) >= MAX_LINK_CHECKS:
            return
        self._by_subject[subject] = LinkCheck(subject, now, now, pings)

    def due(self, now: float) -> list[LinkCheck]:
        """Return the checks whose next step is due."""
        return [check for check in self._by_subject.values() if now >= check.next_step_at]

    def advance(self, now: float, check: LinkCheck) -> None:
        """Send one more direct ping; then ask helpers what the other side has heard; then conclude."""
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
        for helper in self.helpers(check.subject):
            self._send_queue.send(helper, PingReq(nonce, check.subject))

    def handle_ack(self, now: float, nonce: int, subject: str) -> None:
        """Take in a direct ack, if it is one to a ping of a check."""
        if self._subject_by_nonce.get(nonce) == subject and subject in self._by_subject:
            check = self._by_subject[subject]
            check.acked = True
            self._conclude(now, check)

    def handle_result(self, now: float, result: ProbeResult) -> bool:
        """Take in what a helper found; false if no check had asked for it."""
        check = self._by_subject.get(result.subject)
        if check is None or result.nonce not in check.nonces:
            return False
        if result.answered:
            check.last_heard_ms = result.last_heard_ms
            self._conclude(now, check)
        return True

    def _conclude(self, now: float, check: LinkCheck) -> None:
        """End a check and record what is proven: what the other side has heard, or that it was heard here."""
        del self._by_subject[check.subject]
        for nonce in check.nonces:
            self._subject_by_nonce.pop(nonce, None)
        member = self._context.view.table.members.get(check.subject)
        if member is None or not member.record.live:
            return
        if check.acked:
            self.record(now, check.subject, True, True)
        elif check.last_heard_ms is not None:
            reaches = 0 <= check.last_heard_ms <= 1000 * (now - check.started_at)
            heard = member.last_heard >= check.started_at
            # Where the own pings do not arrive no answer was to be expected, so silence proves nothing.
            self.record(now, check.subject, reaches, heard if reaches or heard else None)

    def record(self, now: float, subject: str, reaches: bool, heard: bool | None) -> None:
        """Record the state of the link to a member (`reaches`) and of that from it (`heard`; None: not known)."""
        view = self._context.view
        view.record_link(now, view.me.name, subject, not reaches)
        if heard is not None:
            view.record_link(now, subject, view.me.name, not heard)
        if self.is_bad(subject):
            self._recheck_at[subject] = now + self._context.settings.link_every
        else:
            self._recheck_at.pop(subject, None)

    def recheck_bad_links(self, now: float) -> None:
        """Begin the checks that are due of links known to be bad."""
        for subject, at in list(self._recheck_at.items()):
            if not self._context.view.table.is_live(subject):
                del self._recheck_at[subject]
            elif now >= at:
                self._recheck_at[subject] = now + self._context.settings.link_every
                self.start(now, subject, LINK_RECHECK_PINGS)

    def next_due(self) -> float:
        """When the next step of a check is due."""
        if not self._by_subject:
            return math.inf
        return min(check.next_step_at for check in self._by_subject.values())

    def postpone(self, seconds: float) -> None:
        """Shift all deadlines."""
        for check in self._by_subject.values():
            check.started_at += seconds
            check.next_step_at += seconds

    def clear(self) -> None:
        """Drop all checks under way."""
        self._by_subject.clear()
        self._subject_by_nonce.clear()
