"""Membership put together for a node: the detector, its transport, its timer, and what operators see of it."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from typing import TYPE_CHECKING, Any

from ..admission import DescriptorBudget
from ..config import ConfigError
from ..config.cluster import ClusterSetup
from ..counters import Counters
from ..logs import Log
from ..subsystem import CommandHandler
from .detector import Answer, Detector, Effect, Send
from .incarnation import Incarnations
from .membership_view import MembershipEvent, PersistIncarnation
from .messages import Packet
from .records import Record, Status
from .transport import Transport

if TYPE_CHECKING:
    from ..store import Store

MAX_CHANGES = 512  # that operators can still ask for
LISTEN_RETRY_S = 1.0  # seconds between tries at an address that another process of this node still holds
EVENT_FIELDS = ("by", "was", "source", "target", "holder", "hears", "known", "address")  # of a change, in this order


class Cluster:
    """This node's part in the cluster (`subsystem.Subsystem`)."""

    def __init__(
        self,
        setup: ClusterSetup,
        name: str,
        seed: int,
        descriptors: DescriptorBudget,
        counters: Counters,
        log: Log,
        store: Store | None,
    ) -> None:
        self._setup, self._name, self._counters, self._log = setup, name, counters, log
        self._incarnations = Incarnations(name, store)
        incarnation = self._begun(store)
        self._detector = Detector(setup, name, incarnation, time.monotonic(), random.Random(seed))
        self._transport = Transport(setup.name, setup.listen, self._deliver, descriptors, counters, log)
        self._timer: asyncio.TimerHandle | None = None
        self._at = 0.0
        self._changes: deque[tuple[int, float, MembershipEvent]] = deque(maxlen=MAX_CHANGES)
        self._numbered = 0
        self._wanted = asyncio.Event()  # the process serves
        self._yielded = asyncio.Event()  # a successor does
        self._active = False  # and takes part
        self._left = False

    def _begun(self, store: Store | None) -> int:
        """Where this process begins. A store that can't keep it is a fault as one that can't be opened."""
        if store is None:
            return self._incarnations.begin()
        from ..store import StoreError

        try:
            return self._incarnations.begin()
        except StoreError as error:
            raise ConfigError(f"store.directory: {error}") from None

    # --- subsystem.Subsystem ---

    def adopt(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Take this member's sockets; the rest."""
        return self._transport.adopt(sockets)

    def sockets(self) -> list[socket.socket]:
        """For a successor."""
        return self._transport.sockets()

    def start(self) -> None:
        """Take part from now on, or as soon as the address is free."""
        self._wanted.set()

    async def run(self) -> None:
        """Join, and work until cancelled. An address that another one holds is asked for again."""
        try:
            while True:
                await self._wanted.wait()
                await self._open()
                self._active = True
                self._log.event(
                    "cluster.serves",
                    name=self._setup.name,
                    member=self._name,
                    incarnation=self._detector.me.incarnation,
                )
                self._tick()
                await self._yielded.wait()
        finally:
            self._rest()
            self._transport.close()

    async def _open(self) -> None:
        told = False
        while True:
            try:
                await self._transport.open()
                return
            except OSError as error:
                if not told:
                    told = True
                    self._log.event(
                        "cluster.listen_failed",
                        why=error.strerror or str(error),
                        listen=f"{self._setup.listen.host}:{self._setup.listen.port}",
                    )
                await asyncio.sleep(LISTEN_RETRY_S)

    def _rest(self) -> None:
        """Speak no more."""
        self._active = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def yield_ownership(self) -> None:
        """The successor speaks for this member from now on."""
        self._rest()
        self._transport.pause()
        self._wanted.clear()
        self._yielded.set()

    def resume_ownership(self) -> None:
        """Speak again, in a life after the successor's."""
        if not self._left:
            self._detector.restart(time.monotonic(), time.time_ns() // 1_000_000)
            self._yielded.clear()
            self._wanted.set()

    def leave(self) -> None:
        """Say goodbye; what is asked until the process ends is answered."""
        if self._active and not self._left:
            self._left = True
            self._detector.leave(time.monotonic())
            self._carry_out(self._detector.drain_effects())

    def commands_with_arguments(self) -> dict[str, CommandHandler]:
        """None."""
        return {}

    def metrics(self) -> dict[str, int]:
        """Counts of the detector."""
        view, health = self._detector.view, self._detector.health
        counts = {f"cluster.{name}": count for name, count in sorted(view.counts.items())}
        return counts | {
            "cluster.members": view.live_count,
            "cluster.health": health.score,
            "cluster.late": health.late_timers,
            "cluster.accused": view.refutation_count,
            "cluster.no_room": view.table.rejected,
            "cluster.queue_dropped": view.queue.dropped,
            "cluster.links_unsaid": view.links.unreported,
        }

    # --- for parts that speak to other members themselves ---

    def address(self, name: str) -> str | None:
        """Where this node dials a member."""
        return self._detector.address(name)

    def alive(self) -> list[str]:
        """Members that are held for alive or suspect, this one among them."""
        return sorted([self._name, *self._detector.view.table.live()])

    def takes(self, preface: bytes, handler: Callable[[socket.socket, bytes], Coroutine[Any, Any, None]]) -> None:
        """Who takes over connections that begin with these four bytes; it is given what was read behind them."""
        self._transport.streams[preface] = handler

    @property
    def cluster(self) -> str:
        """The cluster's name."""
        return self._setup.name

    # --- the loop ---

    def _deliver(self, packet: Packet, stream: bool) -> Packet | None:
        self._detector.receive(time.monotonic(), packet, stream)
        return self._carry_out(self._detector.drain_effects())

    def _tick(self) -> None:
        self._timer = None
        if not self._active:
            return
        if self._transport.overrun:  # what was lost in a flood is no evidence against others
            self._transport.overrun = False
            self._detector.health.degrade()
        try:
            self._detector.tick(time.monotonic())
            self._carry_out(self._detector.drain_effects())
        finally:
            if self._timer is None and self._active:  # an error in one turn, which the node logs, silences nobody
                self._timer = asyncio.get_running_loop().call_later(LISTEN_RETRY_S, self._tick)

    def _carry_out(self, effects: Iterable[Effect]) -> Packet | None:
        """Do what the detector wants done; the answer to an exchange, if there is one."""
        answer = None
        for effect in effects:
            match effect:
                case Send():
                    self._transport.send(effect)
                case Answer():
                    answer = effect.packet
                case PersistIncarnation():
                    self._incarnations.store(effect.incarnation)
                case MembershipEvent():
                    self._record_event(effect)
        at = self._detector.wake_at()
        if self._active and (self._timer is None or at != self._at):
            if self._timer is not None:
                self._timer.cancel()
            loop = asyncio.get_running_loop()
            self._at, self._timer = at, loop.call_at(loop.time() + max(0.0, at - time.monotonic()), self._tick)
        return answer

    def _record_event(self, event: MembershipEvent) -> None:
        self._numbered += 1
        self._changes.append((self._numbered, time.monotonic(), event))
        self._log.event(f"cluster.{event.kind}", member=event.member, **event.fields)

    # --- operators ---

    def commands(self) -> dict[str, Callable[[], str]]:
        """What operators may call."""
        return {"members": self._members, "links": self._links, "changes": self._told, "view": self._view}

    def _records(self) -> list[Record]:
        view = self._detector.view
        return sorted([view.me, *(member.record for member in view.table.members.values())])

    def _members(self) -> str:
        view = self._detector.view
        if (holder := view.name_holder) is not None:
            return f"FAILURE refused: the name {self._name} is held by {holder.address}\n"
        records = self._records()
        alive = sum(record.status is Status.ALIVE for record in records)
        lines = [f"{r.name} {r.status.name.lower()} {r.incarnation} {r.region} {r.zone} {r.address}" for r in records]
        return _answer(f"total {len(records)} alive {alive}", lines)

    def _links(self) -> str:
        view, now = self._detector.view, time.monotonic()
        live = {record.name for record in self._records() if record.live}
        return _answer(
            "",
            [
                f"{source} {target} {max(0.0, now - since):.1f}"
                for (source, target), since in sorted(view.links.bad_links(live).items())
            ],
        )

    def _told(self) -> str:
        """NUMBER AGE-ms WHAT MEMBER INCARNATION and then field=value; the oldest first."""
        now = time.monotonic()
        lines = []
        for number, at, event in self._changes:
            fields = " ".join(
                f"{name}={event.fields[name]}" for name in EVENT_FIELDS if event.fields.get(name) not in (None, "")
            )
            lines.append(
                f"{number} {1000 * (now - at):.0f} {event.kind} {event.member} "
                f"{event.fields.get('incarnation', 0)} {fields}".rstrip()
            )
        return _answer("", lines)

    def _view(self) -> str:
        view, detector = self._detector.view, self._detector
        return _answer(
            f"cluster {self._setup.name} member {self._name}",
            [
                f"isolated {'yes' if detector.isolated else 'no'}",
                f"joined {'yes' if view.joined else 'no'}",
                f"health {detector.health.score}",
                f"accused {view.refutation_count}",
                f"digest {view.digest:014x}",
                f"refused {view.name_holder.address if view.name_holder is not None else 'no'}",
            ],
        )


def _answer(head: str, lines: Iterable[str]) -> str:
    return "\n".join([f"SUCCESS {head}".rstrip(), *lines, "EOT"]) + "\n"
