"""Codec between the simulator's JSON messages and the types of this package.

No other module uses the simulator's names."""

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

JsonObject = dict[str, Any]


class WireError(DecisionError):
    """Malformed input; the error message names the field."""


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


def parse_line(line: str) -> JsonObject:
    """Parse one message. Raises WireError."""
    try:
        message = json.loads(line)
    except ValueError as error:
        raise WireError(f"not JSON: {error}") from error
    if not isinstance(message, dict) or not isinstance(message.get("op"), str):
        raise WireError("a message is an object with a text field 'op'")
    return message


def number(obj: JsonObject, name: str, default: float | None = None) -> float:
    """Return a number field; the field is required without a default. Raises WireError."""
    value = obj.get(name)
    if value is None:
        if default is None:
            raise WireError(f"missing field '{name}'")
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) <= sys.float_info.max:
        raise WireError(f"field '{name}' is not a finite number")
    return value


def text(obj: JsonObject, name: str) -> str:
    """Return a required text field. Raises WireError."""
    value = obj.get(name)
    if not isinstance(value, str) or not value:
        raise WireError(f"field '{name}' is missing or not a text")
    return value


def _optional_text(obj: JsonObject, name: str) -> str | None:
    return text(obj, name) if obj.get(name) else None


def _choice(obj: JsonObject, name: str, table: dict[str, Any], default: str | None = None) -> Any:
    value = obj.get(name, default)
    if not isinstance(value, str) or value not in table:
        raise WireError(f"field '{name}' is not one of {', '.join(table)}")
    return table[value]


def _section(obj: JsonObject, name: str, expected_type: type, required: bool = False) -> Any:
    value = obj.get(name)
    if value is None and not required:
        return expected_type()
    if not isinstance(value, expected_type):
        raise WireError(f"setting '{name}' is missing or malformed")
    return value


def _flag(obj: JsonObject, name: str, default: bool = False) -> bool:
    value = obj.get(name)
    if value is None:
        return default
    if value not in (True, False):
        raise WireError(f"field '{name}' is not true or false")
    return bool(value)


def _class_entry(obj: JsonObject, name: str, index: int) -> JsonObject:
    """Return one class's value in a list by class, as an object with the list's name as its only field."""
    values = _section(obj, name, list)
    return {name: values[index]} if index < len(values) else {}


def _initial_count(obj: JsonObject, name: str) -> int:
    """Return the initial number of servers or callers, at least 1.

    The simulator may count 0 because the list was empty or all its members have just ended. A running server counts at
    least itself, and assumes at least one caller."""
    count = int(number(obj, name, 1))
    if count < 0:
        raise WireError(f"field '{name}' must not be negative")
    return max(1, count)


