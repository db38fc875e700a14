"""What all parts of an open store share: the log and its lock, limits, clock, counters, and the store's health."""

from __future__ import annotations

import contextlib
import threading
from collections import Counter
from collections.abc import Callable, Iterator

from .errors import StoreClosedError, StoreDamagedError, StoreError, StoreFailedError, StoreFullError
from .file_system import FileSystem
from .layout import segment_name
from .limits import Limits
from .log import SegmentedLog

Event = Callable[..., None]  # (name, **fields)


class StoreContext:
    """State that the parts of an open store share. `lock` guards the log and everything here that changes."""

    def __init__(
        self, file_system: FileSystem, limits: Limits, clock: Callable[[], float], report_event: Event
    ) -> None:
        self.file_system = file_system
        self.limits = limits
        self.report_event = report_event
        self.lock = threading.RLock()
        self.counts: Counter[str] = Counter()
        self.failure = ""  # why a write or sync failed
        self.closed = False
        self.unusable = False  # closed or failed
        self.idle = False  # the last step found nothing to do, and nothing has changed or been asked for since
        self.disk_full_reason = ""  # why no further segment could be preallocated
        self.last_damage: StoreDamagedError | None = None
        self._clock = clock
        self._time_ms = 0
        self._active_since_step = False
        self.set_log(SegmentedLog(limits.segment_bytes))

    @property
    def label(self) -> str:
        """The directory, for messages."""
        return self.file_system.label

    def set_log(self, log: SegmentedLog) -> None:
        """Use this log from now on."""
        self.log = log
        self.update_writers_wait()

    def update_writers_wait(self) -> None:
        """Decide whether writers wait for compaction. This changes only with the segments and their hints."""
        self.writers_wait = self.log.disk_bytes > self.limits.writers_wait_above

    def now_ms(self) -> int:
        """Unix time in ms, which never runs backwards, not even over a restart."""
        self._time_ms = max(self._time_ms, int(self._clock() * 1000))
        return self._time_ms

    def advance_clock(self, time_ms: int) -> None:
        """Time is at least this."""
        self._time_ms = max(self._time_ms, time_ms)

    def note_activity(self) -> None:
        """Something changed or was asked for: a step may find work."""
        self.idle = False
        self._active_since_step = True

    def begin_step(self) -> None:
        """A step begins: what is noted from now on happened beside it."""
        self._active_since_step = False

    def end_step(self, worked: bool) -> None:
        """A step ends; the store is idle if there was nothing to do and nothing happened meanwhile."""
        self.idle = not worked and not self.log.queue and not self._active_since_step

    def check_usable(self) -> None:
        """Raise StoreClosedError or StoreFailedError if the store takes no more calls."""
        if self.closed:
            raise StoreClosedError(f"{self.label}: closed")
        if self.failure:
            raise StoreFailedError(f"{self.label}: {self.failure}; nothing is acknowledged until it is opened again")

    @contextlib.contextmanager
    def failing_on_os_error(self) -> Iterator[None]:
        """Fail the store on an OSError inside: nothing is acknowledged afterwards."""
        try:
            yield
        except OSError as error:
            reason = f"{error.strerror or error}"
            self.fail(reason)
            self.counts["failed"] += 1
            self.report_event("store.failed", why=reason)
            raise StoreFailedError(f"{self.label}: {reason}") from error

    def fail(self, reason: str) -> None:
        """Take no more writes."""
        with self.lock:
            self.failure = reason
            self.unusable = True

    def close(self) -> None:
        """Take no more calls."""
        with self.lock:
            self.closed = True
            self.unusable = True

    def full_error(self, reason: str) -> StoreFullError:
        """Count a put that has no space; the error to raise."""
        self.counts["full"] += 1
        return StoreFullError(f"{self.label}: {reason}")

    def damage_error(self, segment: int, offset: int, what: str) -> StoreDamagedError:
        """Note that a segment can't be read as it was written; the error to raise. Compaction never drops it."""
        with self.lock:
            damaged = self.log.segments[segment]
            if not damaged.damaged:
                damaged.damaged = True
                self.counts["damaged"] += 1
                self.report_event("store.damaged", file=segment_name(segment), offset=offset, why=what)
            self.last_damage = StoreDamagedError(self.label, segment_name(segment), offset, what)
            return self.last_damage


def open_error(file_system: FileSystem, error: OSError) -> StoreError:
    """What an error of the system means to the caller who opens a store."""
    return StoreError(f"{file_system.label}: {error.strerror or error}")
