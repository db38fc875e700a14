"""Learned state of a decision instance, as handed over to the successor process, and its external names."""

from __future__ import annotations

from typing import NamedTuple


class LearnedField(NamedTuple):
    """Location of a learned value: the attribute of `ServerState` that owns the value, and the field of the owner."""

    owner: str
    field: str


# External name of each learned value. Two versions of the program may exchange these names, so they never change, even
# where a field is renamed.
LEARNED_FIELDS = {
    "work": LearnedField("class_statistics", "work"),
    "turned": LearnedField("class_statistics", "time_to_rejection"),
    "waits": LearnedField("class_statistics", "call_wait"),
    "patience": LearnedField("attempt_ages", "wait_counts"),
    "tries": LearnedField("attempt_ages", "attempts"),
    "parts": LearnedField("caller_traffic", "callers"),
    "heard": LearnedField("idle_connections", "last_request_at"),
    "returned": LearnedField("idle_connections", "recent_returns"),
    "silent": LearnedField("idle_connections", "recent_idle_time"),
    "first": LearnedField("caller_traffic", "first_request_at"),
    "served": LearnedField("tenants", "served"),
    "buckets": LearnedField("tenants", "buckets"),
    "share": LearnedField("announcement", "share"),
    "refused_share": LearnedField("rejections", "share"),
    "unread": LearnedField("unread_wait", "average"),
    "reading": LearnedField("core_gauges", "cores_reading"),
    "slowness": LearnedField("progress", "slowness"),
    "core_use": LearnedField("core_gauges", "core_use"),
    "usual_use": LearnedField("core_gauges", "usual_core_use"),
    "again_share": LearnedField("attempt_ages", "retry_share"),
    "runs.limit": LearnedField("run_limit", "limit"),
    "runs.average": LearnedField("run_limit", "average_time_per_work"),
    "runs.deviation": LearnedField("run_limit", "deviation"),
    "runs.time": LearnedField("run_limit", "average_time"),
    "calls.limit": LearnedField("call_limit", "limit"),
    "calls.average": LearnedField("call_limit", "average_time_per_work"),
    "calls.deviation": LearnedField("call_limit", "deviation"),
    "calls.time": LearnedField("call_limit", "average_time"),
}


def read_learned(server: object) -> dict[str, object]:
    """Return the learned values of a `ServerState` by external name."""
    return {name: getattr(getattr(server, owner), field) for name, (owner, field) in LEARNED_FIELDS.items()}


def write_learned(server: object, learned: dict[str, object]) -> None:
    """Set learned values of a `ServerState`, given by external name."""
    for name, value in learned.items():
        owner, field = LEARNED_FIELDS[name]
        setattr(getattr(server, owner), field, value)
