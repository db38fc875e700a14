"""Exceptions of the store. All public ones derive from `StoreError`."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of the errors that a store raises."""


class StoreFullError(StoreError):
    """A put does not fit on the disk, into the store's size limit or into the index's memory limit.

    The put changed nothing, and no live record was dropped. Space is freed as records expire or are deleted."""


class StoreBusyError(StoreError):
    """The write queue is full; `await store.wait_for_space()` returns when it has been flushed."""


class StoreLockedError(StoreError):
    """Another store object, in this or another process, has locked the directory."""


class StoreClosedError(StoreError):
    """The store is closed."""


class StoreFailedError(StoreError):
    """A write or an fsync failed.

    Records that were not yet acknowledged may be lost. The store acknowledges no write until it is reopened, because
    the page cache may return data that is not on the disk."""


class StoreDamagedError(StoreError):
    """Durable data is missing or corrupt: at `offset` (bytes) of `file`, for `reason`."""

    def __init__(self, directory: str, file: str, offset: int, reason: str) -> None:
        super().__init__(
            f"{directory}/{file} at byte {offset}: {reason}; "
            f"`python -m chutepin store check {directory}` lists all damage, "
            f"`store repair` salvages what can be read into a new directory"
        )
        self.directory = directory
        self.file = file
        self.offset = offset
        self.reason = reason


class CorruptDataError(StoreError):
    """The bytes from `offset` of a file on fail validation. Internal: callers of the store get StoreDamagedError."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(reason)
        self.offset = offset
        self.reason = reason
