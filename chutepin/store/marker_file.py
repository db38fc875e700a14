"""The file of durability markers, from which recovery reads how far the log was acknowledged."""

from __future__ import annotations

from .codec import MARKER_FILE_BYTES, MARKER_OFFSETS, DurabilityMarker, encode_marker
from .file_system import File, FileSystem
from .layout import MARKER_FILE


class DurabilityMarkerFile:
    """A file of two durability markers, written alternately.

    A marker is written after the log has been synced and is not synced itself: it survives the end of the process and
    usually a power cut. It never exceeds the durable end of the log."""

    def __init__(self, file_system: FileSystem) -> None:
        self._file_system = file_system
        self._file: File | None = None
        self._slot = 0

    def create(self) -> None:
        """Create the file without markers, durably."""
        self._file = self._file_system.create(MARKER_FILE)
        self._file.write(0, [bytes(MARKER_FILE_BYTES)])
        self._file.sync()
        self._file_system.sync_names()

    def open(self) -> None:
        """Open the file, or recreate it if it is missing or has the wrong size."""
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
        self._slot ^= 1
        self._file.write(MARKER_OFFSETS[self._slot], [encode_marker(marker)])

    def sync(self) -> None:
        """Make the markers durable."""
        assert self._file is not None
        self._file.sync()

    def release(self) -> list[File]:
        """Detach the open file, if any, and return it for the caller to close."""
        file, self._file = self._file, None
        return [] if file is None else [file]
