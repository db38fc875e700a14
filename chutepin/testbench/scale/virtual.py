"""Scale runs in the simulator: the production node code in virtual time."""

from __future__ import annotations

import gc
import math
import resource
import time
from collections.abc import Callable
from typing import Any

from chutepin.testbench.faults.schedule import Schedule
from chutepin.testbench.scale.report import RunResult, ScaleReport, current_commit, report
from chutepin.testbench.scale.traffic import TrafficMeter
from chutepin.testbench.scale.workload import REGIONS, SHUTDOWN_S, Load, plan
from chutepin.testbench.simulators.membership import EPOCH_MS, Simulator

VIEW_CHECK_INTERVAL_S = 0.25  # between comparisons of all views
STABLE_VIEWS_S = 5.0  # time for which all views must stay equal before a run may end early
Progress = Callable[[float], None]  # receives the completed fraction of the run


class ScaleSimulator(Simulator):
    """A simulator that measures the time from the last fault until all views are equal."""

    def __init__(
        self, schedule: Schedule, seed: int, meter: TrafficMeter, settings: dict[str, Any], progress: Progress
    ) -> None:
        super().__init__(
            schedule,
            seed,
            show=VIEW_CHECK_INTERVAL_S,
            known=True,
            seeds=REGIONS,
            settings={"members": 2 * schedule.members, **settings},
            meter=meter,
            shutdown_s=SHUTDOWN_S,
        )
        self._progress = progress
        self._last_fault = max((fault.at for fault in schedule.faults), default=0.0)
        self._equal_since = math.inf

    @property
    def views_equal_s(self) -> float:
        """Return the seconds from the last fault until the views became and stayed equal, or NaN."""
        return self._equal_since - self._last_fault if self._equal_since < math.inf else math.nan

    def _observe(self) -> None:
        self._progress(self.now / self.schedule.seconds)
        if self.now <= self._last_fault:
            return
        if not self._views_equal():
            self._equal_since = math.inf
        elif self._equal_since == math.inf:
            self._equal_since = self.now
        elif self.now >= self._equal_since + STABLE_VIEWS_S:
            self._events.clear()  # ends the run: the views are stable

    def _introduce(self) -> None:
        super()._introduce()
        gc.collect()
        gc.freeze()  # excludes the many records of all views from further garbage collections

    def _views_equal(self) -> bool:
        """Return whether the views of all running members hold exactly the running members."""
        views = [
            host.detector.view
            for host in self.hosts.values()
            if host.detector is not None and not host.detector.context.leaving
        ]
        return len({view.digest for view in views}) <= 1 and all(view.live_count == len(views) for view in views)


def simulate(
    load: Load, progress: Progress = lambda _: None, settings: dict[str, Any] | None = None
) -> tuple[ScaleReport, ScaleSimulator]:
    """Run a load; return its report and the simulator in its final state. `settings`: fields of `ClusterSetup`."""
    started_at, commit_id = time.monotonic(), current_commit()
    meter = TrafficMeter()
    simulator = ScaleSimulator(plan(load), load.seed, meter, settings or {}, progress)
    try:
        history = simulator.run()
    finally:
        gc.unfreeze()
    result = RunResult(
        load,
        history,
        meter,
        EPOCH_MS,
        simulator.views_equal_s,
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        time.monotonic() - started_at,
        commit_id,
    )
    return report(result, "simulator"), simulator
