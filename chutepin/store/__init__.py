"""An embedded log-structured store: keys with values and expiries, which survive a power cut.

    from chutepin.store import Store
    store = Store.open("directory")
    store.put(b"key", b"value", expires=math.inf)
    store.commit()          # or, on an event loop: await store.committed()

`docs/store.md` states its guarantees, what it assumes of the disk, and which tests check them."""

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
