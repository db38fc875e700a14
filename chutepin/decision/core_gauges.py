"""Use of the cores according to the host's gauges."""

from __future__ import annotations

from collections.abc import Sequence

AVERAGE_WEIGHT = 0.1  # weight of a new sample in a moving average
RISING_SHARE_WEIGHT = 0.5  # weight of a sample that shows a larger share of the runs on the cores than the average
IDLE_MARGIN = 0.1  # the cores are idle below a use of 1 minus this margin, and full otherwise
MIN_CORE_USE = 0.5  # lower bound of the core use in estimates of how many more runs fit


class CoreGauges:
    """Samples and averages of the gauges `core_use` and `on_cores`, where the settings name them."""

    def __init__(self, names: Sequence[str]) -> None:
        self.names = names
        self.cores_reading = 0.0  # average number of cores busy reading requests
        self.core_use = 0.0  # last sample, 0 to 1
        self.usual_core_use = 1.0  # average; assumed full until the first sample
        self.on_core_share = 1.0  # recent share of the runs that need a core; the others wait for disk
        self.cores_idle = False

    @property
    def cores_full(self) -> bool:
        """Return whether one more run would slow the others."""
        return self.core_use >= 1 - IDLE_MARGIN

    def record(self, values: Sequence[float], runs: int) -> None:
        """Record gauge samples taken while `runs` runs were on the cores."""
        gauges = dict(zip(self.names, values, strict=False))
        self.cores_reading += AVERAGE_WEIGHT * (max(0.0, gauges.get("on_cores", runs) - runs) - self.cores_reading)
        self.core_use = gauges.get("core_use", 0.0)
        if runs and "on_cores" in gauges:
            change = min(1.0, gauges["on_cores"] / runs) - self.on_core_share
            self.on_core_share += change * (AVERAGE_WEIGHT if change < 0 else RISING_SHARE_WEIGHT)
        if "core_use" in gauges:
            self.usual_core_use += AVERAGE_WEIGHT * (self.core_use - self.usual_core_use)
        self.cores_idle = "core_use" in gauges and self.core_use < 1 - IDLE_MARGIN

    def spare_runs(self, running: int) -> float:
        """Return how many more runs the idle cores could take, assuming the mean core use of the running ones."""
        return running * (1 - IDLE_MARGIN - self.core_use) / max(MIN_CORE_USE, self.core_use)

    def runs_on_full_cores(self, limit: int) -> float:
        """Return how many runs would fill the cores, assuming that `limit` runs cause the usual core use."""
        return limit * (1 - IDLE_MARGIN) / max(MIN_CORE_USE, self.usual_core_use)
