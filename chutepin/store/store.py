"""The store as its users see it: an engine, and the one thread that writes for it.

Any thread may call any method. A caller's thread waits for the disk only in `put`, `put_many` and `delete` while the
write queue is full, in `commit`, `compact` and `close`, and in a `get` of what the page cache does not hold. On an
event loop use `offer`, `withdraw`, `room` and `committed`."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from types import TracebackType

from ..clock import Clock
from ..logs import Log
from .context import Event
from .engine import Engine
from .errors import StoreBusyError, StoreClosedError, StoreError
from .file_system import FileSystem, LocalFileSystem
from .limits import MIN_SEGMENTS, Limits
from .writer_thread import WriterThread

DEFAULT_MAX_BYTES = 256 * 2**20
DEFAULT_MAX_MEMORY_BYTES = 64 * 2**20
MAX_DEFAULT_SEGMENT_BYTES = 8 * 2**20
DEFAULT_SEGMENTS = 32  # of which max_bytes consists, unless the segments would be larger than that
MIN_SEGMENT_BYTES = 512
SEGMENT_BYTES_LIMIT = 2**31  # offsets in a segment are 32-bit integers
DEFAULT_SYNC_INTERVAL_S = 0.005


class Store:
    """Keys with values and expiries that survive the end of the process and a power cut.

    What was acknowledged, by `commit` or `committed`, is there after any restart, or opening fails with a message.
    What was not acknowledged may be there or not. Values are visible to `get` as soon as they are put."""

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
        event: Event | None = None,
        files: FileSystem | None = None,
    ) -> Store:
        """Open a store, or begin one if the directory holds none.

        Sizes are bytes: of one segment (at most an eighth of `max_bytes`; a store keeps its first one), of all files,
        and of the index in memory. A record must fit into a segment. `sync_every` is the time in seconds after which
        a put is made durable without a commit. `clock` returns Unix seconds. `event(name, **fields)` takes what an
        operator should see; by default it goes to the log.

        Raises StoreDamagedError, StoreLockedError, or StoreError for what the system or the arguments do not allow."""
        wanted = segment_bytes or min(MAX_DEFAULT_SEGMENT_BYTES, max_bytes // DEFAULT_SEGMENTS)
        size = min(wanted, max_bytes // MIN_SEGMENTS)
        if not MIN_SEGMENT_BYTES <= size < SEGMENT_BYTES_LIMIT:
            raise StoreError(
                f"segment_bytes: {size}; from {MIN_SEGMENT_BYTES} to {SEGMENT_BYTES_LIMIT - 1}, "
                f"and an eighth of max_bytes"
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
        """Keep a value until `expires` (Unix seconds; `math.inf`: for good), in place of the key's present one.

        Waits while the write queue is full. Raises StoreFullError, and then nothing has changed; StoreFailedError
        after a failed write; StoreClosedError."""
        if not self._engine.put(key, value, expires):
            self._thread.wait_for_space(lambda: self._engine.put(key, value, expires, waited=True))
        self._thread.schedule_flush()

    def put_many(self, items: Sequence[tuple[bytes, bytes]], expires: float) -> None:
        """Put many keys and values with one expiry, several times as fast as one by one.

        Raises StoreFullError, and then nothing has changed, if there is no space for all of them. They become durable
        one by one, as with as many calls of `put`."""
        done = self._engine.put_many(items, expires)
        while done < len(items):
            rest = items[done:]

            def attempt(rest: Sequence[tuple[bytes, bytes]] = rest) -> int:
                return self._engine.put_many(rest, expires, waited=True)

            done += self._thread.wait_for_space(attempt)
        self._thread.schedule_flush()

    def offer(self, key: bytes, value: bytes, expires: float) -> None:
        """As `put`, but raises StoreBusyError instead of waiting."""
        if not self._engine.put(key, value, expires):
            self._thread.wake()
            raise self._busy_error()
        self._thread.schedule_flush()

    def withdraw(self, key: bytes) -> None:
        """As `delete`, but raises StoreBusyError instead of waiting."""
        if not self._engine.delete(key):
            self._thread.wake()
            raise self._busy_error()
        self._thread.schedule_flush()

    def delete(self, key: bytes) -> None:
        """Remove a key; nothing happens if it is not there.

        As `put`, but never StoreFullError because of what is live."""
        if not self._engine.delete(key):
            self._thread.wait_for_space(lambda: self._engine.delete(key, waited=True))
        self._thread.schedule_flush()

    def get(self, key: bytes) -> bytes | None:
        """The value, or None. Raises StoreDamagedError if it can't be read as it was written."""
        return self._engine.get(key)

    def items(self) -> Iterator[tuple[bytes, bytes]]:
        """All keys that were there at the call and still are, with their values, in no particular order."""
        for key in self._engine.keys():
            value = self._engine.get(key)
            if value is not None:
                yield key, value

    def __len__(self) -> int:
        """Number of keys that have not expired. Takes time for each key that expired lately."""
        return len(self._engine)

    def __contains__(self, key: bytes) -> bool:
        return self._engine.contains(key)

    def metrics(self) -> dict[str, int]:
        """Sizes in bytes and counters, for an operator."""
        return self._engine.metrics()

    def commit(self) -> None:
        """Wait until everything this thread has put and deleted is durable. Raises StoreFailedError if it won't be."""
        self._thread.commit()

    async def committed(self) -> None:
        """As `commit`, for an event loop."""
        await self._thread.committed()

    async def room(self) -> None:
        """Wait until everything appended so far is durable, so that `offer` finds space. Raises as `commit`."""
        await self._thread.committed()

    def compact(self) -> None:
        """Leave behind all records that are dead now.

        Raises StoreDamagedError if something can't be read, StoreFullError if there is no space to copy to,
        StoreFailedError."""
        self._thread.compact()

    def close(self) -> None:
        """Make everything durable, end the thread and unlock the directory. Raises StoreFailedError if that fails."""
        self._thread.stop()
        try:
            self._engine.close()
        finally:
            self._thread.fail_waiters(StoreClosedError(f"{self._engine.context.label}: closed"))

    def _busy_error(self) -> StoreBusyError:
        queued_bytes = self._engine.log.queue.bytes
        return StoreBusyError(f"{self._engine.context.label}: {queued_bytes} bytes wait for the disk")
