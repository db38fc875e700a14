"""The membership subsystem of a node: the detector with its transport, timer, log and stored incarnation."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from ..admission import DescriptorBudget
from ..config import ConfigError
from ..config.cluster import ClusterSetup
from ..counters import Counters
from ..logs import Log
from ..subsystem import CommandHandler
from .detector import Answer, Detector, Effect, Send
from .incarnation import IncarnationStore
from .membership_view import MembershipEvent, PersistIncarnation
from .messages import Packet
from .operator_commands import OperatorCommands
from .streams import StreamHandler
from .transport import Transport

if TYPE_CHECKING:
    from ..store import Store

LISTEN_RETRY_S = 1.0  # while another process of this node still holds the address
TICK_RETRY_S = 1.0  # after an exception in a tick


class Cluster:
    """The cluster membership of a node (implements `subsystem.Subsystem`)."""

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
        self._setup = setup
        self._name = name
        self._log = log
        self._incarnation_store = IncarnationStore(name, store)
        incarnation = self._first_incarnation(store)
        self._detector = Detector(setup, name, incarnation, time.monotonic(), random.Random(seed))
        self._transport = Transport(setup.name, setup.listen, self._deliver, descriptors, counters, log)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._operator_commands = OperatorCommands(setup.name, self._detector)
        self._start_requested = asyncio.Event()  # set while this process acts for the node
        self._yielded = asyncio.Event()  # set while a successor process acts for the node
        self._active = False  # the address is bound, and the detector runs
        self._left = False

    def _first_incarnation(self, store: Store | None) -> int:
        """Return this process's first incarnation. Raises ConfigError if it cannot be stored."""
        if store is None:
            return self._incarnation_store.allocate()
        from ..store import StoreError

        try:
            return self._incarnation_store.allocate()
        except StoreError as error:
            raise ConfigError(f"store.directory: {error}") from None

    def adopt(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Take over this member's sockets from those of a predecessor process; return the others."""
        return self._transport.adopt(sockets)

    def sockets(self) -> list[socket.socket]:
        """Return the sockets to pass to a successor."""
        return self._transport.sockets()

    def start(self) -> None:
        """Request to join the cluster; `run` does so once the listen address is free."""
        self._start_requested.set()

    async def run(self) -> None:
        """Join and run until cancelled. Binding is retried while another process holds the address."""
        try:
            while True:
                await self._start_requested.wait()
                await self._open()
                self._active = True
                self._log.event(
                    "cluster.started",
                    name=self._setup.name,
                    member=self._name,
                    incarnation=self._detector.me.incarnation,
                )
                self._tick()
                await self._yielded.wait()
        finally:
            self._stop()
            self._transport.close()

    async def _open(self) -> None:
        logged = False
        while True:
            try:
                await self._transport.open()
                return
            except OSError as error:
                if not logged:
                    logged = True
                    self._log.event(
                        "cluster.listen_failed",
                        why=error.strerror or str(error),
                        listen=f"{self._setup.listen.host}:{self._setup.listen.port}",
                    )
                await asyncio.sleep(LISTEN_RETRY_S)

    def _stop(self) -> None:
        """Stop the detector."""
        self._active = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def yield_ownership(self) -> None:
        """Stop, as a successor process acts for this member now."""
        self._stop()
        self._transport.pause()
        self._start_requested.clear()
        self._yielded.set()

    def resume_ownership(self) -> None:
        """Start again after a successor has failed, with a process incarnation above the successor's."""
        if not self._left:
            self._detector.restart(time.monotonic(), time.time_ns() // 1_000_000)
            self._yielded.clear()
            self._start_requested.set()

    def leave(self) -> None:
        """Announce that this member leaves. It keeps answering packets until the process ends."""
        if self._active and not self._left:
            self._left = True
            self._detector.leave(time.monotonic())
            self._apply_effects(self._detector.drain_effects())

    def commands_with_arguments(self) -> dict[str, CommandHandler]:
        """Return the operators' commands that take arguments; membership has none."""
        return {}

    def metrics(self) -> dict[str, int]:
        """Return the counters and gauges of the detector and the transport."""
        view, health = self._detector.view, self._detector.health
        counts = {f"cluster.{name}": count for name, count in sorted(view.counts.items())}
        return counts | {
            "cluster.members": view.live_count,
            "cluster.health": health.score,
            "cluster.late_timers": health.late_timers,
            "cluster.longest_delay_ms": round(1000 * health.longest_delay),
            "cluster.dropped_by_system": self._transport.dropped_by_system(),
            "cluster.refutations": view.refutation_count,
            "cluster.table_full": view.table.rejected,
            "cluster.queue_dropped": view.queue.dropped,
            "cluster.links_unreported": view.links.unreported,
        }

    def address(self, name: str) -> str | None:
        """Return the address at which this node contacts a member; None if it is unknown."""
        return self._detector.address(name)

    def alive(self) -> list[str]:
        """Return the names of the alive and suspect members, this one included."""
        return sorted([self._name, *self._detector.view.table.live()])

    def add_stream_handler(self, preface: bytes, handler: StreamHandler) -> None:
        """Register a handler for TCP connections with this four-byte preface; it also gets the bytes read after it."""
        self._transport.add_stream_handler(preface, handler)

    def commands(self) -> dict[str, Callable[[], str]]:
        """Return the operators' commands by name."""
        return self._operator_commands.handlers()

    @property
    def cluster(self) -> str:
        """The cluster's name."""
        return self._setup.name

    def _deliver(self, packet: Packet, stream: bool) -> Packet | None:
        self._detector.receive(time.monotonic(), packet, stream)
        return self._apply_effects(self._detector.drain_effects())

    def _tick(self) -> None:
        self._timer = None
        if not self._active:
            return
        if self._transport.overrun:  # datagrams lost in a flood are no evidence of a failure of other members
            self._transport.overrun = False
            self._detector.health.degrade()
        try:
            self._detector.tick(time.monotonic())
            self._apply_effects(self._detector.drain_effects())
        finally:
            # Reschedule after an exception, which the node logs: one failed tick must not stop the detector.
            if self._timer is None and self._active:
                self._timer = asyncio.get_running_loop().call_later(TICK_RETRY_S, self._tick)

    def _apply_effects(self, effects: Iterable[Effect]) -> Packet | None:
        """Carry out the detector's effects and set its timer; return the answer to a TCP request, if any."""
        answer = None
        for effect in effects:
            match effect:
                case Send():
                    self._transport.send(effect)
                case Answer():
                    answer = effect.packet
                case PersistIncarnation():
                    self._incarnation_store.persist(effect.incarnation)
                case MembershipEvent():
                    self._record_event(effect)
        at = self._detector.wake_at()
        if self._active and (self._timer is None or at != self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            loop = asyncio.get_running_loop()
            self._timer_at = at
            self._timer = loop.call_at(loop.time() + max(0.0, at - time.monotonic()), self._tick)
        return answer

    def _record_event(self, event: MembershipEvent) -> None:
        self._operator_commands.record(event)
        self._log.event(f"cluster.{event.kind}", member=event.member, **event.fields)
