"""What is under way to find out about a member: probes, accusations, looks at a link. Pure data and their times."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

WITNESS_COUNT = 3  # how many are called by an accusation, and how many others shorten it fully
LINK_CHECK_PINGS = 8  # direct pings of a first look at a link: at 30% loss all are lost once in 15,000 looks
LINK_RECHECK_PINGS = 3  # of a look at one that is known to be bad
MAX_LINK_CHECKS = 16  # under way at once
MAX_RELAYED_PROBES = 256  # pings for others that are under way at once


def suspicion_time(least: float, most_times: int, members: int, others: int) -> float:
    """Seconds that an accused has, when so many others accuse it as well.

    It shrinks from `most_times` to one time the least with the logarithm of the confirmations (Lifeguard). The least
    one grows with the logarithm of the number of members, as news takes that long."""
    least *= max(1.0, math.log10(members))
    wanted = min(WITNESS_COUNT, members - 2)
    if wanted < 1:
        return least
    most = least * most_times
    return max(least, most - (most - least) * math.log(others + 1) / math.log(wanted + 1))


class ProbeReason(Enum):
    """What a probe is for."""

    SCHEDULED = 1  # its turn has come, or somebody accuses it
    VERIFICATION = 2  # it stands accused by this member
    RECONNECT = 3  # it is held for dead: does it answer again?


@dataclass(slots=True)
class Probe:
    """One member is asked, directly and, if it does not answer, through helpers."""

    nonce: int
    subject: str
    reason: ProbeReason
    helpers_at: float  # when helpers are asked
    end: float
    indirect: bool = False
    helpers: int = 0
    nacks: int = 0
    direct: bool = False  # it answered itself
    found: bool = False  # a helper says that it answered

    @property
    def answered(self) -> bool:
        """There was a round trip."""
        return self.direct or self.found


@dataclass(slots=True)
class RelayedProbe:
    """This member asks somebody for another one."""

    requester: str
    requester_nonce: int  # the asker's nonce
    subject: str
    end: float


@dataclass(slots=True)
class Suspicion:
    """This member's own, after its own probe has failed."""

    subject: str
    incarnation: int
    began: float
    verify_at: float
    next: float  # look at it
    verified: int = 0  # tests begun since


@dataclass(slots=True)
class LinkCheck:
    """A look at the link between this member and another one that answers through helpers only."""

    subject: str
    began: float
    next: float
    left: int  # direct pings yet to be sent
    nonces: list[int] = field(default_factory=list)
    asking: bool = False  # helpers were asked what the subject has heard
    direct: bool = False
    last_heard_ms: int | None = None  # since the subject heard this member; -1: not lately; None: not known
