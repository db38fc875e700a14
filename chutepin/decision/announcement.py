"""The share of traffic that this server asks its callers for. The cheapest rejection is the one never needed."""

from __future__ import annotations

import math

TARGET_BACKLOG_SHARE = 0.15  # of the mean latency objective
SHARE_GAIN = 0.5  # how fast the share follows the backlog
REJECTION_FACTOR = 0.95  # each rejection for want of capacity lowers the share to this part
MIN_ANNOUNCED_SHARE = 0.5  # keeps some traffic coming, so that recovery is seen
MIN_CHANGE = 0.01  # of the announced value


class Announcement:
    """Integrates the distance of the backlog from its target."""

    def __init__(self, mean_latency_objective: float, share: float) -> None:
        self.share = share
        self.value = -1.0  # last announced
        self.excess_backlog = 0.0  # seconds
        self.target_backlog = TARGET_BACKLOG_SHARE * mean_latency_objective  # seconds

    def record_rejection(self, weight: float) -> None:
        """Lower the share for a rejection for want of capacity."""
        self.share *= 1 - (1 - REJECTION_FACTOR) * weight

    def update_share(self, elapsed: float, backlog: float, max_share: float) -> None:
        """Move the share by the distance of the backlog from its target."""
        target = self.target_backlog
        self.excess_backlog = max(0.0, backlog - target)
        error = max(-2.0, min(1.0, (target - backlog) / target))
        share = self.share * math.exp(SHARE_GAIN * error * elapsed)
        self.share = max(MIN_ANNOUNCED_SHARE, min(1.0, max_share, share))

    def set_value(self, value: float) -> bool:
        """Set the value to announce; false where it is too close to the last one."""
        if not abs(value - self.value) > MIN_CHANGE:
            return False
        self.value = round(value, 3)
        return True
