"""Encoding of records, segment headers, hints, durability markers and the manifest. No files, no clock.

All integers are little-endian, checksums are CRC32C, times are Unix time in ms. `docs/store.md` has the layouts.

A record is `checksum | magic, kind, version | key length, value length | sequence | durable offset | expiry | key |
value`; the checksum covers everything after itself. The sequence number counts records in log order, without a gap
inside a segment. The durable offset is the offset in the same segment below which everything was durable when the
record was encoded. A readable record after an unreadable one therefore proves whether the latter was acknowledged."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, NamedTuple

from google_crc32c import extend
from google_crc32c import value as crc32c

from .errors import CorruptDataError

NEVER_MS = 2**63 - 1  # expiry of what does not expire
EXPIRY_BUCKET_BITS = 10  # keys expire in buckets of 2**10 ms
MAGIC = 0xC5B7
VERSION = 1
_RECORD = struct.Struct("<IHBBIIQIQ")
_RECORD_REST = struct.Struct("<HBBIIQIQ")  # a record's header after its checksum
_CRC = struct.Struct("<I")
RECORD_HEADER_BYTES = _RECORD.size
_pack_record_rest = _RECORD_REST.pack
_pack_crc = _CRC.pack
SEAL_RECORD_BYTES = RECORD_HEADER_BYTES
MAX_KEY_BYTES = 2**16 - 1
_SEGMENT_HEADER = struct.Struct("<8sQQQ")
_SEGMENT_MAGIC = b"chutseg1"
FIRST_RECORD_OFFSET = 64  # offset of a segment's first record
_MARKER = struct.Struct("<8sIIQQ")
_MARKER_MAGIC = b"chutack1"
MARKER_OFFSETS = (0, 4096)  # two sectors that are written in turn: a torn write damages only one marker
MARKER_FILE_BYTES = 8192
LOCATION = struct.Struct("<QIII")  # expiry, segment, offset, size
_HINT = struct.Struct("<8sIIIQQ")
_HINT_MAGIC = b"chuthnt1"
_RUN = struct.Struct("<BHQIQ")
HINT_ENTRY_BYTES = LOCATION.size  # of a record in a hint, besides its key
_MANIFEST_HEAD = "chutepin-store 1"


class RecordKind(IntEnum):
    """Kind of a record."""

    PUT = 1
    DELETE = 2
    SEAL = 3  # end of the segment; the log continues in the next one


_KIND_BY_NUMBER = (RecordKind.PUT, *RecordKind)  # there is no kind 0


class Record(NamedTuple):
    """A decoded record. A tuple, as opening a store may decode millions."""

    kind: RecordKind
    offset: int  # in its file
    size: int  # bytes in total
    sequence: int
    durable_offset: int
    expires_ms: int
    key: bytes
    value: bytes


def encode_record_head(
    kind: int, sequence: int, durable_offset: int, expires_ms: int, key: bytes, value: bytes
) -> bytes:
    """Encode a record up to its value, which follows in the file without being copied."""
    rest = _pack_record_rest(MAGIC, kind, VERSION, len(key), len(value), sequence, durable_offset, expires_ms) + key
    return _pack_crc(extend(crc32c(rest), value) if value else crc32c(rest)) + rest


def decode_record(data: bytes, at: int, base: int) -> Record | int:
    """Decode the record at `at` of `data`, whose first byte lies at `base` in the file.

    Returns the number of bytes needed from `at` on if `data` holds too few. Raises CorruptDataError for anything
    that is not a record, including unwritten space (zeros)."""
    if len(data) - at < RECORD_HEADER_BYTES:
        return RECORD_HEADER_BYTES
    header = _RECORD.unpack_from(data, at)
    checksum, magic, kind, version, key_size, value_size, sequence, durable_offset, expires_ms = header
    if magic != MAGIC or version != VERSION or not 1 <= kind <= 3 or key_size > MAX_KEY_BYTES:
        raise CorruptDataError(base + at, "no record begins here")
    size = RECORD_HEADER_BYTES + key_size + value_size
    if len(data) - at < size:
        return int(size)
    if crc32c(data[at + 4 : at + size]) != checksum:
        raise CorruptDataError(base + at, "a record's checksum does not match")
    key_at = at + RECORD_HEADER_BYTES
    return Record(
        _KIND_BY_NUMBER[kind],
        base + at,
        size,
        sequence,
        durable_offset,
        expires_ms,
        data[key_at : key_at + key_size],
        data[key_at + key_size : at + size],
    )


def highest_durable_offset(data: bytes, base: int, limit: int) -> int:
    """The highest durable offset in any valid record in `data`, 0 if there is none.

    Continues after bytes that are no record. `limit` is the file's size: an offset beyond it is not believed."""
    magic = MAGIC.to_bytes(2, "little")
    highest = 0
    at = 0
    while (found := data.find(magic, at + 4)) >= 0:
        at = found - 4
        try:
            record = decode_record(data, at, base)
        except CorruptDataError:
            at += 1
            continue
        if isinstance(record, int):
            at += 1
            continue
        highest = max(highest, record.durable_offset)
        at += record.size - 4 if record.size > 4 else 1
    return min(highest, limit)


