"""Writes the journal to the store and waits until it is durable."""

from __future__ import annotations

from collections.abc import Iterable

from ..counters import Counters
from ..logs import Log
from ..store import Store, StoreBusyError
from .journal import Operation
from .wire import now

NO_EXPIRY = float("inf")


class StoreWriter:
    """The store as the consensus writes it. Reports writes that take longer than `slow_after_s`."""

    def __init__(self, store: Store, slow_after_s: float, counters: Counters, log: Log) -> None:
        self._store = store
        self._slow_after_s = slow_after_s
        self._counters = counters
        self._log = log

    async def write(self, operations: Iterable[Operation]) -> None:
        """Write in this order and wait until all is on the disk. Raises StoreError."""
        begun = now()
        for key, value in operations:
            await self._put(key, value)
        await self._store.committed()
        took_s = now() - begun
        if took_s > self._slow_after_s:  # this node was silent meanwhile: the others may have a new leader
            self._log.event("consensus.slow_disk", seconds=round(took_s, 3))
            self._counters.add("consensus.slow_disk")

    async def committed(self) -> None:
        """Wait until all that was written is on the disk. Raises StoreError."""
        await self._store.committed()

    async def _put(self, key: bytes, value: bytes | None) -> None:
        while True:
            try:
                if value is None:
                    self._store.withdraw(key)
                else:
                    self._store.offer(key, value, NO_EXPIRY)
                return
            except StoreBusyError:
                await self._store.room()
