"""A bounded cache of open segment files."""

from __future__ import annotations

import contextlib
from collections import OrderedDict
from collections.abc import Iterable

from .context import StoreContext
from .file_system import File
from .layout import segment_name

MAX_OPEN_SEGMENTS = 32


class SegmentFiles:
    """An LRU cache of open segment files."""

    def __init__(self, context: StoreContext) -> None:
        self._context = context
        self._files: OrderedDict[int, File] = OrderedDict()

    def get(self, number: int) -> File:
        """Return the segment's file, opening it if necessary."""
        with self._context.lock:
            file = self._files.get(number)
            if file is None:
                file = self._files[number] = self._context.file_system.open(segment_name(number))
                if len(self._files) > MAX_OPEN_SEGMENTS:
                    self._close_least_recently_used(keep=number)
            self._files.move_to_end(number)
            return file

    def add(self, number: int, file: File) -> None:
        """Add the open file of a new segment."""
        self._files[number] = file

    def remove(self, numbers: Iterable[int]) -> list[File]:
        """Remove segments from the cache and return their open files, which the caller closes."""
        return [self._files.pop(number) for number in numbers if number in self._files]

    def remove_all(self) -> list[File]:
        """Remove all segments from the cache and return their open files, which the caller closes."""
        files = list(self._files.values())
        self._files.clear()
        return files

    def _close_least_recently_used(self, keep: int) -> None:
        """Close the least recently used file of a durable segment. The writer may use the others outside the lock."""
        segments = self._context.log.segments
        for number in self._files:
            if number != keep and segments[number].fully_durable:
                self._files.pop(number).close()
                return


def close_quietly(files: Iterable[File]) -> None:
    """Close files and ignore errors."""
    for file in files:
        with contextlib.suppress(OSError):
            file.close()
