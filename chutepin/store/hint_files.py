"""Writes the hints of sealed segments."""

from __future__ import annotations

from .context import StoreContext
from .layout import TEMPORARY_SUFFIX, hint_name
from .segment import Segment


class HintFiles:
    """Hints of an open store.

    They are not synced: a hint is checked whenever it is read, and the records are there without it."""

    def __init__(self, context: StoreContext) -> None:
        self._context = context
        self.never_written = True  # segments that were read back may lack their hints

    def write_missing(self) -> None:
        """Write the hint of each segment that is fully durable and has none."""
        self.never_written = False
        segments = self._context.log.segments.values()
        for segment in [s for s in segments if s.hint is not None and s.fully_durable]:
            self.write(segment)

    def write(self, segment: Segment) -> None:
        """Write a segment's hint. A failure is reported, and the next opening reads the records instead."""
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
