"""Admission and scheduling decisions for servers behind other people's balancers.

`Policy` takes `Settings` and a seed, then answers each `handle(now, events)` with a list of actions that take effect at
`now`. It knows no clock, no thread and no I/O."""

from .actions import (
    Action,
    Announce,
    Call,
    Fail,
    ForgetKey,
    IdleTimeout,
    KeepKey,
    Log,
    Refuse,
    Run,
    SetHealth,
    SetTimer,
    Share,
    SkipCall,
    Stop,
)
from .events import (
    CallerGone,
    CallNeeded,
    CallReturned,
    DrainNotice,
    Elsewhere,
    Event,
    Finished,
    Outcome,
    Request,
    TimerFired,
    UsageError,
)
from .policy import Policy
from .settings import Halt, Repeat, RequestClass, Settings, SettingsError, Signal, Tenant
from .snapshot import Snapshot

__all__ = [
    "Action",
    "Announce",
    "Call",
    "CallNeeded",
    "CallReturned",
    "CallerGone",
    "DrainNotice",
    "Elsewhere",
    "Event",
    "Fail",
    "Finished",
    "ForgetKey",
    "Halt",
    "IdleTimeout",
    "KeepKey",
    "Log",
    "Outcome",
    "Policy",
    "Refuse",
    "Repeat",
    "Request",
    "RequestClass",
    "Run",
    "SetHealth",
    "SetTimer",
    "Settings",
    "SettingsError",
    "Share",
    "Signal",
    "SkipCall",
    "Snapshot",
    "Stop",
    "Tenant",
    "TimerFired",
    "UsageError",
]
