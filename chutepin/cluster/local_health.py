"""Lifeguard's local health score, by which a member scales its time-outs. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_SCORE = 8  # scales time-outs by nine


@dataclass(slots=True)
class LocalHealth:
    """The health score of one member: 0 is healthy. Local faults raise the score, answered probes lower it."""

    score: int = 0
    last_answered_at: float = -math.inf  # time of the last ack or helper result from any member
    late_timers: int = 0  # timers that fired more than half a probe time-out late
    longest_delay: float = 0.0  # seconds; the longest delay of any timer

    @property
    def timeout_multiplier(self) -> int:
        """The factor by which this member's time-outs are scaled."""
        return 1 + self.score

    def degrade(self, amount: int = 1) -> None:
        """Raise the score after a late timer, dropped datagrams, or a failed probe without a nack from any helper."""
        self.score = min(MAX_SCORE, self.score + amount)

    def recover(self) -> None:
        """Lower the score after an answered probe."""
        self.score = max(0, self.score - 1)
