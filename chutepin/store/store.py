"""The store as its users see it: an engine, and the one thread that writes.

Any thread may call any method. A caller's thread waits for the disk only in `put`, `put_many` and `delete` while the
write queue is full, in `commit`, `compact` and `close`, and in a `get` of what the page cache does not hold. On an
event loop use `offer`, `withdraw`, `room` and `committed`."""

from __future__ import annotations

import asyncio
import math
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from types import TracebackType

from ..clock import Clock
from ..logs import Log
from .commit_waiters import CommitWaiters
from .compaction_plan import compaction_read_bytes
from .context import Event
from .engine import Engine
from .errors import StoreBusyError, StoreClosedError, StoreError, StoreFullError
from .file_system import FileSystem, LocalFileSystem
from .limits import MIN_SEGMENTS, Limits

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
        self._sync_interval_s = sync_interval_s
        self._changed = threading.Condition()
        self._flush_at = math.inf  # on the monotonic clock
        self._stopping = False
        self._error: StoreError | None = None  # what ended the thread
        self._waiters = CommitWaiters()
        self._has_background_work = True
        self._writing = threading.Lock()  # held by whoever flushes or steps
        self._thread = threading.Thread(target=self._run, name="chutepin-store", daemon=True)
        self._thread.start()

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

    # Reading and writing

    def put(self, key: bytes, value: bytes, expires: float) -> None:
        """Keep a value until `expires` (Unix seconds; `math.inf`: for good), in place of the key's present one.

        Waits while the write queue is full. Raises StoreFullError, and then nothing has changed; StoreFailedError
        after a failed write; StoreClosedError."""
        if not self._engine.put(key, value, expires):
            self._wait_for_space(lambda: self._engine.put(key, value, expires, waited=True))
        self._schedule_flush()

    def put_many(self, items: Sequence[tuple[bytes, bytes]], expires: float) -> None:
        """Put many keys and values with one expiry, several times as fast as one by one.

        Raises StoreFullError, and then nothing has changed, if there is no space for all of them. They become durable
        one by one, as with as many calls of `put`."""
        done = self._engine.put_many(items, expires)
        while done < len(items):
            rest = items[done:]

            def attempt(rest: Sequence[tuple[bytes, bytes]] = rest) -> int:
                return self._engine.put_many(rest, expires, waited=True)

            done += self._wait_for_space(attempt)
        self._schedule_flush()

    def offer(self, key: bytes, value: bytes, expires: float) -> None:
        """As `put`, but raises StoreBusyError instead of waiting."""
        if not self._engine.put(key, value, expires):
            self._wake_thread()
            raise self._busy_error()
        self._schedule_flush()

    def withdraw(self, key: bytes) -> None:
        """As `delete`, but raises StoreBusyError instead of waiting."""
        if not self._engine.delete(key):
            self._wake_thread()
            raise self._busy_error()
        self._schedule_flush()

    def delete(self, key: bytes) -> None:
        """Remove a key; nothing happens if it is not there.

        As `put`, but never StoreFullError because of what is live."""
        if not self._engine.delete(key):
            self._wait_for_space(lambda: self._engine.delete(key, waited=True))
        self._schedule_flush()

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
        return self._engine.holds(key)

    def metrics(self) -> dict[str, int]:
        """Sizes in bytes and counters, for an operator."""
        return self._engine.metrics()

    # Durability

    def commit(self) -> None:
        """Wait until everything this thread has put and deleted is durable. Raises StoreFailedError if it won't be."""
        if self._writing.acquire(blocking=False):
            self._flush_here()
        with self._changed:
            target = self._request_flush()
            while self._engine.log.durable_sequence < target:
                if self._error is not None:
                    raise self._error
                self._changed.wait()

    async def committed(self) -> None:
        """As `commit`, for an event loop."""
        with self._changed:
            target = self._request_flush()
            if self._engine.log.durable_sequence >= target:
                return
            future = self._waiters.add(target, asyncio.get_running_loop())
        await future

    async def room(self) -> None:
        """Wait until everything appended so far is durable, so that `offer` finds space. Raises as `commit`."""
        await self.committed()

    def compact(self) -> None:
        """Leave behind all records that are dead now.

        Raises StoreDamagedError if something can't be read, StoreFullError if there is no space to copy to,
        StoreFailedError."""
        context = self._engine.context
        with self._changed:
            self._engine.compact()
            context.last_damage = None
            self._has_background_work = True
            self._changed.notify_all()
            while self._engine.is_compacting:
                if self._error is not None:
                    raise self._error
                if context.idle:
                    reason = context.disk_full_reason or "no room to copy to"
                    raise StoreFullError(f"{context.label}: {reason}; compaction can't end")
                self._changed.wait()
        if context.last_damage is not None:
            raise context.last_damage

    def close(self) -> None:
        """Make everything durable, end the thread and unlock the directory. Raises StoreFailedError if that fails."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._thread.join()
        try:
            self._engine.close()
        finally:
            with self._changed:
                self._error = self._error or StoreClosedError(f"{self._engine.context.label}: closed")
                self._notify_waiters()

    def _flush_here(self) -> None:
        """Flush on the caller's thread, which holds `_writing` and would wait anyway: saves two thread switches."""
        try:
            if self._error is None:
                self._engine.flush()
        except StoreError as error:
            self._end(error)
            raise
        finally:
            self._writing.release()
        if self._waiters:
            with self._changed:
                self._notify_waiters()

    def _request_flush(self) -> int:
        """Have everything appended so far flushed at once; the last sequence number of it."""
        if self._error is not None:
            raise self._error
        self._engine.context.check_usable()
        target = self._engine.log.last_sequence
        if self._engine.log.durable_sequence < target:
            self._flush_at = 0.0
            self._changed.notify_all()
        return target

    # Waking and waiting for the thread

    def _schedule_flush(self) -> None:
        """Something was appended: it is written after the sync interval at the latest."""
        if self._flush_at == math.inf:
            with self._changed:
                if self._flush_at == math.inf:
                    self._flush_at = time.monotonic() + self._sync_interval_s
                    self._changed.notify_all()

    def _wake_thread(self) -> None:
        with self._changed:
            self._flush_at = 0.0
            self._has_background_work = True
            self._changed.notify_all()

    def _wait_for_space(self, attempt: Callable[[], int]) -> int:
        """Have the thread make space, then try again, until the attempt gets something done."""
        while True:
            with self._changed:
                self._wake_thread()
                if self._error is not None:
                    raise self._error
                self._changed.wait()
            if done := attempt():
                return done

    def _busy_error(self) -> StoreBusyError:
        queued_bytes = self._engine.log.queue.bytes
        return StoreBusyError(f"{self._engine.context.label}: {queued_bytes} bytes wait for the disk")

    # The thread

    def _run(self) -> None:
        try:
            while self._wait_for_work():
                with self._writing:
                    written = self._engine.flush() if self._take_flush_request() else 0
                if written:
                    with self._changed:
                        self._notify_waiters()
                with self._writing:
                    more = self._engine.step(compaction_read_bytes(written))
                with self._changed:
                    self._has_background_work = more
                    self._notify_waiters()
        except StoreError as error:
            self._end(error)
        except Exception as error:  # without this, a programming error would leave callers waiting for ever
            self._engine.context.failure = repr(error)
            self._end(StoreError(f"{self._engine.context.label}: {error!r}"))

    def _wait_for_work(self) -> bool:
        """Wait until there is something to do; False once the store is to be closed."""
        with self._changed:
            while not self._stopping and not self._has_background_work:
                now = time.monotonic()
                expiry_delay = self._engine.next_expiry() - self._engine.context.now_ms() / 1000
                until = min(self._flush_at, now + max(0.0, expiry_delay))
                if until <= now:
                    break
                self._changed.wait(None if until == math.inf else until - now)
            return not self._stopping

    def _take_flush_request(self) -> bool:
        """Whether a flush is due; if so the next one is not scheduled yet."""
        with self._changed:
            if self._flush_at > time.monotonic():
                return False
            # Reset before the batches are taken, so that a put which comes later schedules a flush again.
            self._flush_at = math.inf
            return True

    def _end(self, error: StoreError) -> None:
        with self._changed:
            self._error = error
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        """Tell everybody who waits how far the log is durable, or that it will not be. Called with `_changed` held."""
        self._changed.notify_all()
        self._waiters.resolve(self._engine.log.durable_sequence, self._error)
