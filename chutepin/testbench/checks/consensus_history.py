"""What clients and watchers saw of a replicated log from outside: the history that invariants are checked on."""

from __future__ import annotations

from dataclasses import dataclass, field

NEVER = float("inf")


@dataclass(slots=True)
class ClientRequest:
    """A key was set or read at a member. Each value is set once, so it tells who set it.

    `outcome`: committed, rejected or unknown (also: no answer). `at_index`: the entry that set the key, for a read the
    one that set what it returned, 0 if the key was not set. Of a read, `up_to_index` is the index that it was valid
    for, `times_set` how often the key was set by then."""

    operation: str  # set, get
    member: str
    key: str
    value: str
    began: float
    ended: float = NEVER
    outcome: str = "unknown"
    at_index: int = 0
    up_to_index: int = 0
    times_set: int = 0
    proposal_id: str = ""


@dataclass(frozen=True, slots=True)
class Observation:
    """What one incarnation of a member showed of itself."""

    at: float
    member: str
    incarnation: int
    role: str
    term: int
    applied_index: int
    log_digest: str


@dataclass(slots=True)
class ConsensusHistory:
    """All requests and observations. After `settled_at` no fault was active any more."""

    requests: list[ClientRequest] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)
    settled_at: float = NEVER
    disturbances: list[float] = field(default_factory=list)  # when a fault began, ended or went on

    def committed_sets(self) -> list[ClientRequest]:
        """Return the sets that were committed."""
        return [one for one in self.requests if one.operation == "set" and one.outcome == "committed"]

    def answered_reads(self) -> list[ClientRequest]:
        """Return the reads that were answered."""
        return [one for one in self.requests if one.operation == "get" and one.outcome == "committed"]

    def keys(self) -> list[str]:
        """Return all keys that were set or read, sorted."""
        return sorted({one.key for one in self.requests})
