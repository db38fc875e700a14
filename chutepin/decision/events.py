"""What the host tells a decision instance: requests, the ends of runs and calls, timers, the notice to drain.

Clock times come from the host and never run backwards."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


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
    is_retry: bool = False  # a further try or a second copy, where the settings say that these are marked


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
class PeerProcessUsage:
    """What another process on the same cores and memory uses: runs that are or may at once be on the cores, and KB."""

    running: int
    memory: float


Event = Request | Finished | CallerGone | CallNeeded | CallReturned | DrainNotice | TimerFired | PeerProcessUsage
