"""Errors of the store. Each is a `StoreError`."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of all errors of a store."""


class StoreFullError(StoreError):
    """A put has no space: on the disk, within the store's size limit or within the index's memory limit.

    Nothing was changed, and no live record was dropped. Space is freed as records expire or are deleted."""


class StoreBusyError(StoreError):
    """The write queue is full at the moment; `await store.room()` returns when it has space again."""


class StoreLockedError(StoreError):
    """Another store, in this process or another one, has the directory open."""


class StoreClosedError(StoreError):
    """The store was closed."""


class StoreFailedError(StoreError):
    """A write or a sync failed.

    Records that were not acknowledged before may be lost. Nothing is acknowledged until the store is opened again, as
    the page cache may show what the disk does not hold."""


class StoreDamagedError(StoreError):
    """Something that was durable is not as it was written. `file`, `offset` (bytes) and `what` say where and how."""

    def __init__(self, directory: str, file: str, offset: int, what: str) -> None:
        super().__init__(
            f"{directory}/{file} at byte {offset}: {what}; "
            f"`python -m chutepin store check {directory}` lists all damage, "
            f"`store repair` salvages what can be read into a new directory"
        )
        self.directory = directory
        self.file = file
        self.offset = offset
        self.what = what


class CorruptDataError(StoreError):
    """Bytes are not as they were written, from `offset` in their file on. Internal: a caller sees what follows."""

    def __init__(self, offset: int, what: str) -> None:
        super().__init__(what)
        self.offset = offset
        self.what = what
