"""Provides the node's clock: Unix time that never runs backwards."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """A clock of Unix time in seconds that never runs backwards, even if the system clock is set back."""

    def __init__(self, source: Callable[[], float] = time.time) -> None:
        self._source = source
        self._last = 0.0

    def now(self) -> float:
        """Return the current Unix time in seconds."""
        self._last = max(self._last, self._source())
        return self._last
