"""What a decision instance is told at its start: classes of requests, tenants, limits of the server.

Times are seconds, memory is in kilobytes, work is seconds on a standard core."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SettingsError(ValueError):
    """Settings that contradict themselves; the message names the field."""


class Repeat(Enum):
    """What a second run of a request does."""

    SAFE = "safe"  # harmless
    KEYED = "keyed"  # must not run twice here inside its window; repeats name the kept request
    UNSAFE = "unsafe"  # must not run twice; callers repeat only what was refused


class Signal(Enum):
    """How callers read the announced value."""

    NONE = "none"  # not at all; announcing is a fault
    LEVEL = "level"  # requests ranked below it are not sent
    CREDIT = "credit"  # the most requests each caller may have outstanding here
    WEIGHT = "weight"  # the chance, 0 to 1, that a caller does not skip this server


class Halt(Enum):
    """What stopping a run does."""

    NONE = "none"  # runs cannot be stopped
    DROP = "drop"  # the work is lost
    PAUSE = "pause"  # the work is kept until the request is run again


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    repeat: Repeat
    worth: float  # for each request answered within its aim
    aim: float  # an answer this soon after the first try earns the full worth
    deadline: float  # the client waits this long over all tries
    late_worth: float = 0.0  # share of the worth earned between aim and deadline
    window: float = 0.0  # keyed only: a repeat may come this long after the arrival
    calls: bool = False  # may call below
    skip_worth: float = 0.0  # share of the worth kept when a call is left out
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's own work

    def __post_init__(self) -> None:
        if not 0 < self.aim <= self.deadline:
            raise SettingsError(f"classes.{self.name}.aim: must be above 0 and within the deadline")
        if self.window < 0 or self.worth < 0:
            raise SettingsError(f"classes.{self.name}: window and worth must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and what the whole fleet owes it."""

    name: str
    share: float
    quota: float  # requests a second over all servers within its share


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told at its start. Everything else it learns from events."""

    classes: tuple[RequestClass, ...]
    cores: int
    memory: float
    tenants: tuple[Tenant, ...] = ()
    servers: int = 1
    callers: int = 1
    cold: bool = False
    cold_from: float = 1.0  # a cold server starts at no less than this share of its speed
    warm_after: float = 0.0
    answer_slack: float = 0.0  # an answer this long after the due time still counts
    drain_grace: float = 0.0  # arrivals later than this after the notice are not run
    crowd: float = 8.0  # running requests for each core that a warm server survives
    crowd_over: float = 1.0  # as a mean over this time
    run_factor: float = 1.0  # memory of a running request over that of a held one
    key_memory: float = 0.0
    share_for: float = 0.0  # a read's answer serves repeats this long; 0 for never
    halt: Halt = Halt.NONE
    signal: Signal = Signal.NONE
    said_for: float = 1.0  # callers remember an announced value this long
    deep_checks: bool = False
    idle_max: float = 30.0  # callers close connections idle for longer
    max_hold_off: float = 0.0  # the longest advice to stay away that callers honour; 0 for none
    calls_below: bool = False
    calls_out: float = 0.0  # this server's part of the calls that the dependency survives; 0: untold
    calls_over: float = 1.0  # as a mean over this time
    linger: float = 0.0  # an abandoned call stays in the dependency's hands this long
    gauges: tuple[str, ...] = ()
    passes_deadline: bool = True  # callers say how long they wait; else the class's deadline holds
    marks_retries: bool = False  # further tries say so; without it, an unmarked request tells nothing
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    tick: float = 0.001

    def __post_init__(self) -> None:
        if not self.classes:
            raise SettingsError("classes: at least one is needed")
        if len({cls.name for cls in self.classes}) < len(self.classes):
            raise SettingsError("classes: a name is given twice")
        for name in ("memory", "callers", "servers", "crowd", "crowd_over", "run_factor", "calls_over"):
            if not getattr(self, name) > 0:
                raise SettingsError(f"{name}: must be above 0")
        if self.cores < 1:
            raise SettingsError("cores: at least one is needed")
        if not 0 < self.cold_from <= 1:
            raise SettingsError("cold_from: must be above 0 and at most 1")
        for name in (
            "warm_after",
            "answer_slack",
            "drain_grace",
            "key_memory",
            "share_for",
            "tick",
            "said_for",
            "idle_max",
            "max_hold_off",
            "calls_out",
            "linger",
        ):
            if not getattr(self, name) >= 0:
                raise SettingsError(f"{name}: must not be negative")
