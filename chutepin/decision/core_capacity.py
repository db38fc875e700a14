"""How many concurrent runs the cores survive; the settings say it for a warm server."""

from __future__ import annotations

from .core_gauges import CoreGauges
from .settings import Settings
from .warm_up import WarmUp

USED_SHARE = 0.85  # of the configured number of runs
AWAITING_CALL_SHARE = 0.3  # of the capacity, kept for runs that wait for a call


class CoreCapacity:
    """Bounds on runs, on the cores and at calls, by warm-up and gauges."""

    def __init__(self, settings: Settings, warm_up: WarmUp, gauges: CoreGauges) -> None:
        self._cores = settings.cores
        self._max_running_per_core = settings.max_running_per_core
        self._warm_up = warm_up
        self._gauges = gauges

    def survivable_runs(self, now: float) -> float:
        """How many runs on the cores are safe now: a share of the configured number, or one for each core."""
        speed = self._warm_up.speed(now)
        return max(self._cores, (1 + (self._max_running_per_core - 1) * speed) * self._cores * USED_SHARE)

    def total(self, now: float) -> float:
        """How many runs and calls in flight are safe now.

        Where runs wait for disk, which the configured number leaves out, a warm server uses the margin too: all of
        them back together are still not over that number."""
        survivable = self.survivable_runs(now)
        with_disk_waits = self._with_disk_waits(now, survivable, USED_SHARE)
        return max(survivable, min(self._max_running_per_core * self._cores, with_disk_waits))

    def limit_ceiling(self, now: float) -> int:
        """The most that the concurrency limit may reach."""
        runs = self._with_disk_waits(now, self.survivable_runs(now), 1 - AWAITING_CALL_SHARE)
        return int(runs * (1 - AWAITING_CALL_SHARE))

    def max_awaiting_calls(self, now: float, limit: int) -> int:
        """How many runs may wait for calls: all of them back together still fit on the cores."""
        total = self.total(now)
        return max(1, int(max(total * AWAITING_CALL_SHARE, total - limit)))

    def _with_disk_waits(self, now: float, survivable: float, min_on_core_share: float) -> float:
        """Safe runs where some of them wait for disk, which only the gauge of the cores shows."""
        if self._warm_up.speed(now) < 1:
            return survivable
        return survivable / max(min_on_core_share, self._gauges.on_core_share)
