"""What a decision instance has the host do; each action takes effect at the time of the events that caused it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Run:
    """Start a held request."""

    id: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a run; its answer stays owed."""

    id: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: shed, with the assurance that this try never ran."""

    id: str
    retry_after: float = 0.0  # advice to stay away this long
    no_other_node: bool = False  # asks the caller not to try elsewhere


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
class ShareResult:
    """Answer a held request with the result of the one that it repeats."""

    id: str


@dataclass(frozen=True, slots=True)
class SetHealth:
    """How health checks are answered from now on."""

    good: bool
    cheap: bool = True  # from this setting alone, without real work


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
