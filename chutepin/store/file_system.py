"""The file system interface of the store, and its implementation over a directory of the operating system.

The store makes only these assumptions about its files:

1. `File.sync` returns only when all earlier writes to the file are durable. A failed sync guarantees nothing, neither
   for earlier writes nor for writes covered by a later sync.
2. Until the sync, any subset of the written bytes may be durable, in any order: whole sectors, partial sectors or none.
3. Creating, renaming or removing a name is durable once `FileSystem.sync_names` has returned; until then each such
   change may be durable or not, independently of the others.
4. `rename` is atomic: after a power cut the name refers to the old file or to the new one.
5. Durable bytes don't change until they are overwritten.

Checksums verify assumption 5. The tests model the others with a simulated directory that loses unsynced writes."""

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
MAX_WRITE_BUFFERS = 1024  # per system call (IOV_MAX)


class File(Protocol):
    """An open file."""

    def read(self, offset: int, length: int) -> bytes:
        """Read up to `length` bytes; fewer only at the end of the file."""

    def write(self, offset: int, buffers: Sequence[bytes]) -> None:
        """Write all buffers consecutively from `offset`. On OSError, any part of them may have been written."""

    def allocate(self, size: int) -> None:
        """Extend an empty file to this size with zeros, so that writes within it need no more disk space."""

    def size(self) -> int:
        """Return the size in bytes."""

    def sync(self) -> None:
        """Make all writes durable."""

    def close(self) -> None:
        """Close the file without syncing it."""


class FileSystem(Protocol):
    """The directory of one store. Methods raise OSError."""

    @property
    def label(self) -> str:
        """The directory name for messages."""

    def lock(self, create: bool) -> None:
        """Lock the directory, creating it if `create` is set and it is missing. Raises StoreLockedError."""

    def unlock(self) -> None:
        """Release the lock."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def open(self, name: str) -> File:
        """Open an existing file."""

    def create(self, name: str) -> File:
        """Create an empty file, replacing an existing one."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing an existing one."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_names(self) -> None:
        """Make all created, renamed and removed names durable."""


class LocalFile:
    """An open file of the operating system."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def read(self, offset: int, length: int) -> bytes:
        """Read up to `length` bytes; fewer only at the end of the file."""
        chunks = []
        while length > 0 and (chunk := os.pread(self._descriptor, length, offset)):
            chunks.append(chunk)
            offset += len(chunk)
            length -= len(chunk)
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    def write(self, offset: int, buffers: Sequence[bytes]) -> None:
        """Write all buffers, continuing after short writes. A write of zero bytes raises OSError."""
        for first in range(0, len(buffers), MAX_WRITE_BUFFERS):
            remaining: Sequence[bytes | memoryview] = buffers[first : first + MAX_WRITE_BUFFERS]
            left = sum(map(len, remaining))
            while left:
                written = os.pwritev(self._descriptor, remaining, offset)
                if not written:
                    raise OSError(errno.EIO, "the system wrote no bytes")
                offset += written
                left -= written
                if left:
                    remaining = [memoryview(b"".join(remaining))[written:]]

    def allocate(self, size: int) -> None:
        """Allocate blocks. If the file system does not support that, the C library writes to each block instead."""
        os.posix_fallocate(self._descriptor, 0, size)

    def size(self) -> int:
        """Return the size in bytes."""
        return os.fstat(self._descriptor).st_size

    def sync(self) -> None:
        """Sync the data and the metadata needed to read it back."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor. Later calls do nothing."""
        if self._descriptor >= 0:
            descriptor, self._descriptor = self._descriptor, -1
            os.close(descriptor)


class LocalFileSystem:
    """A directory of the operating system, locked with `flock`, which the system releases when the process ends."""

    def __init__(self, directory: str | Path) -> None:
        self._path = Path(directory)
        self._lock = -1

    @property
    def label(self) -> str:
        """The path of the directory."""
        return str(self._path)

    def lock(self, create: bool) -> None:
        """Lock the directory. Raises StoreLockedError."""
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
        """Return the names of all files, sorted."""
        return sorted(os.listdir(self._path))

    def open(self, name: str) -> LocalFile:
        """Open a file for reading and writing, or only for reading if permissions allow no more."""
        try:
            return LocalFile(os.open(self._path / name, os.O_RDWR | os.O_CLOEXEC))
        except PermissionError:
            return LocalFile(os.open(self._path / name, os.O_RDONLY | os.O_CLOEXEC))

    def create(self, name: str) -> LocalFile:
        """Create an empty file, replacing an existing one."""
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
    """Read an entire file."""
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
