"""Probes: a member is asked directly, then through helpers; and this member asks for others. Pure."""

from __future__ import annotations

import random

from ..config.cluster import ClusterSetup
from .link_checks import LinkWatch
from .member_table import Member
from .messages import Ack, PingReq, ProbeResult
from .probe_state import LINK_CHECK_PINGS, MAX_RELAYED_PROBES, Probe, ProbeReason, RelayedProbe
from .records import Record


class Probing(LinkWatch):
    """One member as it probes."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self.leaving = False
        self._rotation: list[str] = []
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, RelayedProbe] = {}
        self._next_back = now  # when the next exchange with one that is back from the dead may begin

    def _accuse(self, now: float, subject: str) -> None:
        """The own probe has failed: for the layer above."""
        raise NotImplementedError

    def _withdraw(self, subject: str) -> None:
        """The subject has answered: for the layer above."""
        raise NotImplementedError

    def _probe(self, now: float, subject: str, why: ProbeReason) -> None:
        """Begin to ask a member, unless that is under way."""
        member = self.view.table.members.get(subject)
        if (
            self.leaving
            or member is None
            or any(probe.subject == subject and probe.reason is why for probe in self._probes.values())
        ):
            return
        if why is not ProbeReason.RECONNECT and not member.record.live:
            return
        wait = self._setup.probe_timeout * self.health.timeout_multiplier
        nonce = self._number_anew()
        self._probes[nonce] = Probe(
            nonce,
            subject,
            why,
            now if why is ProbeReason.VERIFICATION else now + wait,
            now + self._setup.probe_every * self.health.timeout_multiplier,
        )
        self._ping(now, subject, nonce, introduce=why is not ProbeReason.SCHEDULED)

    def _ask_for(self, now: float, asker: str, body: PingReq, against: list[Record]) -> None:
        """Ping somebody for another member."""
        member = self.view.table.members.get(body.subject)
        if self.leaving or member is None or not member.record.live or len(self._relays) >= MAX_RELAYED_PROBES:
            known = [member.record] if member is not None else []
            self._send(asker, ProbeResult(body.nonce, body.subject, False, -1), known + against)
            return
        nonce = self._number_anew()
        self._relays[nonce] = RelayedProbe(asker, body.nonce, body.subject, now + self._setup.probe_timeout)
        self._ping(now, body.subject, nonce, asker, body.nonce)

    def _acked(self, now: float, body: Ack, member: Member) -> None:
        """Somebody answered directly."""
        self.health.last_answered_at = now
        subject = member.record.name
        if (relay := self._relays.get(body.nonce)) is not None and relay.subject == subject:
            del self._relays[body.nonce]
            self._send(
                relay.requester, ProbeResult(relay.requester_nonce, subject, True, body.last_heard_ms), [member.record]
            )
        elif (probe := self._probes.get(body.nonce)) is not None and probe.subject == subject:
            probe.direct = True
            self._ended(now, probe)
        elif self._look_nonces.get(body.nonce) == subject and subject in self._looks:
            self._looks[subject].direct = True
            self._judge_link(now, self._looks[subject])

    def _found(self, now: float, body: ProbeResult) -> None:
        """A helper tells what it found."""
        self.health.last_answered_at = now
        if (look := self._looks.get(body.subject)) is not None and body.nonce in look.nonces:
            if body.answered:
                look.last_heard_ms = body.last_heard_ms
                self._judge_link(now, look)
            return
        probe = self._probes.get(body.nonce)
        if probe is None or probe.subject != body.subject:
            return
        if body.answered:
            probe.found = True
            self._ended(now, probe)
        else:
            probe.nacks += 1

    def _ended(self, now: float, probe: Probe) -> None:
        """A probe was answered, or its time is up."""
        del self._probes[probe.nonce]
        subject, view = probe.subject, self.view
        if probe.answered:
            self.health.recover()
            if probe.reason is ProbeReason.RECONNECT and subject in view.table.members and now >= self._next_back:
                self._next_back = now + self._setup.join_every
                self._contact(now, subject, self.address(subject) or "")
            self._withdraw(subject)
            if not probe.direct:
                self._look(now, subject, LINK_CHECK_PINGS)
            elif any(subject in link for link in view.links.own):
                self._links(now, subject, True, True)
            return
        if probe.reason is ProbeReason.RECONNECT:
            return
        view.counts["probes_lost"] += 1
        if probe.helpers and not probe.nacks:  # not one helper was heard: some of them may be dead, but all?
            self.health.degrade()
        if probe.reason is ProbeReason.SCHEDULED:
            self._accuse(now, subject)

    def _relay_ended(self, nonce: int, relay: RelayedProbe) -> None:
        """Who was asked for another member did not answer. Saying so tells that member that its helper is well."""
        del self._relays[nonce]
        member = self.view.table.members.get(relay.subject)
        self._send(
            relay.requester,
            ProbeResult(relay.requester_nonce, relay.subject, False, -1),
            [member.record] if member is not None else [],
        )

    def _ask_helpers(self, probe: Probe) -> None:
        """Ask others to ask; with what stands against the subject, so that they can put it right."""
        probe.indirect = True
        member = self.view.table.members.get(probe.subject)  # which may have been forgotten meanwhile
        if probe.reason is ProbeReason.RECONNECT or member is None:
            return
        record = member.record
        helpers = self._helpers(probe.subject)
        probe.helpers = len(helpers)
        for helper in helpers:
            self._send(helper, PingReq(probe.nonce, probe.subject), [record])

    def _turn(self) -> str | None:
        """Whose turn it is: each once in a round, in an order drawn anew for each."""
        members = self.view.table.members
        while True:
            while self._rotation:
                name = self._rotation.pop()
                if name in members and members[name].record.live:
                    return name
            self._rotation = list(self.view.table.live())
            if not self._rotation:
                return None
            self._rng.shuffle(self._rotation)
