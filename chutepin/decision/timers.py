"""Deadlines of requests, calls and keys, multiplexed onto the single timer of the host."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from .actions import SetTimer
from .job import Job

MIN_COMPACTED_TIMERS = 1000  # minimum number of timers in the heap before obsolete ones are removed


class TimerKind(Enum):
    """Reason for a deadline."""

    DUE = 0  # the request must have its final answer
    LATEST_START = 1  # a request still queued can no longer meet its latency objective
    CALL_TOO_LATE = 2  # a call not yet started can no longer end in time
    RETRY_CALL = 3  # a failed call may be retried
    MAKE_CALLS = 4  # waiting calls are checked again
    KEY_EXPIRED = 5  # the window of an idempotency key has ended


class Timer(NamedTuple):
    """Deadline; the sequence number orders deadlines at the same time."""

    at: float
    sequence: int
    kind: TimerKind
    job: Job | None


class TimerQueue:
    """Heap of deadlines, and the timer requested from the host."""

    def __init__(self, tick: float, jobs: Mapping[str, Job]) -> None:
        self.heap: list[Timer] = []
        self.token = 0  # token of the last requested timer
        self.armed_for = math.inf  # time of the last requested timer; infinite if none is pending
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
        """Remove and return the earliest deadline that has passed, or None."""
        if self.heap and self.heap[0].at <= now:
            return heapq.heappop(self.heap)
        return None

    def record_fired(self, token: int) -> None:
        """Record that a timer of the host fired."""
        if token == self.token:
            self.armed_for = math.inf

    def arm(self, now: float, latest: float) -> SetTimer | None:
        """Return the timer to request, for the earliest relevant deadline but not after `latest`.

        Return None if the armed timer does not fire later."""
        while self.heap and (job := self.heap[0].job) and job.id not in self._jobs:
            heapq.heappop(self.heap)
        at = min(latest, self.heap[0].at) if self.heap else latest
        if at >= self.armed_for:
            return None
        self.armed_for = max(at, now + self._tick)
        self.token += 1
        return SetTimer(self.token, self.armed_for - now)

    def _compact(self) -> None:
        """Remove the deadlines of completed requests; most requests complete long before their deadlines."""
        self.heap = [
            timer for timer in self.heap if timer.job is None or (timer.job.id in self._jobs and not timer.job.answered)
        ]
        heapq.heapify(self.heap)
        self._max_size = 2 * len(self.heap) + MIN_COMPACTED_TIMERS
