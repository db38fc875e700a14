"""Preallocates segments, so that writers don't wait for allocation and can't run out of disk space inside a segment."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

from .codec import HintWriter, encode_segment_header
from .context import StoreContext
from .file_system import File
from .layout import segment_name
from .manifest_file import DISK_FULL_ERRORS, ManifestFile
from .segment import Segment
from .segment_files import SegmentFiles


@dataclass(slots=True)
class SegmentPreallocation:
    """The file of a segment whose preallocation has begun."""

    number: int
    file: File


class SegmentAllocator:
    """Keeps one spare segment preallocated. Used by one thread at a time."""

    def __init__(self, context: StoreContext, manifest: ManifestFile, files: SegmentFiles) -> None:
        self._context = context
        self._manifest = manifest
        self._files = files
        self._pending: SegmentPreallocation | None = None

    def allocate_spare(self, for_compaction: bool) -> bool:
        """Preallocate the next segment if it is needed and allowed; return whether one was allocated.

        With `for_compaction`, the segment may use the space reserved for compaction. Raises StoreFailedError."""
        if self._pending is None and not self._may_allocate(for_compaction):
            return False
        try:
            pending = self._begin()
            self._write_file(pending)
            segment = Segment(pending.number, hint=HintWriter())
            self._manifest.replace([*self._context.log.segments.values(), segment])
        except OSError as error:
            if error.errno not in DISK_FULL_ERRORS:
                with self._context.failing_on_os_error():
                    raise
            self.handle_full_disk(error.strerror or str(error))
            return False
        self._pending = None
        self._add_to_log(segment, pending.file)
        self._context.counts["segments.preallocated"] += 1
        return True

    def handle_full_disk(self, reason: str) -> None:
        """Report a full disk once, and remove the file of a pending preallocation."""
        context = self._context
        if not context.disk_full_reason:
            context.report_event("store.disk_full", why=reason)
        context.counts["allocation_failures"] += 1
        with context.lock:
            context.disk_full_reason = reason
            pending, self._pending = self._pending, None
        if pending is not None:
            pending.file.close()
            with contextlib.suppress(OSError):
                context.file_system.remove(segment_name(pending.number))

    def release(self) -> list[File]:
        """Abandon a pending preallocation and return its open file, which the caller closes."""
        pending, self._pending = self._pending, None
        return [] if pending is None else [pending.file]

    def _may_allocate(self, for_compaction: bool) -> bool:
        context = self._context
        with context.lock:
            if context.log.spares or not context.limits.allows_segment(context.log.disk_bytes, for_compaction):
                return False
            # No event announces that a full disk has space again, so retry as long as a writer waits.
            return not (context.disk_full_reason and context.idle)

    def _begin(self) -> SegmentPreallocation:
        if self._pending is None:
            number = self._manifest.next_segment
            self._pending = SegmentPreallocation(number, self._context.file_system.create(segment_name(number)))
            self._manifest.next_segment += 1  # even if preallocation fails: segment numbers are never reused
        return self._pending

    def _write_file(self, pending: SegmentPreallocation) -> None:
        context = self._context
        size = context.limits.segment_bytes
        pending.file.allocate(size)
        pending.file.write(0, [encode_segment_header(pending.number, size, context.now_ms())])
        with context.failing_on_os_error():
            pending.file.sync()
            context.file_system.sync_names()

    def _add_to_log(self, segment: Segment, file: File) -> None:
        context = self._context
        with context.lock:
            context.disk_full_reason = ""
            self._files.add(segment.number, file)
            context.log.add_segment(segment)
            context.log.spares.append(segment)
            if context.log.active is None:
                context.log.advance()
            context.update_writers_wait()
