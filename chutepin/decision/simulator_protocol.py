"""Codec between the simulator's JSON wire and this package's types. It alone knows the simulator's names."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any

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
from .errors import DecisionError, SettingsError
from .events import (
    CallerDisconnected,
    CallNeeded,
    CallReturned,
    DrainNotice,
    Event,
    Finished,
    Outcome,
    Request,
    TimerFired,
)
from .settings import Cancellation, Idempotency, LoadSignal, RequestClass, Settings, Tenant

Obj = dict[str, Any]


class WireError(DecisionError):
    """Malformed input; the message says what and where."""


_IDEMPOTENCY = {"pure": Idempotency.IDEMPOTENT, "token": Idempotency.KEYED, "side_effect": Idempotency.NOT_IDEMPOTENT}
_SIGNAL = {
    "none": LoadSignal.NONE,
    "threshold": LoadSignal.LEVEL,
    "window": LoadSignal.CREDIT,
    "share_of": LoadSignal.WEIGHT,
}
_CANCELLATION = {
    "none": Cancellation.UNSUPPORTED,
    "abort": Cancellation.DISCARDS_WORK,
    "suspend": Cancellation.KEEPS_WORK,
}
_OUTCOME = {
    "done": Outcome.OK,
    "err": Outcome.ERROR,
    "busy": Outcome.BUSY,
    "etimedout": Outcome.TIMEOUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.NOT_STARTED,
}


def parse_line(line: str) -> Obj:
    """One message of the wire. Raises WireError."""
    try:
        message = json.loads(line)
    except ValueError as error:
        raise WireError(f"not JSON: {error}") from error
    if not isinstance(message, dict) or not isinstance(message.get("op"), str):
        raise WireError("a message is an object with a text field 'op'")
    return message


def number(obj: Obj, name: str, default: float | None = None) -> float:
    """A required or defaulted number."""
    value = obj.get(name)
    if value is None:
        if default is None:
            raise WireError(f"missing field '{name}'")
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) <= sys.float_info.max:
        raise WireError(f"field '{name}' is not a finite number")
    return value


def text(obj: Obj, name: str) -> str:
    """A required text."""
    value = obj.get(name)
    if not isinstance(value, str) or not value:
        raise WireError(f"field '{name}' is missing or not a text")
    return value


def _optional_text(obj: Obj, name: str) -> str | None:
    return text(obj, name) if obj.get(name) else None


def _choice(obj: Obj, name: str, table: dict[str, Any], default: str | None = None) -> Any:
    value = obj.get(name, default)
    if not isinstance(value, str) or value not in table:
        raise WireError(f"field '{name}' is not one of {', '.join(table)}")
    return table[value]


def _section(obj: Obj, name: str, kind: type, required: bool = False) -> Any:
    value = obj.get(name)
    if value is None and not required:
        return kind()
    if not isinstance(value, kind):
        raise WireError(f"setting '{name}' is missing or malformed")
    return value


def _flag(obj: Obj, name: str, default: bool = False) -> bool:
    value = obj.get(name)
    if value is None:
        return default
    if value not in (True, False):
        raise WireError(f"field '{name}' is not true or false")
    return bool(value)


def _row(obj: Obj, name: str, index: int) -> Obj:
    """The value of one class in a row, as an object of its own under the row's name."""
    row = _section(obj, name, list)
    return {name: row[index]} if index < len(row) else {}


def _initial_count(obj: Obj, name: str) -> int:
    """The length of a list at the start, 1 or more.

    The list may have been empty, or all in it may just have ended; a node that serves somebody counts one."""
    count = int(number(obj, name, 1))
    if count < 0:
        raise WireError(f"field '{name}' must not be negative")
    return max(1, count)


