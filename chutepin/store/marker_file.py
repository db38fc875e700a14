"""The file of durability markers, from which the next opening learns how far the log was acknowledged."""

from __future__ import annotations

from .codec import MARKER_FILE_BYTES, MARKER_OFFSETS, DurabilityMarker, encode_marker
from .file_system import File, FileSystem
from .layout import MARKER_FILE


class DurabilityMarkerFile:
    """Two markers, written in turn.

    A marker is written after the log was synced and is not synced itself: it survives the end of the process, and
    mostly a power cut. It never states more than what is durable."""

    def __init__(self, file_system: FileSystem) -> None:
        self._file_system = file_system
        self._file: File | None = None
        self._turn = 0

    def create(self) -> None:
        """Create an empty file, durably."""
        self._file = self._file_system.create(MARKER_FILE)
        self._file.write(0, [bytes(MARKER_FILE_BYTES)])
        self._file.sync()
        self._file_system.sync_names()

    def open(self) -> None:
        """Open the file, or create it anew if it is missing or has another size."""
        if MARKER_FILE not in self._file_system.names():
            self.create()
            return
        self._file = self._file_system.open(MARKER_FILE)
        if self._file.size() != MARKER_FILE_BYTES:
            self._file.close()
            self.create()

    def write(self, marker: DurabilityMarker) -> None:
        """Replace the older of the two markers."""
        assert self._file is not None
        self._turn ^= 1
        self._file.write(MARKER_OFFSETS[self._turn], [encode_marker(marker)])

    def sync(self) -> None:
        """Make the markers durable."""
        assert self._file is not None
        self._file.sync()

    def release(self) -> list[File]:
        """Forget the file; it, if it is open, for the caller to close."""
        file, self._file = self._file, None
        return [] if file is None else [file]
