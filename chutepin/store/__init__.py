"""An embedded store: keys with values and expiries, in a log of segments that survives a power cut.

    from chutepin.store import Store
    store = Store.open("directory")
    store.put(b"key", b"value", expires=math.inf)
    store.commit()          # or, on an event loop: await store.committed()

`docs/store.md` states what it promises, what it assumes of the disk, and how each is proven."""

from .errors import (
    StoreBusyError,
    StoreClosedError,
    StoreDamagedError,
    StoreError,
    StoreFailedError,
    StoreFullError,
    StoreLockedError,
)
from .store import Store

__all__ = [
    "Store",
    "StoreBusyError",
    "StoreClosedError",
    "StoreDamagedError",
    "StoreError",
    "StoreFailedError",
    "StoreFullError",
    "StoreLockedError",
]
