"""What a store says when it can't do what was asked. Each is a `StoreError`; none is raised for a passing event."""

from __future__ import annotations


class StoreError(Exception):
    """The base of all."""


class StoreFullError(StoreError):
    """There is no room for this put: on the disk, in the store's size limit or in the index's. Nothing was changed,
    and nothing that is remembered was dropped. Room comes back as records expire or are deleted."""


class StoreBusyError(StoreError):
    """The queue to the disk is full just now; `await store.room()` tells when it is not."""


class StoreLockedError(StoreError):
    """Another store, here or in another process, has this directory open."""


class StoreClosedError(StoreError):
    """The store was closed."""


class StoreFailedError(StoreError):
    """A write or a sync failed. What was not acknowledged before may be lost; nothing is acknowledged until the store
    is opened again, as the page cache can show what the disk does not hold."""


class StoreDamagedError(StoreError):
    """Something that was durable is not as it was written. `file`, `offset` (bytes) and `what` say where and how."""

    def __init__(self, directory: str, file: str, offset: int, what: str) -> None:
        super().__init__(
            f"{directory}/{file} at byte {offset}: {what}; "
            f"`python -m chutepin store check {directory}` lists all damage, "
            f"`store repair` salvages what can be read into a new directory"
        )
        self.directory, self.file, self.offset, self.what = directory, file, offset, what
