"""How far this member may trust itself (Lifeguard's local health), and when somebody last answered it. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_SCORE = 8  # at which its time-outs are nine times as long


@dataclass(slots=True)
class LocalHealth:
    """0 is well. What speaks against oneself adds, an answered probe takes away."""

    score: int = 0
    last_answered_at: float = -math.inf  # when somebody last answered this member
    late_timers: int = 0  # timers that fired too late

    @property
    def timeout_multiplier(self) -> int:
        """By what this member's time-outs are multiplied."""
        return 1 + self.score

    def degrade(self, amount: int = 1) -> None:
        """It was late, accused, or did not even hear its helpers."""
        self.score = min(MAX_SCORE, self.score + amount)

    def recover(self) -> None:
        """A probe was answered."""
        self.score = max(0, self.score - 1)
