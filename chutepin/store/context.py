"""State shared by the parts of an open store: the log and its lock, limits, clock, counters and failure state."""

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

EventReporter = Callable[..., None]  # (name, **fields)


class StoreContext:
    """State shared by the parts of an open store. `lock` guards the log and all mutable attributes."""

    def __init__(
        self, file_system: FileSystem, limits: Limits, clock: Callable[[], float], report_event: EventReporter
    ) -> None:
        self.file_system = file_system
        self.limits = limits
        self.report_event = report_event
        self.lock = threading.RLock()
        self.counts: Counter[str] = Counter()
        self.failure = ""  # why a write or sync failed
        self.closed = False
        self.unusable = False  # closed or failed
        self.idle = False  # the last step found no work, and there has been no change or request since
        self.disk_full_reason = ""  # why the disk is considered full; empty if it is not
        self.last_damage: StoreDamagedError | None = None
        self._clock = clock
        self._time_ms = 0
        self._active_since_step = False
        self.set_log(SegmentedLog(limits.segment_bytes))

    @property
    def label(self) -> str:
        """The directory name for messages."""
        return self.file_system.label

    def set_log(self, log: SegmentedLog) -> None:
        """Replace the log."""
        self.log = log
        self.update_writers_wait()

    def update_writers_wait(self) -> None:
        """Recompute whether writers wait for compaction. Called when segments or hints are added or removed."""
        self.writers_wait = self.log.disk_bytes > self.limits.writers_wait_above

    def now_ms(self) -> int:
        """Return Unix time in ms, which is monotonic, even across restarts."""
        self._time_ms = max(self._time_ms, int(self._clock() * 1000))
        return self._time_ms

    def advance_clock(self, time_ms: int) -> None:
        """Set the clock forward to `time_ms` if it is behind."""
        self._time_ms = max(self._time_ms, time_ms)

    def note_activity(self) -> None:
        """Record a change or request, after which a step may find work."""
        self.idle = False
        self._active_since_step = True

    def begin_step(self) -> None:
        """Begin a step. Activity recorded from now on is concurrent with the step."""
        self._active_since_step = False

    def end_step(self, worked: bool) -> None:
        """End a step. The store is idle if the step found no work and there was no concurrent activity."""
        self.idle = not worked and not self.log.queue and not self._active_since_step

    def check_usable(self) -> None:
        """Raise StoreClosedError or StoreFailedError if the store is closed or failed."""
        if self.closed:
            raise StoreClosedError(f"{self.label}: closed")
        if self.failure:
            raise StoreFailedError(f"{self.label}: {self.failure}; nothing is acknowledged until it is opened again")

    @contextlib.contextmanager
    def failing_on_os_error(self) -> Iterator[None]:
        """Mark the store failed if the block raises OSError. No write is acknowledged afterwards."""
        try:
            yield
        except OSError as error:
            reason = f"{error.strerror or error}"
            self.fail(reason)
            self.counts["failed"] += 1
            self.report_event("store.failed", why=reason)
            raise StoreFailedError(f"{self.label}: {reason}") from error

    def fail(self, reason: str) -> None:
        """Mark the store failed: it accepts no more writes."""
        with self.lock:
            self.failure = reason
            self.unusable = True

    def close(self) -> None:
        """Mark the store closed: it accepts no more calls."""
        with self.lock:
            self.closed = True
            self.unusable = True

    def full_error(self, reason: str) -> StoreFullError:
        """Count a put that was refused for lack of space, and return the error to raise."""
        self.counts["full"] += 1
        return StoreFullError(f"{self.label}: {reason}")

    def damage_error(self, segment: int, offset: int, reason: str) -> StoreDamagedError:
        """Mark a segment damaged, so that compaction keeps it, and return the error to raise."""
        with self.lock:
            damaged = self.log.segments[segment]
            if not damaged.damaged:
                damaged.damaged = True
                self.counts["damaged"] += 1
                self.report_event("store.damaged", file=segment_name(segment), offset=offset, why=reason)
            self.last_damage = StoreDamagedError(self.label, segment_name(segment), offset, reason)
            return self.last_damage


def open_error(file_system: FileSystem, error: OSError) -> StoreError:
    """Convert an OSError raised while opening a store to a StoreError."""
    return StoreError(f"{file_system.label}: {error.strerror or error}")
