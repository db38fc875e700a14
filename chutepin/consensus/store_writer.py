"""Durable writes of the journal to the store."""

from __future__ import annotations

from collections.abc import Iterable

from ..counters import Counters
from ..logs import Log
from ..store import Store, StoreBusyError
from .journal import Operation
from .wire import now

NO_EXPIRY = float("inf")


class StoreWriter:
    """A writer of journal operations to the store; logs and counts writes that take longer than `slow_after_s`."""

    def __init__(self, store: Store, slow_after_s: float, counters: Counters, log: Log) -> None:
        self._store = store
        self._slow_after_s = slow_after_s
        self._counters = counters
        self._log = log

    async def write(self, operations: Iterable[Operation]) -> None:
        """Write the operations in order and wait until they are durable. Raises StoreError."""
        started_at = now()
        for key, value in operations:
            await self._put(key, value)
        await self._store.committed()
        duration_s = now() - started_at
        if duration_s > self._slow_after_s:  # this node sent nothing meanwhile, so the others may have a new leader
            self._log.event("consensus.slow_disk", seconds=round(duration_s, 3))
            self._counters.add("consensus.slow_disk")

    async def committed(self) -> None:
        """Wait until all earlier writes are durable. Raises StoreError."""
        await self._store.committed()

    async def _put(self, key: bytes, value: bytes | None) -> None:
        while True:
            try:
                if value is None:
                    self._store.delete_nowait(key)
                else:
                    self._store.put_nowait(key, value, NO_EXPIRY)
                return
            except StoreBusyError:
                await self._store.wait_for_space()
