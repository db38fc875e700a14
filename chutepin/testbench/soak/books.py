"""The external observations of a soak: requests and answers, runs, connections, processes. Plain data."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class CloseCause(Enum):
    """The side that closed a connection. Connections of a killed process count as closed by the node."""

    NODE = "node"
    CLIENT = "client"


@dataclass(slots=True)
class ObservedAnswer:
    """An answer as read by a client. Times are in seconds since the epoch."""

    at: float
    verdict: str
    body: bytes


@dataclass(slots=True)
class ObservedConnection:
    """A connection of a client; a time of infinity means that the event has not happened."""

    number: int
    opened_at: float
    bye_at: float = math.inf
    closed_at: float = math.inf
    closed_by: CloseCause | None = None


@dataclass(slots=True)
class ObservedRequest:
    """A request of a client and its answers."""

    id: str
    cls: str
    body: bytes
    key: str | None
    connection: ObservedConnection
    written_at: float
    deadline_at: float
    is_cancelled: bool = False
    answers: list[ObservedAnswer] = field(default_factory=list)


@dataclass(slots=True)
class ObservedRun:
    """A run that the executor of a process started."""

    id: str
    body: bytes
    at: float
    process: str


@dataclass(slots=True)
class ObservedProcess:
    """A process of the node. Processes that handed over to one another have the same `chain`."""

    name: str
    chain: int
    spawned_at: float
    ready_at: float = math.inf
    sigterm_at: float = math.inf
    killed_at: float = math.inf
    ended_at: float = math.inf
    exit_code: int | None = None
    log: str = ""
    idle_descriptors: tuple[int, int] | None = None  # at the start and after all clients have closed
    idle_memory_kb: tuple[int, int] | None = None  # at the start and after all clients have closed
    idle_requests_in_progress: int | None = None  # requests in progress after all clients have closed, from `show-stat`


@dataclass(slots=True)
class Event:
    """A step of the schedule with the time at which it was played."""

    at: float
    description: str


@dataclass(slots=True)
class ObservedLag:
    """A delay of the event loop of the soak itself, which delays the recorded times of answers."""

    at: float
    lag_s: float


@dataclass(slots=True)
class Observations:
    """All observations of one soak."""

    requests: list[ObservedRequest] = field(default_factory=list)
    runs: list[ObservedRun] = field(default_factory=list)
    processes: list[ObservedProcess] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    lags: list[ObservedLag] = field(default_factory=list)
    unexpected_answers: int = 0  # answers to a tag that was never used or is already answered

    def event_loop_lag_s(self, since: float, until: float) -> float:
        """Return the sum of the event loop delays of the soak itself between two times, in seconds."""
        return sum(lag.lag_s for lag in self.lags if since <= lag.at <= until + lag.lag_s)

    def counts(self) -> dict[str, int]:
        """Return the counts of requests by outcome, of runs and of processes, for a report."""
        verdicts = [request.answers[0].verdict for request in self.requests if request.answers]
        return {
            "requests": len(self.requests),
            "served": verdicts.count("OK"),
            "rejected": verdicts.count("BUSY"),
            "failed": verdicts.count("FAILED"),
            "unanswered": sum(not request.answers for request in self.requests),
            "runs": len(self.runs),
            "processes": len(self.processes),
        }
