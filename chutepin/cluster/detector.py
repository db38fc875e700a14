"""Failure detection: SWIM's probes with Lifeguard's changes and those of docs/membership.md.

Pure: no clock, no socket, no chance of its own. Times are seconds on a clock that does not run backwards; what is to be
sent or said comes out as data by `drain_effects`, in order. The same text runs in the node and in the simulator.

The detector is built in layers, each of which knows those below it: `outbox` (packets, gossip), `state_exchange`
(joining, anti-entropy), `link_watch`, `probing`, `accusations`, and here what comes in and what is due when."""

from __future__ import annotations

import math
import random

from ..config.cluster import ClusterSetup
from .gossip import MAX_PENDING_REPEATS, MAX_ROUTINE_REPEATS
from .member_table import Member
from .messages import (
    Ack,
    BucketDigests,
    BucketRecords,
    Gossip,
    NameTaken,
    Packet,
    Ping,
    PingReq,
    ProbeResult,
    RecordRequest,
    Records,
    StaleProcess,
    Sync,
)
from .probe_state import ProbeReason
from .records import LinkReport, MergeResult, Record, ShortRecord, Status, Update, expand, shorten
from .send_queue import INTRODUCTION_S, Answer, Effect, Send
from .suspicions import Accusing

__all__ = ["Answer", "Detector", "Effect", "Send"]

HOUSEKEEPING_INTERVAL_S = 1.0  # seconds
LEAVE_NOTICES = 8  # members that hear at once of one that leaves
CONTACTS_PER_SECOND = 12.0  # a second, of all members together, with one seed or one dead member that is away
MAX_RECONNECT_PROBES = 8  # of the dead that are asked at a time, where they are more than the live
VERIFIED_AFTER_EXCHANGE = 4  # of those that the other side of an exchange holds for dead: this member asks them itself
MAX_CORRECTIONS = 4  # updates that are put right by one packet
STATE_MESSAGES = (Sync, BucketRecords, RecordRequest, Records)  # whose updates are states of the other side, not news


def _is_request(packet: Packet) -> bool:
    """Whether a packet that came over TCP waits for an answer."""
    body = packet.body
    return isinstance(body, (BucketDigests, RecordRequest)) or (isinstance(body, Sync) and body.reply_requested)


