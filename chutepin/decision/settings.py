"""Settings of a decision instance: request classes, tenants and limits of the server.

Times are in seconds, memory in kilobytes, work in seconds on a standard core."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .errors import SettingsError


class Idempotency(Enum):
    """Idempotency of a class of requests."""

    IDEMPOTENT = "safe"  # a second run has no further effect
    KEYED = "keyed"  # must not run twice on this server within its window; a repeat names the request it repeats
    NOT_IDEMPOTENT = "unsafe"  # must not run twice; callers repeat only rejected requests


class LoadSignal(Enum):
    """Meaning of the announced value to callers."""

    NONE = "none"  # no value may be announced
    LEVEL = "level"  # callers do not send requests ranked below the value
    CREDIT = "credit"  # maximum number of requests that each caller may have outstanding on this server
    WEIGHT = "weight"  # probability, 0 to 1, that a caller considers this server


class Cancellation(Enum):
    """Effect of stopping a run."""

    UNSUPPORTED = "none"  # runs cannot be stopped
    DISCARDS_WORK = "drop"  # the work done is lost
    KEEPS_WORK = "pause"  # the work done is kept until the request runs again


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Class of requests with the same requirements."""

    name: str
    idempotency: Idempotency
    priority_weight: float  # weight earned by each answer within the latency objective
    latency_objective: float  # maximum time from the first attempt to an answer that earns the full weight
    deadline: float  # time that the client waits over all attempts
    late_weight: float = 0.0  # share of the weight earned by an answer between objective and deadline
    window: float = 0.0  # keyed classes only: maximum time from a request's arrival to its repeats
    makes_calls: bool = False  # runs may call the dependency
    weight_without_call: float = 0.0  # share of the weight earned if the call is skipped
    objective_stretch: float = 0.0  # the objective is extended by this multiple of the request's own work

    def __post_init__(self) -> None:
        if not 0 < self.latency_objective <= self.deadline:
            raise SettingsError(f"classes.{self.name}.latency_objective: must be above 0 and within the deadline")
        if self.window < 0 or self.priority_weight < 0:
            raise SettingsError(f"classes.{self.name}: window and priority weight must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """Tenant with its share and quota of the fleet."""

    name: str
    share: float
    quota: float  # requests per second over all servers that are within the tenant's share


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of a decision instance."""

    classes: tuple[RequestClass, ...]
    cores: int
    memory: float
    tenants: tuple[Tenant, ...] = ()
    servers: int = 1
    callers: int = 1
    warming_up: bool = False
    initial_speed: float = 1.0  # minimum speed of a cold server as a share of its warm speed
    warm_up_time: float = 0.0
    answer_slack: float = 0.0  # an answer this long after the deadline still counts as in time
    drain_grace: float = 0.0  # requests that arrive later than this after a drain notice are rejected
    max_running_per_core: float = 8.0  # running requests per core that a warm server sustains
    max_running_window: float = 1.0  # averaging window of `max_running_per_core`
    run_factor: float = 1.0  # memory of a running request divided by that of a queued one
    key_memory: float = 0.0  # memory of an idempotency key
    result_reuse_time: float = 0.0  # how long the result of an idempotent request answers its repeats; 0: never
    cancellation: Cancellation = Cancellation.UNSUPPORTED
    signal: LoadSignal = LoadSignal.NONE
    announcement_lifetime: float = 1.0  # time for which callers apply an announced value
    deep_checks: bool = False
    max_idle_time: float = 30.0  # callers close connections that are idle for longer
    max_retry_after: float = 0.0  # longest Retry-After that callers honour; 0: none
    has_dependency: bool = False
    max_calls: float = 0.0  # this server's share of the concurrent calls that the dependency sustains; 0: no share
    max_calls_window: float = 1.0  # averaging window of `max_calls`
    abandoned_call_time: float = 0.0  # how long the dependency works on an abandoned call
    gauges: tuple[str, ...] = ()  # names of the gauges in `TimerFired`
    passes_deadline: bool = True  # callers pass how long they wait; otherwise the class's deadline applies
    marks_retries: bool = False  # callers mark retries; otherwise an unmarked request may also be a retry
    weight_by_work: bool = False
    over_quota_weight: float = 1.0
    tick: float = 0.001

    def mean_latency_objective(self) -> float:
        """Return the mean latency objective in seconds, with equal weight for each class."""
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
