"""The failure detector: SWIM with Lifeguard's changes and those of docs/membership.md.

Pure: no clock, socket or randomness of its own. Times are seconds on a clock that does not run backwards. What is to be
sent, stored or logged comes out as data by `drain_effects`, in order. The same object runs in the node and in the
simulator.

`Detector` receives packets and knows what is due when. Its parts share a `MemberContext`, and each has its own state:
`SendQueue` (packets, gossip), `StateExchange` (full state, anti-entropy), `LinkChecks`, `Suspicions`, `Probing`,
`Joining` and `SenderCheck`."""

from __future__ import annotations

import math
import random

from ..config.cluster import ClusterSetup
from .budget import ByteBudget
from .context import MemberContext
from .gossip import MAX_PENDING_REPEATS, MAX_ROUTINE_REPEATS
from .joining import Joining
from .link_checks import LinkChecks
from .local_health import LocalHealth
from .member_table import Member
from .membership_view import MembershipView
from .messages import (
    Ack,
    BucketDigests,
    BucketRecords,
    Gossip,
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
from .probing import Probing
from .records import LinkReport, MergeResult, Record, ShortRecord, Status, Update, shorten
from .send_queue import Answer, Effect, Send, SendQueue
from .sender_check import SenderCheck
from .state_exchange import StateExchange
from .suspicions import Suspicions

__all__ = ["Answer", "Detector", "Effect", "Send"]

HOUSEKEEPING_INTERVAL_S = 1.0
LEAVE_NOTICES = 8  # members that a leaving one notifies directly
VERIFIED_AFTER_EXCHANGE = 4  # of those that the other side of an exchange holds for dead: they are probed from here
MAX_CORRECTIONS = 4  # sent for one packet
STATE_MESSAGES = (Sync, BucketRecords, RecordRequest, Records)  # their updates are the sender's state, not changes


class Detector:
    """One member of the cluster."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        """`incarnation`: above that of every earlier process of this name, as far as that is known."""
        address = f"{setup.listen.host}:{setup.listen.port}"
        me = Record(name, address, setup.region, setup.zone, incarnation, Status.ALIVE, name)
        view = MembershipView(me, setup.members, setup.remember)
        self.context = MemberContext(setup, rng, view, LocalHealth(), ByteBudget(now), now)
        self.send_queue = SendQueue(self.context, now)
        self.state_exchange = StateExchange(self.context, self.send_queue, now)
        self.link_checks = LinkChecks(self.context, self.send_queue)
        self.suspicions = Suspicions(self.context)
        self.probing = Probing(
            self.context, self.send_queue, self.state_exchange, self.link_checks, self.suspicions, now
        )
        self.joining = Joining(self.context, self.send_queue, self.state_exchange, self.probing, now)
        self._sender_check = SenderCheck(self.context, self.send_queue)
        self._due = now  # when the next tick is due
        self._next_probe = now + setup.probe_every * rng.random()
        self._next_housekeeping = now + HOUSEKEEPING_INTERVAL_S * rng.random()

    @property
    def view(self) -> MembershipView:
        """What this member knows of all."""
        return self.context.view

    @property
    def health(self) -> LocalHealth:
        """How far this member trusts itself."""
        return self.context.health

    @property
    def me(self) -> Record:
        """The member's own record."""
        return self.context.view.me

    @property
    def isolated(self) -> bool:
        """Whether this member hears less than half of the members that it knows."""
        return self.context.isolated

    def address(self, name: str) -> str | None:
        """Where this member dials another one; None if that is unknown."""
        return self.send_queue.address(name)

    def drain_effects(self) -> list[Effect]:
        """Return what is to be done since the last call, in order."""
        return self.send_queue.drain_effects()

    def wake_at(self) -> float:
        """Return when `tick` is due. To be called after every `tick` and `receive`: it tells what is late."""
        self._due = max(self.context.last_active, self._next_due())
        return self._due

    def _next_due(self) -> float:
        context = self.context
        view = context.view
        at = min(self._next_probe, self.joining.next_due(), self._next_housekeeping)
        if not context.active and not context.leaving:
            return at
        if view.queue and view.table.live():
            at = min(at, self.send_queue.gossip_due())
        return min(at, self.probing.next_due(), self.suspicions.next_due(), self.link_checks.next_due())

    def leave(self, now: float) -> None:
        """Announce that this member leaves; from here on it probes nobody."""
        context = self.context
        view = context.view
        view.me = view.me._replace(status=Status.LEFT)
        view.queue.add(view.me)
        context.leaving = True
        self._cancel_pending()
        live = view.table.live()
        for name in context.rng.sample(live, min(LEAVE_NOTICES, len(live))):
            self.send_queue.send(name, Gossip(), [view.me])

    def restart(self, now: float, incarnation: int) -> None:
        """Go on after another process of this node has used its name.

        The process incarnation is above that process's one, and nothing is pending."""
        self.view.start_process_incarnation(incarnation)
        self._cancel_pending()
        self.send_queue.restart(now)
        self.probing.restart(now)
        self.state_exchange.pace.due = now
        self.joining.next_attempt = now
        self._next_probe = now
        self._next_housekeeping = now + HOUSEKEEPING_INTERVAL_S

    def _cancel_pending(self) -> None:
        self.probing.clear()
        self.suspicions.clear()
        self.link_checks.clear()

    def receive(self, now: float, packet: Packet, stream: bool = False) -> None:
        """Process a packet; `stream`: it came over TCP, so that it may be answered with `Answer`."""
        self._absorb_delay(now)
        view = self.context.view
        view.counts["received"] += 1
        if not self._sender_check.is_addressed_here(packet):
            return
        record = self._sender_check.sender_record(packet)
        if record is None:
            return
        sender = record.name
        member = view.table.members.get(sender)
        if member is not None and (
            self._sender_check.is_stale_process(now, member, record, packet, stream)
            or self._sender_check.is_name_conflict(member, record, packet)
        ):
            return
        result = view.merge(now, record)
        member = view.table.members.get(sender)
        if member is None:
            view.counts["drop.table_full"] += 1
            return
        if packet.process_incarnation > member.process_incarnation:
            member.set_process_incarnation(packet.process_incarnation)
        if not stream and not member.accept_sequence(packet.sequence):
            view.counts["drop.replayed"] += 1
            return
        sender_live = member.record.live or result is MergeResult.ACCEPTED
        if not isinstance(packet.body, BucketRecords):
            self._merge_updates(now, packet, sender, sender_live)
        if not stream:
            member.last_heard = now
        self._handle(now, packet, member, sender_live)

    def _merge_updates(self, now: float, packet: Packet, sender: str, sender_live: bool) -> None:
        """Merge a packet's updates, and correct a sender that has older ones.

        Of a sender that is dead here only updates about this member count: these can be refuted, and so the sides of a
        partition come together."""
        view = self.context.view
        corrections: list[Record | ShortRecord] = []
        full_state = isinstance(packet.body, STATE_MESSAGES)
        spread = not isinstance(packet.body, Sync)  # what a joining member learns all others know
        for update in packet.updates:
            if not sender_live and (isinstance(update, LinkReport) or update.name != view.me.name):
                continue
            record = view.expand_record(update) if isinstance(update, ShortRecord) else update
            if record is None:
                view.counts["unknown_updates"] += 1  # anti-entropy will bring the whole record
                continue
            result = view.merge(now, record, full_state, spread)
            if result is MergeResult.STALE and not full_state and len(corrections) < MAX_CORRECTIONS:
                correction = self._known_record(update)
                if correction.live or not self.context.isolated:  # cut off, it has no say on who is dead
                    corrections.append(correction)
        if corrections:
            view.counts["corrections_sent"] += 1
            self.send_queue.send(sender, Gossip(), corrections)
        self.probing.probe_reported_suspects(now, VERIFIED_AFTER_EXCHANGE if full_state else 0)

    def _known_record(self, update: Update) -> Record | ShortRecord:
        """Return the known record of an update's subject, short if that was."""
        assert not isinstance(update, LinkReport)
        record = self.view.table.members[update.name].record
        return shorten(record) if isinstance(update, ShortRecord) else record

    def _handle(self, now: float, packet: Packet, member: Member, sender_live: bool) -> None:
        """Do what the packet's message asks for."""
        sender = member.record.name
        refutable = [] if member.record.live else [member.record]
        match packet.body:
            case Ping() as ping:
                self.send_queue.send(sender, Ack(ping.nonce, self._last_heard_ms(now, ping, sender)), refutable)
            case PingReq() as request:
                self.probing.handle_ping_request(now, sender, request, refutable)
            case Ack() as ack:
                self.probing.handle_ack(now, ack, member)
            case ProbeResult() as result:
                self.probing.handle_result(now, result)
            case StaleProcess() as notice:
                self._handle_stale_notice(notice)
            case Sync() as sync:
                self.state_exchange.handle_sync(now, packet, sync, sender_live)
            case _:
                self._handle_anti_entropy(now, packet, sender, sender_live)
        if sender_live and isinstance(packet.body, (Ping, Ack)) and not self.context.leaving:
            self.state_exchange.compare_digest(now, sender, packet.digest)

    def _handle_anti_entropy(self, now: float, packet: Packet, sender: str, sender_live: bool) -> None:
        """Do what a message of anti-entropy asks for; other messages only carry updates."""
        match packet.body:
            case BucketDigests() as digests:
                self.state_exchange.handle_digests(now, sender, digests)
            case BucketRecords() as records:
                self.state_exchange.handle_bucket_records(now, sender, records, packet.updates, sender_live)
                self.probing.probe_reported_suspects(now, VERIFIED_AFTER_EXCHANGE)
            case RecordRequest() as request:
                self.state_exchange.handle_record_request(now, sender, request)
            case _:
                pass

    def _last_heard_ms(self, now: float, ping: Ping, sender: str) -> int:
        """Return how long ago the member that wants to know was heard directly, in milliseconds; -1: not lately."""
        requester = ping.requester or sender
        if requester == sender:
            return 0
        member = self.view.table.members.get(requester)
        if member is None or member.last_heard == -math.inf:
            return -1
        return int(1000 * (now - member.last_heard))

    def _handle_stale_notice(self, notice: StaleProcess) -> None:
        if notice.process_incarnation >= self.view.process_incarnation:
            self.view.start_process_incarnation(notice.process_incarnation)
            self.send_queue.reset_sequence()

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._absorb_delay(now)
        context = self.context
        if context.leaving:
            self.send_queue.gossip(now)
            self._next_probe = self._next_housekeeping = now + HOUSEKEEPING_INTERVAL_S
            self.joining.next_attempt = now + HOUSEKEEPING_INTERVAL_S
            return
        if context.active:
            self._advance_pending(now)
            if now >= self._next_probe:
                # Drawn, lest members that started together go on probing at the same moments.
                drawn = 0.9 + 0.2 * context.rng.random()
                self._next_probe = now + context.scaled(context.settings.probe_every) * drawn
                self.probing.start_scheduled(now)
            self.send_queue.gossip(now)
        else:
            self._next_probe = now + context.settings.probe_every
        if now >= self.joining.next_attempt:
            self.joining.attempt(now)
        if now >= self._next_housekeeping:
            self._next_housekeeping = now + HOUSEKEEPING_INTERVAL_S
            self._keep_house(now)

    def _absorb_delay(self, now: float) -> None:
        """Shift all deadlines by the time for which this member could not act.

        What it could not hear in that time is no evidence against anybody."""
        context = self.context
        delay = now - self._due
        context.last_active = now
        self._due = max(now, self._due)
        context.health.longest_delay = max(context.health.longest_delay, delay)
        if delay <= context.settings.probe_timeout / 2:
            return
        context.health.late_timers += 1
        if delay > context.settings.probe_timeout:
            context.health.degrade()
        context.health.last_answered_at += delay
        self.probing.postpone(delay)
        self.suspicions.postpone(delay)
        self.link_checks.postpone(delay)

    def _advance_pending(self, now: float) -> None:
        """Advance the probes, suspicions and link checks that are due."""
        self.probing.advance(now)
        for suspicion in self.suspicions.due(now):
            if self.suspicions.advance(now, suspicion):
                self.probing.start(now, suspicion.subject, ProbeReason.VERIFICATION)
        for check in self.link_checks.due(now):
            self.link_checks.advance(now, check)

    def _keep_house(self, now: float) -> None:
        """Forget departed members, note isolation, and check bad links again."""
        context = self.context
        view = context.view
        view.expire(now)
        known = 1 + len(view.table.members) - view.table.count(Status.LEFT)
        hears = 1 + view.table.count(Status.ALIVE)
        if len(view.queue) * MAX_ROUTINE_REPEATS > MAX_PENDING_REPEATS:  # updates are dropped before all heard them
            self.state_exchange.pace.hurry(now)
        isolated = 2 * hears < known
        if isolated != context.isolated:
            context.isolated = isolated
            view.record_event("isolated" if isolated else "in_touch", view.me.name, hears=hears, known=known)
        self.link_checks.recheck_bad_links(now)
        # With nobody to probe no answer is missing.
        if not view.table.live():
            context.health.last_answered_at = now
