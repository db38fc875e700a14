"""Schedules of soaks, drawn from a seed. No I/O: a seed, a length and the crowd setting determine the schedule."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

MIN_LIFE_S = 1.5  # of a process, from readiness to SIGTERM
MAX_LIFE_S = 4.0
MIN_STOP_MS = 1000
MAX_STOP_MS = 2500
MAX_GAP_S = 0.012  # between two signals in quick succession
MAX_START_SIGNAL_S = 0.6  # after the spawn; the start of the interpreter takes part of this time
CROWD_DESCRIPTORS = 96
CROWD_CONNECTIONS = 220
UPGRADE_SHARE = 0.4  # share of process lifetimes that end in an upgrade
SIGTERM, SIGHUP, SIGUSR1 = "SIGTERM", "SIGHUP", "SIGUSR1"


class Fault(Enum):
    """The faults and signals injected while a process serves."""

    CONTROL_REFUSED = "control plane refuses connections"
    CONTROL_SILENT = "control plane answers nothing"
    EXECUTOR_CUT = "link to the executor breaks"
    RECORDS_CUT = "connections to the records service break"
    RECORDS_MUTE = "records service answers nothing"
    RELOAD = "SIGHUP, with new addresses of executor, records and control plane"
    RELOAD_SAME = "SIGHUP, with nothing changed"
    STATE = "SIGUSR1"


class Ending(Enum):
    """The ways in which the lifetime of a process ends."""

    RESTART = "the process leaves, and a new one starts from nothing"
    UPGRADE = "a successor starts beside it and takes over, then the process leaves"


@dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault, `at_s` after the process became ready, that lasts `lasts_s`."""

    at_s: float
    fault: Fault
    lasts_s: float


@dataclass(frozen=True, slots=True)
class TimedSignal:
    """A signal, sent `after_s` after the previous one or after the spawn."""

    after_s: float
    name: str


@dataclass(frozen=True, slots=True)
class Life:
    """The lifetime of one process of the node."""

    serves_s: float
    start_signals: tuple[TimedSignal, ...]
    faults: tuple[TimedFault, ...]
    stop_signals: tuple[TimedSignal, ...]  # at least one SIGTERM, with other signals around it
    ending: Ending
    handover_signals: tuple[TimedSignal, ...]  # to the leaving process, starting at the spawn of its successor


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """The plan of one client: its mean request interval, and whether it leaves a connection on BYE."""

    seed: int
    interval_s: float
    heeds_bye: bool


@dataclass(frozen=True, slots=True)
class Schedule:
    """The schedule of one soak."""

    seed: int
    stop_ms: int
    has_crowd: bool
    clients: tuple[ClientPlan, ...]
    lives: tuple[Life, ...]

    @property
    def descriptors(self) -> int:
        """Return the limit of descriptors for each process; 0 leaves the inherited limit."""
        return CROWD_DESCRIPTORS if self.has_crowd else 0


def draw(seed: int, seconds: float, crowd: bool) -> Schedule:
    """Draw the schedule of a seed; the processes serve for about `seconds` in total."""
    rng = random.Random(f"soak {seed} {crowd}")
    clients = tuple(_draw_client(rng, index) for index in range(rng.randint(4, 7)))
    lives = []
    left_s = seconds
    while left_s > 0:
        life = _draw_life(rng)
        left_s -= life.serves_s
        lives.append(life)
    return Schedule(seed, rng.randint(MIN_STOP_MS, MAX_STOP_MS), crowd, clients, tuple(lives))


def _draw_client(rng: random.Random, index: int) -> ClientPlan:
    heeds_bye = index > 1 and rng.random() < 0.5  # at least two clients ignore BYE
    return ClientPlan(rng.getrandbits(32), rng.uniform(0.01, 0.06), heeds_bye)


def _draw_life(rng: random.Random) -> Life:
    serves_s = rng.uniform(MIN_LIFE_S, MAX_LIFE_S)
    faults = sorted((_draw_fault(rng, serves_s) for _ in range(rng.randint(0, 4))), key=lambda fault: fault.at_s)
    ending = Ending.UPGRADE if rng.random() < UPGRADE_SHARE else Ending.RESTART
    return Life(
        serves_s, _draw_start_signals(rng), tuple(faults), _draw_stop_signals(rng), ending, _draw_start_signals(rng)
    )


def _draw_fault(rng: random.Random, serves_s: float) -> TimedFault:
    return TimedFault(rng.uniform(0.0, serves_s), rng.choice(list(Fault)), rng.uniform(0.2, 1.5))


def _draw_start_signals(rng: random.Random) -> tuple[TimedSignal, ...]:
    if rng.random() < 0.5:
        return ()
    names = [rng.choice([SIGHUP, SIGHUP, SIGUSR1]) for _ in range(rng.randint(1, 4))]
    return tuple(TimedSignal(rng.uniform(0.0, MAX_START_SIGNAL_S / len(names)), name) for name in names)


def _draw_stop_signals(rng: random.Random) -> tuple[TimedSignal, ...]:
    before = [rng.choice([SIGHUP, SIGUSR1]) for _ in range(rng.randint(0, 2))]
    after = [rng.choice([SIGTERM, SIGHUP, SIGUSR1]) for _ in range(rng.randint(0, 3))]
    names = [*before, SIGTERM, *after]
    return tuple(TimedSignal(_draw_gap_s(rng), name) for name in names)


def _draw_gap_s(rng: random.Random) -> float:
    """Return 0, a few milliseconds, or up to 0.9 s, long enough for the signal to arrive during a drain or exit."""
    selector = rng.random()
    if selector < 0.4:
        return 0.0
    return rng.uniform(0.0, MAX_GAP_S) if selector < 0.8 else rng.uniform(0.0, 0.9)
