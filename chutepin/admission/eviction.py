"""Selects the connection to evict for a new one. No I/O."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from .trust import ClientTrust, ConnectionUsage

SETTLED_S = 0.5  # minimum time since opening or the last message; before that a request may be in transit
MAX_STALE_QUEUE_ENTRIES = 64  # allowed in addition to two entries per connection


@dataclass(slots=True)
class TrackedConnection:
    """The state of a connection in the table."""

    key: int
    address: bytes
    block: bytes
    trust: ClientTrust
    usage: ConnectionUsage
    last_active: float  # time of opening or of the last received message
    busy: bool = False  # has an open request


class EvictionQueues:
    """Queues of idle connections by trust and usage, each ordered by last activity.

    Entries of connections that have changed since become stale. They are detected by comparison with the connection and
    removed when they reach the front. Each operation takes O(log n) amortised time."""

    def __init__(self, connections: dict[int, TrackedConnection]) -> None:
        self._connections = connections  # the connections of the table, by key
        self._queues: dict[tuple[ClientTrust, ConnectionUsage], list[tuple[float, int]]] = {
            (trust, usage): [] for trust in ClientTrust for usage in ConnectionUsage
        }

    def add(self, connection: TrackedConnection) -> None:
        """Add a connection that became idle, or an idle one that changed."""
        queue = self._queues[connection.trust, connection.usage]
        heapq.heappush(queue, (connection.last_active, connection.key))
        # Bounds memory if no connection is ever evicted.
        if len(queue) > 2 * len(self._connections) + MAX_STALE_QUEUE_ENTRIES:
            queue[:] = sorted(
                {entry for entry in queue if self._is_current(connection.trust, connection.usage, *entry)}
            )

    def first_evictable(self, now: float, max_trust: ClientTrust, usages: Iterable[ConnectionUsage]) -> int | None:
        """Return the first connection to evict of at most this trust and of these usages, or None."""
        for trust in ClientTrust:
            if trust > max_trust:
                break
            for usage in usages:
                queue = self._queues[trust, usage]
                while queue and not self._is_current(trust, usage, *queue[0]):
                    heapq.heappop(queue)
                if queue and queue[0][0] < now - SETTLED_S:
                    return queue[0][1]
        return None

    def keys(self) -> set[int]:
        """Return the keys of all idle connections."""
        return {
            key
            for (trust, usage), queue in self._queues.items()
            for last_active, key in queue
            if self._is_current(trust, usage, last_active, key)
        }

    def _is_current(self, trust: ClientTrust, usage: ConnectionUsage, last_active: float, key: int) -> bool:
        connection = self._connections.get(key)
        if connection is None or connection.busy:
            return False
        return (connection.trust, connection.usage, connection.last_active) == (trust, usage, last_active)
