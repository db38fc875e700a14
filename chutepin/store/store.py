"""The store as others use it: an engine, and the one thread that writes.

Any thread may call any method. Nothing here waits for the disk on the caller's thread but what says so: `put` and
`delete` when the queue is full, `commit`, `compact`, `close`, and a `get` of what the page cache does not hold. On an
event loop use `offer`, `room` and `committed`."""

from __future__ import annotations

import asyncio
import contextlib
import math
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from types import TracebackType

from ..clock import Clock
from ..logs import Log
from .compaction_plan import MIN_SEGMENTS, Limits, compaction_read_bytes
from .engine import Engine, Event
from .errors import StoreBusyError, StoreClosedError, StoreError, StoreFullError
from .file_system import FileSystem, LocalFileSystem

MAX_BYTES = 256 * 2**20
MAX_MEMORY_BYTES = 64 * 2**20
MAX_DEFAULT_SEGMENT_BYTES = 8 * 2**20  # by default; else a 32nd of max_bytes
MIN_SEGMENT_BYTES = 512
SYNC_INTERVAL_S = 0.005  # seconds


class Store:
    """Keys with values and expiries that survive the end of the process and a power cut.

    What is acknowledged, by `commit` or `committed`, is there after any restart, or opening refuses with a message.
    What is not may be there or not. Values are visible to `get` as soon as they are put."""

    def __init__(self, engine: Engine, sync_every: float) -> None:
        self._engine, self._sync_every = engine, sync_every
        self._changed = threading.Condition()
        self._flush_at = math.inf  # on the monotonic clock
        self._stopping = False
        self._error: StoreError | None = None  # what ended the thread
        self._waiting: list[tuple[int, asyncio.AbstractEventLoop, asyncio.Future[None]]] = []
        self._more = True  # the thread has work beside the writers
        self._writing = threading.Lock()  # held by whoever flushes or steps
        self._thread = threading.Thread(target=self._work, name="chutepin-store", daemon=True)
        self._thread.start()

    @classmethod
    def open(
        cls,
        directory: str | Path,
        *,
        segment_bytes: int | None = None,
        max_bytes: int = MAX_BYTES,
        max_memory: int = MAX_MEMORY_BYTES,
        sync_every: float = SYNC_INTERVAL_S,
        clock: Callable[[], float] = time.time,
        event: Event | None = None,
        files: FileSystem | None = None,
    ) -> Store:
        """Open a store, or begin one where the directory holds none.

        Sizes are bytes: of one segment (at most an eighth of `max_bytes`; kept from the beginning of a store on), of
        all files, and of the index in memory. A record has to fit into a segment. `sync_every` is the time in seconds
        after which a put is made durable unasked. `clock` gives Unix seconds. `event(name, **fields)` takes what an
        operator should see; by default it goes to the log.

        Raises StoreDamagedError, StoreLockedError, or StoreError for what the system or the arguments do not allow."""
        size = min(segment_bytes or min(MAX_DEFAULT_SEGMENT_BYTES, max_bytes // 32), max_bytes // MIN_SEGMENTS)
        if not MIN_SEGMENT_BYTES <= size < 2**31:
            raise StoreError(
                f"segment_bytes: {size}; from {MIN_SEGMENT_BYTES} to {2**31 - 1}, and an eighth of max_bytes"
            )
        engine = Engine.open(
            files or LocalFileSystem(directory), Limits(size, max_bytes, max_memory), clock, event or Log(Clock()).event
        )
        return cls(engine, sync_every)

    def __enter__(self) -> Store:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    # --- reading and writing ---

    def put(self, key: bytes, value: bytes, expires: float) -> None:
        """Keep a value until `expires` (Unix seconds; `math.inf`: for good), in place of what the key had.

        Waits while the queue to the disk is full. Raises StoreFullError, and then nothing has changed;
        StoreFailedError after a failed write; StoreClosedError."""
        if not self._engine.put(key, value, expires):
            self._wait_for_room(lambda: self._engine.put(key, value, expires, waited=True))
        self._touch()

    def put_many(self, items: Sequence[tuple[bytes, bytes]], expires: float) -> None:
        """Put many keys and values with one expiry, several times as fast as one by one. All are refused with
        StoreFullError if there is no room for all; they are durable one by one, as after as many `put`."""
        done = self._engine.put_many(items, expires)
        while done < len(items):
            rest = items[done:]

            def attempt(rest: Sequence[tuple[bytes, bytes]] = rest) -> int:
                return self._engine.put_many(rest, expires, waited=True)

            done += self._wait_for_room(attempt)
        self._touch()

    def offer(self, key: bytes, value: bytes, expires: float) -> None:
        """As `put`, but raises StoreBusyError where that would wait."""
        if not self._engine.put(key, value, expires):
            self._wake()
            raise StoreBusyError(f"{self._engine.files.label}: {self._engine.book.queued} bytes wait for the disk")
        self._touch()

    def withdraw(self, key: bytes) -> None:
        """As `delete`, but raises StoreBusyError where that would wait."""
        if not self._engine.delete(key):
            self._wake()
            raise StoreBusyError(f"{self._engine.files.label}: {self._engine.book.queued} bytes wait for the disk")
        self._touch()

    def delete(self, key: bytes) -> None:
        """Forget a key; nothing happens if it is not there.

        As `put`, but never StoreFullError for what is remembered."""
        if not self._engine.delete(key):
            self._wait_for_room(lambda: self._engine.delete(key, waited=True))
        self._touch()

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
        """Keys that have not expired. Costs a step for each that expired lately."""
        return len(self._engine)

    def __contains__(self, key: bytes) -> bool:
        return self._engine.holds(key)

    def metrics(self) -> dict[str, int]:
        """Sizes in bytes and counts, for an operator."""
        return self._engine.metrics()

    # --- durability ---

    def commit(self) -> None:
        """Wait until all that this thread has put and deleted is durable. Raises StoreFailedError if it will not be."""
        if self._writing.acquire(blocking=False):
            # Nobody writes: this thread would wait anyway, so it spares two changes of threads.
            try:
                if self._error is None:
                    self._engine.flush()
            except StoreError as error:
                self._end(error)
                raise
            finally:
                self._writing.release()
            if self._waiting:
                with self._changed:
                    self._settle()
        with self._changed:
            target = self._begin_commit()
            while self._engine.durable < target:
                if self._error is not None:
                    raise self._error
                self._changed.wait()

    async def committed(self) -> None:
        """As `commit`, for an event loop."""
        loop = asyncio.get_running_loop()
        with self._changed:
            target = self._begin_commit()
            if self._engine.durable >= target:
                return
            future: asyncio.Future[None] = loop.create_future()
            self._waiting.append((target, loop, future))
        await future

    async def room(self) -> None:
        """Wait until all that is laid out now is durable, and `offer` so finds room. Raises as `commit`."""
        await self.committed()

    def _begin_commit(self) -> int:
        if self._error is not None:
            raise self._error
        self._engine.check()
        target = self._engine.sequence
        if self._engine.durable < target:
            self._flush_at = 0.0
            self._changed.notify_all()
        return target

    def compact(self) -> None:
        """Leave behind all that is dead now.

        Raises StoreDamagedError if something can't be read, StoreFullError if there is no room to copy to,
        StoreFailedError."""
        with self._changed:
            self._engine.compact()
            self._engine.damage = None
            self._more = True
            self._changed.notify_all()
            while self._engine.compact_before:
                if self._error is not None:
                    raise self._error
                if self._engine.at_rest:
                    raise StoreFullError(
                        f"{self._engine.files.label}: "
                        f"{self._engine.no_room or 'no room to copy to'}; compaction can't end"
                    )
                self._changed.wait()
        if self._engine.damage is not None:
            raise self._engine.damage

    def close(self) -> None:
        """Make all durable, end the thread and give the directory back. Raises StoreFailedError if that fails."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._thread.join()
        try:
            self._engine.close()
        finally:
            with self._changed:
                self._error = self._error or StoreClosedError(f"{self._engine.files.label}: closed")
                self._settle()

    # --- the thread ---

    def _touch(self) -> None:
        """Something was laid out: it is written after `sync_every` at the latest."""
        if self._flush_at == math.inf:
            with self._changed:
                if self._flush_at == math.inf:
                    self._flush_at = time.monotonic() + self._sync_every
                    self._changed.notify_all()

    def _wake(self) -> None:
        with self._changed:
            self._flush_at, self._more = 0.0, True
            self._changed.notify_all()

    def _wait_for_room(self, attempt: Callable[[], int]) -> int:
        """Make a change of room happen, then try again, until the attempt gets something done."""
        while True:
            with self._changed:
                self._flush_at, self._more = 0.0, True
                self._changed.notify_all()
                if self._error is not None:
                    raise self._error
                self._changed.wait()
            if done := attempt():
                return done

    def _work(self) -> None:
        try:
            while self._wait_for_work():
                with self._writing:
                    written = self._engine.flush() if self._flushes() else 0
                if written:
                    with self._changed:
                        self._settle()
                with self._writing:
                    more = self._engine.step(compaction_read_bytes(written))
                with self._changed:
                    self._more = more
                    self._settle()
        except StoreError as error:
            self._end(error)
        except Exception as error:  # guards those who wait: a fault of ours must not leave them waiting for ever
            self._engine.failed = repr(error)
            self._end(StoreError(f"{self._engine.files.label}: {error!r}"))

    def _wait_for_work(self) -> bool:
        """Wait until there is something to do; False once the store is to be closed."""
        with self._changed:
            while not self._stopping and not self._more:
                now = time.monotonic()
                until = min(self._flush_at, now + max(0.0, self._engine.next_due() - self._engine.now() / 1000))
                if until <= now:
                    break
                self._changed.wait(None if until == math.inf else until - now)
            return not self._stopping

    def _flushes(self) -> bool:
        with self._changed:
            if self._flush_at > time.monotonic():
                return False
            # Before the batch is taken: a put that comes later sets the time anew.
            self._flush_at = math.inf
            return True

    def _end(self, error: StoreError) -> None:
        with self._changed:
            self._error = error
            self._settle()

    def _settle(self) -> None:
        """Tell everybody who waits how far all is durable, or that it will not be."""
        self._changed.notify_all()
        durable, error = self._engine.durable, self._error
        done = [entry for entry in self._waiting if entry[0] <= durable or error is not None]
        if not done:
            return
        self._waiting = [entry for entry in self._waiting if not (entry[0] <= durable or error is not None)]
        for loop in {entry[1] for entry in done}:
            futures = [(future, target <= durable) for target, its, future in done if its is loop]
            with contextlib.suppress(RuntimeError):  # that loop is closed: nobody waits there any more
                loop.call_soon_threadsafe(_resolve, futures, error)


def _resolve(futures: list[tuple[asyncio.Future[None], bool]], error: StoreError | None) -> None:
    for future, durable in futures:
        if future.done():
            continue
        if durable or error is None:
            future.set_result(None)
        else:
            future.set_exception(error)
