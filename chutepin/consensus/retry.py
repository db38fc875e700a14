"""When a request that has no answer yet is sent again."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .settings import RaftSettings


class RetrySchedule:
    """Delays between the attempts of one request."""

    def __init__(self, settings: RaftSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng

    def next_attempt(self, now: float) -> float:
        """Return when to try again if no answer comes; drawn, so that nodes do not retry at the same moment."""
        return now + self._settings.election_timeout_s * (0.5 + 0.5 * self._rng.random())

    def after_rejection(self, now: float) -> float:
        """Return when to try again after a member has said that it cannot help."""
        return now + self._settings.heartbeat_interval_s


@dataclass(slots=True)
class PendingRequest:
    """A request of this node that has no outcome yet."""

    ticket: int
    deadline: float
    next_attempt: float

    @property
    def wakes_at(self) -> float:
        """When something is to be done about it."""
        return min(self.deadline, self.next_attempt)
