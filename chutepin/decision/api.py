"""The interface of the decision module: settings, events and actions.

All times are seconds; clock times come from the host and never run backwards. Memory is in
kilobytes. Work is seconds on a standard core. `chutepin.decision.policy.Policy` takes `Settings` and a
seed, then answers each `handle(now, events)` with a list of actions that take effect at `now`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class SettingsError(ValueError):
    """Settings that contradict themselves; the message names the field."""


class UsageError(ValueError):
    """The host broke the contract: an unknown request id, or time running backwards."""


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


class Outcome(Enum):
    """How a run, a shared answer or a call ended."""

    OK = "ok"
    ERROR = "error"
    BUSY = "busy"  # turned away unexamined: proof that it never ran
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # proof that it never ran
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # nothing started: the request had finished


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


# --- events ---


@dataclass(frozen=True, slots=True)
class Request:
    """A request was read and is now held: one final answer is owed by its deadline."""

    id: str
    cls: str
    unread: float = 0.0  # it reached the machine this long ago
    size: float = 0.0  # memory while held
    tenant: str | None = None
    key: str | None = None
    due: float | None = None  # clock time at which the caller gives up this try
    hint: float | None = None  # expected work
    rank: float = 0.0  # 0 to 1, by class in order of worth
    caller: int = 0
    repeats: str | None = None  # the kept request that this one repeats
    again: bool = False  # a further try or a second copy, where the settings say that these are marked


@dataclass(frozen=True, slots=True)
class Finished:
    """A run or a shared answer ended. OK and ERROR are final answers."""

    id: str
    outcome: Outcome
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Nobody waits any longer; no answer is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class CallNeeded:
    """A run stands at a call below and keeps its memory, but no core."""

    id: str


@dataclass(frozen=True, slots=True)
class CallReturned:
    """A call ended. After OK the run goes on by itself; else it stands at the call again."""

    id: str
    outcome: Outcome
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """This server leaves: the process is stopped at `stop`. `at`: when the notice was given, if that is known and was
    earlier than its hearing."""

    stop: float
    at: float | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` ran out; the gauges are named in the settings."""

    token: int
    gauges: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """What another process on the same cores and memory uses: runs that are or may at once be on the cores, and KB."""

    running: int
    memory: float


Event = Request | Finished | CallerGone | CallNeeded | CallReturned | DrainNotice | TimerFired | Elsewhere

# --- actions ---


@dataclass(frozen=True, slots=True)
class Run:
    """Start a held request."""

    id: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run; its answer stays owed."""

    id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: shed, with the assurance that this try never ran."""

    id: str
    hold_off: float = 0.0  # advice to stay away this long
    terminal: bool = False  # asks the caller not to try elsewhere


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: an error, nothing assured."""

    id: str


@dataclass(frozen=True, slots=True)
class Call:
    """Make the call that a run stands at."""

    id: str
    time_out: float


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Go on without the call, for less worth."""

    id: str


@dataclass(frozen=True, slots=True)
class KeepKey:
    """Keep the request in the table of keys, so that repeats name it."""

    id: str
    keep_for: float


@dataclass(frozen=True, slots=True)
class ForgetKey:
    """Take the request's entry out of the table."""

    id: str


@dataclass(frozen=True, slots=True)
class Share:
    """Answer a held request with the result of the one that it repeats."""

    id: str


@dataclass(frozen=True, slots=True)
class SetHealth:
    """How health checks are answered from now on."""

    good: bool
    cheap: bool = True  # from this setting alone, without real work


@dataclass(frozen=True, slots=True)
class Announce:
    """The value sent with every answer from now on; `Signal` says how callers read it."""

    value: float


@dataclass(frozen=True, slots=True)
class IdleTimeout:
    """Close connections that were idle this long."""

    after: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for `TimerFired` after this long. It cannot be revoked."""

    token: int
    after: float


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators' log."""

    text: str


Action = (
    Run
    | Stop
    | Refuse
    | Fail
    | Call
    | SkipCall
    | KeepKey
    | ForgetKey
    | Share
    | SetHealth
    | Announce
    | IdleTimeout
    | SetTimer
    | Log
)


@dataclass(slots=True)
class Snapshot:
    """What the mechanism is doing, for dashboards."""

    limit: int
    in_use: int
    parked: int
    held: int
    average_run: float
    slowness: float
    times_limited: int
    announced: float
    state: str
    refusals: dict[str, int] = field(default_factory=dict)
