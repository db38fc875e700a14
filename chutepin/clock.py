"""The node's clock: Unix time that never runs backwards."""

from __future__ import annotations

import time
from collections.abc import Callable


class Clock:
    """Unix time in seconds, clamped: it never runs backwards, whatever is done to the system's clock."""

    def __init__(self, source: Callable[[], float] = time.time) -> None:
        self._source = source
        self._last = 0.0

    def now(self) -> float:
        """The present time."""
        self._last = max(self._last, self._source())
        return self._last
