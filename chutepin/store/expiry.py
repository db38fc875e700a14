"""When keys expire, by buckets of about a second. No clock: times are arguments, in ms of Unix time."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .codec import EXPIRY_BUCKET_BITS, NEVER_MS

MAX_STALE_ENTRIES = 4096  # tolerated besides twice as many entries as there are keys


class DueKey(NamedTuple):
    """A key whose bucket is over. It may have been deleted, or its expiry put off."""

    key: bytes
    bucket: int


class ExpirySchedule:
    """Keys by the bucket of their expiry.

    A key that is deleted or gets a later expiry keeps its entry, which is found stale when its bucket is over."""

    def __init__(self) -> None:
        self.due_ms = NEVER_MS  # end of the first bucket
        self._buckets: dict[int, list[bytes]] = {}
        self._heap: list[int] = []  # of buckets
        self._entries = 0

    def add(self, key: bytes, expires_ms: int) -> None:
        """Add a key."""
        self.add_all([key], expires_ms >> EXPIRY_BUCKET_BITS)

    def add_all(self, keys: list[bytes], bucket: int) -> None:
        """Add keys of one bucket. The list is taken over."""
        if not keys:
            return
        known = self._buckets.get(bucket)
        if known is None:
            self._buckets[bucket] = keys
            heapq.heappush(self._heap, bucket)
            self._update_due()
        else:
            known.extend(keys)
        self._entries += len(keys)

    def pop_due(self, now_ms: int) -> DueKey | None:
        """Remove and return a key of a bucket that is over, if there is one."""
        if self.due_ms > now_ms:
            return None
        bucket = self._heap[0]
        keys = self._buckets[bucket]
        key = keys.pop()
        self._entries -= 1
        if not keys:
            heapq.heappop(self._heap)
            del self._buckets[bucket]
            self._update_due()
        return DueKey(key, bucket)

    def keys_due_soon(self, now_ms: int) -> Sequence[bytes]:
        """Keys of the bucket that `now_ms` lies in; they stay in the schedule."""
        return self._buckets.get(now_ms >> EXPIRY_BUCKET_BITS, ())

    def has_many_stale_entries(self, key_count: int) -> bool:
        """Whether entries outnumber the keys so far that the schedule should be rebuilt.

        Guards memory against keys that are put and deleted again and again with late expiries."""
        return self._entries > 2 * key_count + MAX_STALE_ENTRIES

    def rebuild(self, expiries: Iterable[tuple[bytes, int]]) -> None:
        """Replace all entries by these keys with their expiries."""
        self._buckets = {}
        self._entries = 0
        for key, expires_ms in expiries:
            if expires_ms < NEVER_MS:
                self._buckets.setdefault(expires_ms >> EXPIRY_BUCKET_BITS, []).append(key)
                self._entries += 1
        self._heap = sorted(self._buckets)
        self._update_due()

    def _update_due(self) -> None:
        self.due_ms = (self._heap[0] + 1) << EXPIRY_BUCKET_BITS if self._heap else NEVER_MS
