"""Writes the hint files of sealed segments."""

from __future__ import annotations

from .context import StoreContext
from .layout import TEMPORARY_SUFFIX, hint_name
from .segment import Segment


class HintFiles:
    """Writes the hint files of an open store.

    Hint files are not synced: a hint is validated when it is read, and recovery reads the records if it is invalid."""

    def __init__(self, context: StoreContext) -> None:
        self._context = context
        self.never_written = True  # recovered segments may lack their hints

    def write_missing(self) -> None:
        """Write the hint of each fully durable segment that has no hint file."""
        self.never_written = False
        segments = self._context.log.segments.values()
        for segment in [s for s in segments if s.hint is not None and s.fully_durable]:
            self.write(segment)

    def write(self, segment: Segment) -> None:
        """Write a segment's hint. A failure is only reported, as the next opening can read the records instead."""
        context = self._context
        assert segment.hint is not None
        data = segment.hint.encode(segment.number, segment.end, segment.record_count, segment.last_sequence)
        try:
            self._replace_file(hint_name(segment.number), data)
        except OSError as error:
            context.counts["hints.write_failed"] += 1
            context.report_event("store.hint_write_failed", segment=segment.number, why=error.strerror or str(error))
        with context.lock:
            context.log.set_hint_bytes(segment, len(data))
            segment.hint = None
            context.update_writers_wait()

    def _replace_file(self, name: str, data: bytes) -> None:
        file_system = self._context.file_system
        file = file_system.create(name + TEMPORARY_SUFFIX)
        try:
            file.write(0, [data])
        finally:
            file.close()
        file_system.rename(name + TEMPORARY_SUFFIX, name)
