"""Lifeguard's local health: how far a member may trust its own observations. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_SCORE = 8  # time-outs are then nine times as long


@dataclass(slots=True)
class LocalHealth:
    """The score of one member: 0 is healthy. Own failings add to it, answered probes reduce it."""

    score: int = 0
    last_answered_at: float = -math.inf  # when any member last answered this one
    late_timers: int = 0  # that fired noticeably late
    longest_delay: float = 0.0  # seconds by which the latest of all timers was late

    @property
    def timeout_multiplier(self) -> int:
        """Factor of this member's time-outs."""
        return 1 + self.score

    def degrade(self, amount: int = 1) -> None:
        """Note a late timer, a suspicion of this member, or a probe whose helpers were not heard either."""
        self.score = min(MAX_SCORE, self.score + amount)

    def recover(self) -> None:
        """Note an answered probe."""
        self.score = max(0, self.score - 1)
