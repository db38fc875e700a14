"""Traffic share announced to callers, so that they send less instead of being rejected.

A request that a caller does not send costs this server less than a rejection."""

from __future__ import annotations

import math

TARGET_BACKLOG_SHARE = 0.15  # target backlog as a share of the mean latency objective
SHARE_GAIN = 0.5  # gain of the controller that adjusts the share to the backlog, per second
REJECTION_FACTOR = 0.95  # each rejection for lack of capacity multiplies the share by this factor
MIN_ANNOUNCED_SHARE = 0.5  # keeps enough traffic for the server to detect its recovery
MIN_CHANGE = 0.01  # smaller changes of the announced value are not sent


class Announcement:
    """Integral controller of the announced share, driven by the distance of the backlog from its target."""

    def __init__(self, mean_latency_objective: float, share: float) -> None:
        self.share = share
        self.value = -1.0  # value last announced; -1 before the first
        self.excess_backlog = 0.0  # seconds
        self.target_backlog = TARGET_BACKLOG_SHARE * mean_latency_objective  # seconds

    def record_rejection(self, weight: float) -> None:
        """Lower the share for a rejection for lack of capacity."""
        self.share *= 1 - (1 - REJECTION_FACTOR) * weight

    def update_share(self, elapsed: float, backlog: float, max_share: float) -> None:
        """Adjust the share by the distance of the backlog from its target over `elapsed` seconds."""
        target = self.target_backlog
        self.excess_backlog = max(0.0, backlog - target)
        error = max(-2.0, min(1.0, (target - backlog) / target))
        share = self.share * math.exp(SHARE_GAIN * error * elapsed)
        self.share = max(MIN_ANNOUNCED_SHARE, min(1.0, max_share, share))

    def set_value(self, value: float) -> bool:
        """Set the value to announce. Return false, without setting it, where it is too close to the last value."""
        if not abs(value - self.value) > MIN_CHANGE:
            return False
        self.value = round(value, 3)
        return True
