"""The writer thread of a store, and the callers that wait for it."""

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
    """Flushes appended records on request or after the sync interval, and performs the engine's background work."""

    def __init__(self, engine: Engine, sync_interval_s: float) -> None:
        self._engine = engine
        self._sync_interval_s = sync_interval_s
        self._state_changed = threading.Condition()  # guards the attributes below; not held while writing
        self._flush_at = math.inf  # on the monotonic clock
        self._stopping = False
        self._error: StoreError | None = None  # the error that ended the thread
        self._waiters = CommitWaiters()
        self._has_background_work = True
        self._write_lock = threading.Lock()  # held during a flush or a step
        self._thread = threading.Thread(target=self._run, name="chutepin-store", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread. Queued records are left for the engine's `close` to write."""
        with self._state_changed:
            self._stopping = True
            self._state_changed.notify_all()
        self._thread.join()

    def fail_waiters(self, error: StoreError) -> None:
        """Fail all waiters for records that are not durable, after the engine was closed."""
        with self._state_changed:
            self._error = self._error or error
            self._notify_waiters()

    def schedule_flush(self) -> None:
        """Schedule a flush after the sync interval, unless one is already scheduled."""
        if self._flush_at == math.inf:
            with self._state_changed:
                if self._flush_at == math.inf:
                    self._flush_at = time.monotonic() + self._sync_interval_s
                    self._state_changed.notify_all()

    def wake(self) -> None:
        """Make the thread flush and step without delay."""
        with self._state_changed:
            self._flush_at = 0.0
            self._has_background_work = True
            self._state_changed.notify_all()

    def wait_for_space(self, attempt: Callable[[], int]) -> int:
        """Make the thread free space and retry `attempt` until it returns a non-zero result, which is returned."""
        while True:
            with self._state_changed:
                self.wake()
                if self._error is not None:
                    raise self._error
                self._state_changed.wait()
            if done := attempt():
                return done

    def commit(self) -> None:
        """Wait until all records appended so far are durable. Raises StoreFailedError if a write failed."""
        if self._write_lock.acquire(blocking=False):
            self._flush_on_caller_thread()
        with self._state_changed:
            target = self._request_flush()
            while self._engine.log.durable_sequence < target:
                if self._error is not None:
                    raise self._error
                self._state_changed.wait()

    async def committed(self) -> None:
        """Wait as `commit` does, on an event loop."""
        with self._state_changed:
            target = self._request_flush()
            if self._engine.log.durable_sequence >= target:
                return
            future = self._waiters.add(target, asyncio.get_running_loop())
        await future

    def compact(self) -> None:
        """Compact all records that are dead now, and wait until that is done. Raises as `Store.compact`."""
        context = self._engine.context
        with self._state_changed:
            self._engine.compact()
            context.last_damage = None
            self._has_background_work = True
            self._state_changed.notify_all()
            while self._engine.is_compacting:
                if self._error is not None:
                    raise self._error
                if context.idle:
                    reason = context.disk_full_reason or "no space for copies"
                    raise StoreFullError(f"{context.label}: {reason}; compaction can't finish")
                self._state_changed.wait()
        if context.last_damage is not None:
            raise context.last_damage

    def _flush_on_caller_thread(self) -> None:
        """Flush on the caller's thread, which holds `_write_lock` and would block anyway. Saves two thread switches."""
        try:
            if self._error is None:
                self._engine.flush()
        except StoreError as error:
            self._fail(error)
            raise
        finally:
            self._write_lock.release()
        if self._waiters:
            with self._state_changed:
                self._notify_waiters()

    def _request_flush(self) -> int:
        """Request a flush of all records appended so far; return their last sequence number."""
        if self._error is not None:
            raise self._error
        self._engine.context.check_usable()
        target = self._engine.log.last_sequence
        if self._engine.log.durable_sequence < target:
            self._flush_at = 0.0
            self._state_changed.notify_all()
        return target

    def _run(self) -> None:
        try:
            while self._wait_for_work():
                with self._write_lock:
                    written = self._engine.flush() if self._take_flush_request() else 0
                if written:
                    with self._state_changed:
                        self._notify_waiters()
                with self._write_lock:
                    has_more_work = self._engine.step(compaction_read_bytes(written))
                with self._state_changed:
                    self._has_background_work = has_more_work
                    self._notify_waiters()
        except StoreError as error:
            self._fail(error)
        except Exception as error:  # noqa: BLE001  otherwise a programming error would leave callers waiting forever
            self._engine.context.failure = repr(error)
            self._fail(StoreError(f"{self._engine.context.label}: {error!r}"))

    def _wait_for_work(self) -> bool:
        """Wait until there is work; return False if the thread is to stop."""
        with self._state_changed:
            while not self._stopping and not self._has_background_work:
                now = time.monotonic()
                expiry_delay = self._engine.next_expiry() - self._engine.context.now_ms() / 1000
                deadline = min(self._flush_at, now + max(0.0, expiry_delay))
                if deadline <= now:
                    break
                self._state_changed.wait(None if deadline == math.inf else deadline - now)
            return not self._stopping

    def _take_flush_request(self) -> bool:
        """Return whether a flush is due, and clear its schedule if so."""
        with self._state_changed:
            if self._flush_at > time.monotonic():
                return False
            # Reset before the batches are taken, so that a later put schedules a new flush.
            self._flush_at = math.inf
            return True

    def _fail(self, error: StoreError) -> None:
        with self._state_changed:
            self._error = error
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        """Wake all waiters with the current watermark or error. Called with `_state_changed` held."""
        self._state_changed.notify_all()
        self._waiters.resolve(self._engine.log.durable_sequence, self._error)
