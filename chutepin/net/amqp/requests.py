"""Mapping of a delivery to a request: class, key and deadline. Pure."""

from __future__ import annotations

import math
from collections.abc import Callable
from datetime import datetime

from pamqp import commands

from ...broker import Request
from ...config import QueueConfig
from ...decision import Idempotency, RequestClass
from ..lines import ProtocolError
from .session import Content

MAX_EXPIRATION_DIGITS = 15
DEADLINE_HEADER = "x-due-ms"  # Unix milliseconds


def request_from(
    content: Content,
    properties: commands.Basic.Properties,
    queue: QueueConfig,
    contract: RequestClass,
    *,
    new_id: Callable[[], str],
    rank: float,
    now: float,
    redelivery_window_s: float,
) -> Request:
    """Build the request of a complete delivery. Raises ProtocolError for one that can never be served."""
    may_repeat = contract.idempotency is Idempotency.IDEMPOTENT
    key = properties.message_id
    if not may_repeat and not key:
        raise ProtocolError("work order without message-id")
    return Request(
        id=new_id(),
        cls=queue.cls,
        body=b"".join(content.parts),
        arrived=now,
        due=min(now + contract.deadline, deadline_of(properties, now)),
        size=queue.held_kb,
        tenant=queue.team,
        key=f"amqp {queue.name} {key}" if not may_repeat else None,
        rank=rank,
        is_retry=bool(content.deliver.redelivered),
        executor_detects_end=False,
        min_key_lifetime_s=redelivery_window_s,
        is_deduplicated=contract.idempotency is Idempotency.NOT_IDEMPOTENT,
    )


def deadline_of(properties: commands.Basic.Properties, now: float) -> float:
    """Return the absolute deadline set by the publisher, infinite if there is none. Raises ProtocolError."""
    deadline_ms = (properties.headers or {}).get(DEADLINE_HEADER)
    if deadline_ms is not None:
        if isinstance(deadline_ms, bool) or not isinstance(deadline_ms, int):
            raise ProtocolError(f"{DEADLINE_HEADER} is not an integer")
        return deadline_ms / 1000
    expiration = properties.expiration
    if not expiration:
        return math.inf
    if not expiration.isascii() or not expiration.isdigit() or len(expiration) > MAX_EXPIRATION_DIGITS:
        raise ProtocolError("expiration is not an integer")
    published_at = properties.timestamp
    start = published_at.timestamp() if isinstance(published_at, datetime) else now
    return start + int(expiration) / 1000
