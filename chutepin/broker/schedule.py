"""The broker's schedule: timers of the decision module, answer deadlines and the stop of a drain."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

from ..clock import Clock
from .attempts import Attempt
from .ports import Timer

MAX_STALE_DEADLINES = 2048  # deadlines of answered requests, in addition to two for each open request
GAUGE_TIMEOUT_S = 0.015  # wait of a due timer for fresh gauges
MAX_TICK_INTERVAL_S = 1.0
STOP_POLL_S = 0.01  # interval between ticks past the stop
ANSWER_GRACE_S = 0.06  # past the due time; then the broker itself answers a request that the decision module left
STOP_GRACE_S = ANSWER_GRACE_S / 2  # past the stop; then the broker itself answers all open requests


class Schedule:
    """The times at which the broker must act, with its timer always set to the earliest."""

    def __init__(self, clock: Clock, timer: Timer, attempts: Mapping[str, Attempt]) -> None:
        self._clock = clock
        self._timer = timer
        self._attempts = attempts
        self.decision_timers: list[tuple[float, int]] = []  # heap of (time, token)
        self._answer_deadlines: list[tuple[float, str]] = []  # heap of (time, request)
        self._due_tokens: list[int] = []  # of due decision timers that wait for gauges
        self._gauge_deadline = 0.0
        self.stop_at: float | None = None  # when every request must have been answered

    def set_timer(self, token: int, at: float) -> None:
        """Set a timer of the decision module."""
        heapq.heappush(self.decision_timers, (at, token))
        self.arm()

    def set_answer_deadline(self, attempt: Attempt, at: float) -> None:
        """Set the time at which an attempt without an answer is overdue."""
        attempt.answer_deadline = at
        heapq.heappush(self._answer_deadlines, (at, attempt.request.id))
        if len(self._answer_deadlines) > 2 * len(self._attempts) + MAX_STALE_DEADLINES:
            self._answer_deadlines = [entry for entry in self._answer_deadlines if entry[1] in self._attempts]
            heapq.heapify(self._answer_deadlines)
        self.arm()

    def arm(self) -> None:
        """Set the timer to the earliest time at which the broker must act."""
        now = self._clock.now()
        at = now + MAX_TICK_INTERVAL_S
        if self.decision_timers:
            at = min(at, self.decision_timers[0][0])
        if self._answer_deadlines:
            at = min(at, self._answer_deadlines[0][0])
        if self.stop_at is not None and self._attempts:
            at = min(at, max(now + STOP_POLL_S, self.stop_at + STOP_GRACE_S))
        if self._due_tokens:
            at = min(at, self._gauge_deadline)
        self._timer.set(at)

    def collect_due_timers(self, now: float, request_gauges: Callable[[], bool]) -> None:
        """Collect the due timers of the decision module, and request fresh gauges for the first of them."""
        while self.decision_timers and self.decision_timers[0][0] <= now:
            self._due_tokens.append(heapq.heappop(self.decision_timers)[1])
            if len(self._due_tokens) == 1:
                self._gauge_deadline = now + GAUGE_TIMEOUT_S if request_gauges() else now

    def are_timers_ready(self, now: float) -> bool:
        """Return whether due timers need not wait for gauges any longer."""
        return bool(self._due_tokens) and now >= self._gauge_deadline

    def take_due_tokens(self) -> list[int]:
        """Remove and return the tokens of the due timers."""
        tokens = self._due_tokens
        self._due_tokens = []
        return tokens

    def is_past_stop(self, now: float) -> bool:
        """Return whether the stop and its grace time are over, so that every request is overdue."""
        return self.stop_at is not None and now >= self.stop_at + STOP_GRACE_S

    def pop_expired_ids(self, now: float) -> list[str]:
        """Remove expired answer deadlines and return their ids; some may belong to answered or rescheduled requests."""
        expired_ids = []
        while self._answer_deadlines and self._answer_deadlines[0][0] <= now:
            expired_ids.append(heapq.heappop(self._answer_deadlines)[1])
        return expired_ids
