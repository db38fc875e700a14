"""The failure detector: SWIM with Lifeguard's extensions and the changes described in docs/membership.md.

Sans-I/O: the caller supplies the time, the packets and the random generator. Times are seconds on a monotonic clock.
`drain_effects` returns the packets to send, the values to store and the events to log, as data and in order. The node
and the simulator run the same class.

`Detector` dispatches packets and timers. Its components share a `MemberContext` and each keep their own state:
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
MAX_LEAVE_NOTICES = 8  # members that a leaving member notifies directly
MAX_VERIFIED_PER_EXCHANGE = 4  # members reported dead by the peer of a state exchange that are probed at once
MAX_CORRECTIONS = 4  # newer records sent back in reply to one packet
STATE_MESSAGES = (Sync, BucketRecords, RecordRequest, Records)  # carry the sender's state, not recent changes


class Detector:
    """Failure detector and membership protocol of one cluster member."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        """`incarnation`: higher than that of every known earlier process with this name."""
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
        self._next_wake_at = now  # when the next tick is due
        self._next_probe = now + setup.probe_every * rng.random()
        self._next_housekeeping = now + HOUSEKEEPING_INTERVAL_S * rng.random()

    @property
    def view(self) -> MembershipView:
        """The membership view of this member."""
        return self.context.view

    @property
    def health(self) -> LocalHealth:
        """The local health of this member (Lifeguard)."""
        return self.context.health

    @property
    def me(self) -> Record:
        """The record of this member."""
        return self.context.view.me

    @property
    def isolated(self) -> bool:
        """Return whether fewer than half of the known members are alive in this member's view."""
        return self.context.isolated

    def address(self, name: str) -> str | None:
        """Return the address at which this member contacts another member; None if it is unknown."""
        return self.send_queue.address(name)

    def drain_effects(self) -> list[Effect]:
        """Return the effects produced since the last call, in order."""
        return self.send_queue.drain_effects()

    def wake_at(self) -> float:
        """Return when `tick` is due.

        Must be called after every `tick` and `receive`: the delay of the next call is measured against this time."""
        self._next_wake_at = max(self.context.last_active, self._next_due())
        return self._next_wake_at

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
        """Announce that this member leaves, and stop probing."""
        context = self.context
        view = context.view
        view.me = view.me._replace(status=Status.LEFT)
        view.queue.add(view.me)
        context.leaving = True
        self._cancel_pending()
        live = view.table.live()
        for name in context.rng.sample(live, min(MAX_LEAVE_NOTICES, len(live))):
            self.send_queue.send(name, Gossip(), [view.me])

    def restart(self, now: float, incarnation: int) -> None:
        """Resume after another process of this node has acted under this member's name.

        Takes a process incarnation above that of the other process, and cancels all pending probes and checks."""
        self.view.start_process_incarnation(incarnation)
        self._cancel_pending()
        self.send_queue.restart(now)
        self.probing.restart(now)
        self.state_exchange.repair_schedule.due = now
        self.joining.next_attempt = now
        self._next_probe = now
        self._next_housekeeping = now + HOUSEKEEPING_INTERVAL_S

    def _cancel_pending(self) -> None:
        self.probing.clear()
        self.suspicions.clear()
        self.link_checks.clear()

    def receive(self, now: float, packet: Packet, stream: bool = False) -> None:
        """Process a packet. `stream`: it was received over TCP and may be answered with `Answer`."""
        self._compensate_delay(now)
        view = self.context.view
        view.counts["received"] += 1
        if not self._sender_check.should_process(packet):
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
        """Merge a packet's updates, and send newer records to a sender whose records are stale.

        From a sender that is dead in this view only updates about this member are merged: this member refutes them,
        which lets the sides of a partition merge."""
        view = self.context.view
        corrections: list[Record | ShortRecord] = []
        full_state = isinstance(packet.body, STATE_MESSAGES)
        disseminate = not isinstance(packet.body, Sync)  # the rest of the cluster already holds the full state
        for update in packet.updates:
            if not sender_live and (isinstance(update, LinkReport) or update.name != view.me.name):
                continue
            record = view.expand_record(update) if isinstance(update, ShortRecord) else update
            if record is None:
                view.counts["unknown_updates"] += 1  # anti-entropy transfers the whole record later
                continue
            result = view.merge(now, record, full_state, disseminate)
            if result is MergeResult.STALE and not full_state and len(corrections) < MAX_CORRECTIONS:
                correction = self._known_record(update)
                if correction.live or not self.context.isolated:  # an isolated member does not disseminate deaths
                    corrections.append(correction)
        if corrections:
            view.counts["corrections_sent"] += 1
            self.send_queue.send(sender, Gossip(), corrections)
        self.probing.probe_reported_suspects(now, MAX_VERIFIED_PER_EXCHANGE if full_state else 0)

    def _known_record(self, update: Update) -> Record | ShortRecord:
        """Return the known record of an update's subject, in short form if the update is short."""
        assert not isinstance(update, LinkReport)
        record = self.view.table.members[update.name].record
        return shorten(record) if isinstance(update, ShortRecord) else record

    def _handle(self, now: float, packet: Packet, member: Member, sender_live: bool) -> None:
        """Dispatch a packet to the handler of its message."""
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
        """Dispatch an anti-entropy message. All other messages only carry updates."""
        match packet.body:
            case BucketDigests() as digests:
                self.state_exchange.handle_digests(now, sender, digests)
            case BucketRecords() as records:
                self.state_exchange.handle_bucket_records(now, sender, records, packet.updates, sender_live)
                self.probing.probe_reported_suspects(now, MAX_VERIFIED_PER_EXCHANGE)
            case RecordRequest() as request:
                self.state_exchange.handle_record_request(now, sender, request)
            case _:
                pass

    def _last_heard_ms(self, now: float, ping: Ping, sender: str) -> int:
        """Return the milliseconds since the requester's last direct datagram; -1 if none was received."""
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
        """Run all timers that are due."""
        self._compensate_delay(now)
        context = self.context
        if context.leaving:
            self.send_queue.gossip(now)
            self._next_probe = self._next_housekeeping = now + HOUSEKEEPING_INTERVAL_S
            self.joining.next_attempt = now + HOUSEKEEPING_INTERVAL_S
            return
        if context.active:
            self._advance_pending(now)
            if now >= self._next_probe:
                # Jitter keeps members that started together from probing in step.
                jitter = 0.9 + 0.2 * context.rng.random()
                self._next_probe = now + context.scaled(context.settings.probe_every) * jitter
                self.probing.start_scheduled(now)
            self.send_queue.gossip(now)
        else:
            self._next_probe = now + context.settings.probe_every
        if now >= self.joining.next_attempt:
            self.joining.attempt(now)
        if now >= self._next_housekeeping:
            self._next_housekeeping = now + HOUSEKEEPING_INTERVAL_S
            self._run_housekeeping(now)

    def _compensate_delay(self, now: float) -> None:
        """Shift all deadlines by the time for which this process did not run.

        Packets that it did not process in that time are no evidence of a failure of other members."""
        context = self.context
        delay = now - self._next_wake_at
        context.last_active = now
        self._next_wake_at = max(now, self._next_wake_at)
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
        """Advance the pending probes, suspicions and link checks that are due."""
        self.probing.advance(now)
        for suspicion in self.suspicions.due(now):
            if self.suspicions.advance(now, suspicion):
                self.probing.start(now, suspicion.subject, ProbeReason.VERIFICATION)
        for check in self.link_checks.due(now):
            self.link_checks.advance(now, check)

    def _run_housekeeping(self, now: float) -> None:
        """Remove expired members, detect isolation, and schedule rechecks of bad links."""
        context = self.context
        view = context.view
        view.expire(now)
        known = 1 + len(view.table.members) - view.table.count(Status.LEFT)
        reachable = 1 + view.table.count(Status.ALIVE)
        if len(view.queue) * MAX_ROUTINE_REPEATS > MAX_PENDING_REPEATS:  # updates leave the queue before reaching all
            self.state_exchange.repair_schedule.shorten_pause(now)
        isolated = 2 * reachable < known
        if isolated != context.isolated:
            context.isolated = isolated
            view.record_event("isolated" if isolated else "in_touch", view.me.name, hears=reachable, known=known)
        self.link_checks.recheck_bad_links(now)
        # Without live members there is nothing to probe, so the lack of acks does not indicate isolation.
        if not view.table.live():
            context.health.last_answered_at = now
