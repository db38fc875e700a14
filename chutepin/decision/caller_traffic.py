"""What share of the traffic each caller sends, of late."""

from __future__ import annotations

import math

TRAFFIC_DECAY_S = 8.0
MIN_OBSERVATION_S = 2.0  # a caller's traffic is counted over at least this time
MAX_CALLERS = 1000  # remembered


class CallerTraffic:
    """Requests of late of each caller, and since when it is known."""

    def __init__(self) -> None:
        self.callers: dict[int, tuple[float, float]] = {}  # decayed count of requests, first seen at
        self.first_request_at = math.inf

    def record(self, now: float, caller: int) -> None:
        """Take in a request."""
        self.first_request_at = min(self.first_request_at, now)
        if caller in self.callers or len(self.callers) < MAX_CALLERS:
            requests, first_seen_at = self.callers.get(caller, (0.0, now))
            self.callers[caller] = requests + 1, first_seen_at

    def decay(self, elapsed: float) -> None:
        """Let the past count for less."""
        retained = math.exp(-elapsed / TRAFFIC_DECAY_S)
        self.callers = {
            caller: (requests * retained, first_seen_at)
            for caller, (requests, first_seen_at) in self.callers.items()
            if requests > 0.01
        }

    def busiest_share(self, now: float) -> float:
        """The share of all traffic that the busiest caller sends, each counted over the time since it is known.

        Callers that restart come back under new numbers. Counted over the same time as callers that stay, each of
        these numbers would seem to send little, and the credit would starve them."""

        def observed(since: float) -> float:
            return 1 - math.exp(-max(MIN_OBSERVATION_S, now - since) / TRAFFIC_DECAY_S)

        busiest = max((requests / observed(first) for requests, first in self.callers.values()), default=0.0)
        total = sum(requests for requests, _ in self.callers.values())
        return min(1.0, busiest * observed(self.first_request_at) / max(1.0, total))
