"""The first incarnation of a process: above all that earlier processes of its name used, as far as the node knows.

It is the system's clock in milliseconds; with a store also above what is stored there, so that a clock set back does no
harm. Without a store the other members are the guard: one that knows a later process of the name answers with
`StaleProcess`, or with the name's record in a state exchange, and the process rises above it."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..store import Store

NEVER_EXPIRES_S = 2.0**33  # Unix time in the year 2242: the store sets file times to the last expiry


def _key(name: str) -> bytes:
    return b"chutepin/cluster/incarnation/" + name.encode()


class Incarnations:
    """The stored incarnations of one name."""

    def __init__(self, name: str, store: Store | None) -> None:
        self._name = name
        self._store = store

    def begin(self) -> int:
        """Return the incarnation of a process that starts, durable before it is used. Raises StoreError."""
        number = time.time_ns() // 1_000_000
        if self._store is not None:
            known = self._store.get(_key(self._name))
            number = max(number, int(known) + 1 if known else 0)
            self._store.put(_key(self._name), b"%d" % number, NEVER_EXPIRES_S)
            self._store.commit()
        return number

    def store(self, incarnation: int) -> None:
        """Store a higher incarnation, durable soon. A full store loses it: then the other members are the guard."""
        if self._store is not None:
            from ..store import StoreError

            with contextlib.suppress(StoreError):
                self._store.offer(_key(self._name), b"%d" % incarnation, NEVER_EXPIRES_S)
