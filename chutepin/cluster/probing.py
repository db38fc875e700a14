"""Probes: a member is pinged directly, then indirectly through helpers; and this member pings for others. Pure."""

from __future__ import annotations

import math

from .context import MemberContext
from .link_checks import LinkChecks
from .member_table import Member
from .messages import Ack, PingReq, ProbeResult
from .probe_state import (
    LINK_CHECK_PINGS,
    MAX_RELAYED_PROBES,
    WITNESS_COUNT,
    Probe,
    ProbeReason,
    RelayedProbe,
)
from .records import Record
from .send_queue import SendQueue
from .state_exchange import StateExchange
from .suspicions import Suspicions


class Probing:
    """The probes that one member has under way, for itself and for others, and whose turn it is."""

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
        self._rotation: list[str] = []
        self._relayed: dict[int, RelayedProbe] = {}
        self._next_reconnect = now  # when the next exchange with a member that is back from the dead may begin
        self.probes: dict[int, Probe] = {}

    def start(self, now: float, subject: str, reason: ProbeReason) -> None:
        """Begin to probe a member, unless a probe for this reason is under way."""
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
        self._send_queue.ping(subject, nonce, introduce=reason is not ProbeReason.SCHEDULED)

    def start_scheduled(self, now: float) -> None:
        """Probe the member whose turn it is."""
        if (subject := self._next_in_rotation()) is not None:
            self.start(now, subject, ProbeReason.SCHEDULED)

    def probe_reported_suspects(self, now: float, certain: int = 0) -> None:
        """Verify what others suspect: of all members that hear of a suspicion some three probe the suspect at once.

        The first `certain` suspects are probed in any case."""
        context = self._context
        reported = context.view.reported_suspects
        context.view.reported_suspects = []
        for number, (name, by) in enumerate(reported):
            chance = 1.0 if number < certain else WITNESS_COUNT / max(1, context.view.live_count - 2)
            if by != context.me.name and context.rng.random() < chance:
                self.start(now, name, ProbeReason.SCHEDULED)

    def handle_ping_request(self, now: float, requester: str, body: PingReq, refutable: list[Record]) -> None:
        """Ping a member for another one. `refutable`: what the requester must hear, as it is not live here."""
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
        """Take in an answer that came directly."""
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
        """Take in what a helper found."""
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
        """Ask helpers and end probes, as they are due."""
        for probe in list(self.probes.values()):
            if not probe.indirect_started and now >= probe.indirect_at:
                self._ask_helpers(probe)
            if now >= probe.deadline:
                self._end(now, probe)
        for nonce, relayed in list(self._relayed.items()):
            if now >= relayed.deadline:
                self._end_relayed(nonce, relayed)

    def next_due(self) -> float:
        """When the next step of a probe is due."""
        at = math.inf
        for probe in self.probes.values():
            at = min(at, probe.deadline if probe.indirect_started else probe.indirect_at)
        for relayed in self._relayed.values():
            at = min(at, relayed.deadline)
        return at

    def postpone(self, seconds: float) -> None:
        """Shift all deadlines."""
        for probe in self.probes.values():
            probe.indirect_at += seconds
            probe.deadline += seconds
        for relayed in self._relayed.values():
            relayed.deadline += seconds

    def clear(self) -> None:
        """Drop all probes under way."""
        self.probes.clear()
        self._relayed.clear()

    def restart(self, now: float) -> None:
        """Begin a new process incarnation with nothing under way."""
        self.clear()
        self._next_reconnect = now

    def _end(self, now: float, probe: Probe) -> None:
        """End a probe that was answered, or whose time is up."""
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
            self._state_exchange.contact(now, subject, self._send_queue.address(subject) or "")
        self._suspicions.withdraw(subject)
        if not probe.acked:
            self._link_checks.start(now, subject, LINK_CHECK_PINGS)
        elif self._link_checks.is_bad(subject):
            self._link_checks.record(now, subject, True, True)

    def _fail(self, now: float, probe: Probe) -> None:
        self._context.view.counts["probes_failed"] += 1
        if probe.helper_count and not probe.nack_count:  # no helper was heard: some may be dead, but hardly all
            self._context.health.degrade()
        if probe.reason is ProbeReason.SCHEDULED:
            self._suspicions.add(now, probe.subject)

    def _end_relayed(self, nonce: int, relayed: RelayedProbe) -> None:
        """Send a nack, which shows the requester that its helper is well."""
        del self._relayed[nonce]
        member = self._context.view.table.members.get(relayed.subject)
        nack = ProbeResult(relayed.requester_nonce, relayed.subject, False, -1)
        self._send_queue.send(relayed.requester, nack, [member.record] if member is not None else [])

    def _ask_helpers(self, probe: Probe) -> None:
        """Begin the indirect probes; with the subject's record, so that it can refute that."""
        probe.indirect_started = True
        member = self._context.view.table.members.get(probe.subject)  # which may have been forgotten meanwhile
        if probe.reason is ProbeReason.RECONNECT or member is None:
            return
        record = member.record
        helpers = self._link_checks.helpers(probe.subject)
        probe.helper_count = len(helpers)
        for helper in helpers:
            self._send_queue.send(helper, PingReq(probe.nonce, probe.subject), [record])

    def _next_in_rotation(self) -> str | None:
        """Return whose turn it is: each live member once in a round, in an order drawn anew for each."""
        table = self._context.view.table
        while True:
            while self._rotation:
                name = self._rotation.pop()
                if name in table.members and table.members[name].record.live:
                    return name
            self._rotation = list(table.live())
            if not self._rotation:
                return None
            self._context.rng.shuffle(self._rotation)