class Detector(Accusing):
    """One member."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        """`incarnation`: above that of every earlier process of this name, as far as that is known."""
        super().__init__(setup, name, incarnation, now, rng)
        self.isolated = False
        self._seeds = [seed for seed in setup.seeds if seed[0] != name]
        self._due = now  # when the next tick is due
        self._next_probe = now + setup.probe_every * rng.random()
        self._next_join = now
        self._next_house = now + HOUSEKEEPING_INTERVAL_S * rng.random()
        if not self._seeds:
            self.view.joined = True  # it is the first

    def wake_at(self) -> float:
        """When `tick` is due. To be asked after every `tick` and `receive`: what comes later than this came late."""
        self._due = max(self._acted, self._soonest())
        return self._due

    def _soonest(self) -> float:
        at = min(self._next_probe, self._next_join if self._seeds or self._wants_back() else math.inf, self._next_house)
        if not self._active and not self.leaving:
            return at
        if self.view.queue and self.view.table.live():
            at = min(at, self._gossip_due())
        for probe in self._probes.values():
            at = min(at, probe.end if probe.indirect else probe.helpers_at)
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
        return self.view.joined and self.view.name_holder is None

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
        for name in self._rng.sample(live, min(LEAVE_NOTICES, len(live))):
            self._send(name, Gossip(), [view.me])

    def begin_anew(self, now: float, incarnation: int) -> None:
        """Go on after another process of this node has spoken in its name: a life after that one's, nothing pending."""
        self.view.set_process_incarnation(incarnation)
        self._number = 0
        for pending in (self._probes, self._relays, self._accusations, self._looks, self._look_nonces):
            pending.clear()
        self._next_probe = self._next_join = self._next_back = self._pace.due = now
        self._last_gossip = -math.inf
        self._introduced_at = now + INTRODUCTION_S
        self._next_house = now + HOUSEKEEPING_INTERVAL_S

    def receive(self, now: float, packet: Packet, stream: bool = False) -> None:
        """Take in a packet; `stream`: it came over TCP, so that it may be answered with `Answer`."""
        self._catch_up(now)
        self.view.counts["received"] += 1
        if not self._is_for_me(packet):
            return
        view, body, record = self.view, packet.body, self._sender_of(packet)
        if record is None:
            return
        sender = record.name
        member = view.table.members.get(sender)
        if member is not None and (
            self._over(now, member, record, packet, stream) or self._conflicts(member, record, packet)
        ):
            return
        claim = view.merge(now, record)
        member = view.table.members.get(sender)
        if member is None:
            view.counts["drop.no_room"] += 1
            return
        if packet.process_incarnation > member.process_incarnation:
            member.set_process_incarnation(packet.process_incarnation)
        if not stream and not member.accept_sequence(packet.sequence):
            view.counts["drop.replayed"] += 1
            return
        believed = member.record.live or claim is MergeResult.ACCEPTED
        if not isinstance(body, BucketRecords):
            self._take_updates(now, packet, sender, believed)
        wants = body.requester if isinstance(body, Ping) and body.requester else sender
        heard = self._heard(now, wants) if wants != sender else 0
        if not stream:
            member.last_heard = now
        self._body(now, packet, member, heard, believed)

    def _is_for_me(self, packet: Packet) -> bool:
        """Neither astray, nor of another process of this name, nor the word that this one is refused."""
        if packet.to and packet.to != self.me.name:
            self.view.counts["drop.misdirected"] += 1
        elif packet.sender.name == self.me.name:
            self._namesake(packet)
        elif isinstance(packet.body, NameTaken):
            self._refused(packet)
        elif self.view.name_holder is not None and not isinstance(packet.body, Sync):
            self.view.counts["drop.refused"] += 1
        else:
            return True
        return False

    def _sender_of(self, packet: Packet) -> Record | None:
        """The sender's whole record; None where it was told short and is not known here, or not at that place."""
        if isinstance(packet.sender, Record):
            return packet.sender
        record = self.view.expand_record(packet.sender)
        if record is None:
            self.view.counts["drop.unknown"] += 1
        return record

    def _over(self, now: float, member: Member, record: Record, packet: Packet, stream: bool) -> bool:
        """The packet is of a process that another one of the same name has followed. It may be a restart with a clock
        that was set back, so it is told, at most once a second."""
        if record.address != member.record.address or packet.process_incarnation >= member.process_incarnation:
            return False
        self.view.counts["drop.earlier_life"] += 1
        notice = StaleProcess(member.process_incarnation)
        if stream and _is_request(packet):
            self._reply(member.record.name, notice)
        elif isinstance(packet.body, Ping) and now >= member.stale_notice_sent_at + 1:
            member.stale_notice_sent_at = now
            self._send(member.record.name, notice)
        return True

    def _conflicts(self, member: Member, record: Record, packet: Packet) -> bool:
        """The sender's name is held by another process that lives. Of two that the two sides of a cut had taken in the
        earlier one holds it; who was not taken in yet holds nothing."""
        body = packet.body
        if not member.record.live or member.record.address == record.address:
            return False
        joined = not isinstance(body, Sync) or body.joined
        if joined and record.incarnation < member.record.incarnation:
            return False
        if _is_request(packet):
            self._reply(member.record.name, NameTaken(), [member.record])
        self.view.counts["drop.name_taken"] += 1
        return True

    def _namesake(self, packet: Packet) -> None:
        """The sender has this member's name. One at the same address is its other process, in an upgrade."""
        record = expand(packet.sender, self.me) if isinstance(packet.sender, ShortRecord) else packet.sender
        if record is not None and record.address == self.me.address:
            return
        self.view.counts["namesakes"] += 1
        if _is_request(packet) and self._active:
            self._reply(packet.sender.name, NameTaken(), [self.view.me])

    def _refused(self, packet: Packet) -> None:
        holder = packet.updates[0] if packet.updates else None
        if isinstance(holder, Record) and holder.name == self.me.name and holder.address != self.me.address:
            self.view.reject_name(holder)

    def _heard(self, now: float, name: str) -> int:
        member = self.view.table.members.get(name)
        return -1 if member is None or member.last_heard == -math.inf else int(1000 * (now - member.last_heard))

    def _take_updates(self, now: float, packet: Packet, sender: str, believed: bool) -> None:
        """What the sender tells. Of one that is held for dead only what it tells about this member counts: that can be
        refuted, and so two sides of a cut come together."""
        view = self.view
        better: list[Record | ShortRecord] = []
        sync = isinstance(packet.body, STATE_MESSAGES)
        spread = not isinstance(packet.body, Sync)  # what one learns that joins, all others know
        for update in packet.updates:
            if not believed and (isinstance(update, LinkReport) or update.name != view.me.name):
                continue
            whole = view.expand_record(update) if isinstance(update, ShortRecord) else update
            if whole is None:
                view.counts["unknown"] += 1  # repair will bring it
            elif (
                view.merge(now, whole, sync, spread) is MergeResult.STALE and not sync and len(better) < MAX_CORRECTIONS
            ):
                correction = self._same_form(update)
                if correction.live or not self.isolated:  # cut off, it is in no place to call others dead
                    better.append(correction)
        if better:
            view.counts["corrected"] += 1
            self._send(sender, Gossip(), better)
        self._look_at_suspects(now, VERIFIED_AFTER_EXCHANGE if sync else 0)

    def _same_form(self, update: Update) -> Record | ShortRecord:
        """What is known here of the subject of an update, short if that was."""
        assert not isinstance(update, LinkReport)
        record = self.view.table.members[update.name].record
        return shorten(record) if isinstance(update, ShortRecord) else record

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
            case ProbeResult():
                self._found(now, body)
            case StaleProcess():
                if body.process_incarnation >= self.view.process_incarnation:
                    self.view.set_process_incarnation(body.process_incarnation)
                    self._number = 0
            case Sync():
                self._synced(now, packet, believed)
            case _:
                self._repair_body(now, packet, sender, believed)
        if believed and isinstance(body, (Ping, Ack)) and not self.leaving:
            self._compare(now, sender, packet.digest)

    def _repair_body(self, now: float, packet: Packet, sender: str, believed: bool) -> None:
        """Do what a packet of anti-entropy is for."""
        body = packet.body
        match body:
            case BucketDigests():
                self._answer_digests(now, sender, body)
            case BucketRecords():
                self._take_buckets(now, sender, body, packet.updates, believed)
                self._look_at_suspects(now, VERIFIED_AFTER_EXCHANGE)
            case RecordRequest():
                self._answer_records(now, sender, body)
            case _:
                pass

    def tick(self, now: float) -> None:
        """Do what is due. A tick that comes late gives back what was lost: what could not be heard in that time is no
        evidence against anybody."""
        self._catch_up(now)
        if self.leaving:
            self._gossip(now)
            self._next_probe = self._next_join = self._next_house = now + HOUSEKEEPING_INTERVAL_S
            return
        if self._active:
            self._judge(now)
            if now >= self._next_probe:
                # Drawn, lest members that began together go on probing at the same moments.
                drawn = 0.9 + 0.2 * self._rng.random()
                self._next_probe = now + self._setup.probe_every * self.health.timeout_multiplier * drawn
                if (subject := self._turn()) is not None:
                    self._probe(now, subject, ProbeReason.SCHEDULED)
            self._gossip(now)
        else:
            self._next_probe = now + self._setup.probe_every
        if now >= self._next_join:
            self._next_join = now + self._setup.join_every * (0.75 + self._rng.random() / 2)
            self._join(now)
        if now >= self._next_house:
            self._next_house = now + HOUSEKEEPING_INTERVAL_S
            self._keep_house(now)

    def _catch_up(self, now: float) -> None:
        """Shift all that was waited for by the time in which this member could not act."""
        late, self._acted, self._due = now - self._due, now, max(now, self._due)
        if late <= self._setup.probe_timeout / 2:
            return
        self.health.late_timers += 1
        if late > self._setup.probe_timeout:
            self.health.degrade()
        self.health.last_answered_at += late
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
            if not probe.indirect and now >= probe.helpers_at:
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

    def _wants_back(self) -> bool:
        return self.view.table.count(Status.DEAD) > 0

    def _join(self, now: float) -> None:
        """Ask a seed that is not there, and one of the dead: so the sides of a cut find each other again."""
        members = self.view.table.members
        away = [
            (name, address) for name, address in self._seeds if name not in members or not members[name].record.live
        ]
        if not self.view.joined:
            away = self._seeds
        often = 0.25 * min(1.0, CONTACTS_PER_SECOND / self.view.live_count)
        if away and (not self.view.joined or self._rng.random() < often):
            name, address = self._rng.choice(away)
            self._contact(now, name, self._reach.get(name, address))
            if self.view.name_holder is not None:
                self._next_join = now + 5 * self._setup.join_every
        gone = self.view.table.count(Status.DEAD)
        if self._active and gone and self._rng.random() < CONTACTS_PER_SECOND * gone / self.view.live_count:
            # The smaller side of a cut asks several at a time, so that all of the larger one soon hear what to refute.
            several = min(MAX_RECONNECT_PROBES, gone, 1 + gone // self.view.live_count)
            for name in self._rng.sample(self.view.table.with_status(Status.DEAD), several):
                self._probe(now, name, ProbeReason.RECONNECT)

    def _keep_house(self, now: float) -> None:
        view = self.view
        view.expire(now)
        known = 1 + len(view.table.members) - view.table.count(Status.LEFT)
        hears = 1 + view.table.count(Status.ALIVE)
        if (
            len(view.queue) * MAX_ROUTINE_REPEATS > MAX_PENDING_REPEATS
        ):  # updates are sent less often than they should be
            self._pace.hurry(now)
        if (isolated := 2 * hears < known) != self.isolated:
            self.isolated = isolated
            view.record_event("isolated" if isolated else "in_touch", self.me.name, hears=hears, known=known)
        self._look_at_bad_links(now)
        # Without a probe under way for long there is nobody to probe, which is no silence of others.
        if not view.table.live():
            self.health.last_answered_at = now
