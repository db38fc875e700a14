"""Outgoing packets: their numbering, piggybacked updates, and the time of gossip rounds. Sans-I/O.

Effects are data, in the order in which the caller must carry them out."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from .context import MemberContext
from .frames import MAX_DATAGRAM_BYTES, update_bytes
from .gossip import gossip_interval
from .membership_view import MembershipEvent, PersistIncarnation
from .messages import Ack, Body, Gossip, Packet, Ping
from .records import LinkReport, Status, Update, shorten

MAX_HEADER_BYTES = 160  # upper limit of a datagram's bytes besides records and updates
# A member sends its whole record for this time after a join. Then all members are expected to hold it, and the short
# record is sent.
WHOLE_RECORD_PERIOD_S = 60.0
GOSSIP_OVERHEAD_BYTES = 64  # size of a gossip packet without updates, charged to the byte budget


@dataclass(frozen=True, slots=True)
class Send:
    """An effect: send a packet as a datagram, or (`stream`) as a request over TCP, whose answer goes to `receive`."""

    address: str
    packet: Packet
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """An effect: answer the TCP request received last, on its own connection."""

    packet: Packet


Effect = Send | Answer | MembershipEvent | PersistIncarnation


class SendQueue:
    """The outgoing packets of one member, with as many piggybacked updates as room and byte budget allow."""

    def __init__(self, context: MemberContext, now: float) -> None:
        self._context = context
        self._configured_addresses = dict(context.settings.reach)
        self._sequence = 0
        self._nonce = 0
        self._effects: list[Effect] = []
        self._last_gossip = -math.inf
        self._whole_record_until = now + WHOLE_RECORD_PERIOD_S

    def drain_effects(self) -> list[Effect]:
        """Return the effects produced since the last call, in order."""
        events = self._context.view.events
        effects = self._effects
        self._effects = []
        if events:
            effects += events
            events.clear()
        return effects

    def address(self, name: str) -> str | None:
        """Return the address at which this member contacts another: configured, else announced; None if unknown."""
        if (configured := self._configured_addresses.get(name)) is not None:
            return configured
        member = self._context.view.table.members.get(name)
        return member.record.address if member is not None else None

    def seed_address(self, name: str, address: str) -> str:
        """Return the address at which this member contacts a seed: configured, else as the seed is listed."""
        return self._configured_addresses.get(name, address)

    def start_whole_record_period(self, now: float) -> None:
        """Send the whole own record for `WHOLE_RECORD_PERIOD_S`, as other members may not hold it yet."""
        self._whole_record_until = now + WHOLE_RECORD_PERIOD_S

    def reset_sequence(self) -> None:
        """Restart the sequence numbers, for a new process incarnation."""
        self._sequence = 0

    def restart(self, now: float) -> None:
        """Start a new process incarnation."""
        self.reset_sequence()
        self._last_gossip = -math.inf
        self.start_whole_record_period(now)

    def next_nonce(self) -> int:
        """Return a nonce that is unique within this process."""
        self._nonce += 1
        return self._nonce

    def send(self, to: str, body: Body, leading_updates: Iterable[Update] = (), whole_record: bool = False) -> None:
        """Send a datagram that carries `leading_updates` before any others. Does nothing if the address is unknown."""
        address = self.address(to)
        if address is not None:
            self._effects.append(Send(address, self._packet(to, body, leading_updates, whole_record=whole_record)))

    def ping(
        self, to: str, nonce: int, requester: str = "", requester_nonce: int = 0, whole_record: bool = True
    ) -> None:
        """Ping a member, on the own behalf or for a requester.

        If the member is not alive in this view, the ping carries its record first, so that it can refute it."""
        view = self._context.view
        member = view.table.members.get(to)
        refutable = [member.record] if member is not None and member.record.status is not Status.ALIVE else []
        view.counts["pings"] += 1
        self.send(to, Ping(nonce, requester, requester_nonce), refutable, whole_record)

    def request(self, to: str, address: str, body: Body, updates: Iterable[Update] = ()) -> None:
        """Send a request over TCP."""
        self._effects.append(Send(address, self._packet(to, body, updates, stream=True), True))

    def answer(self, to: str, body: Body, updates: Iterable[Update] = ()) -> None:
        """Answer the TCP request received last."""
        self._effects.append(Answer(self._packet(to, body, updates, stream=True)))

    def gossip(self, now: float) -> None:
        """Send a round of gossip packets to random live members, if one is due and the byte budget allows it."""
        context = self._context
        queue = context.view.queue
        live = context.view.table.live()
        if now < self.gossip_due() or not queue or not live:
            return
        self._last_gossip = now
        for name in context.rng.sample(live, min(context.settings.gossip_to, len(live))):
            if not queue or context.budget.available(now) < 2 * GOSSIP_OVERHEAD_BYTES:
                return
            context.budget.spend(now, GOSSIP_OVERHEAD_BYTES)
            self.send(name, Gossip())

    def gossip_due(self) -> float:
        """Return when the next round of gossip packets is due."""
        view = self._context.view
        urgent = view.queue.urgent > 0
        return self._last_gossip + gossip_interval(self._context.settings.gossip_every, view.live_count, urgent)

    def _packet(
        self,
        to: str,
        body: Body,
        leading_updates: Iterable[Update] = (),
        stream: bool = False,
        whole_record: bool = False,
    ) -> Packet:
        """Build a packet. With `whole_record` the sender field is this member's whole record."""
        view = self._context.view
        self._sequence += 1
        whole_record = whole_record or stream or self._context.last_active < self._whole_record_until
        sender = view.me if whole_record else shorten(view.me)
        updates = list(leading_updates)
        if not stream and view.queue:
            room = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES - update_bytes(sender) - len(to)
            updates += self._piggyback(room, updates)
        digest = view.digest if isinstance(body, (Ping, Ack)) else 0
        return Packet(to, sender, view.process_incarnation, self._sequence, digest, body, tuple(updates))

    def _piggyback(self, room: int, leading_updates: list[Update]) -> list[Update]:
        """Pick updates for the bytes of a datagram that its leading updates leave free."""
        context = self._context
        room -= sum(map(update_bytes, leading_updates))
        included = {update.name for update in leading_updates if not isinstance(update, LinkReport)}
        picked = context.view.pick_updates(min(room, context.budget.available(context.last_active)))
        context.budget.spend(context.last_active, sum(map(update_bytes, picked)))
        return [update for update in picked if isinstance(update, LinkReport) or update.name not in included]
