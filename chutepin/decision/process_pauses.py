"""Pauses of the process (suspended, swapped out, its core taken), which show in a timer that comes late.

Such a pause is no run time, no sign of a hang and no crowding of the cores: counted there, it would halve the limit and
take a sound server out of service. On a host that is late with every timer, slowness is seen later.
"""

from __future__ import annotations

import math

PAUSE_TICKS = 20  # a timer later than this many ticks shows a pause


class ProcessPauses:
    """The last pause."""

    def __init__(self, tick: float) -> None:
        self.began_at = 0.0
        self.ended_at = -math.inf
        self._min_pause = PAUSE_TICKS * tick

    def is_pause(self, lateness: float) -> bool:
        """Whether a timer was so late that the process must have paused."""
        return lateness > self._min_pause

    def record(self, began_at: float, ended_at: float) -> None:
        """Take in a pause."""
        self.began_at = began_at
        self.ended_at = ended_at

    def time_since(self, since: float, now: float) -> float:
        """How much of the time from `since` to `now` the last pause took."""
        return max(0.0, min(now, self.ended_at) - max(since, self.began_at))
