"""Where incarnations begin: above all that earlier processes of this name used, as far as this node can know.

The system's clock in milliseconds; with a store also above what is remembered there, so that a clock set back does no
harm. Without a store the guard is the fleet: a member that knows a later life of the name says so (`Stale`, or the
name's own record in an exchange of whole states), and the process goes above it."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..store import Store

EXPIRES_NEVER_S = 2.0**33  # seconds of Unix time: the year 2242; the store sets files to the time of their last expiry


def _key(name: str) -> bytes:
    return b"chutepin/cluster/incarnation/" + name.encode()


class Incarnations:
    """Those of one name."""

    def __init__(self, name: str, store: Store | None) -> None:
        self._name, self._store = name, store

    def begin(self) -> int:
        """The incarnation of a process that starts; durable before it is used. Raises StoreError."""
        number = time.time_ns() // 1_000_000
        if self._store is not None:
            known = self._store.get(_key(self._name))
            number = max(number, int(known) + 1 if known else 0)
            self._store.put(_key(self._name), b"%d" % number, EXPIRES_NEVER_S)
            self._store.commit()
        return number

    def keep(self, incarnation: int) -> None:
        """Remember a higher one; durable soon. A full store loses it: then the fleet's memory has to do."""
        if self._store is not None:
            from ..store import StoreError

            with contextlib.suppress(StoreError):
                self._store.offer(_key(self._name), b"%d" % incarnation, EXPIRES_NEVER_S)
