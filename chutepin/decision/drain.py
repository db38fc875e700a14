"""Graceful shutdown: what arrives after the grace is not run, and all is answered before the stop."""

from __future__ import annotations

import math

from .events import DrainNotice
from .settings import Settings


class Drain:
    """The times of a shutdown."""

    def __init__(self, settings: Settings) -> None:
        self.stop_at: float | None = None
        self.last_arrival_at = math.inf  # later arrivals are rejected
        self._grace = settings.drain_grace
        self._margin = 2 * settings.tick

    @property
    def is_begun(self) -> bool:
        """Whether a notice came."""
        return self.stop_at is not None

    def update(self, now: float, notice: DrainNotice) -> float:
        """Take in a notice, the first or one with another stop. Returns when all must be answered."""
        if self.stop_at is None:
            noticed_at = now if notice.at is None else notice.at
            self.last_arrival_at = noticed_at + self._grace
        self.stop_at = max(now, notice.stop - self._margin)
        return self.stop_at
