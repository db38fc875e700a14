"""Retry timing of pending requests."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .settings import RaftSettings


class RetrySchedule:
    """The delays between the attempts of a request."""

    def __init__(self, settings: RaftSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng

    def next_attempt(self, now: float) -> float:
        """Return the time of the next attempt if no reply arrives; randomized, so that nodes do not retry together."""
        return now + self._settings.election_timeout_s * (0.5 + 0.5 * self._rng.random())

    def after_rejection(self, now: float) -> float:
        """Return the time of the next attempt after a rejection."""
        return now + self._settings.heartbeat_interval_s


@dataclass(slots=True)
class PendingRequest:
    """A request of this node that has no outcome yet."""

    ticket: int
    deadline: float
    next_attempt: float

    @property
    def due_at(self) -> float:
        """The time of the next attempt or the deadline, whichever is earlier."""
        return min(self.deadline, self.next_attempt)
