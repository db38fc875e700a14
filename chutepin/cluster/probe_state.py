"""The state of probes, suspicions and link checks under way, and the time-out of a suspicion. Pure data."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

WITNESS_COUNT = 3  # members that verify a suspicion at once; so many confirmations shorten its time-out fully
LINK_CHECK_PINGS = 8  # of a first check of a link: at 30% loss all are lost once in 15,000 checks
LINK_RECHECK_PINGS = 3  # of a check of a link that is known to be bad
MAX_LINK_CHECKS = 16  # under way at the same time
MAX_RELAYED_PROBES = 256  # under way at the same time


def suspicion_timeout(min_timeout: float, max_factor: int, members: int, confirmations: int) -> float:
    """Seconds for which a suspect may refute, with so many confirmations by other members.

    Shrinks from `max_factor` times to one time the minimum with the logarithm of the confirmations (Lifeguard). The
    minimum itself grows with the logarithm of the number of members, as dissemination takes that long."""
    shortest = min_timeout * max(1.0, math.log10(members))
    expected = min(WITNESS_COUNT, members - 2)
    if expected < 1:
        return shortest
    longest = shortest * max_factor
    return max(shortest, longest - (longest - shortest) * math.log(confirmations + 1) / math.log(expected + 1))


class ProbeReason(Enum):
    """Why a member is probed."""

    SCHEDULED = 1  # its turn in the round, or another member suspects it
    VERIFICATION = 2  # this member suspects it
    RECONNECT = 3  # it is dead here: does it answer again?


@dataclass(slots=True)
class Probe:
    """A probe of one member: a direct ping and, without an ack, indirect probes through helpers."""

    nonce: int
    subject: str
    reason: ProbeReason
    indirect_at: float  # when helpers are asked
    deadline: float
    indirect_started: bool = False
    helper_count: int = 0
    nack_count: int = 0
    acked: bool = False  # by the subject itself
    acked_indirectly: bool = False  # as a helper reports

    @property
    def answered(self) -> bool:
        """Whether there was a round trip."""
        return self.acked or self.acked_indirectly


@dataclass(slots=True)
class RelayedProbe:
    """An indirect probe: this member pings the subject for another one."""

    requester: str
    requester_nonce: int
    subject: str
    deadline: float


@dataclass(slots=True)
class Suspicion:
    """The member's own suspicion, after its own probe has failed."""

    subject: str
    incarnation: int
    started_at: float
    verify_at: float
    next_check_at: float
    verifications: int = 0  # probes begun since


@dataclass(slots=True)
class LinkCheck:
    """A check of the link to a member that answers through helpers only."""

    subject: str
    started_at: float
    next_step_at: float
    pings_left: int
    nonces: list[int] = field(default_factory=list)
    helpers_asked: bool = False
    acked: bool = False  # by the subject itself
    last_heard_ms: int | None = None  # since the subject heard this member; -1: not lately; None: not known
