"""Number of concurrent runs that the cores can sustain, derived from the configured number for a warm server."""

from __future__ import annotations

from .core_gauges import CoreGauges
from .settings import Settings
from .warm_up import WarmUp

USED_SHARE = 0.85  # share of the configured number of runs that is used; the rest is a safety margin
AWAITING_CALL_SHARE = 0.3  # share of the capacity reserved for runs that wait for a call


class CoreCapacity:
    """Bounds on the runs on the cores and in dependency calls, from warm-up and gauges."""

    def __init__(self, settings: Settings, warm_up: WarmUp, gauges: CoreGauges) -> None:
        self._cores = settings.cores
        self._max_running_per_core = settings.max_running_per_core
        self._warm_up = warm_up
        self._gauges = gauges

    def safe_runs(self, now: float) -> float:
        """Return the safe number of runs on the cores: a share of the configured number, and at least one per core."""
        speed = self._warm_up.speed(now)
        return max(self._cores, (1 + (self._max_running_per_core - 1) * speed) * self._cores * USED_SHARE)

    def total(self, now: float) -> float:
        """Return the safe total of runs on the cores and calls in flight.

        Where runs wait for disk, which the configured number does not consider, a warm server also uses the safety
        margin: even if all these runs return to the cores at once, they do not exceed the configured number."""
        safe_runs = self.safe_runs(now)
        with_disk_waits = self._with_disk_waits(now, safe_runs, USED_SHARE)
        return max(safe_runs, min(self._max_running_per_core * self._cores, with_disk_waits))

    def limit_ceiling(self, now: float) -> int:
        """Return the ceiling of the concurrency limit."""
        runs = self._with_disk_waits(now, self.safe_runs(now), 1 - AWAITING_CALL_SHARE)
        return int(runs * (1 - AWAITING_CALL_SHARE))

    def max_awaiting_calls(self, now: float, limit: int) -> int:
        """Return how many runs may wait for calls, so that the cores sustain all of them returning at once."""
        total = self.total(now)
        return max(1, int(max(total * AWAITING_CALL_SHARE, total - limit)))

    def _with_disk_waits(self, now: float, safe_runs: float, min_on_core_share: float) -> float:
        """Return the safe number of runs where some wait for disk, as the core gauge shows."""
        if self._warm_up.speed(now) < 1:
            return safe_runs
        return safe_runs / max(min_on_core_share, self._gauges.on_core_share)
