"""What an operator sees and what every part needs: the clock, the log, counters and invariants."""

from __future__ import annotations

import contextlib
import sys
import time
from collections import Counter
from collections.abc import Callable

LOG_LINES = 20  # lines that may be printed at once
LOG_RATE = 5.0  # lines a second after that


class Clock:
    """Unix time in seconds, clamped: it never runs backwards, whatever is done to the system's clock."""

    def __init__(self, source: Callable[[], float] = time.time) -> None:
        self._source = source
        self._last = 0.0

    def now(self) -> float:
        """The present time."""
        self._last = max(self._last, self._source())
        return self._last


def say(text: str) -> None:
    """Print a line. Guards the node against a log that nobody reads any more."""
    with contextlib.suppress(OSError):
        print(f"chutepin: {text}", file=sys.stderr, flush=True)


class Log:
    """Plain prints to standard error. Past the rate lines are counted instead, so a peer cannot flood it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tokens, self._at = float(LOG_LINES), clock.now()
        self.dropped = 0

    def line(self, text: str) -> None:
        """Print one line, or count it."""
        now = self._clock.now()
        self._tokens = min(LOG_LINES, self._tokens + (now - self._at) * LOG_RATE)
        self._at = now
        if self._tokens < 1:
            self.dropped += 1
            return
        self._tokens -= 1
        say(text)


class Counters:
    """Named counts of what is taken in, sent and answered, and of invariants that did not hold."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Count an occurrence."""
        self.counts[name] += by

    def holds(self, condition: bool, name: str) -> bool:
        """An invariant: asserted in debug builds, counted in release builds (`python -O`)."""
        if not condition:
            self.add(f"invariant.{name}")
        assert condition, name
        return condition

    def text(self) -> str:
        """All counts on one line."""
        return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
