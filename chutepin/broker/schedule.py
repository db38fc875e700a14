"""When the broker must act next: the decision module's timers, answer deadlines, the stop of a drain."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

from ..clock import Clock
from .attempts import Attempt
from .ports import Timer

MAX_STALE_DEADLINES = 2048  # of answered requests, on top of two for each open one
GAUGE_TIMEOUT_S = 0.015  # for which a timer waits for fresh gauges
MAX_TICK_INTERVAL_S = 1.0
STOP_POLL_S = 0.01  # between two ticks past the stop
OVERDUE_ANSWER_S = 0.06  # past its due time, when the broker itself answers what the decision module did not
OVERDUE_STOP_S = OVERDUE_ANSWER_S / 2  # past the stop, likewise


class Schedule:
    """Times at which the broker must act; keeps its one timer set to the next."""

    def __init__(self, clock: Clock, timer: Timer, attempts: Mapping[str, Attempt]) -> None:
        self._clock = clock
        self._timer = timer
        self._attempts = attempts
        self.module_timers: list[tuple[float, int]] = []  # heap of (time, token)
        self._answer_deadlines: list[tuple[float, str]] = []  # heap of (time, request)
        self._tokens_due: list[int] = []  # of module timers that wait for gauges
        self._gauges_awaited_until = 0.0
        self.stop: float | None = None  # when all must have been answered

    def set_timer(self, token: int, at: float) -> None:
        """Set a timer of the decision module."""
        heapq.heappush(self.module_timers, (at, token))
        self.arm()

    def set_answer_deadline(self, attempt: Attempt, at: float) -> None:
        """Check at this time whether an attempt still lacks its answer."""
        attempt.answer_deadline = at
        heapq.heappush(self._answer_deadlines, (at, attempt.request.id))
        if len(self._answer_deadlines) > 2 * len(self._attempts) + MAX_STALE_DEADLINES:
            self._answer_deadlines = [entry for entry in self._answer_deadlines if entry[1] in self._attempts]
            heapq.heapify(self._answer_deadlines)
        self.arm()

    def arm(self) -> None:
        """Set the timer to the next time at which something is due."""
        now = self._clock.now()
        at = now + MAX_TICK_INTERVAL_S
        if self.module_timers:
            at = min(at, self.module_timers[0][0])
        if self._answer_deadlines:
            at = min(at, self._answer_deadlines[0][0])
        if self.stop is not None and self._attempts:
            at = min(at, max(now + STOP_POLL_S, self.stop + OVERDUE_STOP_S))
        if self._tokens_due:
            at = min(at, self._gauges_awaited_until)
        self._timer.set(at)

    def collect_due_timers(self, now: float, request_gauges: Callable[[], bool]) -> None:
        """Note the module's timers that have come due, and request fresh gauges for the first of them."""
        while self.module_timers and self.module_timers[0][0] <= now:
            self._tokens_due.append(heapq.heappop(self.module_timers)[1])
            if len(self._tokens_due) == 1:
                self._gauges_awaited_until = now + GAUGE_TIMEOUT_S if request_gauges() else now

    def are_timers_ready(self, now: float) -> bool:
        """Timers have come due that wait for gauges no longer."""
        return bool(self._tokens_due) and now >= self._gauges_awaited_until

    def take_due_tokens(self) -> list[int]:
        """Return the tokens of the timers that have come due."""
        tokens = self._tokens_due
        self._tokens_due = []
        return tokens

    def is_past_stop(self, now: float) -> bool:
        """All should have been answered by now."""
        return self.stop is not None and now >= self.stop + OVERDUE_STOP_S

    def pop_late_ids(self, now: float) -> list[str]:
        """Return the requests whose answer deadline was now or before; some have been answered or put off since."""
        late_ids = []
        while self._answer_deadlines and self._answer_deadlines[0][0] <= now:
            late_ids.append(heapq.heappop(self._answer_deadlines)[1])
        return late_ids
