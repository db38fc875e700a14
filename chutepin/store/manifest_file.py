"""Replaces the manifest of an open store, the list of the log's segments."""

from __future__ import annotations

import contextlib
import errno

from .codec import Manifest, SegmentEntry, encode_manifest
from .context import StoreContext
from .layout import MANIFEST_FILE, TEMPORARY_SUFFIX
from .segment import Segment

DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)


class ManifestFile:
    """The current manifest, and the number of the next segment."""

    def __init__(self, context: StoreContext) -> None:
        self._context = context
        self._generation = 0
        self._entries: dict[int, SegmentEntry] = {}
        self.next_segment = 1

    def load(self, manifest: Manifest) -> None:
        """Adopt a manifest that recovery has read."""
        self._generation = manifest.generation
        self._entries = {entry.number: entry for entry in manifest.segments}
        self.next_segment = manifest.next_segment

    def replace(self, segments: list[Segment]) -> None:
        """Replace the manifest durably with one that lists `segments`.

        Raises OSError if the disk is full, which leaves the old manifest in place; StoreFailedError otherwise."""
        context = self._context
        with context.lock:
            entries = [_entry(segment) for segment in segments]
            manifest = Manifest(
                self._generation + 1,
                context.limits.segment_bytes,
                self.next_segment,
                context.log.durability_marker(context.now_ms()),
                tuple(entries),
            )
        try:
            self._write_temporary(encode_manifest(manifest))
        except OSError as error:
            if error.errno in DISK_FULL_ERRORS:
                with contextlib.suppress(OSError):
                    context.file_system.remove(MANIFEST_FILE + TEMPORARY_SUFFIX)
                raise
            with context.failing_on_os_error():
                raise
        with context.failing_on_os_error():
            context.file_system.rename(MANIFEST_FILE + TEMPORARY_SUFFIX, MANIFEST_FILE)
            context.file_system.sync_names()
        self._generation += 1
        self._entries = {entry.number: entry for entry in entries}

    def list_sealed_segments(self) -> bool:
        """Record the end of every fully durable segment, so that recovery can read its hint instead of its records.

        Returns whether the manifest was replaced."""
        with self._context.lock:
            segments = list(self._context.log.segments.values())
            if not any(segment.fully_durable and not self._entries[segment.number].end for segment in segments):
                return False
        try:
            self.replace(segments)
        except OSError:  # the disk is full; the old manifest remains valid
            return False
        return True

    def _write_temporary(self, data: bytes) -> None:
        file = self._context.file_system.create(MANIFEST_FILE + TEMPORARY_SUFFIX)
        try:
            file.write(0, [data])
            with self._context.failing_on_os_error():
                file.sync()
        finally:
            file.close()


def _entry(segment: Segment) -> SegmentEntry:
    if segment.fully_durable:
        return SegmentEntry(segment.number, segment.end, segment.record_count, segment.last_sequence)
    return SegmentEntry(segment.number)
