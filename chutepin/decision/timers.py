"""Deadlines of requests, calls and keys, behind the one timer that the host keeps."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from .actions import SetTimer
from .job import Job

MIN_COMPACTED_TIMERS = 1000  # kept before those that no longer matter are dropped


class TimerKind(Enum):
    """What is to be done at a deadline."""

    DUE = 0  # the final answer is owed
    LATEST_START = 1  # a queued request can no longer meet its objective
    CALL_TOO_LATE = 2  # a run's call can no longer end in time
    RETRY_CALL = 3  # a failed call may be made again
    MAKE_CALLS = 4  # waiting calls are looked at again
    KEY_EXPIRED = 5


class Timer(NamedTuple):
    """A deadline; the sequence number orders those of the same moment."""

    at: float
    sequence: int
    kind: TimerKind
    job: Job | None


class TimerQueue:
    """Deadlines in order of time, and the timer that the host was asked for."""

    def __init__(self, tick: float, jobs: Mapping[str, Job]) -> None:
        self.heap: list[Timer] = []
        self.token = 0  # of the timer last asked for
        self.armed_for = math.inf
        self._sequence = 0
        self._max_size = MIN_COMPACTED_TIMERS
        self._tick = tick
        self._jobs = jobs

    def push(self, at: float, kind: TimerKind, job: Job | None = None) -> None:
        """Add a deadline."""
        self._sequence += 1
        heapq.heappush(self.heap, Timer(at, self._sequence, kind, job))
        if len(self.heap) > self._max_size:
            self._compact()

    def pop_expired(self, now: float) -> Timer | None:
        """Take out the earliest deadline that has come."""
        if self.heap and self.heap[0].at <= now:
            return heapq.heappop(self.heap)
        return None

    def record_fired(self, token: int) -> None:
        """Take in that the host's timer ran out."""
        if token == self.token:
            self.armed_for = math.inf

    def arm(self, now: float, latest: float) -> SetTimer | None:
        """The timer to ask for: for the earliest deadline that still matters, at `latest` at the latest."""
        while self.heap and (job := self.heap[0].job) and job.id not in self._jobs:
            heapq.heappop(self.heap)
        at = min(latest, self.heap[0].at) if self.heap else latest
        if at >= self.armed_for:
            return None
        self.armed_for = max(at, now + self._tick)
        self.token += 1
        return SetTimer(self.token, self.armed_for - now)

    def _compact(self) -> None:
        """Drop the deadlines of requests that are over: most are long before their deadlines."""
        self.heap = [
            timer for timer in self.heap if timer.job is None or (timer.job.id in self._jobs and not timer.job.answered)
        ]
        heapq.heapify(self.heap)
        self._max_size = 2 * len(self.heap) + MIN_COMPACTED_TIMERS
