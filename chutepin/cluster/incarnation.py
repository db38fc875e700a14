"""The first incarnation of a process: above those of all known earlier processes of its name.

The incarnation is the system clock in milliseconds. With a store it is also above the stored incarnation, so that a
clock set back does no harm. Without a store the other members provide the safeguard: one that knows a later process of
the name answers with `StaleProcess`, or with the name's record in a state exchange, and the process raises its
incarnation above it."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..store import Store

NEVER_EXPIRES_S = 2.0**33  # Unix time in the year 2242; finite because the store sets file times to the last expiry


def _key(name: str) -> bytes:
    return b"chutepin/cluster/incarnation/" + name.encode()


class IncarnationStore:
    """The durable incarnation of one member name."""

    def __init__(self, name: str, store: Store | None) -> None:
        self._name = name
        self._store = store

    def allocate(self) -> int:
        """Return the first incarnation of a starting process, after committing it to the store. Raises StoreError."""
        incarnation = time.time_ns() // 1_000_000
        if self._store is not None:
            known = self._store.get(_key(self._name))
            incarnation = max(incarnation, int(known) + 1 if known else 0)
            self._store.put(_key(self._name), b"%d" % incarnation, NEVER_EXPIRES_S)
            self._store.commit()
        return incarnation

    def persist(self, incarnation: int) -> None:
        """Store a raised incarnation without waiting for durability.

        Store errors are ignored: then the other members provide the safeguard."""
        if self._store is not None:
            from ..store import StoreError

            with contextlib.suppress(StoreError):
                self._store.put_nowait(_key(self._name), b"%d" % incarnation, NEVER_EXPIRES_S)
