"""The in-memory log: its segments, index and write queue. No files, no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

from .codec import (
    EXPIRY_BUCKET_BITS,
    FIRST_RECORD_OFFSET,
    LOCATION,
    NEVER_MS,
    RECORD_HEADER_BYTES,
    SEAL_RECORD_BYTES,
    DurabilityMarker,
    encode_record_head,
)
from .index import PUT, SEAL, LogIndex
from .segment import Segment
from .write_queue import WriteQueue

_pack_location = LOCATION.pack


class SegmentedLog:
    """The segments, index and write queue of one store. Not thread-safe."""

    def __init__(self, segment_bytes: int) -> None:
        self.segment_bytes = segment_bytes
        self.max_record_bytes = segment_bytes - FIRST_RECORD_OFFSET - SEAL_RECORD_BYTES
        self.segments: dict[int, Segment] = {}  # in log order
        self.index = LogIndex(self.segments)
        self.queue = WriteQueue()
        self.active: Segment | None = None  # the segment that records are appended to
        self.spares: deque[Segment] = deque()  # preallocated, durable and listed in the manifest; used in this order
        self.last_sequence = 0  # sequence number of the last appended record
        self.durable_sequence = 0  # sequence number of the last synced record
        self._file_bytes = 0  # of all segments and the hints of sealed segments

    @property
    def disk_bytes(self) -> int:
        """Bytes of all segments and hints, including hints not yet written."""
        active = self.active
        if active is None or active.hint is None:
            return self._file_bytes
        return self._file_bytes + active.hint.bytes

    def durability_marker(self, now_ms: int) -> DurabilityMarker:
        """Return the current watermark."""
        if self.active is None:
            return DurabilityMarker(self.durable_sequence, 0, 0, now_ms)
        return DurabilityMarker(self.durable_sequence, self.active.number, self.active.durable_end, now_ms)

    def add_segment(self, segment: Segment) -> None:
        """Add a segment at the end of the log."""
        self.segments[segment.number] = segment
        self._file_bytes += self.segment_bytes + segment.hint_bytes

    def set_hint_bytes(self, segment: Segment, size: int) -> None:
        """Set the hint size of a sealed segment."""
        self._file_bytes += size - segment.hint_bytes
        segment.hint_bytes = size

    def fits_active_segment(self, size: int) -> bool:
        """Return whether the active segment has space for a record of this size and a seal after it."""
        return self.active is not None and self.active.end + size + SEAL_RECORD_BYTES <= self.segment_bytes

    def advance(self) -> None:
        """Seal the active segment, if any, and make the next spare segment active."""
        if self.active is not None:
            self.append(SEAL, b"", b"", NEVER_MS)
            self.active.sealed = True
            assert self.active.hint is not None
            self.set_hint_bytes(self.active, self.active.hint.bytes)
        self.active = self.spares.popleft()

    def drop(self, numbers: Iterable[int]) -> None:
        """Remove segments that hold no live records and shadow no remaining segment."""
        dropped = set(numbers)
        for number in dropped:
            segment = self.segments.pop(number)
            assert not segment.live_bytes and not segment.shadowed_segments - dropped, number
            self._file_bytes -= self.segment_bytes + segment.hint_bytes
        for segment in self.segments.values():
            segment.shadowed_segments -= dropped

    def append(self, kind: int, key: bytes, value: bytes, expires_ms: int) -> None:
        """Append a record to the active segment. The caller must ensure that it fits."""
        segment = self.active
        assert segment is not None and segment.hint is not None
        number = segment.number
        offset = segment.end
        sequence = self.last_sequence = self.last_sequence + 1
        head = encode_record_head(kind, sequence, segment.durable_end, expires_ms, key, value)
        size = len(head) + len(value)
        location = _pack_location(expires_ms, number, offset, size)
        segment.hint.add(kind, key, expires_ms, location, size)
        segment.end = offset + size
        segment.record_count += 1
        segment.last_sequence = sequence
        queue = self.queue
        buffers = queue.batch_for(number, offset).buffers
        buffers.append(head)
        if value:
            buffers.append(value)
        queue.bytes += size
        if kind != SEAL:
            queue.values[key] = value
            self.index.apply(segment, kind, key, expires_ms, location, size)

    def append_many(self, items: Sequence[tuple[bytes, bytes]], expires_ms: int) -> int:
        """Append puts of new keys of one length until the active segment is full; return how many were appended.

        Three times as fast as `append` for each record, because bookkeeping is done once per batch."""
        segment = self.active
        assert segment is not None and segment.hint is not None
        number = segment.number
        begin = end = segment.end
        limit = self.segment_bytes - SEAL_RECORD_BYTES
        key_size = len(items[0][0])
        sequence = self.last_sequence
        buffers: list[bytes] = []
        hint_entries: list[bytes] = []
        keys: list[bytes] = []
        locations = self.index.locations
        queued_values = self.queue.values
        for key, value in items:
            size = RECORD_HEADER_BYTES + key_size + len(value)
            if end + size > limit:
                break
            sequence += 1
            buffers.append(encode_record_head(PUT, sequence, segment.durable_end, expires_ms, key, value))
            if value:
                buffers.append(value)
            location = _pack_location(expires_ms, number, end, size)
            locations[key] = location
            queued_values[key] = value
            keys.append(key)
            hint_entries.append(key + location)
            end += size
        if not keys:
            return 0
        count = len(keys)
        segment.hint.add_run(PUT, key_size, expires_ms, hint_entries, end - begin)
        self.last_sequence = segment.last_sequence = sequence
        segment.end = end
        segment.record_count += count
        self.queue.batch_for(number, begin).buffers.extend(buffers)
        self.queue.bytes += end - begin
        self.index.count_new_keys(segment, keys, key_size, end - begin, expires_ms >> EXPIRY_BUCKET_BITS)
        return count
