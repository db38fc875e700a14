"""The file system as the store sees it: an interface, and the operating system's directory behind it.

The store assumes this of its files, and nothing more:

1. `File.sync` returns only when everything written to this file before is durable. A failed sync promises nothing,
   neither for the writes before it nor for those that a later sync covers.
2. Until then any subset of the written bytes, in any order, may be durable: complete sectors, parts of sectors, none.
3. Creating, renaming or removing a name is durable when `FileSystem.sync_names` has returned; until then each such
   change may be durable or not, independently of the others.
4. `rename` is atomic: after a power cut the name leads to the old file or to the new one.
5. Durable bytes stay as they are until they are written again.

Checksums check assumption 5. The tests model the others by a directory that loses what it may lose."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

from .errors import StoreLockedError

LOCK_FILE = "LOCK"
MAX_WRITE_BUFFERS = 1024  # in one system call (IOV_MAX)


class File(Protocol):
    """An open file."""

    def read(self, offset: int, length: int) -> bytes:
        """Up to `length` bytes; fewer only at the end of the file."""

    def write(self, offset: int, buffers: Sequence[bytes]) -> None:
        """Write all buffers one after the other from `offset`. On OSError any part of them may have been written."""

    def allocate(self, size: int) -> None:
        """Preallocate an empty file: it has this size, reads as zeros, and writes inside it need no more space."""

    def size(self) -> int:
        """Size in bytes."""

    def sync(self) -> None:
        """Make all writes durable."""

    def close(self) -> None:
        """Close the file, without a sync."""


class FileSystem(Protocol):
    """The directory of one store. Errors of the system are OSError."""

    @property
    def label(self) -> str:
        """The directory, for messages."""

    def lock(self, create: bool) -> None:
        """Lock the directory, or raise StoreLockedError. `create`: make it if it is missing."""

    def unlock(self) -> None:
        """Release the lock."""

    def names(self) -> list[str]:
        """Names of all files."""

    def open(self, name: str) -> File:
        """Open an existing file."""

    def create(self, name: str) -> File:
        """Create an empty file, replacing one of this name."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing one of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_names(self) -> None:
        """Make changes of names durable."""


class LocalFile:
    """An open file of the operating system."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def read(self, offset: int, length: int) -> bytes:
        """Up to `length` bytes."""
        chunks = []
        while length > 0 and (chunk := os.pread(self._descriptor, length, offset)):
            chunks.append(chunk)
            offset += len(chunk)
            length -= len(chunk)
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    def write(self, offset: int, buffers: Sequence[bytes]) -> None:
        """Write all buffers; a short write is continued, one of no bytes is an error."""
        for first in range(0, len(buffers), MAX_WRITE_BUFFERS):
            remaining: Sequence[bytes | memoryview] = buffers[first : first + MAX_WRITE_BUFFERS]
            left = sum(map(len, remaining))
            while left:
                written = os.pwritev(self._descriptor, remaining, offset)
                if not written:
                    raise OSError(errno.EIO, "the disk takes no bytes")
                offset += written
                left -= written
                if left:
                    remaining = [memoryview(b"".join(remaining))[written:]]

    def allocate(self, size: int) -> None:
        """Reserve blocks. Where the file system can't, the C library writes to each of them instead."""
        os.posix_fallocate(self._descriptor, 0, size)

    def size(self) -> int:
        """Bytes."""
        return os.fstat(self._descriptor).st_size

    def sync(self) -> None:
        """Sync the data, and the metadata that reading it back needs."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor, once."""
        if self._descriptor >= 0:
            descriptor, self._descriptor = self._descriptor, -1
            os.close(descriptor)


class LocalFileSystem:
    """A directory of the operating system. Its lock is `flock`, which ends with the process, however that ends."""

    def __init__(self, directory: str | Path) -> None:
        self._path = Path(directory)
        self._lock = -1

    @property
    def label(self) -> str:
        """The directory as it was given."""
        return str(self._path)

    def lock(self, create: bool) -> None:
        """Lock the directory."""
        if create and not self._path.is_dir():
            self._path.mkdir(parents=True, exist_ok=True)
            with contextlib.suppress(OSError):  # some file systems can't sync directories
                _sync_directory(self._path.parent)
        descriptor = os.open(self._path / LOCK_FILE, os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT if create else 0), 0o640)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                raise StoreLockedError(f"{self._path}: open in another process or by another store") from None
            raise
        self._lock = descriptor

    def unlock(self) -> None:
        """Release the lock."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def names(self) -> list[str]:
        """Names of all files."""
        return sorted(os.listdir(self._path))

    def open(self, name: str) -> LocalFile:
        """Open for reading and writing; for reading only where the directory allows no more."""
        try:
            return LocalFile(os.open(self._path / name, os.O_RDWR | os.O_CLOEXEC))
        except PermissionError:
            return LocalFile(os.open(self._path / name, os.O_RDONLY | os.O_CLOEXEC))

    def create(self, name: str) -> LocalFile:
        """Create or replace a file."""
        return LocalFile(os.open(self._path / name, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o640))

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically."""
        os.replace(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self._path / name)

    def sync_names(self) -> None:
        """Sync the directory."""
        _sync_directory(self._path)


def read_file(file_system: FileSystem, name: str) -> bytes:
    """Read a small file completely."""
    file = file_system.open(name)
    try:
        return file.read(0, file.size())
    finally:
        file.close()


def _sync_directory(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
