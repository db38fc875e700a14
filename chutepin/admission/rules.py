"""An operator's admission rules, and the result of applying them to a new connection."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .addresses import Networks


@dataclass(frozen=True, slots=True)
class Rules:
    """An operator's settings.

    0 switches off a cap, a rate or earned trust; a share of 1 the limit on new connections. The defaults switch off
    all of them."""

    per_address: int = 0  # connections
    per_block: int = 0  # connections
    block_v4: int = 24  # bits
    block_v6: int = 64  # bits
    rate_address: float = 0.0  # new connections a second
    burst_address: int = 10
    rate_block: float = 0.0  # new connections a second
    burst_block: int = 50
    new_share: float = 1.0  # part of the table for untrusted connections without a valid request yet
    reserve: float = 0.0  # part of the table that untrusted connections may not take
    known: Networks = field(default_factory=Networks)
    relays: Networks = field(default_factory=Networks)  # state the client's address by the PROXY protocol
    earn_requests: int = 0
    earn_over: float = 10.0  # seconds
    earned_age: float = 3600.0  # seconds
    remembered: int = 4096  # addresses, in each kind of memory

    def reserved_places(self, limit: int) -> int:
        """Places of a table of `limit` connections that untrusted ones may not take."""
        return min(limit - 1, int(self.reserve * limit))

    def max_new(self, limit: int) -> int:
        """Most untrusted connections without a valid request in a table of `limit` connections."""
        return max(1, int(self.new_share * limit))


class RejectionReason(Enum):
    """Why a new connection is rejected. Each is a counter `admission.refused.…`."""

    RATE_ADDRESS = "rate_address"
    RATE_BLOCK = "rate_block"
    CAP_ADDRESS = "cap_address"
    CAP_BLOCK = "cap_block"
    NEW = "new"
    FULL = "full"
    DESCRIPTORS = "descriptors"  # the process has none left


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """The result for a new connection: rejected for a reason, or admitted, in place of `evict` if that is set."""

    rejection: RejectionReason | None = None
    evict: int | None = None
    retry_after_s: float = 0.0  # after which its rate would allow it
