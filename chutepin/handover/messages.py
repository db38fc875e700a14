"""The messages of a hand-over as types; `frames` maps them to bytes."""

from __future__ import annotations

from typing import NamedTuple

from ..idempotency import IdempotencyRecord, KeyRequest


class Hello(NamedTuple):
    """Successor: open a hand-over."""

    version: int


class Here(NamedTuple):
    """Predecessor: accept it. The listening sockets come with this message."""

    version: int


class Rejection(NamedTuple):
    """Predecessor: no hand-over on this connection."""

    reason: str
    version: int | None = None
    is_busy: bool = False  # another successor is connected


class RecordChanged(NamedTuple):
    """Either: a record of an idempotency key as its owner has it."""

    record: IdempotencyRecord


class KeyRemoved(NamedTuple):
    """Either: a key has been removed."""

    key: str


class LearnedStatistics(NamedTuple):
    """Predecessor: what its decision module has learned, each value within the bounds of `learned`."""

    statistics: dict[str, object]


class KeysSynced(NamedTuple):
    """Predecessor: all records were sent."""

    in_doubt_until: float  # until then an unknown key may have run


class TakeoverRequest(NamedTuple):
    """Successor: ready to serve."""


class TakeoverGranted(NamedTuple):
    """Predecessor: it has stopped accepting, and the keys are the successor's."""


class ProcessUsage(NamedTuple):
    """Either: what the sending process uses of the node's limits."""

    running: int
    memory_kb: float
    descriptors: int


class KeyReply(NamedTuple):
    """Successor: whether a requested key may be taken."""

    request_id: str
    key: str
    is_granted: bool


Message = (
    Hello
    | Here
    | Rejection
    | RecordChanged
    | KeyRemoved
    | LearnedStatistics
    | KeysSynced
    | TakeoverRequest
    | TakeoverGranted
    | ProcessUsage
    | KeyRequest
    | KeyReply
)
