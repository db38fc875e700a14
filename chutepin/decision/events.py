"""Events that the host reports to a decision instance: requests, ends of runs and calls, timers and drain notices.

Clock times are the host's, in seconds, and never decrease."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """Outcome of a run, a shared answer or a call."""

    OK = "ok"
    ERROR = "error"
    BUSY = "busy"  # rejected without processing: had no effect
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # never sent: had no effect
    RESET = "reset"  # connection lost: the effect is unknown
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # not started, because the request had already finished


@dataclass(frozen=True, slots=True)
class Request:
    """A request was read; the decision instance must answer it finally by its deadline."""

    id: str
    cls: str
    unread: float = 0.0  # seconds between the request's arrival at the machine and its reading
    size: float = 0.0  # memory in KB while the request is queued
    tenant: str | None = None
    key: str | None = None
    due: float | None = None  # clock time at which the caller gives up this attempt
    hint: float | None = None  # expected work, in seconds on a standard core
    rank: float = 0.0  # 0 to 1, by class in order of priority weight
    caller: int = 0
    repeats: str | None = None  # id of the request that this one repeats
    is_retry: bool = False  # retry or hedged request; callers mark these only where `Settings.marks_retries`


@dataclass(frozen=True, slots=True)
class Finished:
    """A run or a shared answer ended. With OK or ERROR the request has its final answer."""

    id: str
    outcome: Outcome
    elapsed: float = 0.0  # seconds


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller of a request disconnected; the request needs no answer."""

    id: str


@dataclass(frozen=True, slots=True)
class CallNeeded:
    """A run needs its dependency call; until the call returns, the run holds memory but no core."""

    id: str


@dataclass(frozen=True, slots=True)
class CallReturned:
    """A call ended. After OK the run resumes by itself; after any other outcome the run still needs its call."""

    id: str
    outcome: Outcome
    elapsed: float = 0.0  # seconds


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """The server shuts down: the process is stopped at `stop`.

    `at` is the time of the notice, if known and earlier than the event."""

    stop: float
    at: float | None = None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer of a `SetTimer` fired; `gauges` holds a value for each of `Settings.gauges`."""

    token: int
    gauges: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerProcessUsage:
    """Use of the same cores and memory by another process."""

    running: int  # runs on the cores or with a call in flight
    memory: float  # KB


Event = (
    Request | Finished | CallerDisconnected | CallNeeded | CallReturned | DrainNotice | TimerFired | PeerProcessUsage
)
