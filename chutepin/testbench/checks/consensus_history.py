"""Histories of a replicated log: client requests and observed member states, input of the invariants."""

from __future__ import annotations

from dataclasses import dataclass, field

NEVER = float("inf")


@dataclass(slots=True)
class ClientRequest:
    """A client's set or read of a key at a member. Each value is set once, so a value identifies its set request.

    `outcome`: committed, rejected or unknown (also without an answer). `at_index`: index of the entry that set the
    key; for a read, of the entry that set the returned value, 0 if the key was not set. `up_to_index` and `times_set`
    exist for reads only: the applied index at the read, and how often the key was set up to that index."""

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
    """The observed consensus state of one incarnation of a member."""

    at: float
    member: str
    incarnation: int
    role: str
    term: int
    applied_index: int
    log_digest: str


@dataclass(slots=True)
class ConsensusHistory:
    """All requests and observations of a run. No fault is active after `settled_at`."""

    requests: list[ClientRequest] = field(default_factory=list)
    observations: list[Observation] = field(default_factory=list)
    settled_at: float = NEVER
    disturbances: list[float] = field(default_factory=list)  # times at which a fault began, ended or was active

    def committed_sets(self) -> list[ClientRequest]:
        """Return the committed set requests."""
        return [request for request in self.requests if request.operation == "set" and request.outcome == "committed"]

    def answered_reads(self) -> list[ClientRequest]:
        """Return the reads that returned a result."""
        return [request for request in self.requests if request.operation == "get" and request.outcome == "committed"]

    def keys(self) -> list[str]:
        """Return all keys that were set or read, sorted."""
        return sorted({request.key for request in self.requests})
