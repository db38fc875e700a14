"""Messages, bytes and processor time of the replicated log's leader and observers in the simulator, by observers.

Every message is encoded. Proposals arrive at the peak rate given in `benchmarks.fleet_size`."""

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
from .tools import Measurement, Table

OBSERVERS = (50, 100, 200, 400, 800)
VOTERS = 3
SECONDS, COUNTED_FROM_S = 30.0, 10.0  # simulated time; events before the second value are not counted
COUNTED_S = SECONDS - COUNTED_FROM_S
WRITE_FRACTION = 2 / 3  # the simulated clients also read
SEEDS = (1, 2)
MIN_APPLIED_FRACTION = 0.9  # fraction of the members that must show an entry for its spread to count
UNITS = {
    "leader_words_per_s": "words a second",
    "leader_bytes_per_s": "bytes a second",
    "leader_cpu_ms_per_s": "ms of a core a second",
    "observer_bytes_per_s": "bytes a second",
    "observer_cpu_ms_per_s": "ms of a core a second",
    "feeder_bytes_per_s": "bytes a second",
    "spread_p99_s": "s",
}


class MeteredSimulator(Simulator):
    """A simulator that records the messages, bytes and processor time of each member."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.sent_messages: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.cpu_s: defaultdict[str, float] = defaultdict(float)

    def _send(self, host: Any, to: str, message: Any) -> None:
        if self.now > COUNTED_FROM_S:
            self.sent_messages[host.name] += 1
            self.sent_bytes[host.name] += len(encode(message))
        super()._send(host, to, message)

    def _tick(self, host: Any, timer: int) -> None:
        started = time.process_time()
        super()._tick(host, timer)
        self._add_cpu_time(host, started)

    def _receive(self, host: Any, sender: str, message: Any) -> None:
        started = time.process_time()
        super()._receive(host, sender, message)
        self._add_cpu_time(host, started)

    def _add_cpu_time(self, host: Any, started: float) -> None:
        if self.now > COUNTED_FROM_S:
            self.cpu_s[host.name] += time.process_time() - started

    def usage(self, names: list[str]) -> ResourceUsage:
        """Return the mean usage of the named members."""
        share = COUNTED_S * len(names)
        return ResourceUsage(
            sum(self.sent_messages[name] for name in names) / share,
            sum(self.sent_bytes[name] for name in names) / share,
            1000 * sum(self.cpu_s[name] for name in names) / share,
        )


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Messages, bytes and processor time a second of one member, or the mean of several members."""

    messages_per_s: float
    bytes_per_s: float
    cpu_ms_per_s: float


@dataclass(frozen=True, slots=True)
class SimulatedRun:
    """The measured values of one simulated run."""

    leader: ResourceUsage
    observers: ResourceUsage  # mean of all observers
    max_bytes_per_s: float  # of the observer that sends the most
    spread_s: list[float]  # for each entry, from the first member that shows it to the last


def simulate(
    observers: int, seed: int, *, settings: RaftSettings = SETTINGS, values: itertools.count[int] | None = None
) -> SimulatedRun:
    """Simulate one run that sets the numbers of `values`. Raises RuntimeError if the log violated a guarantee."""
    rate = ASSUMPTIONS.peak_change_factor * TARGET.config_changes_per_s
    schedule = Schedule(observers + VOTERS, SECONDS)
    simulator = MeteredSimulator(schedule, seed, voters=VOTERS, every=WRITE_FRACTION / rate, settings=settings)
    if values is not None:
        simulator._value_numbers = values
    history = simulator.run()
    if problems := violations(history):
        raise RuntimeError(f"{observers} observers, seed {seed}: violated guarantees: {sorted(problems)}")
    leader = next(observation.member for observation in reversed(history.observations) if observation.role == "leader")
    followers = [name for name in simulator.hosts if name not in simulator.voters]
    return SimulatedRun(
        simulator.usage([leader]),
        simulator.usage(followers),
        max(simulator.sent_bytes[name] for name in followers) / COUNTED_S,
        _spread(history, observers + VOTERS),
    )


def _spread(history: ConsensusHistory, members: int) -> list[float]:
    first: dict[int, dict[str, float]] = {}
    for observation in history.observations:
        if observation.at > COUNTED_FROM_S:
            first.setdefault(observation.applied_index, {}).setdefault(observation.member, observation.at)
    return [max(at.values()) - min(at.values()) for at in first.values() if len(at) > MIN_APPLIED_FRACTION * members]


def _ms(bounds: tuple[float, float]) -> str:
    return f"{1000 * bounds[0]:g} to {1000 * bounds[1]:g} ms"


def run() -> Measurement:
    """Measure the part and return its series."""
    table = Table("observers", UNITS)
    for seed in SEEDS:
        for observers in OBSERVERS:
            outcome = simulate(observers, seed)
            table.add(
                observers,
                leader_words_per_s=outcome.leader.messages_per_s,
                leader_bytes_per_s=outcome.leader.bytes_per_s,
                leader_cpu_ms_per_s=outcome.leader.cpu_ms_per_s,
                observer_bytes_per_s=outcome.observers.bytes_per_s,
                observer_cpu_ms_per_s=outcome.observers.cpu_ms_per_s,
                feeder_bytes_per_s=outcome.max_bytes_per_s,
                spread_p99_s=quantile(outcome.spread_s, 0.99),
            )
    return Measurement(
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
