"""Message types of a hand-over; `frames` encodes and decodes them."""

from __future__ import annotations

from typing import NamedTuple

from ..idempotency import IdempotencyRecord, KeyRequest
from ..node_intent import NodeIntent


class Hello(NamedTuple):
    """From the successor: request a hand-over."""

    version: int
    is_serving: bool = False  # whether the successor serves already, since the predecessor did not answer


class HandoverAccepted(NamedTuple):
    """From the predecessor: accept the hand-over. The listening sockets are attached to this message."""

    version: int


class Rejection(NamedTuple):
    """From the predecessor: reject the hand-over on this connection."""

    reason: str
    version: int | None = None
    is_busy: bool = False  # whether another successor is connected


class RecordChanged(NamedTuple):
    """From either process: the current record of an idempotency key that the sender owns."""

    record: IdempotencyRecord


class KeyRemoved(NamedTuple):
    """From either process: a key has been removed."""

    key: str


class LearnedStatistics(NamedTuple):
    """From the predecessor: the learned statistics of its decision module, checked by `learned`."""

    statistics: dict[str, object]


class KeysSynced(NamedTuple):
    """From the predecessor: all records have been sent."""

    in_doubt_until: float  # time until which an unknown key may have run


class TakeoverRequest(NamedTuple):
    """From the successor: ready to serve."""


class TakeoverGranted(NamedTuple):
    """From the predecessor: it has stopped accepting, and the successor owns the keys."""


class ProcessUsage(NamedTuple):
    """From either process: the share of the node's limits that the sender uses, and what the node was told."""

    running: int
    memory_kb: float
    descriptors: int
    started_ids: tuple[str, ...] = ()  # requests that the sender has run, and had not told of before
    intent: NodeIntent | None = None  # None from a peer of an earlier version, which does not say


class KeyReply(NamedTuple):
    """From the successor: the answer whether a requested key may be taken."""

    request_id: str
    key: str
    is_granted: bool


Message = (
    Hello
    | HandoverAccepted
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
