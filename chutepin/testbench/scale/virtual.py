"""A scale run in the simulator: the nodes' own code in virtual time."""

from __future__ import annotations

import gc
import math
import resource
import time
from collections.abc import Callable
from typing import Any

from chutepin.testbench.faults.schedule import Schedule
from chutepin.testbench.scale.report import Observed, ScaleReport, commit, report
from chutepin.testbench.scale.traffic import TrafficMeter
from chutepin.testbench.scale.workload import LINGER, REGIONS, Load, plan
from chutepin.testbench.simulators.membership import EPOCH_MS, Simulator

LOOK = 0.25  # seconds between looks at whether all views are equal
STABLE = 5.0  # seconds for which views are equal until a run may end
Progress = Callable[[float], None]  # takes the part of the run that is done


class ScaleSimulator(Simulator):
    """A simulator that looks, after the last fault, whether all views are equal."""

    def __init__(
        self, schedule: Schedule, seed: int, meter: TrafficMeter, settings: dict[str, Any], progress: Progress
    ) -> None:
        super().__init__(
            schedule,
            seed,
            show=LOOK,
            known=True,
            seeds=REGIONS,
            settings={"members": 2 * schedule.members, **settings},
            meter=meter,
            shutdown_s=LINGER,
        )
        self._progress = progress
        self._last_fault = max((fault.at for fault in schedule.faults), default=0.0)
        self._equal_since = math.inf

    @property
    def views_equal_s(self) -> float:
        """Seconds from the last fault until views were equal and stayed so; NaN if they never did."""
        return self._equal_since - self._last_fault if self._equal_since < math.inf else math.nan

    def _observe(self) -> None:
        self._progress(self.now / self.schedule.seconds)
        if self.now <= self._last_fault:
            return
        if not self._views_equal():
            self._equal_since = math.inf
        elif self._equal_since == math.inf:
            self._equal_since = self.now
        elif self.now >= self._equal_since + STABLE:
            self._events.clear()  # nothing more will happen

    def _introduce(self) -> None:
        super()._introduce()
        gc.collect()
        gc.freeze()  # the views of all members are too much to be looked through again and again

    def _views_equal(self) -> bool:
        """All that run show the same: those that run, and no others."""
        views = [
            host.detector.view
            for host in self.hosts.values()
            if host.detector is not None and not host.detector.context.leaving
        ]
        return len({view.digest for view in views}) <= 1 and all(view.live_count == len(views) for view in views)


def simulate(
    load: Load, progress: Progress = lambda _: None, settings: dict[str, Any] | None = None
) -> tuple[ScaleReport, ScaleSimulator]:
    """Play a load; its report, and the simulator as it ended. `settings`: further fields of `ClusterSetup`."""
    begun, text = time.monotonic(), commit()
    meter = TrafficMeter()
    simulator = ScaleSimulator(plan(load), load.seed, meter, settings or {}, progress)
    try:
        history = simulator.run()
    finally:
        gc.unfreeze()
    observed = Observed(
        load,
        history,
        meter,
        EPOCH_MS,
        simulator.views_equal_s,
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        time.monotonic() - begun,
        text,
    )
    return report(observed, "simulator"), simulator
