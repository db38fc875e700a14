"""Failure detection: SWIM's probes with Lifeguard's changes and those of docs/membership.md.

Pure: no clock, no socket, no chance of its own. Times are seconds on a clock that does not run backwards; what is to be
sent or said comes out as data by `take`, in order. The same text runs in the node and in the simulator."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from ..config.cluster import ClusterSetup
from . import anti_entropy
from .anti_entropy import RepairPace
from .budget import ByteBudget
from .frames import MAX_DATAGRAM, update_bytes
from .gossip import PRESSURE, ROUTINE_REPEATS, gossip_interval
from .health import Health
from .messages import (
    Ack,
    Body,
    BucketDigests,
    BucketRecords,
    Found,
    Gossip,
    Packet,
    Ping,
    PingReq,
    RecordRequest,
    Records,
    Refuse,
    Stale,
    Sync,
)
from .records import Claim, Links, Record, ShortRecord, Status, Update, expand, shorten
from .table import Member, digest_of
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
from .view import WHOLE, Persist, Tell, View, fitting


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
INTRODUCED_AFTER = 60.0  # seconds of a life after which a member's record is known to all, so that it tells it short
GOSSIP_BYTES = 64  # of a gossip packet without its updates
RECORD_BYTES = 24  # of a short record, for an estimate
LEAST_REPAIR = 2048  # bytes that a repair may move however little of the budget is left
DISSEMINATION = 2.0  # seconds, times log10 of the members, after which nearly all have heard an update
REFER_FROM = 64  # members from which on a seed refers those that join: whole states would be a few seeds' whole traffic
REFERRALS = 8  # members that a seed names to one that joins
CONTACTS = 12.0  # a second, of all members together, with one seed or one dead member that is away
MAX_CORRECTIONS = 4  # updates that are put right by one packet
EXCHANGES = (Sync, BucketRecords, RecordRequest, Records)  # whose updates are states of the other side, not news


def _is_request(packet: Packet) -> bool:
    """Whether a packet that came over TCP waits for an answer."""
    body = packet.body
    return isinstance(body, (BucketDigests, RecordRequest)) or (isinstance(body, Sync) and body.ask)


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
        self._last_gossip = -math.inf
        self._next_join = self._next_back = now
        self._budget = ByteBudget(now)
        self._pace = RepairPace(now, setup.sync_every)
        self._introduced_at = now + INTRODUCED_AFTER
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
            at = min(at, self._gossip_due())
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
        self._next_probe = self._next_join = self._next_back = self._pace.due = now
        self._last_gossip = -math.inf
        self._introduced_at = now + INTRODUCED_AFTER
        self._next_house = now + HOUSEKEEPING

    # --- sending ---

    def address(self, name: str) -> str | None:
        """Where a member is dialled."""
        if (found := self._reach.get(name)) is not None:
            return found
        member = self.view.table.members.get(name)
        return member.record.address if member is not None else None

    def _packet(
        self, to: str, body: Body, first: Iterable[Update] = (), stream: bool = False, introduce: bool = False
    ) -> Packet:
        """A packet; `introduce`: with this member's whole record, as the receiver may not know it."""
        view = self.view
        self._number += 1
        introduce = introduce or stream or self._acted < self._introduced_at
        sender = view.me if introduce else shorten(view.me)
        updates = list(first)
        if not stream and view.queue:
            updates += self._piggyback(MAX_DATAGRAM - HEAD - update_bytes(sender) - len(to), updates)
        digest = view.digest if isinstance(body, (Ping, Ack)) else 0
        return Packet(to, sender, view.life, self._number, digest, body, tuple(updates))

    def _piggyback(self, room: int, first: list[Update]) -> list[Update]:
        """Updates that go along with a datagram behind those that it is for."""
        room -= sum(map(update_bytes, first))
        told = {update.name for update in first if not isinstance(update, Links)}
        picked = self.view.pick(min(room, self._budget.available(self._acted)))
        self._budget.spend(self._acted, sum(map(update_bytes, picked)))
        return [update for update in picked if isinstance(update, Links) or update.name not in told]

    def _send(self, to: str, body: Body, first: Iterable[Update] = (), introduce: bool = False) -> None:
        address = self.address(to)
        if address is not None:
            self._effects.append(Send(address, self._packet(to, body, first, introduce=introduce)))

    def _exchange(self, to: str, address: str, body: Body, updates: Iterable[Update] = ()) -> None:
        """Begin an exchange over TCP."""
        self._effects.append(Send(address, self._packet(to, body, updates, stream=True), True))

    def _reply(self, to: str, body: Body, updates: Iterable[Update] = ()) -> None:
        """Answer the packet that came over TCP just now."""
        self._effects.append(Answer(self._packet(to, body, updates, stream=True)))

    def _contact(self, now: float, to: str, address: str) -> None:
        """Exchange states: what differs, or all that the other one knows if this member knows nothing yet."""
        if self.view.joined:
            self._repair(now, to, address)
            return
        self._pace.began(now, self._rng.random())
        self.view.counts["syncs"] += 1
        self._exchange(to, address, Sync(True, False))

    def _ping(self, now: float, to: str, nonce: int, via: str = "", asked: int = 0, introduce: bool = True) -> None:
        """Ask directly; what stands against the asked one goes first, so that it can refute."""
        member = self.view.table.members.get(to)
        against = [member.record] if member is not None and member.record.status is not Status.ALIVE else []
        self.view.counts["pings"] += 1
        self._send(to, Ping(nonce, via, asked), against, introduce)

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
        view, body, record = self.view, packet.body, self._sender_of(packet)
        if record is None:
            return
        sender = record.name
        member = view.table.members.get(sender)
        if member is not None and (
            self._over(now, member, record, packet, stream) or self._conflicts(member, record, packet)
        ):
            return
        claim = view.take(now, record)
        member = view.table.members.get(sender)
        if member is None:
            view.counts["drop.no_room"] += 1
            return
        if packet.life > member.life:
            member.begin_life(packet.life)
        if not stream and not member.fresh(packet.number):
            view.counts["drop.replayed"] += 1
            return
        believed = member.record.live or claim is Claim.NEW
        if not isinstance(body, BucketRecords):
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

    def _sender_of(self, packet: Packet) -> Record | None:
        """The sender's whole record; None where it was told short and is not known here, or not at that place."""
        if isinstance(packet.me, Record):
            return packet.me
        record = self.view.whole_record(packet.me)
        if record is None:
            self.view.counts["drop.unknown"] += 1
        return record

    def _over(self, now: float, member: Member, record: Record, packet: Packet, stream: bool) -> bool:
        """The packet is of a process that another one of the same name has followed. It may be a restart with a clock
        that was set back, so it is told, at most once a second."""
        if record.address != member.record.address or packet.life >= member.life:
            return False
        self.view.counts["drop.earlier_life"] += 1
        notice = Stale(member.life)
        if stream and _is_request(packet):
            self._reply(member.record.name, notice)
        elif isinstance(packet.body, Ping) and now >= member.scolded + 1:
            member.scolded = now
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
            self._reply(member.record.name, Refuse(), [member.record])
        self.view.counts["drop.name_taken"] += 1
        return True

    def _namesake(self, packet: Packet) -> None:
        """The sender has this member's name. One at the same address is its other process, in an upgrade."""
        record = expand(packet.me, self.me) if isinstance(packet.me, ShortRecord) else packet.me
        if record is not None and record.address == self.me.address:
            return
        self.view.counts["namesakes"] += 1
        if _is_request(packet) and self._active:
            self._reply(packet.me.name, Refuse(), [self.view.me])

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
        better: list[Update] = []
        sync = isinstance(packet.body, EXCHANGES)
        spread = view.joined or not isinstance(packet.body, Sync)
        for update in packet.updates:
            if not believed and (isinstance(update, Links) or update.name != view.me.name):
                continue
            whole = view.whole_record(update) if isinstance(update, ShortRecord) else update
            if whole is None:
                view.counts["unknown"] += 1  # repair will bring it
            elif view.take(now, whole, sync, spread) is Claim.STALE and not sync and len(better) < MAX_CORRECTIONS:
                better.append(self._same_form(update))
        if better:
            view.counts["corrected"] += 1
            self._send(sender, Gossip(), better)
        self._look_at_suspects(now)

    def _same_form(self, update: Update) -> Update:
        """What is known here of the subject of an update, short if that was."""
        assert not isinstance(update, Links)
        record = self.view.table.members[update.name].record
        return shorten(record) if isinstance(update, ShortRecord) else record

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
            case RecordRequest():
                self._answer_records(now, sender, body)
            case _:
                pass

    def _synced(self, now: float, packet: Packet, believed: bool) -> None:
        """Whole states are exchanged."""
        if isinstance(packet.body, Sync) and packet.body.ask:
            if self.view.refused_by is not None:
                return
            self.view.joined = True
            if packet.body.referred or self.view.members < REFER_FROM:
                self._reply(packet.me.name, Sync(False, True), self.view.whole(now))
            else:
                self._refer(packet.me.name)
        elif isinstance(packet.body, Sync) and packet.body.referred:
            self._follow(packet)
        elif self.view.refused_by is not None:  # nobody holds the name any more
            self.view.refused_by = None
            self.view.begin_life(self.me.incarnation)
            self._number = 0
            self.view.tell("accepted", self.me.name, by=packet.me.name, incarnation=self.me.incarnation)
            self.view.joined = True
        else:
            self.view.joined = self.view.joined or believed

    def _refer(self, newcomer: str) -> None:
        """Name a few members that one that joins may ask for all, so that not the seeds alone carry whole states."""
        live = [name for name in self.view.table.live() if name != newcomer]
        some = self._rng.sample(live, min(REFERRALS, len(live)))
        records = [self.view.table.members[name].record for name in some]
        self._reply(newcomer, Sync(False, True, referred=True), records)

    def _follow(self, packet: Packet) -> None:
        """Ask one of the members that a seed has named; if it does not answer, a seed is asked again."""
        named = [
            update
            for update in packet.updates
            if isinstance(update, Record) and update.live and update.name != self.me.name
        ]
        if named:
            chosen = self._rng.choice(named)
            self._exchange(chosen.name, self.address(chosen.name) or chosen.address, Sync(True, False, referred=True))

    # --- anti-entropy ---

    def _dissemination_time(self) -> float:
        """Seconds after which an update that is still missing somewhere will not come by itself."""
        return DISSEMINATION * max(1.0, math.log10(self.view.members))

    def _compare(self, now: float, sender: str, digest: int) -> None:
        """A member told the digest of its view: repair, if that has differed for too long."""
        if not self._pace.compare(now, self.view.digest, digest, self._dissemination_time()):
            return
        address = self.address(sender)
        if address is not None and self._budget.available(now) > 0:
            self._repair(now, sender, address)

    def _digests(self, count: int) -> bytes:
        """The digests of this member's view by bucket, itself included."""
        members = self.view.table.members
        live = [(name, members[name].digest) for name in self.view.table.live()]
        if self.me.live:
            live.append((self.me.name, digest_of(self.me)))
        return anti_entropy.digests(live, count)

    def _repair(self, now: float, to: str, address: str) -> None:
        """Ask a member for what differs."""
        self._pace.began(now, self._rng.random())
        self.view.counts["repairs"] += 1
        digests = self._digests(anti_entropy.bucket_count(self.view.members))
        self._budget.spend(now, len(digests))
        self._exchange(to, address, BucketDigests(digests, self.view.links.digest))

    def _answer_digests(self, now: float, sender: str, body: BucketDigests) -> None:
        """Tell the records of the buckets that differ, as many as the budget allows."""
        count = anti_entropy.bucket_count_of(body.digests)
        if not count or self.view.refused_by is not None:
            return
        if not self.view.joined:  # nothing to compare yet; but here is somebody to join by
            self._reply(sender, Records())
            if now >= self._pace.due:
                self._contact(now, sender, self.address(sender) or "")
            return
        buckets = anti_entropy.differing(self._digests(count), body.digests)
        self._rng.shuffle(buckets)  # lest those beyond the budget be the same ones each time
        room = max(LEAST_REPAIR, self._budget.available(now))
        each = RECORD_BYTES * max(1, self.view.members // count)
        chosen = set(buckets[: max(1, room // each)])
        settled, young = self._records_in(now, chosen, count)
        updates: list[Update] = [*settled, *young]
        self._budget.spend(now, RECORD_BYTES * len(updates))
        if body.links != self.view.links.digest:
            updates += self.view.all_links(now, room)
        answer = BucketRecords(count, anti_entropy.as_bits(chosen, count), len(settled), self.view.links.digest)
        self._reply(sender, answer, updates)

    def _records_in(self, now: float, buckets: set[int], count: int) -> tuple[list[ShortRecord], list[ShortRecord]]:
        """Short records of all whose names fall into these buckets: those that are settled, and those that are not."""
        settled: list[ShortRecord] = []
        young: list[ShortRecord] = []
        before = now - self._dissemination_time()
        for member in anti_entropy.in_buckets(self.view.table.members, buckets, count):
            (settled if member.since <= before else young).append(shorten(member.record))
        if anti_entropy.bucket_of(self.me.name, count) in buckets:
            young.append(shorten(self.me))
        return settled, young

    def _take_buckets(
        self, now: float, sender: str, body: BucketRecords, updates: tuple[Update, ...], believed: bool
    ) -> None:
        """The records of the buckets that differ: take in what is newer there; ask for what is not known here, and
        tell what is newer here."""
        if not believed or not anti_entropy.is_bucket_count(body.bucket_count):
            return
        wanted: list[str] = []
        newer: list[Update] = []
        found, listed = 0, {sender, self.me.name}
        for position, update in enumerate(updates):
            if isinstance(update, Links):
                self.view.take_links(now, update)
                continue
            listed.add(update.name)
            learned = self._take_listed(now, update, wanted, newer)
            found += learned and position < body.settled
        missing = self._missing_there(body, listed)
        before = now - self._dissemination_time()
        found += sum(member.since <= before for member in missing)
        newer += [member.record for member in missing]
        self._look_at_suspects(now)
        self.view.counts["repaired"] += found
        self._pace.found(now, found, self._rng.random())
        self._request(now, sender, wanted, newer, body.links)

    def _take_listed(self, now: float, update: Record | ShortRecord, wanted: list[str], newer: list[Update]) -> bool:
        """One record of a bucket that differs; whether it was news here."""
        view = self.view
        member = view.table.members.get(update.name)
        record = view.whole_record(update) if isinstance(update, ShortRecord) else update
        if record is None:
            if member is not None and update.name != self.me.name:
                newer.append(member.record)  # known here at another place: each side judges the other's whole record
            if update.live:
                wanted.append(update.name)
            return update.live
        claim = view.take(now, record, True)
        if claim is Claim.STALE and member is not None:
            newer.append(shorten(member.record))
        return claim is Claim.NEW

    def _missing_there(self, body: BucketRecords, listed: set[str]) -> list[Member]:
        """Live members in the buckets that differ which the other side did not list."""
        buckets = anti_entropy.from_bits(body.buckets)
        members = anti_entropy.in_buckets(self.view.table.members, buckets, body.bucket_count)
        return [member for member in members if member.record.live and member.record.name not in listed]

    def _request(self, now: float, to: str, wanted: list[str], newer: list[Update], links: int) -> None:
        """Ask for whole records that are not known here; tell what is newer here."""
        room = max(LEAST_REPAIR, self._budget.available(now))
        if links != self.view.links.digest:
            newer += self.view.all_links(now, room)
        address = self.address(to)
        if address is None or not (wanted or newer):
            return
        told, left = fitting(newer, room)
        self._budget.spend(now, room - left)
        self._exchange(to, address, RecordRequest(tuple(wanted[: room // RECORD_BYTES])), told)

    def _answer_records(self, now: float, sender: str, body: RecordRequest) -> None:
        """Send the whole records that were asked for."""
        members = self.view.table.members
        asked = [members[name].record for name in body.names if name in members]
        if self.me.name in body.names:
            asked.append(self.me)
        told, left = fitting(asked, WHOLE)
        self._budget.spend(now, WHOLE - left)
        self._reply(sender, Records(), told)

    # --- probes ---

    def _probe(self, now: float, subject: str, why: Why) -> None:
        """Begin to ask a member, unless that is under way."""
        member = self.view.table.members.get(subject)
        if (
            self.leaving
            or member is None
            or any(probe.subject == subject and probe.why is why for probe in self._probes.values())
        ):
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
        self._ping(now, subject, nonce, introduce=why is not Why.ROUND)

    def _ask_for(self, now: float, asker: str, body: PingReq, against: list[Record]) -> None:
        """Ping somebody for another member."""
        member = self.view.table.members.get(body.subject)
        if self.leaving or member is None or not member.record.live or len(self._relays) >= MOST_RELAYS:
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
                self._contact(now, subject, self.address(subject) or "")
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
        if not self.view.table.is_live(look.subject) or look.asking:
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
        """A round of gossip packets, if it is due and the budget allows it."""
        live = self.view.table.live()
        if now < self._gossip_due() or not self.view.queue or not live:
            return
        self._last_gossip = now
        for name in self._rng.sample(live, min(self._setup.gossip_to, len(live))):
            if not self.view.queue or self._budget.available(now) < 2 * GOSSIP_BYTES:
                return
            self._budget.spend(now, GOSSIP_BYTES)
            self._send(name, Gossip())

    def _gossip_due(self) -> float:
        """When the next round of gossip packets may go out."""
        urgent = self.view.queue.urgent > 0
        return self._last_gossip + gossip_interval(self._setup.gossip_every, self.view.members, urgent)

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
        often = 0.25 * min(1.0, CONTACTS / self.view.members)
        if away and (not self.view.joined or self._rng.random() < often):
            name, address = self._rng.choice(away)
            self._contact(now, name, self._reach.get(name, address))
            if self.view.refused_by is not None:
                self._next_join = now + 5 * self._setup.join_every
        gone = self.view.table.count(Status.DEAD)
        if self._active and gone and self._rng.random() < CONTACTS * gone / self.view.members:
            self._probe(now, self._rng.choice(self.view.table.of(Status.DEAD)), Why.BACK)

    def _keep_house(self, now: float) -> None:
        view = self.view
        view.age(now)
        known = 1 + len(view.table.members) - view.table.count(Status.LEFT)
        hears = 1 + view.table.count(Status.ALIVE)
        if len(view.queue) * ROUTINE_REPEATS > PRESSURE:  # updates are told less often than they should be
            self._pace.hurry(now)
        if (isolated := 2 * hears < known) != self.isolated:
            self.isolated = isolated
            view.tell("isolated" if isolated else "in_touch", self.me.name, hears=hears, known=known)
        for subject, at in list(self._look_again.items()):
            if not view.table.is_live(subject):
                del self._look_again[subject]
            elif now >= at:
                self._look_again[subject] = now + self._setup.link_every
                self._look(now, subject, LOOKS_AGAIN)
        # Without a probe under way for long there is nobody to probe, which is no silence of others.
        if not view.table.live():
            self.health.answered = now
