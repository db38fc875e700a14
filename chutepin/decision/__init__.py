"""Admission and scheduling decisions for servers behind balancers that other teams operate.

`Policy` takes `Settings` and a seed. Each `Policy.handle(now, events)` returns the actions to apply at `now`. The
package reads no clock, starts no thread and does no I/O."""

from .actions import (
    Action,
    Announce,
    Call,
    Fail,
    ForgetKey,
    IdleTimeout,
    KeepKey,
    Log,
    Reject,
    Run,
    SetHealth,
    SetTimer,
    ShareResult,
    SkipCall,
    Stop,
)
from .errors import DecisionError, SettingsError, UsageError
from .events import (
    CallerDisconnected,
    CallNeeded,
    CallReturned,
    DrainNotice,
    Event,
    Finished,
    Outcome,
    PeerProcessUsage,
    Request,
    TimerFired,
)
from .policy import Policy
from .settings import Cancellation, Idempotency, LoadSignal, RequestClass, Settings, Tenant
from .snapshot import Snapshot

__all__ = [
    "Action",
    "Announce",
    "Call",
    "CallNeeded",
    "CallReturned",
    "CallerDisconnected",
    "Cancellation",
    "DecisionError",
    "DrainNotice",
    "Event",
    "Fail",
    "Finished",
    "ForgetKey",
    "Idempotency",
    "IdleTimeout",
    "KeepKey",
    "LoadSignal",
    "Log",
    "Outcome",
    "PeerProcessUsage",
    "Policy",
    "Reject",
    "Request",
    "RequestClass",
    "Run",
    "SetHealth",
    "SetTimer",
    "Settings",
    "SettingsError",
    "ShareResult",
    "SkipCall",
    "Snapshot",
    "Stop",
    "Tenant",
    "TimerFired",
    "UsageError",
]
