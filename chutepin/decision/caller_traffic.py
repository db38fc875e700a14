"""Recent share of the traffic by caller."""

from __future__ import annotations

import math

TRAFFIC_DECAY_S = 8.0
MIN_OBSERVATION_S = 2.0  # minimum time over which a caller's traffic is averaged
MAX_CALLERS = 1000  # callers tracked at once


class CallerTraffic:
    """Decayed request count and time of the first request of each caller."""

    def __init__(self) -> None:
        self.callers: dict[int, tuple[float, float]] = {}  # decayed request count, time of the first request
        self.first_request_at = math.inf

    def record(self, now: float, caller: int) -> None:
        """Count a request of a caller."""
        self.first_request_at = min(self.first_request_at, now)
        if caller in self.callers or self._make_room():
            requests, first_seen_at = self.callers.get(caller, (0.0, now))
            self.callers[caller] = requests + 1, first_seen_at

    def _make_room(self) -> bool:
        """Return whether there is room for a new caller, after removing the oldest one if that sent little.

        Numbers that are used once would otherwise keep new callers out until their counts have decayed."""
        if len(self.callers) < MAX_CALLERS:
            return True
        oldest = next(iter(self.callers))
        requests, first_seen_at = self.callers.pop(oldest)
        if requests <= 1:
            return True
        self.callers[oldest] = requests, first_seen_at  # behind the others
        return False

    def decay(self, elapsed: float) -> None:
        """Decay the request counts by the elapsed time."""
        retained = math.exp(-elapsed / TRAFFIC_DECAY_S)
        self.callers = {
            caller: (requests * retained, first_seen_at)
            for caller, (requests, first_seen_at) in self.callers.items()
            if requests > 0.01
        }

    def busiest_share(self, now: float) -> float:
        """Return the busiest caller's share of the traffic, each caller averaged over the time since its first request.

        A caller that restarts connects under a new number. Averaged over the same time as long-lived callers, each new
        number would seem to send little, and the resulting credit would be too small for it."""

        def observed_weight(since: float) -> float:
            return 1 - math.exp(-max(MIN_OBSERVATION_S, now - since) / TRAFFIC_DECAY_S)

        busiest = max((requests / observed_weight(first) for requests, first in self.callers.values()), default=0.0)
        total = sum(requests for requests, _ in self.callers.values())
        return min(1.0, busiest * observed_weight(self.first_request_at) / max(1.0, total))