# Outside names of settings that are checked under another name inside.
_OUTSIDE_NAMES = {
    "classes": "categories",
    "latency_objective": "slo",
    "cores": "familyInfo.cpus",
    "memory": "familyInfo.memoryKb",
    "max_running_per_core": "safety.fallMultiple",
    "max_running_window": "safety.overloadFor",
    "run_factor": "familyInfo.runFactor",
    "max_calls_window": "familyInfo.callsOver",
    "initial_speed": "safety.coldFrom",
    "warm_up_time": "safety.warmAfter",
    "answer_slack": "safety.answerSlack",
    "drain_grace": "safety.drainGrace",
    "key_memory": "familyInfo.kbPerKey",
    "result_reuse_time": "familyInfo.shareFor",
    "announcement_lifetime": "familyInfo.saidFor",
    "max_idle_time": "familyInfo.keepaliveMax",
    "max_retry_after": "caps.maxRetryAfter",
    "max_calls": "familyInfo.callsOut",
    "abandoned_call_time": "familyInfo.abandoned_call_time",
}


def _under_outside_names(error: str) -> str:
    """An error of the settings, with the fields' outside names."""
    field, _, why = error.partition(":")
    path = field.split(".")
    path[0] = _OUTSIDE_NAMES.get(path[0], path[0])
    path[-1] = _OUTSIDE_NAMES.get(path[-1], path[-1])
    return ".".join(path) + ":" + why


def _class(raw: Any, index: int, info: Obj) -> RequestClass:
    if not isinstance(raw, dict):
        raise WireError("setting 'categories' is malformed")
    deadline = number(raw, "deadline")
    return RequestClass(
        name=text(raw, "name"),
        idempotency=_choice(raw, "idempotency", _IDEMPOTENCY),
        priority_weight=number(raw, "importance", 1.0),
        # An objective past the deadline is no contradiction: whatever is answered by then is in time.
        latency_objective=min(deadline, number(raw, "slo", deadline)),
        deadline=deadline,
        late_weight=number(raw, "lateWorth", 0.0),
        window=number(raw, "window", 0.0),
        makes_calls=_flag(_row(info, "classCalls", index), "classCalls"),
        weight_without_call=number(_row(info, "degradedWorth", index), "degradedWorth", 0.0),
        objective_stretch=number(raw, "aimStretch", 0.0),
    )


def _tenant(raw: Any) -> Tenant:
    if not isinstance(raw, dict):
        raise WireError("setting 'tenants' is malformed")
    return Tenant(text(raw, "name"), number(raw, "share", 0.0), number(raw, "quotaPerS", 0.0))


def parse_settings(env: Any) -> Settings:
    """The settings of a LAUNCH; unknown keys are skipped. Raises WireError."""
    if not isinstance(env, dict):
        raise WireError("field 'env' is missing or not an object")
    info = _section(env, "familyInfo", dict, required=True)
    safety, caps = _section(env, "safety", dict), _section(env, "caps", dict)
    classes = _section(env, "categories", list, required=True)
    try:
        return Settings(
            classes=tuple(_class(raw, index, info) for index, raw in enumerate(classes)),
            tenants=tuple(_tenant(raw) for raw in _section(env, "tenants", list)),
            cores=int(number(info, "cpus")),
            memory=number(info, "memoryKb"),
            servers=_initial_count(env, "servers"),
            callers=_initial_count(info, "senders"),
            warming_up=_flag(info, "cold"),
            initial_speed=number(safety, "coldFrom", 1.0),
            warm_up_time=number(safety, "warmAfter", 0.0),
            answer_slack=number(safety, "answerSlack", 0.0),
            drain_grace=number(safety, "drainGrace", 0.0),
            max_running_per_core=number(safety, "fallMultiple", 8.0),
            max_running_window=number(safety, "overloadFor", 1.0),
            run_factor=number(info, "runFactor", 1.0),
            key_memory=number(info, "kbPerKey", 0.0),
            result_reuse_time=number(info, "shareFor", 0.0),
            cancellation=_choice(info, "halt", _CANCELLATION, "none"),
            signal=_choice(info, "signal", _SIGNAL, "none"),
            announcement_lifetime=number(info, "saidFor", 1.0),
            deep_checks=_flag(info, "deepChecks"),
            max_idle_time=number(info, "keepaliveMax", 30.0),
            max_retry_after=number(caps, "maxRetryAfter", 0.0) if _flag(caps, "retryAfter") else 0.0,
            has_dependency=info.get("downstream", "none") != "none",
            max_calls=number(info, "callsOut", 0.0),
            max_calls_window=number(info, "callsOver", 1.0),
            abandoned_call_time=number(info, "linger", 0.0),
            gauges=tuple(str(name) for name in _section(info, "meters", list)),
            passes_deadline=_flag(info, "passesDeadline", True),
            marks_retries=_flag(_section(env, "clientHabits", dict), "marksRetry"),
            weight_by_work=env.get("worthBy") == "work",
            over_quota_weight=number(env, "overShareWorth", 1.0),
            tick=number(env, "tick", 0.001),
        )
    except SettingsError as error:
        raise WireError(_under_outside_names(str(error))) from error


