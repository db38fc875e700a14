"""The log in common in the simulator: what its leader, a voter and the observers say and spend, by number of observers.

All words go through their bytes. Proposals come at the rate of a peak, as `benchmarks.fleet_size` has it."""

from __future__ import annotations

import itertools
import time
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Any

from benchmarks.fleet_size import ASSUMPTIONS, TARGET
from chutepin.consensus.codec import encode
from chutepin.consensus.settings import RaftSettings
from chutepin.testbench.checks.consensus_history import ConsensusHistory
from chutepin.testbench.checks.consensus_invariants import violations
from chutepin.testbench.faults.schedule import Schedule
from chutepin.testbench.simulators.consensus import LINK_DELAY_S, SETTINGS, WRITE_DURATION_S, Simulator

from .request import quantile
from .tools import Measured, Table

OBSERVERS = (50, 100, 200, 400, 800)
VOTERS = 3
SECONDS, FROM = 30.0, 10.0  # simulated; what comes before is not counted
COUNTED = SECONDS - FROM
SETS_IN_ASKS = 2 / 3  # the simulated askers read as well
SEEDS = (1, 2)
MOST_HEARD = 0.9  # of the members must show an entry for its spread to count
UNITS = {
    "leader_words_per_s": "words a second",
    "leader_bytes_per_s": "bytes a second",
    "leader_cpu_ms_per_s": "ms of a core a second",
    "observer_bytes_per_s": "bytes a second",
    "observer_cpu_ms_per_s": "ms of a core a second",
    "feeder_bytes_per_s": "bytes a second",
    "spread_p99_s": "s",
}


class Metered(Simulator):
    """A simulator that keeps what each member says and spends."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.said: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.cpu_s: defaultdict[str, float] = defaultdict(float)

    def _send(self, host: Any, to: str, message: Any) -> None:
        if self.now > FROM:
            self.said[host.name] += 1
            self.sent_bytes[host.name] += len(encode(message))
        super()._send(host, to, message)

    def _tick(self, host: Any, timer: int) -> None:
        begun = time.process_time()
        super()._tick(host, timer)
        self._spent(host, begun)

    def _receive(self, host: Any, sender: str, message: Any) -> None:
        begun = time.process_time()
        super()._receive(host, sender, message)
        self._spent(host, begun)

    def _spent(self, host: Any, begun: float) -> None:
        if self.now > FROM:
            self.cpu_s[host.name] += time.process_time() - begun

    def spending(self, names: list[str]) -> Spending:
        """The mean of these members."""
        share = COUNTED * len(names)
        return Spending(
            sum(self.said[name] for name in names) / share,
            sum(self.sent_bytes[name] for name in names) / share,
            1000 * sum(self.cpu_s[name] for name in names) / share,
        )


@dataclass(frozen=True, slots=True)
class Spending:
    """Of one member, or the mean of several."""

    words_per_s: float
    bytes_per_s: float
    cpu_ms_per_s: float


@dataclass(frozen=True, slots=True)
class Played:
    """What came of one run."""

    leader: Spending
    observers: Spending  # the mean
    most_bytes_per_s: float  # of the observer that sends most
    spread_s: list[float]  # of each entry: from the first member that shows it to the last


def played(
    observers: int, seed: int, *, settings: RaftSettings = SETTINGS, values: itertools.count[int] | None = None
) -> Played:
    """One run. `values`: numbers that are set. Raises RuntimeError if a claim of the log was broken."""
    rate = ASSUMPTIONS.peak_change_factor * TARGET.config_changes_per_s
    schedule = Schedule(observers + VOTERS, SECONDS)
    simulator = Metered(schedule, seed, voters=VOTERS, every=SETS_IN_ASKS / rate, settings=settings)
    if values is not None:
        simulator._value_numbers = values
    history = simulator.run()
    if problems := violations(history):
        raise RuntimeError(f"{observers} observers, seed {seed}: {sorted(problems)}")
    leader = next(observation.member for observation in reversed(history.observations) if observation.role == "leader")
    followers = [name for name in simulator.hosts if name not in simulator.voters]
    return Played(
        simulator.spending([leader]),
        simulator.spending(followers),
        max(simulator.sent_bytes[name] for name in followers) / COUNTED,
        _spread(history, observers + VOTERS),
    )


def _spread(history: ConsensusHistory, members: int) -> list[float]:
    first: dict[int, dict[str, float]] = {}
    for observation in history.observations:
        if observation.at > FROM:
            first.setdefault(observation.applied_index, {}).setdefault(observation.member, observation.at)
    return [max(at.values()) - min(at.values()) for at in first.values() if len(at) > MOST_HEARD * members]


def _ms(bounds: tuple[float, float]) -> str:
    return f"{1000 * bounds[0]:g} to {1000 * bounds[1]:g} ms"


def run() -> Measured:
    """The part."""
    table = Table("observers", UNITS)
    for seed in SEEDS:
        for observers in OBSERVERS:
            found = played(observers, seed)
            table.add(
                observers,
                leader_words_per_s=found.leader.words_per_s,
                leader_bytes_per_s=found.leader.bytes_per_s,
                leader_cpu_ms_per_s=found.leader.cpu_ms_per_s,
                observer_bytes_per_s=found.observers.bytes_per_s,
                observer_cpu_ms_per_s=found.observers.cpu_ms_per_s,
                feeder_bytes_per_s=found.most_bytes_per_s,
                spread_p99_s=quantile(found.spread_s, 0.99),
            )
    return Measured(
        table.series(),
        SEEDS,
        (
            "changes come at the rate of a peak, also where the page tells of an ordinary day",
            "changes of a few bytes: see the run `changes` for their size",
            f"virtual time; links of {_ms(LINK_DELAY_S)}, as within one place, writes of {_ms(WRITE_DURATION_S)}",
            "CPU holds the simulator's work on an event of the member, and its encoding of each word",
            "who takes in several entries at once shows only the last, so few entries count for the spread",
        ),
    )
