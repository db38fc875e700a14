"""Appends puts and deletes to the in-memory log, within the store's limits."""

from __future__ import annotations

import math
from collections.abc import Sequence

from .codec import (
    HINT_ENTRY_BYTES,
    MAX_KEY_BYTES,
    NEVER_MS,
    RECORD_HEADER_BYTES,
    SEAL_RECORD_BYTES,
)
from .context import StoreContext
from .errors import StoreError
from .index import DELETE, KEY_MEMORY_BYTES, PUT
from .limits import MAX_QUEUED_BYTES
from .log import SegmentedLog
from .segment import record_size

EXPIRED_PER_PUT = 8  # expired keys removed by each put, so that the index shrinks faster than it grows
_NEVER_S = NEVER_MS / 1000  # expiries from this time on mean never


class RecordAppender:
    """Appends records on behalf of callers on any thread. The next flush writes them."""

    def __init__(self, context: StoreContext) -> None:
        self._context = context
        self.put_count = 0
        self.put_bytes = 0

    def put(self, key: bytes, value: bytes, expires: float, waited: bool = False) -> bool:
        """Append a put. Return False if the caller has to wait for the next flush or step to free space.

        Raises StoreFullError if waiting can't free space, which is known once the caller has `waited` and the store is
        idle. Raises StoreError for an invalid key, value or expiry."""
        context = self._context
        key_size = len(key)
        if key_size > MAX_KEY_BYTES:
            raise StoreError(f"a key of {key_size} bytes; at most {MAX_KEY_BYTES}")
        expires_ms = _expiry_ms(expires)
        size = RECORD_HEADER_BYTES + key_size + len(value)
        with context.lock:
            if context.unusable:
                context.check_usable()
            log = context.log
            index = log.index
            active = log.active
            limits = context.limits
            now_ms = context.now_ms()
            if now_ms >= index.due_ms:
                index.expire(now_ms, EXPIRED_PER_PUT)
            # A cheap check that assumes a new key, because puts come thousands of times a second; `_check_limits` is
            # exact.
            if (
                index.live_bytes + size + key_size + HINT_ENTRY_BYTES > limits.capacity
                or index.key_bytes + key_size + KEY_MEMORY_BYTES * (len(index.locations) + 1) > limits.max_memory
                or size > log.max_record_bytes
            ):
                self._check_limits(log, key, size, now_ms)
            if (
                active is None
                or context.writers_wait
                or log.queue.bytes > MAX_QUEUED_BYTES
                or active.end + size + SEAL_RECORD_BYTES > limits.segment_bytes
            ) and not self._make_space(size, waited):
                return False
            log.append(PUT, key, value, expires_ms)
            context.note_activity()
            self.put_count += 1
            self.put_bytes += size
            return True

    def put_many(self, items: Sequence[tuple[bytes, bytes]], expires: float, waited: bool = False) -> int:
        """Append puts with the same expiry until the caller has to wait for space; return how many were appended.

        Raises StoreFullError, with nothing appended, if the limits don't allow all of them."""
        sizes = [RECORD_HEADER_BYTES + len(key) + len(value) for key, value in items]
        with self._context.lock:
            self._context.check_usable()
            keys = {key for key, _ in items}
            self._check_batch_limits(keys, sizes)
            if not math.isnan(expires) and self._can_append_batch(keys, sizes):
                return self._append_batch(items, sizes, _expiry_ms(expires), waited)
            for appended, (key, value) in enumerate(items):
                if not self.put(key, value, expires, waited):
                    return appended
            return len(items)

    def delete(self, key: bytes, waited: bool = False) -> bool:
        """Append a delete if the key exists. Returns and raises as `put`."""
        context = self._context
        with context.lock:
            context.check_usable()
            if key not in context.log.index.locations:
                return True
            size = record_size(key, b"")
            if not self._make_space(size, waited):
                return False
            context.log.append(DELETE, key, b"", NEVER_MS)
            context.note_activity()
            context.counts["deleted"] += 1
            self.put_bytes += size
            return True

    def _check_limits(self, log: SegmentedLog, key: bytes, size: int, now_ms: int) -> None:
        """Raise StoreError if the record exceeds a limit, even after all expired keys have been removed."""
        if size > log.max_record_bytes:
            raise StoreError(f"a record of {size} bytes; at most {log.max_record_bytes} fit into a segment")
        if self._refusal_reason(log, key, size) is None:
            return
        log.index.expire_all(now_ms)
        reason = self._refusal_reason(log, key, size)
        if reason is not None:
            raise self._context.full_error(reason)

    def _refusal_reason(self, log: SegmentedLog, key: bytes, size: int) -> str | None:
        added = log.index.added_bytes(key, size)
        limits = self._context.limits
        return limits.refusal_reason(log.index.live_bytes, log.index.memory_bytes, added.live, added.memory)

    def _check_batch_limits(self, keys: set[bytes], sizes: list[int]) -> None:
        """Raise StoreFullError if records of these sizes exceed a limit, assuming that all keys are new."""
        index = self._context.log.index
        key_bytes = sum(map(len, keys))
        added_live = sum(sizes) + key_bytes + len(sizes) * HINT_ENTRY_BYTES
        added_memory = key_bytes + KEY_MEMORY_BYTES * len(keys)
        reason = self._context.limits.refusal_reason(index.live_bytes, index.memory_bytes, added_live, added_memory)
        if reason is not None:
            raise self._context.full_error(reason)

    def _can_append_batch(self, keys: set[bytes], sizes: list[int]) -> bool:
        """Return whether the keys are new, distinct and of one length, and each record fits into a segment."""
        log = self._context.log
        key_size = len(next(iter(keys), b""))
        return (
            len(keys) == len(sizes)
            and all(len(key) == key_size for key in keys)
            and key_size <= MAX_KEY_BYTES
            and max(sizes, default=0) <= log.max_record_bytes
            and log.index.locations.keys().isdisjoint(keys)
        )

    def _append_batch(
        self, items: Sequence[tuple[bytes, bytes]], sizes: list[int], expires_ms: int, waited: bool
    ) -> int:
        log = self._context.log
        appended = 0
        while appended < len(items):
            if not self._make_space(sizes[appended], waited):
                break
            count = log.append_many(items[appended:] if appended else items, expires_ms)
            self.put_count += count
            self.put_bytes += sum(sizes[appended : appended + count])
            appended += count
            self._context.note_activity()
        return appended

    def _make_space(self, size: int, waited: bool) -> bool:
        """Return whether a record of this size may be appended now, advancing to the next segment if necessary."""
        context = self._context
        log = context.log
        if log.queue.bytes > MAX_QUEUED_BYTES:
            return False
        if not context.writers_wait:
            if log.fits_active_segment(size):
                return True
            if log.spares:
                log.advance()
                return True
        if waited and context.idle:
            raise context.full_error(context.disk_full_reason or "compaction can free no space")
        context.note_activity()
        return False


def _expiry_ms(expires: float) -> int:
    if expires < _NEVER_S:
        return max(0, int(expires * 1000))
    if math.isnan(expires):
        raise StoreError("expires: not a number")
    return NEVER_MS
