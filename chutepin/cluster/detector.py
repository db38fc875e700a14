"""Failure detection: SWIM's probes with Lifeguard's changes and those of docs/membership.md.

Pure: no clock, no socket, no chance of its own. Times are seconds on a clock that does not run backwards; what is to be
sent or said comes out as data by `take`, in order. The same text runs in the node and in the simulator."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from ..config.cluster import ClusterSetup
from .frames import MAX_DATAGRAM, update_bytes
from .health import Health
from .messages import Ack, Body, Found, Gossip, Packet, Ping, PingReq, Refuse, Stale, Sync
from .records import Claim, Record, Status, Update
from .table import Member
from .trials import (
    LOOKS,
    LOOKS_AGAIN,
    MOST_LOOKS,
    MOST_RELAYS,
    WITNESSES,
    Accusation,
    Look,
    Probe,
    Relay,
    Why,
    suspicion_time,
)
from .view import Persist, Tell, View


@dataclass(frozen=True, slots=True)
class Send:
    """A packet to an address: a datagram, or (`stream`) an exchange over TCP whose answer is given to `receive`."""

    address: str
    packet: Packet
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to the packet that came over TCP just now, on its own connection."""

    packet: Packet


Effect = Send | Answer | Tell | Persist

HOUSEKEEPING = 1.0  # seconds
HEAD = 160  # bytes of a datagram that hold neither a record nor an update, at the most
CHECK = 0.1  # seconds between looks at an accusation
FAREWELLS = 8  # members that hear at once of one that leaves


