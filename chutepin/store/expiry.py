"""Schedule of key expiries in buckets of about a second. No clock: times are arguments, in Unix ms."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .codec import EXPIRY_BUCKET_BITS, NEVER_MS

MAX_STALE_ENTRIES = 4096  # allowed in addition to two entries per key


class DueKey(NamedTuple):
    """A key whose bucket has ended. It may have been deleted or given a later expiry since."""

    key: bytes
    bucket: int


class ExpirySchedule:
    """Keys grouped by expiry bucket.

    A key that is deleted or given a later expiry keeps its entry, which is detected as stale when its bucket ends."""

    def __init__(self) -> None:
        self.due_ms = NEVER_MS  # end of the earliest bucket
        self._buckets: dict[int, list[bytes]] = {}
        self._heap: list[int] = []  # bucket numbers
        self._entries = 0

    def add(self, key: bytes, expires_ms: int) -> None:
        """Add a key with its expiry."""
        self.add_all([key], expires_ms >> EXPIRY_BUCKET_BITS)

    def add_all(self, keys: list[bytes], bucket: int) -> None:
        """Add keys of one bucket. The schedule takes ownership of the list."""
        if not keys:
            return
        bucket_keys = self._buckets.get(bucket)
        if bucket_keys is None:
            self._buckets[bucket] = keys
            heapq.heappush(self._heap, bucket)
            self._update_due()
        else:
            bucket_keys.extend(keys)
        self._entries += len(keys)

    def pop_due(self, now_ms: int) -> DueKey | None:
        """Remove and return a key of a bucket that has ended, or None."""
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
        """Return the keys of the bucket that contains `now_ms`, without removing them."""
        return self._buckets.get(now_ms >> EXPIRY_BUCKET_BITS, ())

    def has_many_stale_entries(self, key_count: int) -> bool:
        """Return whether so many entries may be stale that the schedule should be rebuilt.

        Bounds memory when keys with late expiries are put and deleted repeatedly."""
        return self._entries > 2 * key_count + MAX_STALE_ENTRIES

    def rebuild(self, expiries: Iterable[tuple[bytes, int]]) -> None:
        """Replace all entries with the given keys and expiries."""
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
