"""What happens to the members of a scale run, as a schedule: restarts in order, crashes, and named bad hours."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from chutepin.testbench.faults.schedule import Fault, Schedule, split

REGIONS = 9
ZONES = 22
AWAY = 6.0  # seconds between the end of a process and the start of its successor, in an orderly restart
LINGER = 1.35  # seconds that an idle node goes on after the notice to leave, under a platform that allows 1.5
REPAIR = 60.0  # seconds until a crashed member is started again
CRASHES_A_DAY = 240 / 2300  # of each member
WARM_UP = 5.0  # seconds of load before anything is measured
SETTLE = 20.0  # seconds after the last fault in which views must become equal
WAVE_SHARE = 0.1  # of the members, in a restart wave
WAVE_SECONDS = 60.0
APART_SECONDS = 180.0
DAY = 86400.0


class Scenario(Enum):
    """What happens beside the steady restarts and crashes."""

    CHURN = "churn"  # nothing
    ZONE_LOST = "zone-lost"  # all members of a zone crash at once
    RESTART_WAVE = "restart-wave"  # a tenth of the members restart within a minute
    REGION_APART = "region-apart"  # a region is cut off for three minutes


@dataclass(frozen=True, slots=True)
class Load:
    """What is asked of a run.

    `crash_share`: the part of the restarts in which the process crashes in place of leaving in order."""

    members: int
    restarts_per_second: float
    seconds: float
    seed: int
    scenario: Scenario = Scenario.CHURN
    crash_share: float = 0.0

    @property
    def measured_seconds(self) -> float:
        """For how long it is measured: a scenario may take longer than was asked for."""
        lasts = {Scenario.RESTART_WAVE: WAVE_SECONDS, Scenario.REGION_APART: APART_SECONDS}.get(self.scenario, 0.0)
        return max(self.seconds, lasts + self.seconds / 2)


class _Planner:
    """Draws the faults of a load, each member taking part in one at a time."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._end = WARM_UP + load.measured_seconds
        self._rng = random.Random(load.seed)
        self._places = Schedule(load.members, 0.0, zones=min(ZONES, load.members), regions=min(REGIONS, load.members))
        self._names = self._places.names()
        self._busy_until: dict[str, float] = {}
        self._faults: list[Fault] = []

    def schedule(self) -> Schedule:
        """The whole of it."""
        middle = WARM_UP + self._load.seconds / 2
        self._scenario(middle)
        crash = (
            WARM_UP if self._load.scenario is Scenario.REGION_APART else middle
        )  # known before the region is cut off
        for at in self._crash_times(crash):
            self._crash(at)
        self._restarts(self._load.restarts_per_second, 0.0, self._end)
        faults = tuple(sorted(self._faults, key=lambda fault: fault.at))
        last = max(self._end, faults[-1].at if faults else 0.0)
        return Schedule(
            self._load.members, last + SETTLE, faults, zones=self._places.zones, regions=self._places.regions
        )

    def _scenario(self, at: float) -> None:
        match self._load.scenario:
            case Scenario.ZONE_LOST:
                gone = tuple(name for name in self._names if self._places.zone(name) == "b")
                self._add(Fault(at, "crash", gone))
                self._reserve(gone)
            case Scenario.REGION_APART:
                apart = [name for name in self._names if self._places.region(name) == "r2"]
                rest = [name for name in self._names if self._places.region(name) != "r2"]
                self._add(split(at, (apart, rest)), Fault(at + APART_SECONDS, "heal"))
            case Scenario.RESTART_WAVE:
                count = max(1, round(WAVE_SHARE * len(self._names)))
                self._restarts(count / WAVE_SECONDS, at, at + WAVE_SECONDS)
            case Scenario.CHURN:
                pass

    def _crash_times(self, first: float) -> list[float]:
        """One for sure, and the others of so many members in so long a time."""
        count = round(self._load.members * CRASHES_A_DAY * self._load.measured_seconds / DAY)
        others = [WARM_UP + self._rng.random() * self._load.measured_seconds for _ in range(count - 1)]
        return [first, *others]

    def _crash(self, at: float) -> None:
        """A member crashes; it is started again if there is time for that."""
        name = self._idle(at)
        if name is None:
            return
        self._add(Fault(at, "crash", (name,)))
        back = at + REPAIR
        if back < self._end:
            self._add(Fault(back, "restart", (name,)))
            self._busy_until[name] = back
        else:
            self._reserve((name,))

    def _restarts(self, rate: float, begin: float, end: float) -> None:
        """One restart in each interval of the rate, at a time drawn within it."""
        for number in range(round(rate * (end - begin))):
            at = begin + (number + self._rng.random()) / rate
            name = self._idle(at)
            if name is None:
                continue
            ends = "crash" if self._rng.random() < self._load.crash_share else "leave"
            self._add(Fault(at, ends, (name,)), Fault(at + AWAY, "restart", (name,)))
            self._busy_until[name] = at + AWAY

    def _idle(self, at: float) -> str | None:
        """Some member that nothing happens to just then."""
        idle = [name for name in self._names if self._busy_until.get(name, -AWAY) + AWAY <= at]
        return self._rng.choice(idle) if idle else None

    def _reserve(self, names: tuple[str, ...]) -> None:
        """Nothing more happens to these."""
        self._busy_until |= dict.fromkeys(names, float("inf"))

    def _add(self, *faults: Fault) -> None:
        self._faults.extend(faults)


def plan(load: Load) -> Schedule:
    """The schedule of a load: of one load always the same."""
    return _Planner(load).schedule()
