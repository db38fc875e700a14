"""The broker's one timer, on the event loop."""

from __future__ import annotations

import asyncio

from .broker import Broker
from .clock import Clock


class LoopTimer:
    """Calls `Broker.tick` at the time that was set last."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._handle: asyncio.TimerHandle | None = None
        self._at = 0.0
        self.broker: Broker | None = None

    def set(self, at: float) -> None:
        """Have the broker ticked at this time."""
        if self._handle is not None:
            if self._at == at and not self._handle.cancelled():
                return
            self._handle.cancel()
        loop = asyncio.get_running_loop()
        self._at = at
        self._handle = loop.call_at(loop.time() + max(0.0, at - self._clock.now()), self._ring)

    def _ring(self) -> None:
        self._handle = None
        assert self.broker is not None
        self.broker.tick()
