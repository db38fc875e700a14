"""Settings of a decision instance: classes of requests, tenants, limits of the server.

Times are seconds, memory is in kilobytes, work is seconds on a standard core."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .errors import SettingsError


class Idempotency(Enum):
    """What a second run of a request does."""

    IDEMPOTENT = "safe"  # harmless
    KEYED = "keyed"  # must not run twice here inside its window; repeats name the kept request
    NOT_IDEMPOTENT = "unsafe"  # must not run twice; callers repeat only what was refused


class LoadSignal(Enum):
    """How callers read the announced value."""

    NONE = "none"  # not at all; announcing is an error
    LEVEL = "level"  # requests ranked below it are not sent
    CREDIT = "credit"  # the most requests each caller may have outstanding here
    WEIGHT = "weight"  # the chance, 0 to 1, that a caller does not skip this server


class Cancellation(Enum):
    """What stopping a run does."""

    UNSUPPORTED = "none"  # runs cannot be stopped
    DISCARDS_WORK = "drop"  # the work is lost
    KEEPS_WORK = "pause"  # the work is kept until the request runs again


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    idempotency: Idempotency
    priority_weight: float  # for each request answered within its objective
    latency_objective: float  # an answer this soon after the first attempt earns the full weight
    deadline: float  # the client waits this long over all attempts
    late_weight: float = 0.0  # share of the weight earned between objective and deadline
    window: float = 0.0  # keyed only: a repeat may come this long after the arrival
    makes_calls: bool = False  # may call the dependency
    weight_without_call: float = 0.0  # share of the weight earned when the call is left out
    objective_stretch: float = 0.0  # the objective grows by this multiple of the request's own work

    def __post_init__(self) -> None:
        if not 0 < self.latency_objective <= self.deadline:
            raise SettingsError(f"classes.{self.name}.latency_objective: must be above 0 and within the deadline")
        if self.window < 0 or self.priority_weight < 0:
            raise SettingsError(f"classes.{self.name}: window and worth must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its part of the fleet."""

    name: str
    share: float
    quota: float  # requests a second over all servers within its share


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that an instance knows at its start; it learns the rest from events."""

    classes: tuple[RequestClass, ...]
    cores: int
    memory: float
    tenants: tuple[Tenant, ...] = ()
    servers: int = 1
    callers: int = 1
    warming_up: bool = False
    initial_speed: float = 1.0  # a cold server starts at no less than this share of its speed
    warm_up_time: float = 0.0
    answer_slack: float = 0.0  # an answer this long after the deadline still counts
    drain_grace: float = 0.0  # arrivals later than this after the notice are not run
    max_running_per_core: float = 8.0  # running requests for each core that a warm server survives
    max_running_window: float = 1.0  # as a mean over this time
    run_factor: float = 1.0  # memory of a running request over that of a queued one
    key_memory: float = 0.0
    result_reuse_time: float = 0.0  # the result of an idempotent request serves repeats this long; 0 for never
    cancellation: Cancellation = Cancellation.UNSUPPORTED
    signal: LoadSignal = LoadSignal.NONE
    announcement_lifetime: float = 1.0  # callers remember an announced value this long
    deep_checks: bool = False
    max_idle_time: float = 30.0  # callers close connections idle for longer
    max_retry_after: float = 0.0  # the longest Retry-After that callers honour; 0 for none
    has_dependency: bool = False
    max_calls: float = 0.0  # this server's part of the calls that the dependency survives; 0: not given
    max_calls_window: float = 1.0  # as a mean over this time
    abandoned_call_time: float = 0.0  # the dependency works on an abandoned call for this long
    gauges: tuple[str, ...] = ()
    passes_deadline: bool = True  # callers pass how long they wait; otherwise the class's deadline holds
    marks_retries: bool = False  # retries are marked; otherwise an unmarked request may be a retry as well
    weight_by_work: bool = False
    over_quota_weight: float = 1.0
    tick: float = 0.001

    def mean_latency_objective(self) -> float:
        """Seconds, each class counted alike."""
        return sum(cls.latency_objective for cls in self.classes) / len(self.classes)

    def __post_init__(self) -> None:
        if not self.classes:
            raise SettingsError("classes: at least one is needed")
        if len({cls.name for cls in self.classes}) < len(self.classes):
            raise SettingsError("classes: a name is given twice")
        for name in (
            "memory",
            "callers",
            "servers",
            "max_running_per_core",
            "max_running_window",
            "run_factor",
            "max_calls_window",
        ):
            if not getattr(self, name) > 0:
                raise SettingsError(f"{name}: must be above 0")
        if self.cores < 1:
            raise SettingsError("cores: at least one is needed")
        if not 0 < self.initial_speed <= 1:
            raise SettingsError("initial_speed: must be above 0 and at most 1")
        for name in (
            "warm_up_time",
            "answer_slack",
            "drain_grace",
            "key_memory",
            "result_reuse_time",
            "tick",
            "announcement_lifetime",
            "max_idle_time",
            "max_retry_after",
            "max_calls",
            "abandoned_call_time",
        ):
            if not getattr(self, name) >= 0:
                raise SettingsError(f"{name}: must not be negative")
