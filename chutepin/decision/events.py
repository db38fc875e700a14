"""Events that the host reports to a decision instance: requests, ends of runs and calls, timers, the notice to drain.

Clock times come from the host and never run backwards."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How a run, a shared answer or a call ended."""

    OK = "ok"
    ERROR = "error"
    BUSY = "busy"  # rejected unexamined: proof that it never ran
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # proof that it never ran
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # nothing started: the request had finished


@dataclass(frozen=True, slots=True)
class Request:
    """A request was read and is now queued: one final answer is owed by its deadline."""

    id: str
    cls: str
    unread: float = 0.0  # seconds since it reached the machine
    size: float = 0.0  # KB while queued
    tenant: str | None = None
    key: str | None = None
    due: float | None = None  # clock time at which the caller gives up this attempt
    hint: float | None = None  # expected work, in seconds on a standard core
    rank: float = 0.0  # 0 to 1, by class in order of priority weight
    caller: int = 0
    repeats: str | None = None  # id of the request that this one repeats
    is_retry: bool = False  # or a hedged request, where the settings say that these are marked


@dataclass(frozen=True, slots=True)
class Finished:
    """A run or a shared answer ended. OK and ERROR are final answers."""

    id: str
    outcome: Outcome
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Nobody waits any longer; no answer is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class CallNeeded:
    """A run needs its call to the dependency; meanwhile it keeps its memory, but no core."""

    id: str


@dataclass(frozen=True, slots=True)
class CallReturned:
    """A call ended. After OK the run goes on by itself; otherwise it needs the call again."""

    id: str
    outcome: Outcome
    elapsed: float = 0.0


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """The server shuts down: the process is stopped at `stop`.

    `at` is when the notice was given, where that is known and earlier than now."""

    stop: float
    at: float | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer of a `SetTimer` ran out; the settings name the gauges."""

    token: int
    gauges: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerProcessUsage:
    """What another process on the same cores and memory uses: runs that are or may soon be on the cores, and KB."""

    running: int
    memory: float


Event = (
    Request | Finished | CallerDisconnected | CallNeeded | CallReturned | DrainNotice | TimerFired | PeerProcessUsage
)
