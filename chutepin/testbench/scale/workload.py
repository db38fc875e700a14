"""Workloads of scale runs, planned as fault schedules: orderly restarts, crashes and named scenarios."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from chutepin.testbench.faults.schedule import Fault, Schedule, split

REGIONS = 9
ZONES = 22
RESTART_PAUSE_S = 6.0  # between the end of a process and the start of its successor in an orderly restart
SHUTDOWN_S = 1.35  # an idle node runs on for this time after SIGTERM, under a platform that allows 1.5 s
CRASH_DOWNTIME_S = 60.0  # until a crashed member is started again
CRASHES_PER_MEMBER_DAY = 240 / 2300  # crash rate of one member
WARM_UP_S = 5.0  # load before the measurement begins
SETTLE_S = 20.0  # after the last fault, within which the views must become equal
WAVE_SHARE = 0.1  # share of the members that restart in a restart wave
WAVE_S = 60.0
PARTITION_S = 180.0
DAY_S = 86400.0


class Scenario(Enum):
    """The faults in addition to the steady restarts and crashes."""

    CHURN = "churn"  # no additional faults
    ZONE_LOST = "zone-lost"  # all members of a zone crash at once
    RESTART_WAVE = "restart-wave"  # a tenth of the members restart within a minute
    REGION_APART = "region-apart"  # a region is cut off for three minutes


@dataclass(frozen=True, slots=True)
class Load:
    """The parameters of a run.

    `crash_share`: share of the restarts in which the process crashes instead of leaving."""

    members: int
    restarts_per_second: float
    seconds: float
    seed: int
    scenario: Scenario = Scenario.CHURN
    crash_share: float = 0.0

    @property
    def measured_seconds(self) -> float:
        """Return the seconds of measurement, longer than `seconds` if the scenario needs more."""
        scenario_s = {Scenario.RESTART_WAVE: WAVE_S, Scenario.REGION_APART: PARTITION_S}.get(self.scenario, 0.0)
        return max(self.seconds, scenario_s + self.seconds / 2)


class _Planner:
    """Random generator of the faults of a load, with at most one fault per member at a time."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._end = WARM_UP_S + load.measured_seconds
        self._rng = random.Random(load.seed)
        self._topology = Schedule(load.members, 0.0, zones=min(ZONES, load.members), regions=min(REGIONS, load.members))
        self._names = self._topology.names()
        self._busy_until: dict[str, float] = {}
        self._faults: list[Fault] = []

    def schedule(self) -> Schedule:
        """Return the complete schedule."""
        middle = WARM_UP_S + self._load.seconds / 2
        self._add_scenario(middle)
        first_crash_at = (
            WARM_UP_S if self._load.scenario is Scenario.REGION_APART else middle
        )  # detected before the region is cut off
        for at in self._crash_times(first_crash_at):
            self._add_crash(at)
        self._add_restarts(self._load.restarts_per_second, 0.0, self._end)
        faults = tuple(sorted(self._faults, key=lambda fault: fault.at))
        last = max(self._end, faults[-1].at if faults else 0.0)
        return Schedule(
            self._load.members, last + SETTLE_S, faults, zones=self._topology.zones, regions=self._topology.regions
        )

    def _add_scenario(self, at: float) -> None:
        match self._load.scenario:
            case Scenario.ZONE_LOST:
                zone_members = tuple(name for name in self._names if self._topology.zone(name) == "b")
                self._add(Fault(at, "crash", zone_members))
                self._reserve(zone_members)
            case Scenario.REGION_APART:
                region_members = [name for name in self._names if self._topology.region(name) == "r2"]
                rest = [name for name in self._names if self._topology.region(name) != "r2"]
                self._add(split(at, (region_members, rest)), Fault(at + PARTITION_S, "heal"))
            case Scenario.RESTART_WAVE:
                count = max(1, round(WAVE_SHARE * len(self._names)))
                self._add_restarts(count / WAVE_S, at, at + WAVE_S)
            case Scenario.CHURN:
                pass

    def _crash_times(self, first: float) -> list[float]:
        """Return the times of crashes: one at `first`, further ones at the crash rate of the members."""
        count = round(self._load.members * CRASHES_PER_MEMBER_DAY * self._load.measured_seconds / DAY_S)
        others = [WARM_UP_S + self._rng.random() * self._load.measured_seconds for _ in range(count - 1)]
        return [first, *others]

    def _add_crash(self, at: float) -> None:
        """Add a crash of an idle member, and its restart if the run is long enough."""
        name = self._draw_idle_member(at)
        if name is None:
            return
        self._add(Fault(at, "crash", (name,)))
        restart_at = at + CRASH_DOWNTIME_S
        if restart_at < self._end:
            self._add(Fault(restart_at, "restart", (name,)))
            self._busy_until[name] = restart_at
        else:
            self._reserve((name,))

    def _add_restarts(self, rate: float, begin: float, end: float) -> None:
        """Add one restart in each interval of the rate, at a random time within the interval."""
        for number in range(round(rate * (end - begin))):
            at = begin + (number + self._rng.random()) / rate
            name = self._draw_idle_member(at)
            if name is None:
                continue
            end_kind = "crash" if self._rng.random() < self._load.crash_share else "leave"
            self._add(Fault(at, end_kind, (name,)), Fault(at + RESTART_PAUSE_S, "restart", (name,)))
            self._busy_until[name] = at + RESTART_PAUSE_S

    def _draw_idle_member(self, at: float) -> str | None:
        """Return a random member without a fault around a time, or None."""
        idle = [name for name in self._names if self._busy_until.get(name, -RESTART_PAUSE_S) + RESTART_PAUSE_S <= at]
        return self._rng.choice(idle) if idle else None

    def _reserve(self, names: tuple[str, ...]) -> None:
        """Exclude members from all further faults."""
        self._busy_until |= dict.fromkeys(names, float("inf"))

    def _add(self, *faults: Fault) -> None:
        self._faults.extend(faults)


def plan(load: Load) -> Schedule:
    """Return the schedule of a load; equal loads give equal schedules."""
    return _Planner(load).schedule()
