"""Ends a process that was told to: finishes open requests, connections and deliveries before its stop time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING, NamedTuple

from .broker import Broker
from .clock import Clock
from .config import Config
from .lifecycle import Lifecycle, NewClients
from .logs import Log
from .net.resp import RespListener
from .subsystem import Subsystem

if TYPE_CHECKING:
    from .net.amqp import Consumer

STOP_MARGIN_S = 0.15  # every request is answered this long before the process is stopped
MAX_DEADLINE_S = 3.0  # cap on the longest class deadline that a shutdown after a hand-over waits for
FINISH_MARGIN_S = 0.7  # added to that deadline to get the stop after a hand-over
POLL_INTERVAL_S = 0.01  # between checks for requests that still await an answer


class _Stop(NamedTuple):
    """By when a process must have ended, and why."""

    stop_at: float  # Unix time by which every request is answered
    left_at: float | None  # Unix time of the notice to the node; None: only this process ends


class Shutdown:
    """The end of a process: from the word that ends it until everything open is finished or its stop time has come."""

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
        self._terminated_at: float | None = None  # Unix time of the first SIGTERM
        self._stop: _Stop | None = None
        self._is_listener_closed = False

    def terminate(self, at: float) -> None:
        """Apply SIGTERM, which came at this Unix time; later ones change no time of an earlier one."""
        notice_at = min(at, self._clock.now())
        if self._terminated_at is None:
            self._terminated_at = notice_at
        self._lifecycle.terminate(notice_at)

    def request(self) -> None:
        """Begin the shutdown, as the lifecycle has reached a state in which the process ends."""
        self._requested.set()

    async def run(self) -> None:
        """Wait until the process has to end, and finish what is open, at the latest at the stop time."""
        await self._requested.wait()
        self._log.event("leaving")
        while True:
            stop = self._current_stop()
            if stop != self._stop:
                self._begin(stop)
            self._close_listener(stop)
            if self._clock.now() >= stop.stop_at + STOP_MARGIN_S / 3 or not self._has_open_work:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def _accepts_in_grace(self) -> bool:
        return self._lifecycle.behaviour.new_clients is NewClients.ACCEPTED_IN_GRACE

    def _current_stop(self) -> _Stop:
        """Return the earlier stop of a process that was told to end and of a node that was told to leave."""
        left_at = self._lifecycle.intent.left_at
        stops = []
        if left_at is not None:
            stops.append(left_at + self._config.stop - STOP_MARGIN_S)
        if self._terminated_at is not None and not self._accepts_in_grace:
            longest = max((cls.deadline for cls in self._config.settings.classes), default=MAX_DEADLINE_S)
            stops.append(self._terminated_at + min(longest, MAX_DEADLINE_S) + FINISH_MARGIN_S - STOP_MARGIN_S)
        return _Stop(min(stops), left_at)

    def _begin(self, stop: _Stop) -> None:
        """Drain, or only finish if the node was told nothing and another process serves."""
        is_first_notice = self._stop is None or self._stop.left_at is None
        self._stop = stop
        if stop.left_at is None:
            self._broker.finish(stop.stop_at)
        else:
            self._broker.drain(stop.stop_at, stop.left_at)
            if self._accepts_in_grace and is_first_notice:
                for subsystem in self._subsystems:
                    subsystem.leave()
        if self._consumer is not None:
            self._consumer.leave()

    def _close_listener(self, stop: _Stop) -> None:
        """Stop accepting and ask balancers to close: at once, or after the grace if this process serves the node."""
        if self._is_listener_closed:
            return
        grace_end = self._broker.last_arrival or stop.stop_at
        if self._accepts_in_grace and self._clock.now() < min(grace_end, stop.stop_at):
            return
        self._is_listener_closed = True
        self._front.leave()

    @property
    def _has_open_work(self) -> bool:
        """Return whether a request, connection or delivery is open, or new ones may still come."""
        if not self._is_listener_closed or self._front.connections:
            return True
        if self._consumer is not None and not self._consumer.settled:
            return True
        if self._accepts_in_grace:
            return self._broker.awaiting_response_count > 0
        return self._broker.has_open_attempts
