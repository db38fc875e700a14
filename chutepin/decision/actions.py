"""Actions that a decision instance returns to its host; each applies at the time of the events that caused it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Run:
    """Start a queued request."""

    id: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run; the request still needs a final answer."""

    id: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer a request finally as rejected; guarantees that this attempt never ran."""

    id: str
    retry_after: float = 0.0  # seconds
    no_other_node: bool = False  # asks the caller not to retry on another server


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer a request finally with an error, which does not say whether the attempt ran."""

    id: str


@dataclass(frozen=True, slots=True)
class Call:
    """Make the dependency call that a run waits for."""

    id: str
    timeout: float  # seconds


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Resume a run without its dependency call, for part of the request's weight."""

    id: str


@dataclass(frozen=True, slots=True)
class KeepKey:
    """Keep the request's idempotency key, so that repeats refer to the request."""

    id: str
    keep_for: float  # seconds


@dataclass(frozen=True, slots=True)
class ForgetKey:
    """Delete the request's idempotency key."""

    id: str


@dataclass(frozen=True, slots=True)
class ShareResult:
    """Answer a queued request with the result of the request that it repeats."""

    id: str


@dataclass(frozen=True, slots=True)
class SetHealth:
    """Set the answer to health checks."""

    healthy: bool
    cheap: bool = True  # health checks are answered without running a request


@dataclass(frozen=True, slots=True)
class Announce:
    """Set the load value sent with every answer; `LoadSignal` defines how callers interpret the value."""

    value: float


@dataclass(frozen=True, slots=True)
class IdleTimeout:
    """Set the idle time after which connections are closed."""

    after: float  # seconds


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event after a delay; the timer cannot be cancelled."""

    token: int
    after: float  # seconds


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the operators' log."""

    text: str


Action = (
    Run
    | Stop
    | Reject
    | Fail
    | Call
    | SkipCall
    | KeepKey
    | ForgetKey
    | ShareResult
    | SetHealth
    | Announce
    | IdleTimeout
    | SetTimer
    | Log
)
