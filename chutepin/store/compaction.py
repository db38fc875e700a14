"""Compaction: copies live records out of the segments that the plan chooses, and drops segments."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

from .allocation import SegmentAllocator
from .codec import Record, RecordKind
from .compaction_plan import SegmentStatistics, plan_compaction
from .context import StoreContext
from .file_system import File
from .index import PUT
from .layout import hint_name, segment_name
from .limits import MAX_QUEUED_BYTES
from .manifest_file import ManifestFile
from .segment import Segment
from .segment_files import SegmentFiles
from .segment_scan import SegmentScan
from .writer import GroupCommitWriter


@dataclass(slots=True)
class SegmentCompaction:
    """Progress of the compaction of one segment."""

    number: int
    file: File
    records: Iterator[Record]
    scan: SegmentScan
    pending_record: Record | None = None  # a record that was read but can't be copied before a segment is allocated


class Compactor:
    """Compacts segments one after another, in steps. Used by one thread at a time."""

    def __init__(
        self,
        context: StoreContext,
        manifest: ManifestFile,
        files: SegmentFiles,
        allocator: SegmentAllocator,
        writer: GroupCommitWriter,
    ) -> None:
        self._context = context
        self._manifest = manifest
        self._files = files
        self._allocator = allocator
        self._writer = writer
        self._current: SegmentCompaction | None = None
        self.full_before = 0  # full compaction covers segments with numbers below this; 0 if none is requested

    @property
    def waits_for_segment(self) -> bool:
        """Return whether the next record can't be copied until a segment is allocated."""
        return self._current is not None and self._current.pending_record is not None

    def request_full(self) -> None:
        """Request the removal of all records that are dead now. Later steps perform it."""
        with self._context.lock:
            self._context.check_usable()
            self.full_before = self._manifest.next_segment
            self._context.note_activity()

    def step(self, budget: int) -> bool:
        """Read about `budget` bytes of the current segment, or begin the next; return whether there was work."""
        if self._current is None:
            return self._begin_next()
        return self._continue(self._current, budget)

    def release(self) -> list[File]:
        """Abandon the current compaction and return its open file, which the caller closes."""
        current, self._current = self._current, None
        return [] if current is None else [current.file]

    def _begin_next(self) -> bool:
        """Execute the next plan; return whether there was work."""
        context = self._context
        if self.full_before:
            self._seal_active_with_dead_records()
        with context.lock:
            log = context.log
            statistics = [_statistics(segment) for segment in log.segments.values()]
            plan = plan_compaction(
                statistics, context.limits, log.disk_bytes, log.index.live_bytes, before=self.full_before
            )
        if plan.drop:
            return self._drop(plan.drop)
        if plan.copy is not None:
            file = context.file_system.open(segment_name(plan.copy))
            scan = SegmentScan(file, context.limits.segment_bytes)
            self._current = SegmentCompaction(plan.copy, file, iter(scan), scan)
            return True
        if self.full_before:
            self.full_before = 0
            return True
        return False

    def _seal_active_with_dead_records(self) -> None:
        """Include the active segment in a full compaction if it holds dead records."""
        with self._context.lock:
            log = self._context.log
            active = log.active
            if active is not None and active.dead_records and active.number < self.full_before and log.spares:
                log.advance()
        self._writer.flush()  # otherwise the plan would skip the segment because it is not durable yet

    def _continue(self, current: SegmentCompaction, budget: int) -> bool:
        end = current.scan.end + budget
        while current.pending_record is not None or current.scan.end < end:
            record = current.pending_record or next(current.records, None)
            current.pending_record = None
            if record is None:
                return self._finish(current)
            if self._context.log.queue.bytes > MAX_QUEUED_BYTES:
                self._writer.flush()
            with self._context.lock:
                if not self._copy_if_live(current, record):
                    current.pending_record = record
            if current.pending_record is not None:
                return self._allocator.allocate_spare(for_compaction=True)
        return True

    def _copy_if_live(self, current: SegmentCompaction, record: Record) -> bool:
        """Append a copy of the record if it is live. Return False if a segment has to be allocated first."""
        context = self._context
        log = context.log
        if record.kind is not RecordKind.PUT:
            return True
        if log.index.location_of(record.key) != (current.number, record.offset, record.size):
            return True
        if record.expires_ms <= context.now_ms():
            log.index.remove_expired(record.key)
            return True
        if not log.fits_active_segment(record.size):
            if not log.spares:
                return False
            log.advance()
        log.append(PUT, record.key, record.value, record.expires_ms)
        context.counts["copied_bytes"] += record.size
        return True

    def _finish(self, current: SegmentCompaction) -> bool:
        """End the compaction of a segment: drop it, unless part of it was unreadable."""
        complete = current.scan.sealed
        if not complete:
            self._context.damage_error(current.number, current.scan.end, str(current.scan.fault))
        current.file.close()
        self._current = None
        if not complete:
            return True
        self._context.counts["segments.compacted"] += 1
        return self._drop((current.number,))

    def _drop(self, numbers: tuple[int, ...]) -> bool:
        """Remove segments from the manifest and then from the disk; return False if the disk is full."""
        context = self._context
        # The records that supersede or copy those of the dropped segments must be durable first. Otherwise a power cut
        # could lose both the old and the new value of a key.
        self._writer.flush()
        dropped = set(numbers)
        try:
            self._manifest.replace([s for s in context.log.segments.values() if s.number not in dropped])
        except OSError as error:
            self._allocator.handle_full_disk(error.strerror or str(error))
            return False
        with context.lock:
            context.log.drop(dropped)
            context.update_writers_wait()
            files = self._files.remove(dropped)
        for file in files:
            file.close()
        for number in numbers:
            self._remove_files(number)
        context.counts["segments.dropped"] += len(dropped)
        return True

    def _remove_files(self, number: int) -> None:
        for name in (hint_name(number), segment_name(number)):
            with contextlib.suppress(OSError):  # the next opening removes files that are left
                self._context.file_system.remove(name)


def _statistics(segment: Segment) -> SegmentStatistics:
    return SegmentStatistics(
        segment.number,
        segment.data_bytes,
        segment.live_bytes,
        segment.fully_durable and not segment.shadowed_segments and not segment.damaged,
        segment.dead_records,
    )
