"""The ids of requests that ran, so that one which comes again does not run again.

An id is new with each attempt. The same one comes again when a client repeats what it sent before its connection ended,
here or at the node's other process. No I/O; time is an argument."""

from __future__ import annotations

from collections.abc import Callable, Iterable

RECENT_RUN_BYTES = 100  # memory counted for one id
MIN_IDS = 64


class RecentRuns:
    """The ids of the runs of the last `lifetime_s` seconds, fewer if there are more than the memory holds.

    Two sets take turns: when the newer one is full or old, it replaces the older one."""

    def __init__(self, lifetime_s: float, max_bytes: int) -> None:
        self._lifetime_s = lifetime_s
        self._max_ids = max(MIN_IDS, max_bytes // RECENT_RUN_BYTES // 2)
        self._newer: set[str] = set()
        self._older: set[str] = set()
        self._began_at = 0.0  # time of the first id of the newer set
        self.announce: Callable[[str], None] = lambda id: None  # tells the node's other process of a run

    def __contains__(self, id: str) -> bool:
        return id in self._newer or id in self._older

    def started(self, id: str, now: float, has_key: bool) -> None:
        """Record a run of this process and tell the other one, unless that knows of the run by its idempotency key."""
        self._add(id, now)
        if not has_key:
            self.announce(id)

    def started_at_peer(self, ids: Iterable[str], now: float) -> None:
        """Record runs of the node's other process."""
        for id in ids:
            self._add(id, now)

    def not_started(self, id: str) -> None:
        """Remove an id whose run certainly did not start."""
        self._newer.discard(id)
        self._older.discard(id)

    def ids(self) -> list[str]:
        """Return all ids that are remembered."""
        return [*self._older, *self._newer]

    def _add(self, id: str, now: float) -> None:
        if len(self._newer) >= self._max_ids or (self._newer and now > self._began_at + self._lifetime_s):
            self._older = self._newer
            self._newer = set()
        if not self._newer:
            self._began_at = now
        self._newer.add(id)
