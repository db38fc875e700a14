"""Open request and its state."""

from __future__ import annotations

from enum import Enum

from .events import Request
from .settings import RequestClass


class RequestState(Enum):
    """Processing state of a request."""

    QUEUED = 0
    RUNNING = 1
    AWAITING_CALL = 2  # the run holds its memory and waits for its call to start
    CALLING = 3  # the run's call is in flight
    AWAITING_RESULT = 4  # the request waits for the result of the request that it repeats


class Job:
    """Request from its reading to its final answer or the end of its run, whichever is later."""

    __slots__ = (
        "answered",
        "arrived_at",
        "call_attempts",
        "call_wait",
        "call_wait_started_at",
        "class_index",
        "due_at",
        "has_key",
        "id",
        "objective_at",
        "ran",
        "request",
        "request_class",
        "reserved_call_time",
        "run_started_at",
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
        self.tenant_index = tenant_index  # -1 without a known tenant
        self.arrived_at = arrived_at
        self.work = work  # expected work, in seconds on a standard core
        self.state = RequestState.QUEUED
        self.answered = False
        self.ran = False
        self.has_key = False
        self.due_at = 0.0  # deadline of the final answer
        self.objective_at = 0.0  # latest answer that earns the full weight
        self.run_started_at = 0.0
        self.call_wait_started_at = 0.0
        self.call_wait = 0.0  # total time in calls and waiting for them, in seconds
        self.reserved_call_time = 0.0  # maximum time that the dependency may work on the call in flight, in seconds
        self.call_attempts = 0
