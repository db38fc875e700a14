"""Budget of call time that this server's share of the dependency allows in a sliding window.

The budget protects a shared dependency whatever slows it, also where the share is less than one concurrent call: a
server then makes short calls one after the other. In exchange, a call may time out although other servers do not use
their shares.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from .settings import Settings

USED_SHARE = 0.85  # share of the configured number of calls that is used; the rest is a safety margin


class CallStep(NamedTuple):
    """Change of the number of calls that the dependency works on."""

    at: float
    call_time: float  # call seconds spent before `at`
    calls: int  # calls that the dependency works on from `at` on


class CallBudget:
    """Calls in flight, abandoned calls that the dependency still works on, and the call time of both."""

    def __init__(self, settings: Settings) -> None:
        self.in_flight = 0
        self.reserved_time = 0.0  # maximum total call time of the calls in flight
        self._max_calls = settings.max_calls
        self._window = settings.max_calls_window
        self._abandoned_call_time = settings.abandoned_call_time
        self._abandoned_until: deque[float] = deque()
        self._steps: deque[CallStep] = deque([CallStep(-math.inf, 0.0, 0)])

    def begin(self, now: float, reserved_time: float) -> None:
        """Count the start of a call that may take up to `reserved_time` seconds."""
        self.in_flight += 1
        self.reserved_time += reserved_time
        self._record_step(now)

    def end(self, now: float, reserved_time: float, abandoned: bool) -> None:
        """Count the end of a call; an abandoned call counts as long as the dependency is assumed to work on it."""
        self.in_flight -= 1
        self.reserved_time -= reserved_time
        if abandoned and self._abandoned_call_time:
            self._abandoned_until.append(now + self._abandoned_call_time)
        self._record_step(now)

    def remaining_time(self, now: float) -> float:
        """Return the call seconds left in the window if all calls in flight take their maximum time."""
        if not self._max_calls:
            return math.inf
        self._record_step(now)
        window_start = now - self._window
        steps = self._steps
        while len(steps) > 1 and steps[1].at <= window_start:
            steps.popleft()
        first = steps[0]
        before_window = first.calls * (window_start - first.at) if first.calls and window_start > first.at else 0.0
        spent = steps[-1].call_time - first.call_time - before_window
        abandoned = sum(until - now for until in self._abandoned_until)
        return self.total_time() - spent - abandoned - self.reserved_time

    def total_time(self) -> float:
        """Return the call seconds that a whole window allows."""
        return self._max_calls * USED_SHARE * self._window or math.inf

    def _record_step(self, now: float) -> None:
        while self._abandoned_until and self._abandoned_until[0] <= now:
            self._abandoned_until.popleft()
        if not self._max_calls:
            return
        last = self._steps[-1]
        call_time = last.call_time + (last.calls * (now - last.at) if last.calls else 0.0)
        self._steps.append(CallStep(now, call_time, self.in_flight + len(self._abandoned_until)))
