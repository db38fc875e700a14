"""The public interface of the store: an engine with a writer thread.

All methods are thread-safe. A call blocks on the disk only in `put`, `put_many` and `delete` while the write queue is
full, in `commit`, `compact` and `close`, and in a `get` of data that is not in the page cache. On an event loop use
`put_nowait`, `delete_nowait`, `wait_for_space` and `committed`."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from types import TracebackType

from ..clock import Clock
from ..logs import Log
from .context import EventReporter
from .engine import Engine
from .errors import StoreBusyError, StoreClosedError, StoreError
from .file_system import FileSystem, LocalFileSystem
from .limits import MIN_SEGMENTS, Limits
from .writer_thread import WriterThread

DEFAULT_MAX_BYTES = 256 * 2**20
DEFAULT_MAX_MEMORY_BYTES = 64 * 2**20
MAX_DEFAULT_SEGMENT_BYTES = 8 * 2**20
DEFAULT_SEGMENTS = 32  # max_bytes / segment_bytes, unless the segments would exceed MAX_DEFAULT_SEGMENT_BYTES
MIN_SEGMENT_BYTES = 512
SEGMENT_BYTES_LIMIT = 2**31  # offsets in a segment are 32-bit integers
DEFAULT_SYNC_INTERVAL_S = 0.005


class Store:
    """A key-value store with expiries, durable across process ends and power cuts.

    Writes acknowledged by `commit` or `committed` are present after any restart, or else opening fails with an error.
    Unacknowledged writes may be present or not. Values are visible to `get` as soon as they are put."""

    def __init__(self, engine: Engine, sync_interval_s: float) -> None:
        self._engine = engine
        self._thread = WriterThread(engine, sync_interval_s)

    @classmethod
    def open(
        cls,
        directory: str | Path,
        *,
        segment_bytes: int | None = None,
        max_bytes: int = DEFAULT_MAX_BYTES,
        max_memory: int = DEFAULT_MAX_MEMORY_BYTES,
        sync_every: float = DEFAULT_SYNC_INTERVAL_S,
        clock: Callable[[], float] = time.time,
        event: EventReporter | None = None,
        files: FileSystem | None = None,
    ) -> Store:
        """Open a store, or create one if the directory holds none.

        Sizes are in bytes: `segment_bytes` of one segment (at most an eighth of `max_bytes`; an existing store keeps
        its segment size), `max_bytes` of all files, `max_memory` of the index. A record must fit into a segment. A put
        is synced without a commit after `sync_every` seconds. `clock` returns Unix seconds. `event(name, **fields)`
        receives events for the operator; the default writes them to the log.

        Raises StoreDamagedError, StoreLockedError, or StoreError for system errors and invalid arguments."""
        wanted = segment_bytes or min(MAX_DEFAULT_SEGMENT_BYTES, max_bytes // DEFAULT_SEGMENTS)
        size = min(wanted, max_bytes // MIN_SEGMENTS)
        if not MIN_SEGMENT_BYTES <= size < SEGMENT_BYTES_LIMIT:
            raise StoreError(
                f"segment_bytes: {size}; must be from {MIN_SEGMENT_BYTES} to {SEGMENT_BYTES_LIMIT - 1}, "
                f"and at most an eighth of max_bytes"
            )
        engine = Engine.open(
            files or LocalFileSystem(directory),
            Limits(size, max_bytes, max_memory),
            clock,
            event or Log(Clock()).event,
        )
        return cls(engine, sync_every)

    def __enter__(self) -> Store:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def put(self, key: bytes, value: bytes, expires: float) -> None:
        """Set the value of a key until `expires` (Unix seconds; `math.inf` for no expiry).

        Waits while the write queue is full. Raises StoreFullError, in which case nothing has changed; StoreFailedError
        after a failed write; StoreClosedError."""
        if not self._engine.put(key, value, expires):
            self._thread.wait_for_space(lambda: self._engine.put(key, value, expires, waited=True))
        self._thread.schedule_flush()

    def put_many(self, items: Sequence[tuple[bytes, bytes]], expires: float) -> None:
        """Put many keys and values with one expiry, several times as fast as separate calls of `put`.

        Raises StoreFullError, in which case nothing has changed, if there is no space for all of them. The batch is not
        atomic: records become durable one by one, as with separate calls of `put`."""
        done = self._engine.put_many(items, expires)
        while done < len(items):
            rest = items[done:]

            def attempt(rest: Sequence[tuple[bytes, bytes]] = rest) -> int:
                return self._engine.put_many(rest, expires, waited=True)

            done += self._thread.wait_for_space(attempt)
        self._thread.schedule_flush()

    def put_nowait(self, key: bytes, value: bytes, expires: float) -> None:
        """Put as `put` does, but raise StoreBusyError instead of waiting."""
        if not self._engine.put(key, value, expires):
            self._thread.wake()
            raise self._busy_error()
        self._thread.schedule_flush()

    def delete_nowait(self, key: bytes) -> None:
        """Delete as `delete` does, but raise StoreBusyError instead of waiting."""
        if not self._engine.delete(key):
            self._thread.wake()
            raise self._busy_error()
        self._thread.schedule_flush()

    def delete(self, key: bytes) -> None:
        """Delete a key if it exists.

        Waits and raises as `put`, except that the limits on live bytes and memory never refuse a delete."""
        if not self._engine.delete(key):
            self._thread.wait_for_space(lambda: self._engine.delete(key, waited=True))
        self._thread.schedule_flush()

    def get(self, key: bytes) -> bytes | None:
        """Return the value of a key, or None. Raises StoreDamagedError if the record is unreadable."""
        return self._engine.get(key)

    def items(self) -> Iterator[tuple[bytes, bytes]]:
        """Iterate over the keys that existed at the call and still exist, with their values, in no particular order."""
        for key in self._engine.keys():
            value = self._engine.get(key)
            if value is not None:
                yield key, value

    def __len__(self) -> int:
        """Return the number of keys that have not expired. Takes time proportional to the recently expired keys."""
        return len(self._engine)

    def __contains__(self, key: bytes) -> bool:
        return self._engine.contains(key)

    def metrics(self) -> dict[str, int]:
        """Return sizes in bytes and counters for the operator."""
        return self._engine.metrics()

    def commit(self) -> None:
        """Wait until all puts and deletes of this thread are durable. Raises StoreFailedError if a write failed."""
        self._thread.commit()

    async def committed(self) -> None:
        """Wait as `commit` does, on an event loop."""
        await self._thread.committed()

    async def wait_for_space(self) -> None:
        """Wait until the write queue has been flushed, so that `put_nowait` finds space. Raises as `commit`."""
        await self._thread.committed()

    def compact(self) -> None:
        """Remove all records that are dead now, and wait until that is done.

        Raises StoreDamagedError if a segment is unreadable, StoreFullError if there is no space for copies,
        StoreFailedError."""
        self._thread.compact()

    def close(self) -> None:
        """Flush the queue, stop the thread and unlock the directory. Raises StoreFailedError if a write fails."""
        self._thread.stop()
        try:
            self._engine.close()
        finally:
            self._thread.fail_waiters(StoreClosedError(f"{self._engine.context.label}: closed"))

    def _busy_error(self) -> StoreBusyError:
        queued_bytes = self._engine.log.queue.bytes
        return StoreBusyError(f"{self._engine.context.label}: {queued_bytes} bytes are queued for the disk")
