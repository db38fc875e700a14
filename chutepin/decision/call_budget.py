"""Call time that this server's share of the dependency allows in a sliding window.

Guards a shared dependency whatever slows it, also where the share is a fraction of one call: a server then makes short
calls one after the other. The price is a call that is cut off although others left the dependency unused.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from .settings import Settings

USED_SHARE = 0.85  # of the configured number of calls


class CallStep(NamedTuple):
    """A change of the number of calls in the dependency's hands."""

    at: float
    call_time: float  # spent until then, in call seconds
    calls: int  # from then on


class CallBudget:
    """Calls in flight, those abandoned that the dependency still works on, and the time that they take."""

    def __init__(self, settings: Settings) -> None:
        self.in_flight = 0
        self.reserved_time = 0.0  # the longest that the calls in flight may take in all
        self._max_calls = settings.max_calls
        self._window = settings.max_calls_window
        self._abandoned_call_time = settings.abandoned_call_time
        self._abandoned_until: deque[float] = deque()
        self._steps: deque[CallStep] = deque([CallStep(-math.inf, 0.0, 0)])

    def begin(self, now: float, reserved_time: float) -> None:
        """Count a call that may take so long."""
        self.in_flight += 1
        self.reserved_time += reserved_time
        self._record_step(now)

    def end(self, now: float, reserved_time: float, abandoned: bool) -> None:
        """Count a call's end; the dependency works on an abandoned one for a while."""
        self.in_flight -= 1
        self.reserved_time -= reserved_time
        if abandoned and self._abandoned_call_time:
            self._abandoned_until.append(now + self._abandoned_call_time)
        self._record_step(now)

    def remaining_time(self, now: float) -> float:
        """Call seconds left in the window once all calls in flight have taken their longest."""
        if not self._max_calls:
            return math.inf
        self._record_step(now)
        window_began = now - self._window
        steps = self._steps
        while len(steps) > 1 and steps[1].at <= window_began:
            steps.popleft()
        first = steps[0]
        before_window = first.calls * (window_began - first.at) if first.calls and window_began > first.at else 0.0
        spent = steps[-1].call_time - first.call_time - before_window
        abandoned = sum(until - now for until in self._abandoned_until)
        return self.total_time() - spent - abandoned - self.reserved_time

    def total_time(self) -> float:
        """Call seconds in a window in which no call was made."""
        return self._max_calls * USED_SHARE * self._window or math.inf

    def _record_step(self, now: float) -> None:
        while self._abandoned_until and self._abandoned_until[0] <= now:
            self._abandoned_until.popleft()
        if not self._max_calls:
            return
        last = self._steps[-1]
        call_time = last.call_time + (last.calls * (now - last.at) if last.calls else 0.0)
        self._steps.append(CallStep(now, call_time, self.in_flight + len(self._abandoned_until)))
