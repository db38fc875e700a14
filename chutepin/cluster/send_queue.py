"""What a member sends: packets, the updates that go along with them, and when gossip is due. Pure.

The effects are data, in order; a datagram carries as many updates as it holds and the budget allows."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from ..config.cluster import ClusterSetup
from .budget import ByteBudget
from .frames import MAX_DATAGRAM_BYTES, update_bytes
from .gossip import gossip_interval
from .local_health import LocalHealth
from .membership_view import MembershipEvent, MembershipView, PersistIncarnation
from .messages import Ack, Body, Gossip, Packet, Ping
from .records import LinkReport, Record, Status, Update, shorten

MAX_HEADER_BYTES = 160  # bytes of a datagram that hold neither a record nor an update, at the most
INTRODUCTION_S = 60.0  # seconds of a life after which a member's record is known to all, so that it tells it short
GOSSIP_OVERHEAD_BYTES = 64  # of a gossip packet without its updates


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


Effect = Send | Answer | MembershipEvent | PersistIncarnation


class Outbox:
    """One member as it sends."""

    def __init__(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> None:
        self._setup, self._rng = setup, rng
        address = f"{setup.listen.host}:{setup.listen.port}"
        self.view = MembershipView(
            Record(name, address, setup.region, setup.zone, incarnation, Status.ALIVE, name),
            setup.members,
            setup.remember,
        )
        self.health = LocalHealth()
        self._reach = dict(setup.reach)
        self._number = self._nonce = 0
        self._effects: list[Effect] = []
        self._acted = now  # when the last tick or packet came
        self._last_gossip = -math.inf
        self._budget = ByteBudget(now)
        self._introduced_at = now + INTRODUCTION_S

    @property
    def me(self) -> Record:
        """This member's own record."""
        return self.view.me

    def drain_effects(self) -> list[Effect]:
        """What is to be done since the last time, in order."""
        effects, self._effects = self._effects + list(self.view.events), []
        self.view.events.clear()
        return effects

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
            updates += self._piggyback(MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES - update_bytes(sender) - len(to), updates)
        digest = view.digest if isinstance(body, (Ping, Ack)) else 0
        return Packet(to, sender, view.process_incarnation, self._number, digest, body, tuple(updates))

    def _piggyback(self, room: int, first: list[Update]) -> list[Update]:
        """Updates that go along with a datagram behind those that it is for."""
        room -= sum(map(update_bytes, first))
        told = {update.name for update in first if not isinstance(update, LinkReport)}
        picked = self.view.pick_updates(min(room, self._budget.available(self._acted)))
        self._budget.spend(self._acted, sum(map(update_bytes, picked)))
        return [update for update in picked if isinstance(update, LinkReport) or update.name not in told]

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

    def _ping(self, now: float, to: str, nonce: int, via: str = "", asked: int = 0, introduce: bool = True) -> None:
        """Ask directly; what stands against the asked one goes first, so that it can refute."""
        member = self.view.table.members.get(to)
        against = [member.record] if member is not None and member.record.status is not Status.ALIVE else []
        self.view.counts["pings"] += 1
        self._send(to, Ping(nonce, via, asked), against, introduce)

    def _number_anew(self) -> int:
        self._nonce += 1
        return self._nonce

    def _gossip(self, now: float) -> None:
        """A round of gossip packets, if it is due and the budget allows it."""
        live = self.view.table.live()
        if now < self._gossip_due() or not self.view.queue or not live:
            return
        self._last_gossip = now
        for name in self._rng.sample(live, min(self._setup.gossip_to, len(live))):
            if not self.view.queue or self._budget.available(now) < 2 * GOSSIP_OVERHEAD_BYTES:
                return
            self._budget.spend(now, GOSSIP_OVERHEAD_BYTES)
            self._send(name, Gossip())

    def _gossip_due(self) -> float:
        """When the next round of gossip packets may go out."""
        urgent = self.view.queue.urgent > 0
        return self._last_gossip + gossip_interval(self._setup.gossip_every, self.view.live_count, urgent)
