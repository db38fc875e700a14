"""Graceful shutdown: requests that arrive after the grace period are rejected, all others answered before the stop."""

from __future__ import annotations

import math

from .events import DrainNotice
from .settings import Settings


class Drain:
    """Deadlines of a graceful shutdown."""

    def __init__(self, settings: Settings) -> None:
        self.stop_at: float | None = None
        self.last_arrival_at = math.inf  # later arrivals are rejected
        self._grace = settings.drain_grace
        self._margin = 2 * settings.tick

    @property
    def has_begun(self) -> bool:
        """Return whether a drain notice was received."""
        return self.stop_at is not None

    def update(self, now: float, notice: DrainNotice) -> float:
        """Apply the first notice, or a later one with another stop. Return the time by which to answer all requests."""
        if self.stop_at is None:
            notice_at = now if notice.at is None else notice.at
            self.last_arrival_at = notice_at + self._grace
        self.stop_at = max(now, notice.stop - self._margin)
        return self.stop_at
