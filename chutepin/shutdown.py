"""Ends a process that was told to: finishes open requests, connections and deliveries before its stop time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING

from .broker import Broker
from .clock import Clock
from .config import Config
from .lifecycle import Event, Lifecycle
from .logs import Log
from .net.resp import RespListener
from .subsystem import Subsystem

if TYPE_CHECKING:
    from .net.amqp import Consumer

STOP_MARGIN_S = 0.15  # every request is answered this long before the process is stopped
MAX_DEADLINE_S = 3.0  # cap on the longest class deadline that a shutdown after a hand-over waits for
FINISH_MARGIN_S = 0.7  # added to that deadline to get the stop after a hand-over
POLL_INTERVAL_S = 0.01  # between checks for requests that still await an answer


class Shutdown:
    """The end of a process, from SIGTERM until everything open is finished or its stop time has come."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        log: Log,
        lifecycle: Lifecycle,
        broker: Broker,
        front: RespListener,
        subsystems: Sequence[Subsystem],
        consumer: Consumer | None,
    ) -> None:
        self._config = config
        self._clock = clock
        self._log = log
        self._lifecycle = lifecycle
        self._broker = broker
        self._front = front
        self._subsystems = subsystems
        self._consumer = consumer
        self._requested = asyncio.Event()
        self._requested_at = 0.0  # Unix time

    def request(self, at: float) -> None:
        """Record a request, made at this Unix time, to shut down; later requests have no effect."""
        if not self._requested.is_set():
            self._requested_at = min(at, self._clock.now())
            self._requested.set()

    async def run(self) -> None:
        """Wait for a request to shut down, then drain, or finish if another process serves."""
        await self._requested.wait()
        self._log.event("leaving")
        self._lifecycle.apply(Event.SIGTERM)
        if self._lifecycle.is_ending:
            await self._finish()
        else:
            await self._drain()

    async def _drain(self) -> None:
        """Serve through the grace period, ask balancers to close, and wait for open requests and connections.

        The wait ends at the stop time at the latest."""
        for subsystem in self._subsystems:
            subsystem.leave()
        stop = self._requested_at + self._config.stop - STOP_MARGIN_S
        self._broker.drain(stop, self._requested_at)
        if self._consumer is not None:
            self._consumer.leave()
        grace = self._broker.last_arrival or stop
        while self._clock.now() < min(grace, stop):
            await asyncio.sleep(2 * POLL_INTERVAL_S)
        self._front.leave()
        while self._clock.now() < stop + STOP_MARGIN_S / 3 and (
            self._broker.awaiting_response_count or self._has_open_connections
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _finish(self) -> None:
        """Finish the open attempts and connections of this process, without a drain: another process serves."""
        longest = max((cls.deadline for cls in self._config.settings.classes), default=MAX_DEADLINE_S)
        stop = self._requested_at + min(longest, MAX_DEADLINE_S) + FINISH_MARGIN_S - STOP_MARGIN_S
        self._broker.finish(stop)
        if self._consumer is not None:
            self._consumer.leave()
        self._front.yield_ownership()
        while self._clock.now() < stop + STOP_MARGIN_S / 3 and (
            self._broker.has_open_attempts or self._has_open_connections
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def _has_open_connections(self) -> bool:
        """Return whether a balancer is connected or a delivery is not settled."""
        return bool(self._front.connections) or (self._consumer is not None and not self._consumer.settled)
