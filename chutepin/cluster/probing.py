"""Direct probes, indirect probes through helpers, and probes relayed on behalf of other members. Sans-I/O."""

from __future__ import annotations

import math

from .context import MemberContext
from .link_checks import LinkChecks
from .member_table import Member
from .messages import Ack, PingReq, ProbeResult
from .probe_state import (
    EXPECTED_CONFIRMATIONS,
    LINK_CHECK_PINGS,
    MAX_RELAYED_PROBES,
    Probe,
    ProbeReason,
    RelayedProbe,
)
from .records import Record
from .send_queue import SendQueue
from .state_exchange import StateExchange
from .suspicions import Suspicions


class Probing:
    """The pending probes of one member, its relayed probes, and its round-robin probe order."""

    def __init__(
        self,
        context: MemberContext,
        send_queue: SendQueue,
        state_exchange: StateExchange,
        link_checks: LinkChecks,
        suspicions: Suspicions,
        now: float,
    ) -> None:
        self._context = context
        self._send_queue = send_queue
        self._state_exchange = state_exchange
        self._link_checks = link_checks
        self._suspicions = suspicions
        self._round_robin: list[str] = []
        self._relayed: dict[int, RelayedProbe] = {}
        self._next_reconnect = now  # earliest time of the next state exchange with a member that was dead
        self.probes: dict[int, Probe] = {}

    def start(self, now: float, subject: str, reason: ProbeReason) -> None:
        """Start a probe of a member, unless one for the same reason is pending."""
        context = self._context
        member = context.view.table.members.get(subject)
        if (
            context.leaving
            or member is None
            or any(probe.subject == subject and probe.reason is reason for probe in self.probes.values())
        ):
            return
        if reason is not ProbeReason.RECONNECT and not member.record.live:
            return
        wait = context.scaled(context.settings.probe_timeout)
        nonce = self._send_queue.next_nonce()
        self.probes[nonce] = Probe(
            nonce,
            subject,
            reason,
            indirect_at=now if reason is ProbeReason.VERIFICATION else now + wait,
            deadline=now + context.scaled(context.settings.probe_every),
        )
        self._send_queue.ping(subject, nonce, whole_record=reason is not ProbeReason.SCHEDULED)

    def start_scheduled(self, now: float) -> None:
        """Probe the next member in round-robin order."""
        if (subject := self._next_in_round_robin()) is not None:
            self.start(now, subject, ProbeReason.SCHEDULED)

    def probe_reported_suspects(self, now: float, always_probed: int = 0) -> None:
        """Probe suspects reported by other members.

        A suspicion reaches all members; each probes the suspect with a probability that makes about
        `EXPECTED_CONFIRMATIONS` of them do so. The first `always_probed` suspects are always probed."""
        context = self._context
        reported = context.view.reported_suspects
        context.view.reported_suspects = []
        for number, (name, by) in enumerate(reported):
            chance = 1.0 if number < always_probed else EXPECTED_CONFIRMATIONS / max(1, context.view.live_count - 2)
            if by != context.me.name and context.rng.random() < chance:
                self.start(now, name, ProbeReason.SCHEDULED)

    def handle_ping_request(self, now: float, requester: str, body: PingReq, refutable: list[Record]) -> None:
        """Ping a member on behalf of the requester.

        `refutable`: the requester's record if it is dead or left in this view, sent back so that it can refute it."""
        context = self._context
        member = context.view.table.members.get(body.subject)
        if context.leaving or member is None or not member.record.live or len(self._relayed) >= MAX_RELAYED_PROBES:
            known = [member.record] if member is not None else []
            self._send_queue.send(requester, ProbeResult(body.nonce, body.subject, False, -1), known + refutable)
            return
        nonce = self._send_queue.next_nonce()
        deadline = now + context.settings.probe_timeout
        self._relayed[nonce] = RelayedProbe(requester, body.nonce, body.subject, deadline)
        self._send_queue.ping(body.subject, nonce, requester, body.nonce)

    def handle_ack(self, now: float, body: Ack, member: Member) -> None:
        """Process a direct ack: of a relayed probe, of a probe, or of a link check."""
        self._context.health.last_answered_at = now
        subject = member.record.name
        relayed = self._relayed.get(body.nonce)
        probe = self.probes.get(body.nonce)
        if relayed is not None and relayed.subject == subject:
            del self._relayed[body.nonce]
            result = ProbeResult(relayed.requester_nonce, subject, True, body.last_heard_ms)
            self._send_queue.send(relayed.requester, result, [member.record])
        elif probe is not None and probe.subject == subject:
            probe.acked = True
            self._end(now, probe)
        else:
            self._link_checks.handle_ack(now, body.nonce, subject)

    def handle_result(self, now: float, body: ProbeResult) -> None:
        """Process a helper's result of an indirect probe."""
        self._context.health.last_answered_at = now
        if self._link_checks.handle_result(now, body):
            return
        probe = self.probes.get(body.nonce)
        if probe is None or probe.subject != body.subject:
            return
        if body.answered:
            probe.acked_indirectly = True
            self._end(now, probe)
        else:
            probe.nack_count += 1

    def advance(self, now: float) -> None:
        """Start the indirect probes that are due, and end probes whose deadline has passed."""
        for probe in list(self.probes.values()):
            if not probe.indirect_started and now >= probe.indirect_at:
                self._send_indirect_probes(probe)
            if now >= probe.deadline:
                self._end(now, probe)
        for nonce, relayed in list(self._relayed.items()):
            if now >= relayed.deadline:
                self._end_relayed(nonce, relayed)

    def next_due(self) -> float:
        """Return when the next step of a probe is due."""
        at = math.inf
        for probe in self.probes.values():
            at = min(at, probe.deadline if probe.indirect_started else probe.indirect_at)
        for relayed in self._relayed.values():
            at = min(at, relayed.deadline)
        return at

    def postpone(self, seconds: float) -> None:
        """Shift all deadlines by so many seconds."""
        for probe in self.probes.values():
            probe.indirect_at += seconds
            probe.deadline += seconds
        for relayed in self._relayed.values():
            relayed.deadline += seconds

    def clear(self) -> None:
        """Cancel all pending probes."""
        self.probes.clear()
        self._relayed.clear()

    def restart(self, now: float) -> None:
        """Start a new process incarnation without pending probes."""
        self.clear()
        self._next_reconnect = now

    def _end(self, now: float, probe: Probe) -> None:
        """End a probe that was answered or has timed out."""
        del self.probes[probe.nonce]
        if probe.answered:
            self._succeed(now, probe)
        elif probe.reason is not ProbeReason.RECONNECT:
            self._fail(now, probe)

    def _succeed(self, now: float, probe: Probe) -> None:
        context = self._context
        subject = probe.subject
        context.health.recover()
        if (
            probe.reason is ProbeReason.RECONNECT
            and subject in context.view.table.members
            and now >= self._next_reconnect
        ):
            self._next_reconnect = now + context.settings.join_every
            self._state_exchange.exchange_state(now, subject, self._send_queue.address(subject) or "")
        self._suspicions.withdraw(subject)
        if not probe.acked:
            self._link_checks.start(now, subject, LINK_CHECK_PINGS)
        elif self._link_checks.is_bad(subject):
            self._link_checks.record(now, subject, True, True)

    def _fail(self, now: float, probe: Probe) -> None:
        self._context.view.counts["probes_failed"] += 1
        if probe.helper_count and not probe.nack_count:  # not even a nack: all helpers failing at once is unlikely
            self._context.health.degrade()
        if probe.reason is ProbeReason.SCHEDULED:
            self._suspicions.add(now, probe.subject)

    def _end_relayed(self, nonce: int, relayed: RelayedProbe) -> None:
        """Send a nack, which shows the requester that the helper itself is reachable."""
        del self._relayed[nonce]
        member = self._context.view.table.members.get(relayed.subject)
        nack = ProbeResult(relayed.requester_nonce, relayed.subject, False, -1)
        self._send_queue.send(relayed.requester, nack, [member.record] if member is not None else [])

    def _send_indirect_probes(self, probe: Probe) -> None:
        """Send PingReq to helpers, with the subject's record so that the subject can refute it."""
        probe.indirect_started = True
        member = self._context.view.table.members.get(probe.subject)  # None if removed since the probe began
        if probe.reason is ProbeReason.RECONNECT or member is None:
            return
        record = member.record
        helpers = self._link_checks.choose_helpers(probe.subject)
        probe.helper_count = len(helpers)
        for helper in helpers:
            self._send_queue.send(helper, PingReq(probe.nonce, probe.subject), [record])

    def _next_in_round_robin(self) -> str | None:
        """Return the next member to probe: each live member once per round, in an order shuffled every round."""
        table = self._context.view.table
        while True:
            while self._round_robin:
                name = self._round_robin.pop()
                if name in table.members and table.members[name].record.live:
                    return name
            self._round_robin = list(table.live())
            if not self._round_robin:
                return None
            self._context.rng.shuffle(self._round_robin)
