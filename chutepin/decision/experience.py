"""What a decision instance has learned and hands to the process that takes over, under the names used between them."""

from __future__ import annotations

from typing import NamedTuple


class LearnedField(NamedTuple):
    """Where a learned value is kept: a part of the server's state and its field."""

    owner: str
    field: str


# Two versions of the program may exchange these names: they stay, whatever the fields are called here.
LEARNED_FIELDS = {
    "work": LearnedField("class_statistics", "work"),
    "turned": LearnedField("class_statistics", "time_to_rejection"),
    "waits": LearnedField("class_statistics", "call_wait"),
    "patience": LearnedField("attempt_ages", "wait_counts"),
    "tries": LearnedField("attempt_ages", "attempts"),
    "parts": LearnedField("caller_traffic", "callers"),
    "heard": LearnedField("idle_connections", "last_request_at"),
    "returned": LearnedField("idle_connections", "returns"),
    "silent": LearnedField("idle_connections", "silence"),
    "first": LearnedField("caller_traffic", "first_request_at"),
    "served": LearnedField("tenants", "served"),
    "buckets": LearnedField("tenants", "buckets"),
    "share": LearnedField("announcement", "share"),
    "refused_share": LearnedField("rejections", "share"),
    "unread": LearnedField("unread_wait", "average"),
    "reading": LearnedField("core_gauges", "reading"),
    "slowness": LearnedField("progress", "slowness"),
    "core_use": LearnedField("core_gauges", "core_use"),
    "usual_use": LearnedField("core_gauges", "usual_core_use"),
    "again_share": LearnedField("attempt_ages", "retry_share"),
    "runs.limit": LearnedField("run_limit", "limit"),
    "runs.average": LearnedField("run_limit", "average_ratio"),
    "runs.deviation": LearnedField("run_limit", "deviation"),
    "runs.time": LearnedField("run_limit", "average_time"),
    "calls.limit": LearnedField("call_limit", "limit"),
    "calls.average": LearnedField("call_limit", "average_ratio"),
    "calls.deviation": LearnedField("call_limit", "deviation"),
    "calls.time": LearnedField("call_limit", "average_time"),
}


def read_learned(server: object) -> dict[str, object]:
    """The learned values of a server's state under their outside names."""
    return {name: getattr(getattr(server, owner), field) for name, (owner, field) in LEARNED_FIELDS.items()}


def write_learned(server: object, learned: dict[str, object]) -> None:
    """Set learned values, given under their outside names."""
    for name, value in learned.items():
        owner, field = LEARNED_FIELDS[name]
        setattr(getattr(server, owner), field, value)