# The simulator's names of the settings fields that `Settings` and `RequestClass` check under their own names.
_EXTERNAL_NAMES = {
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


def _with_external_names(error: str) -> str:
    """Return the text of a SettingsError with the simulator's name of the field."""
    field, _, reason = error.partition(":")
    path = field.split(".")
    path[0] = _EXTERNAL_NAMES.get(path[0], path[0])
    path[-1] = _EXTERNAL_NAMES.get(path[-1], path[-1])
    return ".".join(path) + ":" + reason


def _class(raw: Any, index: int, info: JsonObject) -> RequestClass:
    if not isinstance(raw, dict):
        raise WireError("setting 'categories' is malformed")
    deadline = number(raw, "deadline")
    return RequestClass(
        name=text(raw, "name"),
        idempotency=_choice(raw, "idempotency", _IDEMPOTENCY),
        priority_weight=number(raw, "importance", 1.0),
        # The simulator allows an objective after the deadline: every answer within the deadline then meets it.
        latency_objective=min(deadline, number(raw, "slo", deadline)),
        deadline=deadline,
        late_weight=number(raw, "lateWorth", 0.0),
        window=number(raw, "window", 0.0),
        makes_calls=_flag(_class_entry(info, "classCalls", index), "classCalls"),
        weight_without_call=number(_class_entry(info, "degradedWorth", index), "degradedWorth", 0.0),
        objective_stretch=number(raw, "aimStretch", 0.0),
    )


def _tenant(raw: Any) -> Tenant:
    if not isinstance(raw, dict):
        raise WireError("setting 'tenants' is malformed")
    return Tenant(text(raw, "name"), number(raw, "share", 0.0), number(raw, "quotaPerS", 0.0))


def parse_settings(env: Any) -> Settings:
    """Parse the settings of a LAUNCH; unknown keys are ignored. Raises WireError."""
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
        raise WireError(_with_external_names(str(error))) from error


def _request(message: JsonObject) -> Request:
    attrs = int(number(message, "attrs", 0))
    return Request(
        id=text(message, "tid"),
        cls=text(message, "band"),
        unread=number(message, "unreadFor", 0.0),
        size=number(message, "sizeKb", 0.0),
        tenant=_optional_text(message, "team"),
        key=_optional_text(message, "object"),
        due=number(message, "due", 0.0) or None,
        hint=(number(message, "weightHint", 0.0) or None) if attrs & 1 else None,
        rank=number(message, "precedence", 0.0),
        caller=int(number(message, "by", 0)),
        repeats=_optional_text(message, "dupOf"),
        is_retry=bool(attrs & 2),
    )


def _call_returned(message: JsonObject) -> CallReturned:
    return CallReturned(text(message, "tid"), _choice(message, "rc", _OUTCOME), number(message, "elapsed", 0.0))


def _gauges(message: JsonObject) -> tuple[float, ...]:
    return tuple(float(value) for value in _section(message, "stats", list))


_EVENTS: dict[str, Callable[[JsonObject], Event]] = {
    "ORDER": _request,
    "ENDED": lambda message: Finished(
        text(message, "tid"), _choice(message, "rc", _OUTCOME), number(message, "elapsed", 0.0)
    ),
    "VANISHED": lambda message: CallerDisconnected(text(message, "tid")),
    "AWAITING": lambda message: CallNeeded(text(message, "tid")),
    "DOWNSTREAM": _call_returned,
    "QUIESCE": lambda message: DrainNotice(number(message, "due")),
    "DUE": lambda message: TimerFired(int(number(message, "nonce")), _gauges(message)),
}


def parse_event(message: JsonObject) -> Event:
    """Parse an event other than LAUNCH and EXIT. Raises WireError."""
    parse = _EVENTS.get(message["op"])
    if parse is None:
        raise WireError(f"unknown event '{message['op']}'")
    return parse(message)


def _rejection(action: Reject) -> JsonObject:
    obj: JsonObject = {"op": "NOT_NOW", "tid": action.id}
    if action.retry_after > 0:
        obj["holdOff"] = action.retry_after
    if action.no_other_node:
        obj["terminal"] = True
    return obj


_ACTIONS: dict[type, Callable[[Any], JsonObject]] = {
    Run: lambda action: {"op": "PROCESS", "tid": action.id},
    Stop: lambda action: {"op": "ABORT_WORK", "tid": action.id},
    Reject: _rejection,
    Fail: lambda action: {"op": "REPORT_FAILURE", "tid": action.id},
    Call: lambda action: {"op": "GO_CALL", "tid": action.id, "tryFor": action.timeout},
    SkipCall: lambda action: {"op": "BYPASS", "tid": action.id},
    KeepKey: lambda action: {"op": "STORE_KEY", "tid": action.id, "forTime": action.keep_for},
    ForgetKey: lambda action: {"op": "UNPIN", "tid": action.id},
    ShareResult: lambda action: {"op": "SHARE", "tid": action.id},
    SetHealth: lambda action: {"op": "FITNESS", "enable": action.healthy, "cheap": action.cheap},
    Announce: lambda action: {"op": "ANNOUNCE", "x": action.value},
    IdleTimeout: lambda action: {"op": "KEEPALIVE", "forTime": action.after},
    SetTimer: lambda action: {"op": "ARM", "nonce": action.token, "after": action.after},
    Log: lambda action: {"op": "SAY_LOG", "bodyText": action.text},
}


def format_action(action: Action, instance: str) -> str:
    """Format an action of an instance as one line of a reply."""
    obj = _ACTIONS[type(action)](action)
    obj["server"] = instance
    return json.dumps(obj, separators=(",", ":"))