def encode_segment_header(segment: int, size: int, created_ms: int) -> bytes:
    """Encode the header of a segment's file of `size` bytes."""
    head = _SEGMENT_HEADER.pack(_SEGMENT_MAGIC, segment, size, created_ms)
    return (head + _CRC.pack(crc32c(head))).ljust(FIRST_RECORD_OFFSET, b"\0")


def check_segment_header(data: bytes, segment: int, size: int) -> int:
    """When the segment was created (ms). Raises CorruptDataError if this is not the header of that segment."""
    if len(data) < FIRST_RECORD_OFFSET:
        raise CorruptDataError(len(data), "the file ends inside its head")
    magic, number, stated, created_ms = _SEGMENT_HEADER.unpack_from(data)
    if (
        _CRC.unpack_from(data, _SEGMENT_HEADER.size)[0] != crc32c(data[: _SEGMENT_HEADER.size])
        or magic != _SEGMENT_MAGIC
    ):
        raise CorruptDataError(0, "the segment's head is damaged")
    if (number, stated) != (segment, size):
        raise CorruptDataError(0, f"this is the head of segment {number} of {stated} bytes, not of {segment} of {size}")
    return int(created_ms)


@dataclass(frozen=True, slots=True, order=True)
class DurabilityMarker:
    """How far the log was durable at `time_ms`: up to `end` of `segment`, `sequence` being the last record."""

    sequence: int = 0
    segment: int = 0
    end: int = 0
    time_ms: int = 0


def encode_marker(marker: DurabilityMarker) -> bytes:
    """Encode a marker for one of its two offsets."""
    data = _MARKER.pack(_MARKER_MAGIC, marker.segment, marker.end, marker.sequence, marker.time_ms)
    return data + _CRC.pack(crc32c(data))


def decode_markers(data: bytes) -> list[DurabilityMarker]:
    """Decode the valid markers of the file. They are written without a sync, so a power cut may damage any of them."""
    markers = []
    for offset in MARKER_OFFSETS:
        stored = data[offset : offset + _MARKER.size + _CRC.size]
        if len(stored) < _MARKER.size + _CRC.size:
            continue
        if _CRC.unpack_from(stored, _MARKER.size)[0] != crc32c(stored[: _MARKER.size]):
            continue
        magic, segment, end, sequence, time_ms = _MARKER.unpack_from(stored)
        if magic == _MARKER_MAGIC:
            markers.append(DurabilityMarker(sequence, segment, end, time_ms))
    return markers


@dataclass(slots=True)
class _OpenRun:
    """A run that is being built."""

    kind: int
    key_size: int
    bucket: int
    entries: list[bytes] = field(default_factory=list)
    record_bytes: int = 0


class HintWriter:
    """Builds the hint of a segment while the segment is written: key and location of each record, in order.

    Consecutive records of one kind, key length and expiry bucket form a run, which recovery takes into the index
    without a step for each record. Idempotency keys of one retention window form long runs."""

    def __init__(self) -> None:
        self._runs: list[_OpenRun] = []
        self._run = _OpenRun(-1, -1, -1)  # the last one
        self.bytes = 0

    def add(self, kind: int, key: bytes, expires_ms: int, location: bytes, size: int) -> None:
        """Add the next record."""
        key_size = len(key)
        bucket = expires_ms >> EXPIRY_BUCKET_BITS
        run = self._run
        if kind != run.kind or key_size != run.key_size or bucket != run.bucket:
            run = self._run = _OpenRun(kind, key_size, bucket)
            self._runs.append(run)
            self.bytes += _RUN.size
        run.entries.append(key + location)
        run.record_bytes += size
        self.bytes += key_size + HINT_ENTRY_BYTES

    def add_run(self, kind: int, key_size: int, expires_ms: int, entries: list[bytes], size: int) -> None:
        """Add records of one kind, key length and expiry: key and location of each, and the bytes of all."""
        if entries:
            self.add(kind, entries[0][:key_size], expires_ms, entries[0][key_size:], size)
            self._run.entries.extend(entries[1:])
            self.bytes += (len(entries) - 1) * (key_size + HINT_ENTRY_BYTES)

    def encode(self, segment: int, end: int, record_count: int, last_sequence: int) -> bytes:
        """Encode the hint of a segment that was sealed at `end`."""
        parts = [_HINT.pack(_HINT_MAGIC, segment, end, record_count, last_sequence, len(self._runs))]
        for run in self._runs:
            parts.append(_RUN.pack(run.kind, run.key_size, run.bucket, len(run.entries), run.record_bytes))
            parts.extend(run.entries)
        data = b"".join(parts)
        return data + _CRC.pack(crc32c(data))


