"""How long connections of callers may stay idle.

Connections are closed early where callers hardly return while a connection may stay open. A table full of connections
that nobody uses costs cores and keeps new callers out; the price is a handshake for each attempt of the few callers
that do return.
"""

from __future__ import annotations

import math

MAX_CALLERS = 1000  # remembered at once
MIN_RETURNS = 3.0  # within the longest idle time, from which connections stay open; half of it under full rejection
SHORT_IDLE_TIMEOUT_S = 0.1  # where callers hardly return


class IdleConnections:
    """Learns how soon callers return."""

    def __init__(self, max_idle_time: float) -> None:
        self.max_idle_time = max_idle_time
        self.idle_timeout = max_idle_time
        self.last_request_at: dict[int, float] = {}  # by caller, the longest silent first
        self.returns = 3.0  # of late
        self.silence = max_idle_time  # seconds that callers were silent, of late

    def record_request(self, now: float, caller: int) -> None:
        """Take in a caller's request, and forget callers that are silent for longer than connections may idle."""
        last_request_at = self.last_request_at
        self.returns += last_request_at.pop(caller, None) is not None
        last_request_at[caller] = now
        while (oldest := next(iter(last_request_at))) != caller and (
            len(last_request_at) > MAX_CALLERS or now - last_request_at[oldest] > self.max_idle_time
        ):
            del last_request_at[oldest]

    def update(self, elapsed: float, rejected_share: float) -> float | None:
        """The new idle timeout, if it changes."""
        longest = self.max_idle_time
        retained = math.exp(-elapsed / max(longest, elapsed))
        self.returns = self.returns * retained
        self.silence = (self.silence + len(self.last_request_at) * elapsed) * retained
        # The more is rejected, the more a full table helps: it rejects callers without handshake or reading.
        needed = max(MIN_RETURNS / 2, MIN_RETURNS * (1 - rejected_share))
        if self.returns * longest > needed * self.silence:
            timeout = longest
        else:
            timeout = min(SHORT_IDLE_TIMEOUT_S, longest)
        if timeout == self.idle_timeout:
            return None
        self.idle_timeout = timeout
        return timeout
