"""Actions that a decision instance asks of its host; each takes effect at the time of the events that caused it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Run:
    """Start a queued request."""

    id: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run; its final answer is still owed."""

    id: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, with the assurance that this attempt never ran."""

    id: str
    retry_after: float = 0.0  # seconds
    no_other_node: bool = False  # asks the caller not to retry at another server


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: an error, which leaves open what ran."""

    id: str


@dataclass(frozen=True, slots=True)
class Call:
    """Make the call that a run waits for."""

    id: str
    timeout: float


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Let a run go on without its call, for less weight."""

    id: str


@dataclass(frozen=True, slots=True)
class KeepKey:
    """Keep the request's idempotency key, so that repeats name the request."""

    id: str
    keep_for: float


@dataclass(frozen=True, slots=True)
class ForgetKey:
    """Forget the request's idempotency key."""

    id: str


@dataclass(frozen=True, slots=True)
class ShareResult:
    """Answer a queued request with the result of the one that it repeats."""

    id: str


@dataclass(frozen=True, slots=True)
class SetHealth:
    """How health checks are answered from now on."""

    good: bool
    cheap: bool = True  # without real work


@dataclass(frozen=True, slots=True)
class Announce:
    """The value sent with every answer from now on; `LoadSignal` says how callers read it."""

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