@dataclass(frozen=True, slots=True)
class HintRun:
    """Consecutive records of one kind, key length and expiry bucket."""

    kind: int
    key_size: int
    bucket: int  # expiry in units of 1,024 ms
    count: int
    record_bytes: int  # of its records in the segment
    data: bytes

    def entries(self) -> Iterator[tuple[bytes, bytes]]:
        """Key and location of each record, in log order."""
        return struct.iter_unpack(f"{self.key_size}s{LOCATION.size}s", self.data)


def decode_hint(data: bytes, segment: int, end: int, record_count: int, last_sequence: int) -> list[HintRun]:
    """Decode a hint. Raises CorruptDataError if it is damaged, stale or of another segment."""
    if len(data) < _HINT.size + 4 or _CRC.unpack_from(data, len(data) - 4)[0] != crc32c(data[:-4]):
        raise CorruptDataError(0, "the hint is damaged")
    magic, *stated, run_count = _HINT.unpack_from(data)
    if magic != _HINT_MAGIC or stated != [segment, end, record_count, last_sequence]:
        raise CorruptDataError(0, "the hint is of another segment or stale")
    runs = []
    at = _HINT.size
    content_end = len(data) - _CRC.size
    for _ in range(run_count):
        if content_end - at < _RUN.size:
            raise CorruptDataError(at, "the hint ends before its last run")
        kind, key_size, bucket, count, record_bytes = _RUN.unpack_from(data, at)
        at += _RUN.size
        size = count * (key_size + LOCATION.size)
        if size > content_end - at:
            raise CorruptDataError(at, "the hint ends inside a run")
        runs.append(HintRun(kind, key_size, bucket, count, record_bytes, data[at : at + size]))
        at += size
    return runs


@dataclass(frozen=True, slots=True)
class SegmentEntry:
    """A segment in the manifest. All but its number are 0 until it is known to be sealed and durable."""

    number: int
    end: int = 0
    record_count: int = 0  # including the seal
    last_sequence: int = 0


@dataclass(frozen=True, slots=True)
class Manifest:
    """Which segments make up the log, in log order. The file is always replaced by a rename."""

    generation: int
    segment_bytes: int
    next_segment: int  # number of the next segment; numbers are never used again
    # How far the log was durable by then. No expiry up to its time is ever undone, whatever the clock says later.
    marker: DurabilityMarker = DurabilityMarker()
    segments: tuple[SegmentEntry, ...] = ()


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode as a line with length and checksum, followed by JSON that a person can read."""
    marker = manifest.marker
    body = json.dumps(
        {
            "generation": manifest.generation,
            "segment_bytes": manifest.segment_bytes,
            "next": manifest.next_segment,
            "mark": [marker.sequence, marker.segment, marker.end, marker.time_ms],
            "segments": [[s.number, s.end, s.record_count, s.last_sequence] for s in manifest.segments],
        }
    ).encode()
    return f"{_MANIFEST_HEAD} {len(body):08d} {crc32c(body):08x}\n".encode() + body


def decode_manifest(data: bytes) -> Manifest:
    """Decode a manifest. Raises CorruptDataError unless every byte is as it was written."""
    head, newline, body = data.partition(b"\n")
    if not newline or head != f"{_MANIFEST_HEAD} {len(body):08d} {crc32c(body):08x}".encode():
        raise CorruptDataError(0, "the manifest is damaged or cut")
    try:
        return _parse_manifest(json.loads(body))
    except (ValueError, KeyError, RecursionError) as error:
        raise _unreadable_manifest() from error


def _unreadable_manifest() -> CorruptDataError:
    return CorruptDataError(0, "the manifest is of another shape")


def _parse_manifest(raw: Any) -> Manifest:
    """Return the manifest of plain values. Raises CorruptDataError, KeyError."""
    if not isinstance(raw, dict) or not isinstance(raw["segments"], list):
        raise _unreadable_manifest()
    generation, segment_bytes, next_segment = _whole_numbers([raw["generation"], raw["segment_bytes"], raw["next"]], 3)
    marker = DurabilityMarker(*_whole_numbers(raw["mark"], 4))
    segments = tuple(SegmentEntry(*_whole_numbers(entry, 4)) for entry in raw["segments"])
    return Manifest(generation, segment_bytes, next_segment, marker, segments)


def _whole_numbers(raw: Any, count: int) -> list[int]:
    """Return so many whole numbers of at most 64 bits. Raises CorruptDataError."""
    if not isinstance(raw, list) or len(raw) != count:
        raise _unreadable_manifest()
    for value in raw:
        if type(value) is not int or not 0 <= value < 2**64:
            raise _unreadable_manifest()
    return raw
