"""Implements the broker's timer on the asyncio event loop."""

from __future__ import annotations

import asyncio

from .broker import Broker
from .clock import Clock


class LoopTimer:
    """A timer that calls `Broker.tick` at the time set by the latest call of `set`."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._handle: asyncio.TimerHandle | None = None
        self._scheduled_at = 0.0
        self.broker: Broker | None = None

    def set(self, at: float) -> None:
        """Schedule `Broker.tick` for this Unix time, in place of the time set before."""
        if self._handle is not None:
            if self._scheduled_at == at and not self._handle.cancelled():
                return
            self._handle.cancel()
        loop = asyncio.get_running_loop()
        self._scheduled_at = at
        self._handle = loop.call_at(loop.time() + max(0.0, at - self._clock.now()), self._on_expired)

    def _on_expired(self) -> None:
        self._handle = None
        assert self.broker is not None
        self.broker.tick()
