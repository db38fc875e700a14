"""What the host's gauges tell about the cores."""

from __future__ import annotations

from collections.abc import Sequence

AVERAGE_WEIGHT = 0.1  # of a new reading in an average
RISING_SHARE_WEIGHT = 0.5  # of a reading that shows more runs on the cores than before
IDLE_MARGIN = 0.1  # cores used by less than 1 minus this are idle, else full
MIN_CORE_USE = 0.5  # use of the cores is not taken to be less when more runs are allowed for idle cores


class CoreGauges:
    """Readings of `core_use` and `on_cores`, where the settings name them."""

    def __init__(self, names: Sequence[str]) -> None:
        self.names = names
        self.reading = 0.0  # cores busy with reading requests, on average
        self.core_use = 0.0  # last reading, 0 to 1
        self.usual_core_use = 1.0  # average; full until gauges tell
        self.on_core_share = 1.0  # of the runs, those that want a core of late; the others wait for disk
        self.cores_idle = False

    @property
    def cores_full(self) -> bool:
        """Whether no run can be added without slowing the others."""
        return self.core_use >= 1 - IDLE_MARGIN

    def record(self, values: Sequence[float], runs: int) -> None:
        """Take in readings while so many runs were on the cores."""
        gauges = dict(zip(self.names, values, strict=False))
        self.reading += AVERAGE_WEIGHT * (max(0.0, gauges.get("on_cores", runs) - runs) - self.reading)
        self.core_use = gauges.get("core_use", 0.0)
        if runs and "on_cores" in gauges:
            change = min(1.0, gauges["on_cores"] / runs) - self.on_core_share
            self.on_core_share += change * (AVERAGE_WEIGHT if change < 0 else RISING_SHARE_WEIGHT)
        if "core_use" in gauges:
            self.usual_core_use += AVERAGE_WEIGHT * (self.core_use - self.usual_core_use)
        self.cores_idle = "core_use" in gauges and self.core_use < 1 - IDLE_MARGIN

    def spare_runs(self, running: int) -> float:
        """How many more runs the idle part of the cores could take, judged by those running."""
        return running * (1 - IDLE_MARGIN - self.core_use) / max(MIN_CORE_USE, self.core_use)

    def runs_on_full_cores(self, limit: int) -> float:
        """How many runs would use the cores fully, where so many use them as usual."""
        return limit * (1 - IDLE_MARGIN) / max(MIN_CORE_USE, self.usual_core_use)
