"""The operator's admission rules, and the result of applying them to a new connection."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .addresses import Networks


@dataclass(frozen=True, slots=True)
class Rules:
    """The admission settings.

    0 disables a cap, a rate or earned trust; a share of 1 disables the limit on new connections. By default all rules
    are disabled."""

    per_address: int = 0  # maximum connections of an address
    per_block: int = 0  # maximum untrusted connections of a block
    block_v4: int = 24  # prefix length in bits
    block_v6: int = 64  # prefix length in bits
    rate_address: float = 0.0  # new connections per second of an address
    burst_address: int = 10
    rate_block: float = 0.0  # new untrusted connections per second of a block
    burst_block: int = 50
    new_share: float = 1.0  # fraction of the table for untrusted connections without a valid request
    reserve: float = 0.0  # fraction of the table that is closed to untrusted connections
    known: Networks = field(default_factory=Networks)
    relays: Networks = field(default_factory=Networks)  # send the client's address in a PROXY protocol header
    earn_requests: int = 0  # valid requests after which an address earns trust
    earn_over: float = 10.0  # seconds over which the requests must be spread at least
    earned_age: float = 3600.0  # seconds after the last request until earned trust expires
    remembered: int = 4096  # maximum addresses or blocks in each of the rate limiters and reputation maps

    def reserved_places(self, limit: int) -> int:
        """Return how many places of a table of `limit` connections are reserved for trusted clients."""
        return min(limit - 1, int(self.reserve * limit))

    def max_new(self, limit: int) -> int:
        """Return the maximum of untrusted connections without a valid request in a table of `limit` connections."""
        return max(1, int(self.new_share * limit))


class RejectionReason(Enum):
    """Reasons for rejecting a new connection. Each is counted as `admission.refused.…`."""

    RATE_ADDRESS = "rate_address"
    RATE_BLOCK = "rate_block"
    CAP_ADDRESS = "cap_address"
    CAP_BLOCK = "cap_block"
    NEW = "new"
    FULL = "full"
    DESCRIPTORS = "descriptors"  # the process has no free descriptor


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """The result for a new connection: a rejection, or admission, for which connection `evict` is closed if set."""

    rejection: RejectionReason | None = None
    evict: int | None = None
    retry_after_s: float = 0.0  # delay after which a rate limit would admit the connection
