"""Which connection is evicted for a new one. Pure."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from .trust import ClientTrust, ConnectionUsage

SETTLED_S = 0.5  # since a connection was opened or received a message; a request may be on its way before
SPARE_QUEUE_ENTRIES = 64  # stale entries tolerated besides as many as there are connections


@dataclass(slots=True)
class TrackedConnection:
    """A connection in the table."""

    key: int
    address: bytes
    block: bytes
    trust: ClientTrust
    usage: ConnectionUsage
    last_active: float  # when it was opened or received its last message
    busy: bool = False  # it has an open request


class EvictionQueues:
    """Idle connections by trust and usage, each queue in order of the last activity.

    A queue keeps entries of connections that have changed since; they are recognised as stale by the connection
    itself and dropped when they come to the front. Every step takes O(log n) time, amortised."""

    def __init__(self, connections: dict[int, TrackedConnection]) -> None:
        self._connections = connections  # the table's
        self._queues: dict[tuple[ClientTrust, ConnectionUsage], list[tuple[float, int]]] = {
            (trust, usage): [] for trust in ClientTrust for usage in ConnectionUsage
        }

    def add(self, connection: TrackedConnection) -> None:
        """A connection became idle, or an idle one changed."""
        queue = self._queues[connection.trust, connection.usage]
        heapq.heappush(queue, (connection.last_active, connection.key))
        # Guards memory where no connection is ever evicted.
        if len(queue) > 2 * len(self._connections) + SPARE_QUEUE_ENTRIES:
            queue[:] = sorted(
                {entry for entry in queue if self._is_current(connection.trust, connection.usage, *entry)}
            )

    def first(self, now: float, max_trust: ClientTrust, usages: Iterable[ConnectionUsage]) -> int | None:
        """The connection to evict first, among those of at most this trust and of these usages."""
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
        """All idle connections."""
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
