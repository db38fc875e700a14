"""What a member sends: packets, the updates they carry along, and when gossip is due. Pure.

Effects are data, in the order in which they are to be carried out."""

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

MAX_HEADER_BYTES = 160  # of a datagram, without records and updates
INTRODUCTION_S = 60.0  # after which all members are expected to hold a member's whole record, so that it sends it short
GOSSIP_OVERHEAD_BYTES = 64  # of a gossip packet, without its updates


@dataclass(frozen=True, slots=True)
class Send:
    """Send a packet: as a datagram, or (`stream`) as a request over TCP whose answer is given to `receive`."""

    address: str
    packet: Packet
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the request over TCP that was received last, on its own connection."""

    packet: Packet


Effect = Send | Answer | MembershipEvent | PersistIncarnation


class SendQueue:
    """The packets of one member, numbered, with piggybacked updates as far as room and byte budget allow."""

    def __init__(self, context: MemberContext, now: float) -> None:
        self._context = context
        self._configured_addresses = dict(context.settings.reach)
        self._sequence = 0
        self._nonce = 0
        self._effects: list[Effect] = []
        self._last_gossip = -math.inf
        self._introduced_at = now + INTRODUCTION_S

    def drain_effects(self) -> list[Effect]:
        """Return what is to be done since the last call, in order."""
        events = self._context.view.events
        effects = self._effects
        self._effects = []
        if events:
            effects += events
            events.clear()
        return effects

    def address(self, name: str) -> str | None:
        """Where this member dials another one: as configured, else as that one announces; None if unknown."""
        if (configured := self._configured_addresses.get(name)) is not None:
            return configured
        member = self._context.view.table.members.get(name)
        return member.record.address if member is not None else None

    def seed_address(self, name: str, address: str) -> str:
        """Where this member dials a seed that is listed with this address."""
        return self._configured_addresses.get(name, address)

    def introduce(self, now: float) -> None:
        """Send the whole own record for some time: the other members may not hold it."""
        self._introduced_at = now + INTRODUCTION_S

    def reset_sequence(self) -> None:
        """Number packets from the beginning, as a new process incarnation does."""
        self._sequence = 0

    def restart(self, now: float) -> None:
        """Begin a new process incarnation."""
        self.reset_sequence()
        self._last_gossip = -math.inf
        self.introduce(now)

    def next_nonce(self) -> int:
        """Return a number that no ping of this process had."""
        self._nonce += 1
        return self._nonce

    def send(self, to: str, body: Body, first: Iterable[Update] = (), introduce: bool = False) -> None:
        """Send a datagram, with the updates in `first` before any others; nothing without an address."""
        address = self.address(to)
        if address is not None:
            self._effects.append(Send(address, self._packet(to, body, first, introduce=introduce)))

    def ping(self, to: str, nonce: int, requester: str = "", requester_nonce: int = 0, introduce: bool = True) -> None:
        """Ping a member, for this one or for a requester.

        If it is not alive here it gets that record first, so that it can refute."""
        view = self._context.view
        member = view.table.members.get(to)
        refutable = [member.record] if member is not None and member.record.status is not Status.ALIVE else []
        view.counts["pings"] += 1
        self.send(to, Ping(nonce, requester, requester_nonce), refutable, introduce)

    def request(self, to: str, address: str, body: Body, updates: Iterable[Update] = ()) -> None:
        """Send a request over TCP."""
        self._effects.append(Send(address, self._packet(to, body, updates, stream=True), True))

    def answer(self, to: str, body: Body, updates: Iterable[Update] = ()) -> None:
        """Answer the request over TCP that was received last."""
        self._effects.append(Answer(self._packet(to, body, updates, stream=True)))

    def gossip(self, now: float) -> None:
        """Send a round of gossip packets, if it is due and the budget allows it."""
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
        """When the next round of gossip packets may go out."""
        view = self._context.view
        urgent = view.queue.urgent > 0
        return self._last_gossip + gossip_interval(self._context.settings.gossip_every, view.live_count, urgent)

    def _packet(
        self, to: str, body: Body, first: Iterable[Update] = (), stream: bool = False, introduce: bool = False
    ) -> Packet:
        """Build a packet; with `introduce` it has this member's whole record."""
        view = self._context.view
        self._sequence += 1
        introduce = introduce or stream or self._context.last_active < self._introduced_at
        sender = view.me if introduce else shorten(view.me)
        updates = list(first)
        if not stream and view.queue:
            room = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES - update_bytes(sender) - len(to)
            updates += self._piggyback(room, updates)
        digest = view.digest if isinstance(body, (Ping, Ack)) else 0
        return Packet(to, sender, view.process_incarnation, self._sequence, digest, body, tuple(updates))

    def _piggyback(self, room: int, first: list[Update]) -> list[Update]:
        """Pick updates for the room in bytes that a datagram has behind its first ones."""
        context = self._context
        room -= sum(map(update_bytes, first))
        included = {update.name for update in first if not isinstance(update, LinkReport)}
        picked = context.view.pick_updates(min(room, context.budget.available(context.last_active)))
        context.budget.spend(context.last_active, sum(map(update_bytes, picked)))
        return [update for update in picked if isinstance(update, LinkReport) or update.name not in included]
