"""How far this member may trust itself (Lifeguard's local health), and when somebody last answered it. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

MOST = 8  # at which its time-outs are nine times as long


@dataclass(slots=True)
class Health:
    """0 is well. What speaks against oneself adds, an answered probe takes away."""

    score: int = 0
    answered: float = -math.inf  # when somebody last answered this member
    late: int = 0  # timers that fired too late

    @property
    def stretch(self) -> int:
        """By what this member's time-outs are multiplied."""
        return 1 + self.score

    def worse(self, by: int = 1) -> None:
        """It was late, accused, or did not even hear its helpers."""
        self.score = min(MOST, self.score + by)

    def better(self) -> None:
        """A probe was answered."""
        self.score = max(0, self.score - 1)