def _request(m: Obj) -> Request:
    attrs = int(number(m, "attrs", 0))
    return Request(
        id=text(m, "tid"),
        cls=text(m, "band"),
        unread=number(m, "unreadFor", 0.0),
        size=number(m, "sizeKb", 0.0),
        tenant=_optional_text(m, "team"),
        key=_optional_text(m, "object"),
        due=number(m, "due", 0.0) or None,
        hint=(number(m, "weightHint", 0.0) or None) if attrs & 1 else None,
        rank=number(m, "precedence", 0.0),
        caller=int(number(m, "by", 0)),
        repeats=_optional_text(m, "dupOf"),
        is_retry=bool(attrs & 2),
    )


def _call_returned(m: Obj) -> CallReturned:
    return CallReturned(text(m, "tid"), _choice(m, "rc", _OUTCOME), number(m, "elapsed", 0.0))


def _gauges(m: Obj) -> tuple[float, ...]:
    return tuple(float(value) for value in _section(m, "stats", list))


_EVENTS: dict[str, Callable[[Obj], Event]] = {
    "ORDER": _request,
    "ENDED": lambda m: Finished(text(m, "tid"), _choice(m, "rc", _OUTCOME), number(m, "elapsed", 0.0)),
    "VANISHED": lambda m: CallerDisconnected(text(m, "tid")),
    "AWAITING": lambda m: CallNeeded(text(m, "tid")),
    "DOWNSTREAM": _call_returned,
    "QUIESCE": lambda m: DrainNotice(number(m, "due")),
    "DUE": lambda m: TimerFired(int(number(m, "nonce")), _gauges(m)),
}


def parse_event(message: Obj) -> Event:
    """An event other than LAUNCH and EXIT. Raises WireError."""
    make = _EVENTS.get(message["op"])
    if make is None:
        raise WireError(f"unknown event '{message['op']}'")
    return make(message)


def _rejection(a: Reject) -> Obj:
    obj: Obj = {"op": "NOT_NOW", "tid": a.id}
    if a.retry_after > 0:
        obj["holdOff"] = a.retry_after
    if a.no_other_node:
        obj["terminal"] = True
    return obj


_ACTIONS: dict[type, Callable[[Any], Obj]] = {
    Run: lambda a: {"op": "PROCESS", "tid": a.id},
    Stop: lambda a: {"op": "ABORT_WORK", "tid": a.id},
    Reject: _rejection,
    Fail: lambda a: {"op": "REPORT_FAILURE", "tid": a.id},
    Call: lambda a: {"op": "GO_CALL", "tid": a.id, "tryFor": a.timeout},
    SkipCall: lambda a: {"op": "BYPASS", "tid": a.id},
    KeepKey: lambda a: {"op": "STORE_KEY", "tid": a.id, "forTime": a.keep_for},
    ForgetKey: lambda a: {"op": "UNPIN", "tid": a.id},
    ShareResult: lambda a: {"op": "SHARE", "tid": a.id},
    SetHealth: lambda a: {"op": "FITNESS", "enable": a.good, "cheap": a.cheap},
    Announce: lambda a: {"op": "ANNOUNCE", "x": a.value},
    IdleTimeout: lambda a: {"op": "KEEPALIVE", "forTime": a.after},
    SetTimer: lambda a: {"op": "ARM", "nonce": a.token, "after": a.after},
    Log: lambda a: {"op": "SAY_LOG", "bodyText": a.text},
}


def format_action(action: Action, instance: str) -> str:
    """One line of a reply."""
    obj = _ACTIONS[type(action)](action)
    obj["server"] = instance
    return json.dumps(obj, separators=(",", ":"))
