"""A request in hand and the state in which it is."""

from __future__ import annotations

from enum import Enum

from .events import Request
from .settings import RequestClass


class State(Enum):
    """Where a request stands."""

    QUEUED = 0
    RUNNING = 1
    AWAITING_CALL = 2  # its call is not made yet; it keeps its memory
    CALLING = 3
    AWAITING_RESULT = 4  # of the request that it repeats


class Job:
    """One request from its reading to its end."""

    __slots__ = (
        "answered",
        "arrived_at",
        "call_attempts",
        "call_wait",
        "call_wait_began",
        "class_index",
        "due_at",
        "has_key",
        "id",
        "objective_at",
        "ran",
        "request",
        "request_class",
        "reserved_call_time",
        "run_started",
        "state",
        "tenant_index",
        "work",
    )

    def __init__(
        self,
        request: Request,
        request_class: RequestClass,
        class_index: int,
        tenant_index: int,
        arrived_at: float,
        work: float,
    ) -> None:
        self.request = request
        self.id = request.id
        self.request_class = request_class
        self.class_index = class_index
        self.tenant_index = tenant_index  # -1: none
        self.arrived_at = arrived_at
        self.work = work  # expected, in seconds on a standard core
        self.state = State.QUEUED
        self.answered = False
        self.ran = False
        self.has_key = False
        self.due_at = 0.0  # the final answer is owed by then
        self.objective_at = 0.0  # an answer by then earns the full weight
        self.run_started = 0.0
        self.call_wait_began = 0.0
        self.call_wait = 0.0  # time spent at calls
        self.reserved_call_time = 0.0  # the longest that the call in flight may keep the dependency busy
        self.call_attempts = 0
