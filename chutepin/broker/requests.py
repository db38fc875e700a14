"""Requests as a front reads them, and their final answers."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """The outcome of a request, as its caller learns it."""

    SERVED = "served"
    REJECTED = "refused"  # it never ran here
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer, with advice to the caller."""

    verdict: Verdict
    body: bytes = b""
    retry_after: float = 0.0  # seconds
    no_other_node: bool = False  # no other node should be tried
    value: float | None = None  # the free value, where the site uses one


@dataclass(slots=True)
class Request:
    """A request as a front read it. Times are absolute, in seconds."""

    id: str
    cls: str
    body: bytes
    arrived: float
    due: float  # after which nobody waits for this attempt; infinite where the caller does not pass it
    size: float = 0.0
    tenant: str | None = None
    subject: str | None = None
    key: str | None = None  # idempotency key: the same for all attempts of one request
    rank: float = 0.0
    caller: int = 0
    is_retry: bool = False
    watched: bool = True  # the executor sees for itself when the request is over
    remembered: float = 0.0  # seconds from the arrival for which the key is remembered at least


def fingerprint(request: Request) -> bytes:
    """Return a digest that differs between attempts of one key that do not carry the same."""
    head = f"{request.cls} {request.tenant} ".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(head + request.body, digest_size=16).digest()
