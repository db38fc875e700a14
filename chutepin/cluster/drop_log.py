"""Counters and rate-limited log lines for packets that the transport drops."""

from __future__ import annotations

import time

from ..counters import Counters
from ..logs import Log

LOG_INTERVAL_S = 1.0  # between two log lines with the same reason


class DropLog:
    """Counter and rate-limited log of dropped packets."""

    def __init__(self, counters: Counters, log: Log) -> None:
        self._counters = counters
        self._log = log
        self._logged: dict[str, tuple[float, int]] = {}  # by reason: time of the last log line, drops since

    def drop(self, reason: str) -> None:
        """Count and log a received frame that is dropped."""
        self._counters.add(f"cluster.drop.{reason}")
        self._event(reason)

    def send_failed(self, error: Exception) -> None:
        """Count and log a packet that could not be sent."""
        self._counters.add("cluster.send_failed")
        self._event("send_failed", why=str(error))

    def _event(self, reason: str, **fields: object) -> None:
        """Log at most one line per interval and reason, with the number of drops since the last one."""
        now = time.monotonic()
        logged_at, count = self._logged.get(reason, (-LOG_INTERVAL_S, 0))
        if now < logged_at + LOG_INTERVAL_S:
            self._logged[reason] = (logged_at, count + 1)
            return
        self._logged[reason] = (now, 0)
        self._log.event("cluster.dropped", reason=reason, count=count + 1, **fields)
