"""Idle timeout of caller connections.

The timeout is short where few callers send another request within the maximum idle time. A connection table full of
unused connections costs cores and keeps new callers out; in exchange, the few callers that do return need a handshake
for each attempt.
"""

from __future__ import annotations

import math

MAX_CALLERS = 1000  # callers tracked at once
MIN_RETURNS = 3.0  # returns per maximum idle time above which connections stay open; half if all requests are rejected
SHORT_IDLE_TIMEOUT_S = 0.1  # idle timeout where few callers return


class IdleConnections:
    """Idle timeout, learned from how soon callers send another request."""

    def __init__(self, max_idle_time: float) -> None:
        self.max_idle_time = max_idle_time
        self.idle_timeout = max_idle_time
        self.last_request_at: dict[int, float] = {}  # by caller, least recent first
        self.recent_returns = 3.0  # decayed count of requests from callers that were seen before
        self.recent_idle_time = max_idle_time  # decayed sum of the time that tracked callers were idle, in seconds

    def record_request(self, now: float, caller: int) -> None:
        """Record a caller's request, and drop callers that sent none for longer than the maximum idle time."""
        last_request_at = self.last_request_at
        self.recent_returns += last_request_at.pop(caller, None) is not None
        last_request_at[caller] = now
        while (oldest := next(iter(last_request_at))) != caller and (
            len(last_request_at) > MAX_CALLERS or now - last_request_at[oldest] > self.max_idle_time
        ):
            del last_request_at[oldest]

    def update(self, elapsed: float, rejected_share: float) -> float | None:
        """Update the idle timeout and return it, or None if it does not change."""
        max_idle_time = self.max_idle_time
        retained = math.exp(-elapsed / max(max_idle_time, elapsed))
        self.recent_returns = self.recent_returns * retained
        self.recent_idle_time = (self.recent_idle_time + len(self.last_request_at) * elapsed) * retained
        # A full connection table rejects callers without a handshake or reading, which saves more the more requests
        # are rejected.
        min_returns = max(MIN_RETURNS / 2, MIN_RETURNS * (1 - rejected_share))
        if self.recent_returns * max_idle_time > min_returns * self.recent_idle_time:
            timeout = max_idle_time
        else:
            timeout = min(SHORT_IDLE_TIMEOUT_S, max_idle_time)
        if timeout == self.idle_timeout:
            return None
        self.idle_timeout = timeout
        return timeout
