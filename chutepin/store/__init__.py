"""An embedded log-structured key-value store with expiries, durable across power cuts.

    from chutepin.store import Store
    store = Store.open("directory")
    store.put(b"key", b"value", expires=math.inf)
    store.commit()          # or, on an event loop: await store.committed()

`docs/store.md` describes its guarantees, its assumptions about the disk and the tests that check them."""

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
