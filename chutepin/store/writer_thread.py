"""The one thread that writes for a store, and the callers who wait for it."""

from __future__ import annotations

import asyncio
import math
import threading
import time
from collections.abc import Callable

from .commit_waiters import CommitWaiters
from .compaction_plan import compaction_read_bytes
from .engine import Engine
from .errors import StoreError, StoreFullError


class WriterThread:
    """Flushes what was appended, when asked to or after the sync interval, and does the engine's background work."""

    def __init__(self, engine: Engine, sync_interval_s: float) -> None:
        self._engine = engine
        self._sync_interval_s = sync_interval_s
        self._changed = threading.Condition()  # guards everything below but the writing itself
        self._flush_at = math.inf  # on the monotonic clock
        self._stopping = False
        self._error: StoreError | None = None  # what ended the thread
        self._waiters = CommitWaiters()
        self._has_background_work = True
        self._writing = threading.Lock()  # held by whoever flushes or steps
        self._thread = threading.Thread(target=self._run, name="chutepin-store", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread. What is queued stays for the engine's `close` to write."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._thread.join()

    def fail_waiters(self, error: StoreError) -> None:
        """The engine was closed: everybody who still waits for what is not durable gets an error."""
        with self._changed:
            self._error = self._error or error
            self._notify_waiters()

    def schedule_flush(self) -> None:
        """Something was appended: it is written after the sync interval at the latest."""
        if self._flush_at == math.inf:
            with self._changed:
                if self._flush_at == math.inf:
                    self._flush_at = time.monotonic() + self._sync_interval_s
                    self._changed.notify_all()

    def wake(self) -> None:
        """Have the thread flush and step without delay."""
        with self._changed:
            self._flush_at = 0.0
            self._has_background_work = True
            self._changed.notify_all()

    def wait_for_space(self, attempt: Callable[[], int]) -> int:
        """Have the thread make space, then try again, until the attempt gets something done."""
        while True:
            with self._changed:
                self.wake()
                if self._error is not None:
                    raise self._error
                self._changed.wait()
            if done := attempt():
                return done

    def commit(self) -> None:
        """Wait until everything appended so far is durable. Raises StoreFailedError if it won't be."""
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

    def compact(self) -> None:
        """Have everything compacted that is dead now, and wait for it. Raises as `Store.compact`."""
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
        """Have everything appended so far flushed without delay; its last sequence number."""
        if self._error is not None:
            raise self._error
        self._engine.context.check_usable()
        target = self._engine.log.last_sequence
        if self._engine.log.durable_sequence < target:
            self._flush_at = 0.0
            self._changed.notify_all()
        return target

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
        except Exception as error:  # noqa: BLE001  without this, a programming error would leave callers waiting for ever
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
