"""The port to a directory of files, and the real one.

What the store assumes of the files beneath it, and nothing more:

1. `File.sync` returns only once all that was written to this file before is durable. A failed one promises nothing,
   neither for what it covered nor for what a later one covers.
2. Until then any subset of the written bytes, in any order, may be durable: whole sectors, parts of sectors, none.
3. A name that was created, renamed or removed is so durably once `FileSystem.sync_names` has returned; until then each
   such change may be durable or not, on its own.
4. `rename` is atomic: after a cut the name leads to the old file or to the new one.
5. Bytes that are durable stay as they are unless written again.

Assumption 5 is checked where it can be (checksums); the others are modelled in the tests by a directory that loses
what it may lose."""

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
MAX_WRITE_BUFFERS = 1024  # buffers that the system takes in one call


class File(Protocol):
    """An open file."""

    def read(self, offset: int, length: int) -> bytes:
        """Up to `length` bytes; fewer only at the end of the file."""

    def write(self, offset: int, buffers: Sequence[bytes]) -> None:
        """Write all buffers one behind the other from `offset`, or raise OSError having written any part of it."""

    def allocate(self, size: int) -> None:
        """Lay an empty file out: it has this size, reads as zeros, and writing inside it will need no more room."""

    def size(self) -> int:
        """Bytes."""

    def sync(self) -> None:
        """Make durable what was written."""

    def close(self) -> None:
        """Let go of it; writes that were not synced stay as they are."""


class FileSystem(Protocol):
    """One directory. Errors of the system are OSError."""

    @property
    def label(self) -> str:
        """The directory, for messages."""

    def lock(self, create: bool) -> None:
        """Take the directory for this store alone, or raise StoreLockedError. `create` makes it where it is missing."""

    def unlock(self) -> None:
        """Give it back."""

    def names(self) -> list[str]:
        """All files in it."""

    def open(self, name: str) -> File:
        """Open a file that is there."""

    def create(self, name: str) -> File:
        """A new empty file; one of this name is replaced."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, replacing what has it."""

    def remove(self, name: str) -> None:
        """Remove a name."""

    def sync_names(self) -> None:
        """Make names durable."""


class LocalFile:
    """A descriptor."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def read(self, offset: int, length: int) -> bytes:
        """Up to `length` bytes."""
        parts = []
        while length > 0 and (part := os.pread(self._descriptor, length, offset)):
            parts.append(part)
            offset, length = offset + len(part), length - len(part)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def write(self, offset: int, buffers: Sequence[bytes]) -> None:
        """Write all; a short write is gone on with, one of nothing is an error."""
        for first in range(0, len(buffers), MAX_WRITE_BUFFERS):
            part: Sequence[bytes | memoryview] = buffers[first : first + MAX_WRITE_BUFFERS]
            left = sum(map(len, part))
            while left:
                done = os.pwritev(self._descriptor, part, offset)
                if not done:
                    raise OSError(errno.EIO, "the disk takes no bytes")
                offset, left = offset + done, left - done
                if left:
                    part = [memoryview(b"".join(part))[done:]]

    def allocate(self, size: int) -> None:
        """Reserve blocks. Where the file system can't, the C library writes into each of them instead."""
        os.posix_fallocate(self._descriptor, 0, size)

    def size(self) -> int:
        """Bytes."""
        return os.fstat(self._descriptor).st_size

    def sync(self) -> None:
        """Data, and of the metadata what reading it back needs."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the descriptor, once."""
        if self._descriptor >= 0:
            descriptor, self._descriptor = self._descriptor, -1
            os.close(descriptor)


class LocalFileSystem:
    """A directory of the system. Its lock is `flock`, which the system lifts when the process ends, however."""

    def __init__(self, directory: str | Path) -> None:
        self._path = Path(directory)
        self._lock = -1

    @property
    def label(self) -> str:
        """The directory as it was given."""
        return str(self._path)

    def lock(self, create: bool) -> None:
        """Take the lock."""
        if create and not self._path.is_dir():
            self._path.mkdir(parents=True, exist_ok=True)
            with contextlib.suppress(OSError):  # some file systems sync no directories; then nothing can be done
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
        """Lift it."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def names(self) -> list[str]:
        """All files."""
        return sorted(os.listdir(self._path))

    def open(self, name: str) -> LocalFile:
        """Open for reading and writing; for reading only where the directory allows no more."""
        try:
            return LocalFile(os.open(self._path / name, os.O_RDWR | os.O_CLOEXEC))
        except PermissionError:
            return LocalFile(os.open(self._path / name, os.O_RDONLY | os.O_CLOEXEC))

    def create(self, name: str) -> LocalFile:
        """Create or replace."""
        return LocalFile(os.open(self._path / name, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o640))

    def rename(self, old: str, new: str) -> None:
        """Atomic replacement."""
        os.replace(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """Remove."""
        os.unlink(self._path / name)

    def sync_names(self) -> None:
        """Sync the directory."""
        _sync_directory(self._path)


def _sync_directory(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
