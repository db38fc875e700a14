"""Detection of pauses of the process (suspended, swapped out, without a core) by timers that fire late.

A pause must not count as run time, as a hang or as overload of the cores: it would halve the limit and mark a healthy
server as unhealthy. The disadvantage is that slowness is detected later on a host that fires every timer late.
"""

from __future__ import annotations

import math

PAUSE_TICKS = 20  # a timer later than this many ticks indicates a pause


class ProcessPauses:
    """Record of the last pause."""

    def __init__(self, tick: float) -> None:
        self.began_at = 0.0
        self.ended_at = -math.inf
        self._min_pause = PAUSE_TICKS * tick

    def is_pause(self, lateness: float) -> bool:
        """Return whether a timer was late enough to indicate a pause."""
        return lateness > self._min_pause

    def record(self, began_at: float, ended_at: float) -> None:
        """Record a pause as the last one."""
        self.began_at = began_at
        self.ended_at = ended_at

    def time_since(self, since: float, now: float) -> float:
        """Return the seconds of the last pause that lie between `since` and `now`."""
        return max(0.0, min(now, self.ended_at) - max(since, self.began_at))
