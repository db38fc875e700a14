"""Requests as a listener reads them, and their final answers."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """The outcome of a request as it is sent to the caller."""

    SERVED = "served"
    REJECTED = "refused"  # the request never ran on this node
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer, with advice to the caller."""

    verdict: Verdict
    body: bytes = b""
    retry_after: float = 0.0  # seconds
    no_other_node: bool = False  # the caller should try no other node
    value: float | None = None  # load signal value; None if the site uses no load signal


@dataclass(slots=True)
class Request:
    """A request as a listener read it. Times are absolute, in seconds."""

    id: str
    cls: str
    body: bytes
    arrived: float
    due: float  # end of the caller's wait for this attempt; infinite if the caller passes none
    size: float = 0.0
    tenant: str | None = None
    subject: str | None = None
    key: str | None = None  # idempotency key: the same for all attempts of one request
    rank: float = 0.0
    caller: int = 0
    is_retry: bool = False
    executor_detects_end: bool = True  # whether the executor detects by itself that the request is over
    min_key_lifetime_s: float = 0.0  # from the arrival; the key's record is kept at least this long
    is_deduplicated: bool = False  # by its key, although its class has no keys: a repeat that its listener cannot avoid


def fingerprint(request: Request) -> bytes:
    """Return a digest of class, tenant and body, to detect different requests under the same key."""
    head = f"{request.cls} {request.tenant} ".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(head + request.body, digest_size=16).digest()