class Detector:
    """One member."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        """`incarnation`: above that of every earlier process of this name, as far as that is known."""
        self._setup, self._rng = setup, rng
        address = f"{setup.listen.host}:{setup.listen.port}"
        self.view = View(
            Record(name, address, setup.region, setup.zone, incarnation, Status.ALIVE, name),
            setup.members,
            setup.remember,
        )
        self.health = Health()
        self.isolated = False
        self.leaving = False
        self._reach, self._seeds = dict(setup.reach), [seed for seed in setup.seeds if seed[0] != name]
        self._number = self._nonce = 0
        self._effects: list[Effect] = []
        self._rotation: list[str] = []
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._accusations: dict[str, Accusation] = {}
        self._looks: dict[str, Look] = {}
        self._look_nonces: dict[int, str] = {}
        self._look_again: dict[str, float] = {}
        self._acted = self._due = now  # of the last tick or packet; when the next tick is due
        self._next_probe = now + setup.probe_every * rng.random()
        self._next_gossip = now
        self._next_join = self._next_back = now
        self._next_sync = now
        self._next_house = now + HOUSEKEEPING * rng.random()
        if not self._seeds:
            self.view.joined = True  # it is the first

    # --- in and out ---

    @property
    def me(self) -> Record:
        """This member's own record."""
        return self.view.me

    def take(self) -> list[Effect]:
        """What is to be done since the last time, in order."""
        effects, self._effects = self._effects + list(self.view.told), []
        self.view.told.clear()
        return effects

    def wake_at(self) -> float:
        """When `tick` is due. To be asked after every `tick` and `receive`: what comes later than this came late."""
        self._due = max(self._acted, self._soonest())
        return self._due

    def _soonest(self) -> float:
        at = min(self._next_probe, self._next_join if self._seeds or self._wants_back() else math.inf, self._next_house)
        if not self._active and not self.leaving:
            return at
        if self.view.queue and self.view.table.live():
            at = min(at, self._next_gossip)
        for probe in self._probes.values():
            at = min(at, probe.end if probe.helped else probe.helpers_at)
        for relay in self._relays.values():
            at = min(at, relay.end)
        for accusation in self._accusations.values():
            at = min(at, accusation.next)
        for look in self._looks.values():
            at = min(at, look.next)
        return at

    @property
    def _active(self) -> bool:
        """It takes part: some member has taken it in, and its name is its own."""
        return self.view.joined and self.view.refused_by is None

    def leave(self, now: float) -> None:
        """Say goodbye; from here on nothing is probed."""
        view = self.view
        view.me = view.me._replace(status=Status.LEFT)
        view.queue.add(view.me)
        self.leaving = True
        self._probes.clear()
        self._relays.clear()
        self._accusations.clear()
        self._looks.clear()
        live = view.table.live()
        for name in self._rng.sample(live, min(FAREWELLS, len(live))):
            self._send(name, Gossip(), [view.me])

    def begin_anew(self, now: float, incarnation: int) -> None:
        """Go on after another process of this node has spoken in its name: a life after that one's, nothing pending."""
        self.view.begin_life(incarnation)
        self._number = 0
        for pending in (self._probes, self._relays, self._accusations, self._looks, self._look_nonces):
            pending.clear()
        self._next_probe = self._next_gossip = self._next_join = self._next_back = self._next_sync = now
        self._next_house = now + HOUSEKEEPING

    # --- sending ---

    def address(self, name: str) -> str | None:
        """Where a member is dialled."""
        if (found := self._reach.get(name)) is not None:
            return found
        member = self.view.table.members.get(name)
        return member.record.address if member is not None else None

    def _packet(self, to: str, body: Body, first: Iterable[Update] = (), stream: bool = False) -> Packet:
        view = self.view
        self._number += 1
        updates = list(first)
        if not stream:
            room = MAX_DATAGRAM - HEAD - update_bytes(view.me) - len(to) - sum(map(update_bytes, updates))
            updates += [update for update in view.pick(room) if update not in updates]
        return Packet(to, view.me, view.life, self._number, view.digest, body, tuple(updates))

    def _send(self, to: str, body: Body, first: Iterable[Update] = ()) -> None:
        address = self.address(to)
        if address is not None:
            self._effects.append(Send(address, self._packet(to, body, first)))

    def _sync(self, now: float, to: str, address: str) -> None:
        """Exchange whole states."""
        self._next_sync = now + self._setup.sync_every * (0.5 + self._rng.random())
        self.view.counts["syncs"] += 1
        # Who was not taken in yet, or was refused, tells nothing but itself.
        whole = self.view.whole(now) if self.view.joined else []
        self._effects.append(Send(address, self._packet(to, Sync(True, self.view.joined), whole, stream=True), True))

    def _ping(self, now: float, to: str, nonce: int, via: str = "", asked: int = 0) -> None:
        """Ask directly; what stands against the asked one goes first, so that it can refute."""
        member = self.view.table.members.get(to)
        against = [member.record] if member is not None and member.record.status is not Status.ALIVE else []
        self.view.counts["pings"] += 1
        self._send(to, Ping(nonce, via, asked), against)

    def _number_anew(self) -> int:
        self._nonce += 1
        return self._nonce

    def _helpers(self, subject: str) -> list[str]:
        """Whom to ask about a member: nobody over a link that is known to be bad, as long as there are others."""
        live, bad = self.view.table.live(), self.view.links.own
        if bad:
            cut = {name for link in bad for name in link}
            others = [name for name in live if name != subject and name not in cut]
        else:
            others = [name for name in live if name != subject]
        if not others:
            others = [name for name in live if name != subject]
        return self._rng.sample(others, min(self._setup.helpers, len(others)))

    # --- what comes ---

    def receive(self, now: float, packet: Packet, stream: bool = False) -> None:
        """Take in a packet; `stream`: it came over TCP, so that it may be answered with `Answer`."""
        self._catch_up(now)
        self.view.counts["received"] += 1
        if not self._is_for_me(packet):
            return
        view, sender, body = self.view, packet.me.name, packet.body
        member = view.table.members.get(sender)
        if member is not None and (self._over(now, member, packet, stream) or self._conflicts(member, packet)):
            return
        claim = view.take(now, packet.me)
        member = view.table.members.get(sender)
        if member is None:
            view.counts["drop.no_room"] += 1
            return
        if packet.life > member.life:
            member.life = packet.life
            member.window = type(member.window)()
        if not stream and not member.window.fresh(packet.number):
            view.counts["drop.replayed"] += 1
            return
        believed = member.record.live or claim is Claim.NEW
        self._take_updates(now, packet, sender, believed)
        wants = body.via if isinstance(body, Ping) and body.via else sender
        heard = self._heard(now, wants) if wants != sender else 0
        if not stream:
            member.heard = now
        self._body(now, packet, member, heard, believed)

    def _is_for_me(self, packet: Packet) -> bool:
        """Neither astray, nor of another process of this name, nor the word that this one is refused."""
        if packet.to and packet.to != self.me.name:
            self.view.counts["drop.misdirected"] += 1
        elif packet.me.name == self.me.name:
            self._namesake(packet)
        elif isinstance(packet.body, Refuse):
            self._refused(packet)
        elif self.view.refused_by is not None and not isinstance(packet.body, Sync):
            self.view.counts["drop.refused"] += 1
        else:
            return True
        return False

    def _over(self, now: float, member: Member, packet: Packet, stream: bool) -> bool:
        """The packet is of a process that another one of the same name has followed. It may be a restart with a clock
        that was set back, so it is told, at most once a second."""
        if packet.me.address != member.record.address or packet.life >= member.life:
            return False
        self.view.counts["drop.earlier_life"] += 1
        notice = Stale(member.life)
        if stream and isinstance(packet.body, Sync) and packet.body.ask:
            self._effects.append(Answer(self._packet(member.record.name, notice, stream=True)))
        elif isinstance(packet.body, Ping) and now >= member.scolded + 1:
            member.scolded = now
            self._send(member.record.name, notice)
        return True

    def _conflicts(self, member: Member, packet: Packet) -> bool:
        """The sender's name is held by another process that lives. Of two that the two sides of a cut had taken in the
        earlier one holds it; who was not taken in yet holds nothing."""
        body = packet.body
        if not member.record.live or member.record.address == packet.me.address:
            return False
        joined = not isinstance(body, Sync) or body.joined
        if joined and packet.me.incarnation < member.record.incarnation:
            return False
        if isinstance(body, Sync) and body.ask:
            self._effects.append(Answer(self._packet(member.record.name, Refuse(), [member.record], stream=True)))
        self.view.counts["drop.name_taken"] += 1
        return True

    def _namesake(self, packet: Packet) -> None:
        """The sender has this member's name. One at the same address is its other process, in an upgrade."""
        if packet.me.address == self.view.me.address:
            return
        self.view.counts["namesakes"] += 1
        if isinstance(packet.body, Sync) and packet.body.ask:
            if self._active:
                self._effects.append(Answer(self._packet(packet.me.name, Refuse(), [self.view.me], stream=True)))

    def _refused(self, packet: Packet) -> None:
        holder = packet.updates[0] if packet.updates else None
        if isinstance(holder, Record) and holder.name == self.me.name and holder.address != self.me.address:
            self.view.refuse(holder)

    def _heard(self, now: float, name: str) -> int:
        member = self.view.table.members.get(name)
        return -1 if member is None or member.heard == -math.inf else int(1000 * (now - member.heard))

    def _take_updates(self, now: float, packet: Packet, sender: str, believed: bool) -> None:
        """What the sender tells. Of one that is held for dead only what it tells about this member counts: that can be
        refuted, and so two sides of a cut come together."""
        view = self.view
        better: list[Record] = []
        sync = isinstance(packet.body, Sync)
        for update in packet.updates:
            if isinstance(update, Record) and (update.name == view.me.name or believed):
                if view.take(now, update, sync) is Claim.STALE and not sync and len(better) < 4:
                    better.append(view.table.members[update.name].record)
            elif believed:
                view.take(now, update, sync)
        if better:
            view.counts["corrected"] += 1
            self._send(sender, Gossip(), better)
        self._look_at_suspects(now)

    def _look_at_suspects(self, now: float) -> None:
        """Some of those that hear of an accusation test it at once: about three, however many members there are."""
        suspected, self.view.suspected = self.view.suspected, []
        for name, by in suspected:
            if by != self.me.name and self._rng.random() < WITNESSES / max(1, self.view.members - 2):
                self._probe(now, name, Why.ROUND)

    def _body(self, now: float, packet: Packet, member: Member, heard: int, believed: bool) -> None:
        """Do what the packet is for."""
        body, sender = packet.body, member.record.name
        against = [] if member.record.live else [member.record]
        match body:
            case Ping():
                self._send(sender, Ack(body.nonce, heard), against)
            case PingReq():
                self._ask_for(now, sender, body, against)
            case Ack():
                self._acked(now, body, member)
            case Found():
                self._found(now, body)
            case Stale():
                if body.life >= self.view.life:
                    self.view.begin_life(body.life)
                    self._number = 0
            case Sync():
                self._synced(now, packet, believed)
            case _:
                pass
        differs = believed and packet.digest != self.view.digest and isinstance(body, (Ping, Ack))
        if differs and now >= self._next_sync and not self.leaving and (address := self.address(sender)) is not None:
            self._sync(now, sender, address)

    def _synced(self, now: float, packet: Packet, believed: bool) -> None:
        """Whole states are exchanged."""
        if isinstance(packet.body, Sync) and packet.body.ask:
            if self.view.refused_by is not None:
                return
            self.view.joined = True
            self._effects.append(
                Answer(self._packet(packet.me.name, Sync(False, True), self.view.whole(now), stream=True))
            )
        elif self.view.refused_by is not None:  # nobody holds the name any more
            self.view.refused_by = None
            self.view.begin_life(self.me.incarnation)
            self._number = 0
            self.view.tell("accepted", self.me.name, by=packet.me.name, incarnation=self.me.incarnation)
            self.view.joined = True
        else:
            self.view.joined = self.view.joined or believed

    # --- probes ---

    def _probe(self, now: float, subject: str, why: Why) -> None:
        """Begin to ask a member, unless that is under way."""
        member = self.view.table.members.get(subject)
        if member is None or any(probe.subject == subject and probe.why is why for probe in self._probes.values()):
            return
        if why is not Why.BACK and not member.record.live:
            return
        wait = self._setup.probe_timeout * self.health.stretch
        nonce = self._number_anew()
        self._probes[nonce] = Probe(
            nonce,
            subject,
            why,
            now if why is Why.VERIFY else now + wait,
            now + self._setup.probe_every * self.health.stretch,
        )
        self._ping(now, subject, nonce)

    def _ask_for(self, now: float, asker: str, body: PingReq, against: list[Record]) -> None:
        """Ping somebody for another member."""
        member = self.view.table.members.get(body.subject)
        if member is None or not member.record.live or len(self._relays) >= MOST_RELAYS:
            known = [member.record] if member is not None else []
            self._send(asker, Found(body.nonce, body.subject, False, -1), known + against)
            return
        nonce = self._number_anew()
        self._relays[nonce] = Relay(asker, body.nonce, body.subject, now + self._setup.probe_timeout)
        self._ping(now, body.subject, nonce, asker, body.nonce)

    def _acked(self, now: float, body: Ack, member: Member) -> None:
        """Somebody answered directly."""
        self.health.answered = now
        subject = member.record.name
        if (relay := self._relays.get(body.nonce)) is not None and relay.subject == subject:
            del self._relays[body.nonce]
            self._send(relay.asker, Found(relay.asked, subject, True, body.heard), [member.record])
        elif (probe := self._probes.get(body.nonce)) is not None and probe.subject == subject:
            probe.direct = True
            self._ended(now, probe)
        elif self._look_nonces.get(body.nonce) == subject and subject in self._looks:
            self._looks[subject].direct = True
            self._judge_link(now, self._looks[subject])

    def _found(self, now: float, body: Found) -> None:
        """A helper tells what it found."""
        self.health.answered = now
        if (look := self._looks.get(body.subject)) is not None and body.nonce in look.nonces:
            if body.answered:
                look.heard = body.heard
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
            self.health.better()
            if probe.why is Why.BACK and subject in view.table.members and now >= self._next_back:
                self._next_back = now + self._setup.join_every
                self._sync(now, subject, self.address(subject) or "")
            if self._accusations.pop(subject, None) is not None:
                view.tell("withdrawn", subject, by=self.me.name)
            if not probe.direct:
                self._look(now, subject, LOOKS)
            elif any(subject in link for link in view.links.own):
                self._links(now, subject, True, True)
            return
        if probe.why is Why.BACK:
            return
        view.counts["probes_lost"] += 1
        if probe.helpers and not probe.nacks:  # not one helper was heard: some of them may be dead, but all?
            self.health.worse()
        if probe.why is Why.ROUND:
            self._accuse(now, subject)

    def _lonely(self, now: float) -> bool:
        """Nobody has answered this member lately."""
        window = 4 * self._setup.probe_every * self.health.stretch
        return now - self.health.answered > window

    # --- accusations ---

    def _accuse(self, now: float, subject: str) -> None:
        """The own probe has failed. A member that gets no answer from anybody keeps its doubt to itself."""
        member = self.view.table.members.get(subject)
        if member is None or not member.record.live or subject in self._accusations:
            return
        record = member.record._replace(status=Status.SUSPECT, by=self.me.name)
        self._accusations[subject] = Accusation(subject, record.incarnation, now, now, now)
        queued = len(self.view.queue)
        self.view.take(now, record)
        self.view.suspected.clear()
        if self._lonely(now) and len(self.view.queue) > queued:
            self.view.queue.remove(record)

    def _deadline(self, accusation: Accusation) -> float:
        member = self.view.table.members[accusation.subject]
        others = sum(by != self.me.name for by in member.accusers)
        least = suspicion_time(self._setup.suspect_least, self._setup.suspect_most, self.view.members, others)
        # Doubt of oneself stretches it, but not past the time after which even one that hears nobody makes up its mind.
        return accusation.began + max(least, min(self.health.stretch * least, self._setup.alone))

    def _hold(self, now: float, accusation: Accusation) -> None:
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
            self.view.take(now, member.record._replace(status=Status.DEAD, by=self.me.name))
            return
        accusation.next = now + CHECK
        if now >= accusation.verify_at:
            accusation.verify_at = now + self._setup.probe_every
            accusation.verified += 1
            self._probe(now, accusation.subject, Why.VERIFY)

    # --- links ---

    def _look(self, now: float, subject: str, pings: int) -> None:
        """Begin to look at a link, unless that is under way."""
        if subject in self._looks or len(self._looks) >= MOST_LOOKS:
            return
        self._looks[subject] = Look(subject, now, now, pings)

    def _look_on(self, now: float, look: Look) -> None:
        """One more direct ping; then the helpers are asked what the other side has heard; then it is judged."""
        if look.subject not in self.view.table.live() or look.asking:
            self._judge_link(now, look)
            return
        nonce = self._number_anew()
        look.nonces.append(nonce)
        self._look_nonces[nonce] = look.subject
        if look.left > 0:
            look.left -= 1
            look.next = now + self._setup.probe_timeout * self.health.stretch
            self._ping(now, look.subject, nonce)
            return
        look.asking = True
        look.next = now + self._setup.probe_every * self.health.stretch
        for helper in self._helpers(look.subject):
            self._send(helper, PingReq(nonce, look.subject))

    def _judge_link(self, now: float, look: Look) -> None:
        """Nothing is told without evidence: what the other side has heard, or that it was heard here."""
        del self._looks[look.subject]
        for nonce in look.nonces:
            self._look_nonces.pop(nonce, None)
        member = self.view.table.members.get(look.subject)
        if member is None or not member.record.live:
            return
        if look.direct:
            self._links(now, look.subject, True, True)
        elif look.heard is not None:
            reaches = 0 <= look.heard <= 1000 * (now - look.began)
            hears = member.heard >= look.began
            # Where the own pings do not arrive there was nothing to be heard: no evidence but for what came.
            self._links(now, look.subject, reaches, hears if reaches or hears else None)

    def _links(self, now: float, subject: str, reaches: bool, hears: bool | None) -> None:
        """What was found out about the link to a member and that from it."""
        view, me = self.view, self.me.name
        view.find_link(now, me, subject, not reaches)
        if hears is not None:
            view.find_link(now, subject, me, not hears)
        if any(subject in link for link in view.links.own):
            self._look_again[subject] = now + self._setup.link_every
        else:
            self._look_again.pop(subject, None)

    # --- time ---

    def tick(self, now: float) -> None:
        """Do what is due. A tick that comes late gives back what was lost: what could not be heard in that time is no
        evidence against anybody."""
        self._catch_up(now)
        if self.leaving:
            self._gossip(now)
            self._next_probe = self._next_join = self._next_house = now + HOUSEKEEPING
            return
        if self._active:
            self._judge(now)
            if now >= self._next_probe:
                # Drawn, lest members that began together go on probing at the same moments.
                drawn = 0.9 + 0.2 * self._rng.random()
                self._next_probe = now + self._setup.probe_every * self.health.stretch * drawn
                if (subject := self._turn()) is not None:
                    self._probe(now, subject, Why.ROUND)
            self._gossip(now)
        else:
            self._next_probe = now + self._setup.probe_every
        if now >= self._next_join:
            self._next_join = now + self._setup.join_every * (0.75 + self._rng.random() / 2)
            self._join(now)
        if now >= self._next_house:
            self._next_house = now + HOUSEKEEPING
            self._keep_house(now)

    def _catch_up(self, now: float) -> None:
        """Shift all that was waited for by the time in which this member could not act."""
        late, self._acted, self._due = now - self._due, now, max(now, self._due)
        if late <= self._setup.probe_timeout / 2:
            return
        self.health.late += 1
        if late > self._setup.probe_timeout:
            self.health.worse()
        self.health.answered += late
        for probe in self._probes.values():
            probe.helpers_at += late
            probe.end += late
        for relay in self._relays.values():
            relay.end += late
        for accusation in self._accusations.values():
            accusation.began += late
            accusation.verify_at += late
            accusation.next += late
        for look in self._looks.values():
            look.began += late
            look.next += late

    def _judge(self, now: float) -> None:
        """Probes, relays, accusations and looks whose time has come."""
        for probe in list(self._probes.values()):
            if not probe.helped and now >= probe.helpers_at:
                self._ask_helpers(probe)
            if now >= probe.end:
                self._ended(now, probe)
        for nonce, relay in list(self._relays.items()):
            if now >= relay.end:
                self._relay_ended(nonce, relay)
        for accusation in list(self._accusations.values()):
            if now >= accusation.next:
                self._hold(now, accusation)
        for look in list(self._looks.values()):
            if now >= look.next:
                self._look_on(now, look)

    def _relay_ended(self, nonce: int, relay: Relay) -> None:
        """Who was asked for another member did not answer. Saying so tells that member that its helper is well."""
        del self._relays[nonce]
        member = self.view.table.members.get(relay.subject)
        self._send(
            relay.asker, Found(relay.asked, relay.subject, False, -1), [member.record] if member is not None else []
        )

    def _ask_helpers(self, probe: Probe) -> None:
        """Ask others to ask; with what stands against the subject, so that they can put it right."""
        probe.helped = True
        member = self.view.table.members.get(probe.subject)  # which may have been forgotten meanwhile
        if probe.why is Why.BACK or member is None:
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

    def _gossip(self, now: float) -> None:
        live = self.view.table.live()
        if now < self._next_gossip or not self.view.queue or not live:
            return
        self._next_gossip = now + self._setup.gossip_every
        for name in self._rng.sample(live, min(self._setup.gossip_to, len(live))):
            self._send(name, Gossip())

    def _wants_back(self) -> bool:
        return bool(self.view.table.of(Status.DEAD))

    def _join(self, now: float) -> None:
        """Ask a seed that is not there, and one of the dead: so the sides of a cut find each other again."""
        members = self.view.table.members
        away = [
            (name, address) for name, address in self._seeds if name not in members or not members[name].record.live
        ]
        if not self.view.joined:
            away = self._seeds
        if away and (not self.view.joined or self._rng.random() < 0.25):
            name, address = self._rng.choice(away)
            self._sync(now, name, self._reach.get(name, address))
            if self.view.refused_by is not None:
                self._next_join = now + 5 * self._setup.join_every
        if self._active and (dead := self.view.table.of(Status.DEAD)):
            self._probe(now, self._rng.choice(dead), Why.BACK)

    def _keep_house(self, now: float) -> None:
        view = self.view
        view.age(now)
        known = 1 + len(view.table.members) - len(view.table.of(Status.LEFT))
        hears = 1 + len(view.table.of(Status.ALIVE))
        if (isolated := 2 * hears < known) != self.isolated:
            self.isolated = isolated
            view.tell("isolated" if isolated else "in_touch", self.me.name, hears=hears, known=known)
        for subject, at in list(self._look_again.items()):
            if subject not in view.table.live():
                del self._look_again[subject]
            elif now >= at:
                self._look_again[subject] = now + self._setup.link_every
                self._look(now, subject, LOOKS_AGAIN)
        # Without a probe under way for long there is nobody to probe, which is no silence of others.
        if not view.table.live():
            self.health.answered = now
