"""Requests as a front reads them, and their final answers."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """A final answer."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer, with what the caller is told along with it."""

    verdict: Verdict
    body: bytes = b""
    retry_after: float = 0.0  # seconds the caller should stay away
    no_other_node: bool = False  # no other node should be tried
    value: float | None = None  # the free value


@dataclass(slots=True)
class Request:
    """A request as a front read it."""

    id: str
    cls: str
    body: bytes
    arrived: float
    due: float  # absolute; after it nobody waits for this try; infinite where the caller did not tell
    size: float = 0.0
    tenant: str | None = None
    subject: str | None = None
    key: str | None = None  # the same for all tries of one request
    rank: float = 0.0
    caller: int = 0
    is_retry: bool = False
    watched: bool = True  # the executor sees for itself when the request is over
    remembered: float = 0.0  # seconds that a key is remembered at least, from the arrival


def fingerprint(request: Request) -> bytes:
    """Tells whether two tries of one key carry the same."""
    head = f"{request.cls} {request.tenant} ".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(head + request.body, digest_size=16).digest()
