"""What a store knows in memory: the index, the segments and where the next record goes. No files, no clock.

The truth is the order of the log: the last record of a key tells. The index holds the place of each live one. Times
are Unix time in ms, places are packed as `codec.LOCATION`, which takes a third of the memory of a tuple."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from .codec import (
    FIRST_RECORD_OFFSET,
    HINT_ENTRY_BYTES,
    LOCATION,
    NEVER_MS,
    RECORD_HEADER_BYTES,
    SEAL_RECORD_BYTES,
    HintWriter,
    RecordKind,
    Run,
    encode,
)

PUT, DELETE, SEAL = (
    int(RecordKind.PUT),
    int(RecordKind.DELETE),
    int(RecordKind.SEAL),
)  # as plain numbers: twice as fast to compare
_pack = LOCATION.pack

KEY_MEMORY_BYTES = 250  # bytes of memory for a key besides its own, measured by benchmarks/store.py
EXPIRY_BUCKET_BITS = 10  # an expiry bucket is 2**10 ms
MAX_STALE_REFERENCES = 4096  # expiry references without a key that are put up with, besides as many as there are keys


@dataclass(slots=True)
class Segment:
    """A segment of the log as the index sees it. Sizes in bytes."""

    number: int
    end: int = FIRST_RECORD_OFFSET  # where the next record goes, or the segment ends
    live: int = 0  # of records that tell, with their share of the hint
    live_records: int = 0  # how many those are
    count: int = 0
    last: int = 0  # sequence of the last record
    sealed: bool = False  # nothing more is laid out here
    durable: int = FIRST_RECORD_OFFSET  # all below was synced
    hint_bytes: int = 0
    hint: HintWriter | None = None  # until the hint is written
    # Older segments that hold records which a record here overrules. While one of them exists this segment must too:
    # without it, what was deleted, replaced or expired would come back.
    shadowed_segments: set[int] = field(default_factory=set)

    damaged: bool = False  # reading it failed: it stays as it is, for `repair`

    @property
    def data(self) -> int:
        """Bytes of its records with their hints."""
        return self.end - FIRST_RECORD_OFFSET + (self.hint_bytes or (self.hint.bytes if self.hint is not None else 0))

    @property
    def whole(self) -> bool:
        """Sealed, and durable as a whole."""
        return self.sealed and self.durable == self.end

    @property
    def dead(self) -> int:
        """Records that tell no more, the seal left out."""
        return self.count - self.live_records - self.sealed


@dataclass(slots=True)
class WriteBatch:
    """Records of one segment that follow each other, to be written."""

    segment: int
    offset: int
    buffers: list[bytes] = field(default_factory=list)

    @property
    def size(self) -> int:
        """Bytes."""
        return sum(map(len, self.buffers))


class LogIndex:
    """Index, segments and layout of one store. Not safe for threads by itself."""

    def __init__(self, segment_bytes: int) -> None:
        self.segment_bytes = segment_bytes
        self.index: dict[bytes, bytes] = {}
        self.segments: dict[int, Segment] = {}  # in the order of the log
        self.active: Segment | None = None
        self.spares: deque[Segment] = deque()  # laid out, durable, named by the manifest; they take the log on
        self.sequence = 0  # of the last record laid out
        self.live = 0  # bytes of all records that tell
        self.key_bytes = 0  # of all keys of the index
        self._whole = 0  # bytes of all segments and of the hints of sealed ones
        self._buckets: dict[int, list[bytes]] = {}
        self._due: list[int] = []
        self._references = 0
        self.due = NEVER_MS  # when the next bucket of expiries is over (ms)
        self.queue: list[WriteBatch] = []  # laid out, to be written
        self._part: WriteBatch | None = None  # the last of them
        self.queued = 0  # bytes laid out and not durable yet
        self.unwritten: dict[bytes, bytes] = {}  # the last value of each key in the queue
        self._writing: dict[bytes, bytes] = {}  # the same, of what was taken to be written

    # --- layout ---

    def add_segment(self, segment: Segment) -> None:
        """A segment at the end of the log."""
        self.segments[segment.number] = segment
        self._whole += self.segment_bytes + segment.hint_bytes

    @property
    def disk(self) -> int:
        """Bytes of all segments and hints, also of those that are not written yet."""
        active = self.active
        return self._whole + (active.hint.bytes if active is not None and active.hint is not None else 0)

    def hint_is(self, segment: Segment, size: int) -> None:
        """A sealed segment's hint takes so many bytes."""
        self._whole += size - segment.hint_bytes
        segment.hint_bytes = size

    def fits(self, size: int) -> bool:
        """A record of this size goes into the active segment, and the seal after it."""
        return self.active is not None and self.active.end + size + SEAL_RECORD_BYTES <= self.segment_bytes

    def largest(self) -> int:
        """The largest record that any segment takes."""
        return self.segment_bytes - FIRST_RECORD_OFFSET - SEAL_RECORD_BYTES

    def roll(self) -> None:
        """Seal the active segment, if there is one, and go on in a spare."""
        if self.active is not None:
            self.lay(SEAL, b"", b"", NEVER_MS)
            self.active.sealed = True
            assert self.active.hint is not None
            self.hint_is(self.active, self.active.hint.bytes)
        self.active = self.spares.popleft()

    def lay(self, kind: int, key: bytes, value: bytes, expires: int) -> None:
        """Lay out a record at the end of the active segment, where it fits, as the caller has seen to."""
        segment = self.active
        assert segment is not None and segment.hint is not None
        number, end = segment.number, segment.end
        sequence = self.sequence = self.sequence + 1
        head = encode(kind, sequence, segment.durable, expires, key, value)
        size = len(head) + len(value)
        location = _pack(expires, number, end, size)
        segment.hint.add(kind, key, expires, location, size)
        segment.end = end + size
        segment.count += 1
        segment.last = sequence
        part = self._part_of(number, end)
        part.buffers.append(head)
        if value:
            part.buffers.append(value)
        self.queued += size
        if kind != SEAL:
            self.unwritten[key] = value
            self._take(segment, kind, key, expires, location, size)

    def lay_many(self, items: Sequence[tuple[bytes, bytes]], expires: int) -> int:
        """Lay out values of new keys of one length, as many as the active segment takes; how many. What `lay` does
        for each is done here once for all, which is three times as fast."""
        segment = self.active
        assert segment is not None and segment.hint is not None
        number, first, durable_offset, room = (
            segment.number,
            segment.end,
            segment.durable,
            self.segment_bytes - SEAL_RECORD_BYTES,
        )
        key_size, end, sequence = len(items[0][0]), segment.end, self.sequence
        buffers: list[bytes] = []
        entries: list[bytes] = []
        index, unwritten = self.index, self.unwritten
        for key, value in items:
            size = RECORD_HEADER_BYTES + key_size + len(value)
            if end + size > room:
                break
            sequence += 1
            buffers.append(encode(PUT, sequence, durable_offset, expires, key, value))
            if value:
                buffers.append(value)
            location = _pack(expires, number, end, size)
            index[key] = location
            unwritten[key] = value
            entries.append(key + location)
            end += size
        count = len(entries)
        if not count:
            return 0
        segment.hint.add_run(PUT, key_size, expires, entries, end - first)
        self.sequence = segment.last = sequence
        segment.end = end
        segment.count += count
        segment.live_records += count
        cost = end - first + count * (key_size + HINT_ENTRY_BYTES)
        segment.live += cost
        self.live += cost
        self.key_bytes += count * key_size
        self.queued += end - first
        self._part_of(number, first).buffers.extend(buffers)
        if expires < NEVER_MS:
            self._refer_all([key for key, _ in items[:count]], expires >> EXPIRY_BUCKET_BITS)
        return count

    def _part_of(self, number: int, offset: int) -> WriteBatch:
        part = self._part
        if part is None or part.segment != number:
            part = self._part = WriteBatch(number, offset)
            self.queue.append(part)
        return part

    def take_queue(self) -> list[WriteBatch]:
        """All that is laid out and not taken yet, to be written in this order. Until `written` it can be read."""
        taken, self.queue, self._part = self.queue, [], None
        self._writing.update(self.unwritten)
        self.unwritten = {}
        return taken

    def written(self, parts: list[WriteBatch]) -> None:
        """All that was taken is in its files."""
        self._writing = {}
        self.queued -= sum(part.size for part in parts)

    def in_memory(self, key: bytes, number: int, offset: int) -> bytes | None:
        """The value of a record that is not in its file yet, or None. It is the last of its key."""
        if offset < self.segments[number].durable:
            return None
        return self.unwritten[key] if key in self.unwritten else self._writing.get(key)

    # --- index ---

    def _take(self, segment: Segment, kind: int, key: bytes, expires: int, location: bytes, size: int) -> None:
        old = self.index.get(key)
        if old is not None:
            old_expires = self._gone(key, old, segment.number)
        if kind != PUT:
            if old is not None:
                del self.index[key]
                self.key_bytes -= len(key)
            return
        self.index[key] = location
        key_size = len(key)
        cost = size + key_size + HINT_ENTRY_BYTES
        segment.live += cost
        segment.live_records += 1
        self.live += cost
        if old is None:
            self.key_bytes += key_size
        if expires < NEVER_MS and (old is None or old_expires >> EXPIRY_BUCKET_BITS > expires >> EXPIRY_BUCKET_BITS):
            self._refer(key, expires >> EXPIRY_BUCKET_BITS)
            if self._references > 2 * len(self.index) + MAX_STALE_REFERENCES:
                self._refer_anew()

    def _gone(self, key: bytes, location: bytes, by: int) -> int:
        """The record at a place tells no more, overruled by one in segment `by`; its expiry."""
        expires, number, _, size = LOCATION.unpack(location)
        cost = size + len(key) + HINT_ENTRY_BYTES
        self.segments[number].live -= cost
        self.segments[number].live_records -= 1
        self.live -= cost
        if number != by:
            self.segments[by].shadowed_segments.add(number)
        return int(expires)

    def find(self, key: bytes, now: int) -> tuple[int, int, int] | None:
        """(segment, offset, size) of the record that tells, unless it has expired."""
        location = self.index.get(key)
        if location is None:
            return None
        expires, number, offset, size = LOCATION.unpack(location)
        return (number, offset, size) if expires > now else None

    def cost(self, key: bytes, size: int) -> tuple[int, int]:
        """What a record of this size under this key adds to the live bytes and to the memory."""
        old = self.index.get(key)
        freed = LOCATION.unpack(old)[3] + len(key) + HINT_ENTRY_BYTES if old is not None else 0
        return size + len(key) + HINT_ENTRY_BYTES - freed, (len(key) + KEY_MEMORY_BYTES if old is None else 0)

    @property
    def memory(self) -> int:
        """Estimate of the bytes of memory that the index takes."""
        return self.key_bytes + KEY_MEMORY_BYTES * len(self.index)

    def replay(self, segment: Segment, kind: int, key: bytes, expires: int, location: bytes, size: int) -> None:
        """A record read back, in the order of the log."""
        if kind != SEAL:
            self._take(segment, kind, key, expires, location, size)

    def replay_runs(self, segment: Segment, runs: list[Run]) -> None:
        """A segment's hint read back. Runs of new keys are taken in whole: opening costs little for each key."""
        for run in runs:
            if run.kind == SEAL:
                continue
            if run.kind == PUT:
                fresh = dict(run.entries())
                if len(fresh) == run.count and self.index.keys().isdisjoint(fresh):
                    self.index.update(fresh)
                    cost = run.total + run.count * (run.key_size + HINT_ENTRY_BYTES)
                    segment.live += cost
                    segment.live_records += run.count
                    self.live += cost
                    self.key_bytes += run.count * run.key_size
                    if run.bucket < NEVER_MS >> EXPIRY_BUCKET_BITS:
                        self._refer_all(list(fresh), run.bucket)
                    continue
            for key, location in run.entries():
                expires, _, _, size = LOCATION.unpack(location)
                self._take(segment, run.kind, key, expires, location, size)

    # --- expiry ---

    def _refer(self, key: bytes, bucket: int) -> None:
        self._refer_all([key], bucket)

    def _refer_all(self, keys: list[bytes], bucket: int) -> None:
        known = self._buckets.get(bucket)
        if known is None:
            self._buckets[bucket] = keys
            heapq.heappush(self._due, bucket)
            self._set_due()
        else:
            known.extend(keys)
        self._references += len(keys)

    def _refer_anew(self) -> None:
        """Guards memory against keys that are put and deleted again and again with late expiries."""
        self._buckets, self._references = {}, 0
        for key, location in self.index.items():
            expires = LOCATION.unpack(location)[0]
            if expires < NEVER_MS:
                self._buckets.setdefault(expires >> EXPIRY_BUCKET_BITS, []).append(key)
                self._references += 1
        self._due = sorted(self._buckets)
        self._set_due()

    def _set_due(self) -> None:
        self.due = (self._due[0] + 1) << EXPIRY_BUCKET_BITS if self._due else NEVER_MS

    def expire(self, now: int, most: int) -> bool:
        """Forget up to `most` keys of buckets that are over; whether there are more."""
        while self._due and (self._due[0] + 1) << EXPIRY_BUCKET_BITS <= now:
            bucket = self._due[0]
            keys = self._buckets[bucket]
            while keys:
                if most <= 0:
                    return True
                most -= 1
                self._references -= 1
                self._expire_key(keys.pop(), now, bucket)
            # An expiry that was put off refers to a later bucket by now, so this one takes in nothing more.
            heapq.heappop(self._due)
            del self._buckets[bucket]
            self._set_due()
        return False

    def expire_all(self, now: int) -> None:
        """Forget every key that has expired, also in the bucket that is not over yet."""
        self.expire(now, 2**62)
        bucket = now >> EXPIRY_BUCKET_BITS
        if bucket in self._buckets:
            keys = self._buckets[bucket]
            for key in keys:
                location = self.index.get(key)
                if location is not None and LOCATION.unpack(location)[0] <= now:
                    self._forget(key, location)

    def _expire_key(self, key: bytes, now: int, bucket: int) -> None:
        location = self.index.get(key)
        if location is None:
            return
        expires = LOCATION.unpack(location)[0]
        if expires <= now:
            self._forget(key, location)
        elif NEVER_MS > expires and expires >> EXPIRY_BUCKET_BITS > bucket:
            self._refer(key, expires >> EXPIRY_BUCKET_BITS)

    def _forget(self, key: bytes, location: bytes) -> None:
        _, number, _, size = LOCATION.unpack(location)
        cost = size + len(key) + HINT_ENTRY_BYTES
        self.segments[number].live -= cost
        self.segments[number].live_records -= 1
        self.live -= cost
        self.key_bytes -= len(key)
        del self.index[key]

    # --- compaction ---

    def place(self, key: bytes) -> tuple[int, int, int] | None:
        """(segment, offset, size) of the last record of a key, expired or not."""
        location = self.index.get(key)
        return None if location is None else LOCATION.unpack(location)[1:]

    def forget(self, key: bytes) -> None:
        """A key that has expired."""
        self._forget(key, self.index[key])

    def drop(self, numbers: Iterable[int]) -> None:
        """Segments leave the log. Nothing in them tells, and they shadow nothing that stays."""
        gone = set(numbers)
        for number in gone:
            segment = self.segments.pop(number)
            assert not segment.live and not segment.shadowed_segments - gone, number
            self._whole -= self.segment_bytes + segment.hint_bytes
        for segment in self.segments.values():
            segment.shadowed_segments -= gone

    def live_items(self, now: int) -> Iterator[tuple[bytes, tuple[int, int, int]]]:
        """Key and place of each record that tells."""
        for key, location in self.index.items():
            expires, number, offset, size = LOCATION.unpack(location)
            if expires > now:
                yield key, (number, offset, size)


def record_size(key: bytes, value: bytes) -> int:
    """Bytes of a record in its segment."""
    return RECORD_HEADER_BYTES + len(key) + len(value)
