"""What was seen of a soak from outside: requests and answers, runs, connections, processes. Plain data."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class CloseCause(Enum):
    """Who ended a connection; a process that is killed ends its connections."""

    NODE = "node"
    CLIENT = "client"


@dataclass(slots=True)
class AnswerSeen:
    """One answer as a client read it."""

    at: float
    word: str
    body: bytes


@dataclass(slots=True)
class ConnectionSeen:
    """One connection of a client."""

    number: int
    opened_at: float
    bye_at: float = math.inf
    closed_at: float = math.inf
    closed_by: CloseCause | None = None


@dataclass(slots=True)
class RequestSeen:
    """One request of a client."""

    id: str
    cls: str
    body: bytes
    key: str | None
    connection: ConnectionSeen
    written_at: float
    due_at: float
    is_withdrawn: bool = False
    answers: list[AnswerSeen] = field(default_factory=list)


@dataclass(slots=True)
class RunSeen:
    """One run that the executor of a process began."""

    id: str
    body: bytes
    at: float
    process: str


@dataclass(slots=True)
class ProcessSeen:
    """One process of the node. Processes that handed over to one another form a chain."""

    name: str
    chain: int
    spawned_at: float
    ready_at: float = math.inf
    notice_at: float = math.inf
    killed_at: float = math.inf
    ended_at: float = math.inf
    exit_code: int | None = None
    log: str = ""
    descriptors_when_quiet: tuple[int, int] | None = None  # at the start, and once all clients had gone
    memory_kb_when_quiet: tuple[int, int] | None = None
    current_when_quiet: int | None = None  # requests in progress, as the operators' socket tells


@dataclass(slots=True)
class Event:
    """A step of the schedule as it was carried out."""

    at: float
    what: str


@dataclass(slots=True)
class LagSeen:
    """A turn of the rig's own event loop that came late: what arrived meanwhile was read late."""

    at: float
    lag_s: float


@dataclass(slots=True)
class Books:
    """Everything that was seen in one soak."""

    requests: list[RequestSeen] = field(default_factory=list)
    runs: list[RunSeen] = field(default_factory=list)
    processes: list[ProcessSeen] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    lags: list[LagSeen] = field(default_factory=list)
    unasked_answers: int = 0  # to a tag that was never used, or was answered before

    def rig_lag_s(self, since: float, until: float) -> float:
        """Return for how long the rig itself could read nothing between two times."""
        return sum(lag.lag_s for lag in self.lags if since <= lag.at <= until + lag.lag_s)

    def counts(self) -> dict[str, int]:
        """How much was played, for a report."""
        words = [request.answers[0].word for request in self.requests if request.answers]
        return {
            "requests": len(self.requests),
            "served": words.count("OK"),
            "rejected": words.count("BUSY"),
            "failed": words.count("FAILED"),
            "unanswered": sum(not request.answers for request in self.requests),
            "runs": len(self.runs),
            "processes": len(self.processes),
        }
