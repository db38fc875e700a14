"""What happens in a soak, drawn from a seed. Pure: one seed gives one schedule."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

MIN_LIFE_S = 1.5  # of a process, from its readiness to its notice to leave
MAX_LIFE_S = 4.0
MIN_STOP_MS = 1000
MAX_STOP_MS = 2500
MAX_GAP_S = 0.012  # between two signals of a series
MAX_START_SIGNAL_S = 0.6  # after the spawn; an interpreter's start takes a part of it
CROWD_DESCRIPTORS = 96
CROWD_CONNECTIONS = 220
UPGRADE_SHARE = 0.4  # of the lives, those that end in an upgrade
SIGTERM, SIGHUP, SIGUSR1 = "SIGTERM", "SIGHUP", "SIGUSR1"


class Fault(Enum):
    """What goes wrong while a process serves."""

    CONTROL_REFUSED = "control plane refuses connections"
    CONTROL_SILENT = "control plane answers nothing"
    EXECUTOR_CUT = "link to the executor breaks"
    RECORDS_CUT = "connections to the records service break"
    RECORDS_MUTE = "records service answers nothing"
    RELOAD = "SIGHUP, with new addresses of executor, records and control plane"
    RELOAD_SAME = "SIGHUP, with nothing changed"
    STATE = "SIGUSR1"


class Ending(Enum):
    """How a life ends."""

    RESTART = "the process leaves, and a new one starts from nothing"
    UPGRADE = "a successor starts beside it and takes over, then the process leaves"


@dataclass(frozen=True, slots=True)
class TimedFault:
    """A fault at a time after the process was ready, and for how long it lasts."""

    at_s: float
    fault: Fault
    lasts_s: float


@dataclass(frozen=True, slots=True)
class TimedSignal:
    """A signal and the time since the one before it, or since the spawn."""

    after_s: float
    name: str


@dataclass(frozen=True, slots=True)
class Life:
    """One process of the node."""

    serves_s: float
    start_signals: tuple[TimedSignal, ...]
    faults: tuple[TimedFault, ...]
    stop_signals: tuple[TimedSignal, ...]  # one SIGTERM or more, others around them
    ending: Ending
    handover_signals: tuple[TimedSignal, ...]  # to the process that leaves, from its successor's spawn on


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """One client: how often it asks, and whether it goes on using a connection that the node has asked it to leave."""

    seed: int
    interval_s: float
    heeds_bye: bool


@dataclass(frozen=True, slots=True)
class Schedule:
    """One soak."""

    seed: int
    stop_ms: int
    has_crowd: bool
    clients: tuple[ClientPlan, ...]
    lives: tuple[Life, ...]

    @property
    def descriptors(self) -> int:
        """The limit of each process; 0 for the system's."""
        return CROWD_DESCRIPTORS if self.has_crowd else 0


def draw(seed: int, seconds: float, crowd: bool) -> Schedule:
    """Draw the schedule of a seed; the lives together serve for about `seconds`."""
    chance = random.Random(f"soak {seed} {crowd}")
    clients = tuple(_client(chance, index) for index in range(chance.randint(4, 7)))
    lives = []
    left_s = seconds
    while left_s > 0:
        life = _life(chance)
        left_s -= life.serves_s
        lives.append(life)
    return Schedule(seed, chance.randint(MIN_STOP_MS, MAX_STOP_MS), crowd, clients, tuple(lives))


def _client(chance: random.Random, index: int) -> ClientPlan:
    heeds_bye = index > 1 and chance.random() < 0.5  # two at least keep using their connections
    return ClientPlan(chance.getrandbits(32), chance.uniform(0.01, 0.06), heeds_bye)


def _life(chance: random.Random) -> Life:
    serves_s = chance.uniform(MIN_LIFE_S, MAX_LIFE_S)
    faults = sorted((_fault(chance, serves_s) for _ in range(chance.randint(0, 4))), key=lambda fault: fault.at_s)
    ending = Ending.UPGRADE if chance.random() < UPGRADE_SHARE else Ending.RESTART
    return Life(serves_s, _start_signals(chance), tuple(faults), _stop_signals(chance), ending, _start_signals(chance))


def _fault(chance: random.Random, serves_s: float) -> TimedFault:
    return TimedFault(chance.uniform(0.0, serves_s), chance.choice(list(Fault)), chance.uniform(0.2, 1.5))


def _start_signals(chance: random.Random) -> tuple[TimedSignal, ...]:
    if chance.random() < 0.5:
        return ()
    names = [chance.choice([SIGHUP, SIGHUP, SIGUSR1]) for _ in range(chance.randint(1, 4))]
    return tuple(TimedSignal(chance.uniform(0.0, MAX_START_SIGNAL_S / len(names)), name) for name in names)


def _stop_signals(chance: random.Random) -> tuple[TimedSignal, ...]:
    before = [chance.choice([SIGHUP, SIGUSR1]) for _ in range(chance.randint(0, 2))]
    after = [chance.choice([SIGTERM, SIGHUP, SIGUSR1]) for _ in range(chance.randint(0, 3))]
    names = [*before, SIGTERM, *after]
    return tuple(TimedSignal(_gap(chance), name) for name in names)


def _gap(chance: random.Random) -> float:
    """Nothing, a few milliseconds, or so long that the signal meets a drain or the exit."""
    kind = chance.random()
    if kind < 0.4:
        return 0.0
    return chance.uniform(0.0, MAX_GAP_S) if kind < 0.8 else chance.uniform(0.0, 0.9)
