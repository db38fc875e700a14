"""The log index: the location of each key's live record, and what of each segment is live. No files, no clock.

The log's order is the truth: the last record of a key is the live one. Times are Unix time in ms. Locations are packed
as `codec.LOCATION`, which takes a third of the memory of a tuple."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from .codec import EXPIRY_BUCKET_BITS, HINT_ENTRY_BYTES, LOCATION, NEVER_MS, HintRun, RecordKind
from .expiry import ExpirySchedule
from .segment import Segment

# Plain integers compare twice as fast as members of the enumeration.
PUT = int(RecordKind.PUT)
DELETE = int(RecordKind.DELETE)
SEAL = int(RecordKind.SEAL)
KEY_MEMORY_BYTES = 250  # of a key in the index besides its own length


class RecordLocation(NamedTuple):
    """Where a record lies, in bytes."""

    segment: int
    offset: int
    size: int


class AddedBytes(NamedTuple):
    """What a put adds to the store; negative where it frees more than it adds."""

    live: int
    memory: int


class LogIndex:
    """Live records of a store by key. Not thread-safe by itself."""

    def __init__(self, segments: dict[int, Segment]) -> None:
        self.locations: dict[bytes, bytes] = {}
        self.live_bytes = 0  # of all live records with their share of the hints
        self.key_bytes = 0  # of all keys
        self._segments = segments  # the log's, in its order
        self._schedule = ExpirySchedule()

    def __len__(self) -> int:
        return len(self.locations)

    @property
    def memory_bytes(self) -> int:
        """Estimated memory of the index."""
        return self.key_bytes + KEY_MEMORY_BYTES * len(self.locations)

    def find(self, key: bytes, now_ms: int) -> RecordLocation | None:
        """Location of a key's live record, unless it has expired."""
        location = self.locations.get(key)
        if location is None:
            return None
        expires_ms, segment, offset, size = LOCATION.unpack(location)
        return RecordLocation(segment, offset, size) if expires_ms > now_ms else None

    def location_of(self, key: bytes) -> RecordLocation | None:
        """Location of a key's live record, expired or not."""
        location = self.locations.get(key)
        return None if location is None else RecordLocation(*LOCATION.unpack(location)[1:])

    def live_items(self, now_ms: int) -> Iterator[tuple[bytes, RecordLocation]]:
        """Each key that has not expired, with its location."""
        for key, location in self.locations.items():
            expires_ms, segment, offset, size = LOCATION.unpack(location)
            if expires_ms > now_ms:
                yield key, RecordLocation(segment, offset, size)

    def added_bytes(self, key: bytes, size: int) -> AddedBytes:
        """What a record of this size under this key adds."""
        old = self.locations.get(key)
        added = size + len(key) + HINT_ENTRY_BYTES
        if old is None:
            return AddedBytes(added, len(key) + KEY_MEMORY_BYTES)
        return AddedBytes(added - (LOCATION.unpack(old)[3] + len(key) + HINT_ENTRY_BYTES), 0)

    def apply(self, segment: Segment, kind: int, key: bytes, expires_ms: int, location: bytes, size: int) -> None:
        """Take in the next record of the log: a put or a delete."""
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
        """Take in the records of a run. One of new keys is taken in by a single step, which makes opening fast."""
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
        """Account for new keys of one length and expiry bucket that were entered into `locations`."""
        added = record_bytes + len(keys) * (key_size + HINT_ENTRY_BYTES)
        segment.live_bytes += added
        segment.live_records += len(keys)
        self.live_bytes += added
        self.key_bytes += len(keys) * key_size
        if bucket < NEVER_MS >> EXPIRY_BUCKET_BITS:
            self._schedule.add_all(keys, bucket)

    def _supersede(self, key: bytes, location: bytes, by_segment: int) -> int:
        """Make the record at a location dead, overruled by one in another or the same segment; its expiry."""
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
        """When keys expire next, at the latest: the end of an expiry bucket."""
        return self._schedule.due_ms

    def expire(self, now_ms: int, limit: int) -> bool:
        """Forget at most `limit` keys of expiry buckets that are over; whether there are more."""
        for _ in range(limit):
            due = self._schedule.pop_due(now_ms)
            if due is None:
                return False
            self._expire_key(due.key, now_ms, due.bucket)
        return self._schedule.due_ms <= now_ms

    def expire_all(self, now_ms: int) -> None:
        """Forget every key that has expired, also in the bucket that is not over yet."""
        while (due := self._schedule.pop_due(now_ms)) is not None:
            self._expire_key(due.key, now_ms, due.bucket)
        for key in self._schedule.keys_due_soon(now_ms):
            location = self.locations.get(key)
            if location is not None and LOCATION.unpack(location)[0] <= now_ms:
                self.forget(key)

    def forget(self, key: bytes) -> None:
        """Remove a key that has expired: unlike a delete, this leaves no record."""
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
            self.forget(key)
        elif expires_ms < NEVER_MS and expires_ms >> EXPIRY_BUCKET_BITS > bucket:
            self._schedule.add(key, expires_ms)

    def _rebuild_schedule(self) -> None:
        self._schedule.rebuild((key, LOCATION.unpack(location)[0]) for key, location in self.locations.items())
