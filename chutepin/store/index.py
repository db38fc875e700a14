"""The index of the log: the location of each key's live record and the live bytes of each segment. No files, no clock.

The last record of a key in log order is its live record. Times are Unix time in ms. Locations are packed with
`codec.LOCATION`, which takes a third of the memory of a tuple."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from .codec import EXPIRY_BUCKET_BITS, HINT_ENTRY_BYTES, LOCATION, NEVER_MS, HintRun, RecordKind
from .expiry import ExpirySchedule
from .segment import Segment

# Plain integers compare twice as fast as enum members.
PUT = int(RecordKind.PUT)
DELETE = int(RecordKind.DELETE)
SEAL = int(RecordKind.SEAL)
KEY_MEMORY_BYTES = 250  # estimated memory of an index entry, not counting the bytes of its key


class RecordLocation(NamedTuple):
    """The location of a record; offset and size in bytes."""

    segment: int
    offset: int
    size: int


class AddedBytes(NamedTuple):
    """The live bytes and index memory that a put adds; negative if the put frees more than it adds."""

    live: int
    memory: int


class LogIndex:
    """Maps each key to its live record. Not thread-safe."""

    def __init__(self, segments: dict[int, Segment]) -> None:
        self.locations: dict[bytes, bytes] = {}
        self.live_bytes = 0  # of all live records including their hint entries
        self.key_bytes = 0  # total length of all keys
        self._segments = segments  # the segments of the log, in log order
        self._schedule = ExpirySchedule()

    def __len__(self) -> int:
        return len(self.locations)

    @property
    def memory_bytes(self) -> int:
        """Estimated memory of the index, in bytes."""
        return self.key_bytes + KEY_MEMORY_BYTES * len(self.locations)

    def find(self, key: bytes, now_ms: int) -> RecordLocation | None:
        """Return the location of a key's live record, or None if there is none or it has expired."""
        location = self.locations.get(key)
        if location is None:
            return None
        expires_ms, segment, offset, size = LOCATION.unpack(location)
        return RecordLocation(segment, offset, size) if expires_ms > now_ms else None

    def location_of(self, key: bytes) -> RecordLocation | None:
        """Return the location of a key's live record, even if it has expired."""
        location = self.locations.get(key)
        return None if location is None else RecordLocation(*LOCATION.unpack(location)[1:])

    def live_items(self, now_ms: int) -> Iterator[tuple[bytes, RecordLocation]]:
        """Iterate over all keys that have not expired, with their locations."""
        for key, location in self.locations.items():
            expires_ms, segment, offset, size = LOCATION.unpack(location)
            if expires_ms > now_ms:
                yield key, RecordLocation(segment, offset, size)

    def added_bytes(self, key: bytes, size: int) -> AddedBytes:
        """Return what a put of this key with a record of this size would add."""
        old = self.locations.get(key)
        added = size + len(key) + HINT_ENTRY_BYTES
        if old is None:
            return AddedBytes(added, len(key) + KEY_MEMORY_BYTES)
        return AddedBytes(added - (LOCATION.unpack(old)[3] + len(key) + HINT_ENTRY_BYTES), 0)

    def apply(self, segment: Segment, kind: int, key: bytes, expires_ms: int, location: bytes, size: int) -> None:
        """Apply the next record of the log, a put or a delete."""
        old = self.locations.get(key)
        if old is not None:
            old_expires_ms = self._supersede(key, old, segment.number)
        if kind != PUT:
            if old is not None:
                del self.locations[key]
                self.key_bytes -= len(key)
            return
        self.locations[key] = location
        key_size = len(key)
        added = size + key_size + HINT_ENTRY_BYTES
        segment.live_bytes += added
        segment.live_records += 1
        self.live_bytes += added
        if old is None:
            self.key_bytes += key_size
        if expires_ms < NEVER_MS and (
            old is None or old_expires_ms >> EXPIRY_BUCKET_BITS > expires_ms >> EXPIRY_BUCKET_BITS
        ):
            self._schedule.add(key, expires_ms)
            if self._schedule.has_many_stale_entries(len(self.locations)):
                self._rebuild_schedule()

    def apply_run(self, segment: Segment, run: HintRun) -> None:
        """Apply the records of a run. A run of only new keys is added in one operation, which speeds up opening."""
        if run.kind == SEAL:
            return
        if run.kind == PUT:
            locations = dict(run.entries())
            if len(locations) == run.count and self.locations.keys().isdisjoint(locations):
                self.locations.update(locations)
                self.count_new_keys(segment, list(locations), run.key_size, run.record_bytes, run.bucket)
                return
        for key, location in run.entries():
            expires_ms, _, _, size = LOCATION.unpack(location)
            self.apply(segment, run.kind, key, expires_ms, location, size)

    def count_new_keys(
        self, segment: Segment, keys: list[bytes], key_size: int, record_bytes: int, bucket: int
    ) -> None:
        """Update the statistics for new keys of one length and expiry bucket that were added to `locations`."""
        added = record_bytes + len(keys) * (key_size + HINT_ENTRY_BYTES)
        segment.live_bytes += added
        segment.live_records += len(keys)
        self.live_bytes += added
        self.key_bytes += len(keys) * key_size
        if bucket < NEVER_MS >> EXPIRY_BUCKET_BITS:
            self._schedule.add_all(keys, bucket)

    def _supersede(self, key: bytes, location: bytes, by_segment: int) -> int:
        """Mark the record at a location dead, superseded by a record in `by_segment`, and return its expiry."""
        expires_ms, number, _, size = LOCATION.unpack(location)
        self._subtract_live(number, size + len(key) + HINT_ENTRY_BYTES)
        if number != by_segment:
            self._segments[by_segment].shadowed_segments.add(number)
        return int(expires_ms)

    def _subtract_live(self, segment: int, size: int) -> None:
        self._segments[segment].live_bytes -= size
        self._segments[segment].live_records -= 1
        self.live_bytes -= size

    @property
    def due_ms(self) -> int:
        """End of the earliest expiry bucket."""
        return self._schedule.due_ms

    def expire(self, now_ms: int, limit: int) -> bool:
        """Remove up to `limit` keys from expiry buckets that have ended; return whether more remain."""
        for _ in range(limit):
            due = self._schedule.pop_due(now_ms)
            if due is None:
                return False
            self._expire_key(due.key, now_ms, due.bucket)
        return self._schedule.due_ms <= now_ms

    def expire_all(self, now_ms: int) -> None:
        """Remove all expired keys, including those in the current bucket."""
        while (due := self._schedule.pop_due(now_ms)) is not None:
            self._expire_key(due.key, now_ms, due.bucket)
        for key in self._schedule.keys_due_soon(now_ms):
            location = self.locations.get(key)
            if location is not None and LOCATION.unpack(location)[0] <= now_ms:
                self.remove_expired(key)

    def remove_expired(self, key: bytes) -> None:
        """Remove an expired key from the index. Unlike a delete, this appends no tombstone."""
        _, segment, _, size = LOCATION.unpack(self.locations[key])
        self._subtract_live(segment, size + len(key) + HINT_ENTRY_BYTES)
        self.key_bytes -= len(key)
        del self.locations[key]

    def _expire_key(self, key: bytes, now_ms: int, bucket: int) -> None:
        location = self.locations.get(key)
        if location is None:
            return
        expires_ms = LOCATION.unpack(location)[0]
        if expires_ms <= now_ms:
            self.remove_expired(key)
        elif expires_ms < NEVER_MS and expires_ms >> EXPIRY_BUCKET_BITS > bucket:
            self._schedule.add(key, expires_ms)

    def _rebuild_schedule(self) -> None:
        self._schedule.rebuild((key, LOCATION.unpack(location)[0]) for key, location in self.locations.items())
