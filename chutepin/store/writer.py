"""Group commit: writes and syncs all records appended to the log since the last flush."""

from __future__ import annotations

from .context import StoreContext
from .hint_files import HintFiles
from .marker_file import DurabilityMarkerFile
from .segment import WriteBatch
from .segment_files import SegmentFiles


class GroupCommitWriter:
    """Writes and syncs the queued records. Used by one thread at a time."""

    def __init__(
        self, context: StoreContext, files: SegmentFiles, hints: HintFiles, markers: DurabilityMarkerFile
    ) -> None:
        self._context = context
        self._files = files
        self._hints = hints
        self._markers = markers

    def flush(self) -> int:
        """Write and sync all queued records; return their bytes. Raises StoreFailedError, also on all later calls."""
        context = self._context
        log = context.log
        with context.lock:
            context.check_usable()
            sequence = log.last_sequence
            batches = log.queue.take_batches()
        if not batches:
            return 0
        written = 0
        with context.failing_on_os_error():
            for batch in batches:
                written += self._write(batch)
            with context.lock:
                log.durable_sequence = sequence
                log.queue.mark_written(batches)
            self.write_marker()
        context.counts["batches"] += 1
        context.counts["written_bytes"] += written
        if len(batches) > 1 or self._hints.never_written:
            self._hints.write_missing()
        return written

    def write_marker(self) -> None:
        """Write the current watermark to the marker file."""
        context = self._context
        with context.lock:
            marker = context.log.durability_marker(context.now_ms())
        self._markers.write(marker)

    def _write(self, batch: WriteBatch) -> int:
        file = self._files.get(batch.segment)
        size = batch.size
        file.write(batch.offset, batch.buffers)
        # Sync before writing to the next segment: recovery takes a record there as proof that this segment is complete.
        file.sync()
        with self._context.lock:
            self._context.log.segments[batch.segment].durable_end = batch.offset + size
        return size
