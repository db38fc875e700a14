"""Attempts: requests in hand, and how far each has come."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..decision import Idempotency
from .ports import Caller
from .requests import Request


class Phase(Enum):
    """Where an attempt stands."""

    QUEUED = "queued"
    RUNNING = "running"
    STOPPED = "stopped"
    CALL_WANTED = "call wanted"
    CALLING_DEPENDENCY = "calling dependency"
    SHARING_RESULT = "sharing result"
    REQUESTING_KEY = "requesting key"  # from the node's other process; the module does not know of it yet


NOT_STARTED = (
    Phase.QUEUED,
    Phase.SHARING_RESULT,
    Phase.REQUESTING_KEY,
)  # nothing runs: over once nobody is owed an answer


@dataclass(slots=True)
class Attempt:
    """A request in hand, from its reading until it is answered and its run is over."""

    request: Request
    caller: Caller
    idempotency: Idempotency
    phase: Phase = Phase.QUEUED
    awaiting_response: bool = True
    call_notice: int = 0  # number of the executor's notice
    call_body: bytes = b""
    call_since: float = 0.0
    answer_deadline: float = (
        0.0  # when the core itself answers; an earlier look in the heap of dues means nothing any more
    )
