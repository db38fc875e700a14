"""The state of pending probes, suspicions and link checks, and the suspicion time-out. Pure data."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

# About this many members probe a suspect reported by another one. As many confirmations reduce the time-out to its
# minimum.
EXPECTED_CONFIRMATIONS = 3
LINK_CHECK_PINGS = 8  # pings of a first check: at 30% loss all eight are lost in one of 15,000 checks
LINK_RECHECK_PINGS = 3  # pings of a recheck of a bad link
MAX_LINK_CHECKS = 16  # pending at the same time
MAX_RELAYED_PROBES = 256  # pending at the same time


def suspicion_timeout(min_timeout: float, max_factor: int, members: int, confirmations: int) -> float:
    """Return the seconds within which a suspect may refute, with so many confirmations by other members.

    The time-out shrinks with the logarithm of the confirmations, from `max_factor` times the minimum to the minimum
    (Lifeguard). The minimum grows with the logarithm of the member count, as the time of dissemination does."""
    shortest = min_timeout * max(1.0, math.log10(members))
    expected = min(EXPECTED_CONFIRMATIONS, members - 2)
    if expected < 1:
        return shortest
    longest = shortest * max_factor
    return max(shortest, longest - (longest - shortest) * math.log(confirmations + 1) / math.log(expected + 1))


class ProbeReason(Enum):
    """The reason for a probe."""

    SCHEDULED = 1  # next in round-robin order, or suspected by another member
    VERIFICATION = 2  # suspected by this member
    RECONNECT = 3  # dead in this member's view; tests whether it answers again


@dataclass(slots=True)
class Probe:
    """A probe of one member: a direct ping and, if no ack arrives, indirect probes through helpers."""

    nonce: int
    subject: str
    reason: ProbeReason
    indirect_at: float  # when PingReq is sent to helpers
    deadline: float
    indirect_started: bool = False
    helper_count: int = 0
    nack_count: int = 0
    acked: bool = False  # by the subject itself
    acked_indirectly: bool = False  # reported by a helper

    @property
    def answered(self) -> bool:
        """Return whether the subject has answered, directly or through a helper."""
        return self.acked or self.acked_indirectly


@dataclass(slots=True)
class RelayedProbe:
    """An indirect probe that this member carries out for a requester."""

    requester: str
    requester_nonce: int
    subject: str
    deadline: float


@dataclass(slots=True)
class Suspicion:
    """A suspicion that this member raised after its own probe failed."""

    subject: str
    incarnation: int
    started_at: float
    verify_at: float
    next_check_at: float
    verifications: int = 0  # verification probes started so far


@dataclass(slots=True)
class LinkCheck:
    """A check of the link to a member that answers only indirect probes."""

    subject: str
    started_at: float
    next_step_at: float
    pings_left: int
    nonces: list[int] = field(default_factory=list)
    helpers_asked: bool = False
    acked: bool = False  # by the subject itself
    last_heard_ms: int | None = None  # since the subject last received from this member; -1: never; None: unknown
