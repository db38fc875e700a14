"""Encodes and decodes records, segment headers, hints, durability markers and the manifest. No files, no clock.

All integers are little-endian, checksums are CRC32C, times are Unix time in ms. `docs/store.md` describes the layouts.

A record is `checksum | magic, kind, version | key length, value length | sequence | durable offset | expiry | key |
value`; the checksum covers all bytes after it. Sequence numbers count records in log order and have no gaps within a
segment. The durable offset is the offset in the same segment below which all bytes were durable when the record was
encoded. A valid record after a corrupt one therefore proves whether the corrupt one was acknowledged."""

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

NEVER_MS = 2**63 - 1  # expiry of records that do not expire
EXPIRY_BUCKET_BITS = 10  # a bucket of the expiry schedule spans 2**10 ms
MAGIC = 0xC5B7
VERSION = 1
_RECORD_HEADER = struct.Struct("<IHBBIIQIQ")
_RECORD_HEADER_TAIL = struct.Struct("<HBBIIQIQ")  # the record header without its checksum
_CRC = struct.Struct("<I")
RECORD_HEADER_BYTES = _RECORD_HEADER.size
_pack_record_header_tail = _RECORD_HEADER_TAIL.pack
_pack_crc = _CRC.pack
SEAL_RECORD_BYTES = RECORD_HEADER_BYTES
MAX_KEY_BYTES = 2**16 - 1
_SEGMENT_HEADER = struct.Struct("<8sQQQ")
_SEGMENT_MAGIC = b"chutseg1"
FIRST_RECORD_OFFSET = 64  # offset of a segment's first record
_MARKER = struct.Struct("<8sIIQQ")
_MARKER_MAGIC = b"chutack1"
MARKER_OFFSETS = (0, 4096)  # two sectors written alternately: a torn write damages only one marker
MARKER_FILE_BYTES = 8192
LOCATION = struct.Struct("<QIII")  # expiry, segment, offset, size
_HINT_HEADER = struct.Struct("<8sIIIQQ")
_HINT_MAGIC = b"chuthnt1"
_RUN_HEADER = struct.Struct("<BHQIQ")
HINT_ENTRY_BYTES = LOCATION.size  # bytes of a hint entry without its key
_MANIFEST_PREFIX = "chutepin-store 1"


class RecordKind(IntEnum):
    """The kind of a record in the log."""

    PUT = 1
    DELETE = 2
    SEAL = 3  # end of the segment; the log continues in the next segment


_KIND_BY_NUMBER = (RecordKind.PUT, *RecordKind)  # index 0 is never used


class Record(NamedTuple):
    """A decoded record. A named tuple, because opening a store may decode millions of them."""

    kind: RecordKind
    offset: int  # in the segment file
    size: int  # bytes, including header, key and value
    sequence: int
    durable_offset: int
    expires_ms: int
    key: bytes
    value: bytes


def encode_record_head(
    kind: int, sequence: int, durable_offset: int, expires_ms: int, key: bytes, value: bytes
) -> bytes:
    """Encode the header and key of a record. The value is written after them without being copied."""
    tail = (
        _pack_record_header_tail(MAGIC, kind, VERSION, len(key), len(value), sequence, durable_offset, expires_ms) + key
    )
    return _pack_crc(extend(crc32c(tail), value) if value else crc32c(tail)) + tail


def decode_record(data: bytes, position: int, data_offset: int) -> Record | int:
    """Decode the record at `position` in `data`, where `data` begins at offset `data_offset` of the file.

    Returns the number of bytes needed from `position` on if `data` holds fewer. Raises CorruptDataError if there is no
    valid record, as in unwritten space (zeros)."""
    if len(data) - position < RECORD_HEADER_BYTES:
        return RECORD_HEADER_BYTES
    header = _RECORD_HEADER.unpack_from(data, position)
    checksum, magic, kind, version, key_size, value_size, sequence, durable_offset, expires_ms = header
    if magic != MAGIC or version != VERSION or not 1 <= kind <= 3 or key_size > MAX_KEY_BYTES:
        raise CorruptDataError(data_offset + position, "no record header at this offset")
    size = RECORD_HEADER_BYTES + key_size + value_size
    if len(data) - position < size:
        return int(size)
    if crc32c(data[position + 4 : position + size]) != checksum:
        raise CorruptDataError(data_offset + position, "record checksum mismatch")
    key_at = position + RECORD_HEADER_BYTES
    return Record(
        _KIND_BY_NUMBER[kind],
        data_offset + position,
        size,
        sequence,
        durable_offset,
        expires_ms,
        data[key_at : key_at + key_size],
        data[key_at + key_size : position + size],
    )


def highest_durable_offset(data: bytes, data_offset: int, limit: int) -> int:
    """Return the highest durable offset of all valid records in `data`, or 0 if there are none.

    Skips bytes that are no valid record. The result is capped at `limit`, the size of the file."""
    magic = MAGIC.to_bytes(2, "little")
    highest = 0
    position = 0
    while (found := data.find(magic, position + 4)) >= 0:
        position = found - 4
        try:
            record = decode_record(data, position, data_offset)
        except CorruptDataError:
            position += 1
            continue
        if isinstance(record, int):
            position += 1
            continue
        highest = max(highest, record.durable_offset)
        position += record.size - 4 if record.size > 4 else 1
    return min(highest, limit)


def encode_segment_header(segment: int, size: int, created_ms: int) -> bytes:
    """Encode the header of a segment file of `size` bytes."""
    head = _SEGMENT_HEADER.pack(_SEGMENT_MAGIC, segment, size, created_ms)
    return (head + _CRC.pack(crc32c(head))).ljust(FIRST_RECORD_OFFSET, b"\0")


def check_segment_header(data: bytes, segment: int, size: int) -> int:
    """Return when the segment was created (ms). Raises CorruptDataError unless this is the header of that segment."""
    if len(data) < FIRST_RECORD_OFFSET:
        raise CorruptDataError(len(data), "the file ends inside the segment header")
    magic, number, stated, created_ms = _SEGMENT_HEADER.unpack_from(data)
    if (
        _CRC.unpack_from(data, _SEGMENT_HEADER.size)[0] != crc32c(data[: _SEGMENT_HEADER.size])
        or magic != _SEGMENT_MAGIC
    ):
        raise CorruptDataError(0, "the segment header is corrupt")
    if (number, stated) != (segment, size):
        raise CorruptDataError(
            0, f"the header belongs to segment {number} of {stated} bytes, not to segment {segment} of {size}"
        )
    return int(created_ms)


@dataclass(frozen=True, slots=True, order=True)
class DurabilityMarker:
    """A watermark: at `time_ms` the log was durable up to record `sequence` and offset `end` of `segment`."""

    sequence: int = 0
    segment: int = 0
    end: int = 0
    time_ms: int = 0


def encode_marker(marker: DurabilityMarker) -> bytes:
    """Encode a marker. It is written at one of `MARKER_OFFSETS`."""
    data = _MARKER.pack(_MARKER_MAGIC, marker.segment, marker.end, marker.sequence, marker.time_ms)
    return data + _CRC.pack(crc32c(data))


def decode_markers(data: bytes) -> list[DurabilityMarker]:
    """Decode the valid markers of the file. Markers are not synced, so a power cut may damage either of them."""
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
    """A run of hint entries under construction."""

    kind: int
    key_size: int
    bucket: int
    entries: list[bytes] = field(default_factory=list)
    record_bytes: int = 0


class HintWriter:
    """Builds the hint of a segment while the segment is written: the key and location of each record, in log order.

    Consecutive records of the same kind, key length and expiry bucket form a run, which recovery adds to the index in
    one operation instead of one per record. Idempotency keys of one retention window form long runs."""

    def __init__(self) -> None:
        self._runs: list[_OpenRun] = []
        self._run = _OpenRun(-1, -1, -1)  # the run that new entries are appended to
        self.bytes = 0

    def add(self, kind: int, key: bytes, expires_ms: int, location: bytes, size: int) -> None:
        """Add the next record of the segment."""
        key_size = len(key)
        bucket = expires_ms >> EXPIRY_BUCKET_BITS
        run = self._run
        if kind != run.kind or key_size != run.key_size or bucket != run.bucket:
            run = self._run = _OpenRun(kind, key_size, bucket)
            self._runs.append(run)
            self.bytes += _RUN_HEADER.size
        run.entries.append(key + location)
        run.record_bytes += size
        self.bytes += key_size + HINT_ENTRY_BYTES

    def add_run(self, kind: int, key_size: int, expires_ms: int, entries: list[bytes], size: int) -> None:
        """Add records of one kind, key length and expiry: key and location of each, and the total size of all."""
        if entries:
            self.add(kind, entries[0][:key_size], expires_ms, entries[0][key_size:], size)
            self._run.entries.extend(entries[1:])
            self.bytes += (len(entries) - 1) * (key_size + HINT_ENTRY_BYTES)

    def encode(self, segment: int, end: int, record_count: int, last_sequence: int) -> bytes:
        """Encode the hint of a segment that is sealed at offset `end`."""
        parts = [_HINT_HEADER.pack(_HINT_MAGIC, segment, end, record_count, last_sequence, len(self._runs))]
        for run in self._runs:
            parts.append(_RUN_HEADER.pack(run.kind, run.key_size, run.bucket, len(run.entries), run.record_bytes))
            parts.extend(run.entries)
        data = b"".join(parts)
        return data + _CRC.pack(crc32c(data))


@dataclass(frozen=True, slots=True)
class HintRun:
    """A run of consecutive records with the same kind, key length and expiry bucket."""

    kind: int
    key_size: int
    bucket: int  # expiry in units of 1,024 ms
    count: int
    record_bytes: int  # total size of the records in the segment
    data: bytes

    def entries(self) -> Iterator[tuple[bytes, bytes]]:
        """Iterate over the key and location of each record, in log order."""
        return struct.iter_unpack(f"{self.key_size}s{LOCATION.size}s", self.data)


def decode_hint(data: bytes, segment: int, end: int, record_count: int, last_sequence: int) -> list[HintRun]:
    """Decode a hint. Raises CorruptDataError if the hint is corrupt, stale or of another segment."""
    if len(data) < _HINT_HEADER.size + 4 or _CRC.unpack_from(data, len(data) - 4)[0] != crc32c(data[:-4]):
        raise CorruptDataError(0, "the hint is corrupt")
    magic, *stated, run_count = _HINT_HEADER.unpack_from(data)
    if magic != _HINT_MAGIC or stated != [segment, end, record_count, last_sequence]:
        raise CorruptDataError(0, "the hint is stale or belongs to another segment")
    runs = []
    position = _HINT_HEADER.size
    content_end = len(data) - _CRC.size
    for _ in range(run_count):
        if content_end - position < _RUN_HEADER.size:
            raise CorruptDataError(position, "the hint ends before its last run")
        kind, key_size, bucket, count, record_bytes = _RUN_HEADER.unpack_from(data, position)
        position += _RUN_HEADER.size
        size = count * (key_size + LOCATION.size)
        if size > content_end - position:
            raise CorruptDataError(position, "the hint ends inside a run")
        runs.append(HintRun(kind, key_size, bucket, count, record_bytes, data[position : position + size]))
        position += size
    return runs


@dataclass(frozen=True, slots=True)
class SegmentEntry:
    """A segment in the manifest. All fields but `number` are 0 until the segment is sealed and durable."""

    number: int
    end: int = 0
    record_count: int = 0  # including the seal
    last_sequence: int = 0


@dataclass(frozen=True, slots=True)
class Manifest:
    """The list of segments that make up the log, in log order. The file is replaced atomically by a rename."""

    generation: int
    segment_bytes: int
    next_segment: int  # number of the next segment; numbers are never reused
    # The watermark when the manifest was written. A key that expired before its time stays expired, even if the clock
    # is set back later.
    marker: DurabilityMarker = DurabilityMarker()
    segments: tuple[SegmentEntry, ...] = ()


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest as a line with length and checksum, followed by human-readable JSON."""
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
    return f"{_MANIFEST_PREFIX} {len(body):08d} {crc32c(body):08x}\n".encode() + body


def decode_manifest(data: bytes) -> Manifest:
    """Decode a manifest. Raises CorruptDataError if length, checksum or content is invalid."""
    head, newline, body = data.partition(b"\n")
    if not newline or head != f"{_MANIFEST_PREFIX} {len(body):08d} {crc32c(body):08x}".encode():
        raise CorruptDataError(0, "the manifest is corrupt or truncated")
    try:
        return _parse_manifest(json.loads(body))
    except (ValueError, KeyError, RecursionError) as error:
        raise _manifest_structure_error() from error


def _manifest_structure_error() -> CorruptDataError:
    return CorruptDataError(0, "the manifest has an unexpected structure")


def _parse_manifest(raw: Any) -> Manifest:
    """Build the manifest from decoded JSON. Raises CorruptDataError or KeyError."""
    if not isinstance(raw, dict) or not isinstance(raw["segments"], list):
        raise _manifest_structure_error()
    generation, segment_bytes, next_segment = _unsigned_integers(
        [raw["generation"], raw["segment_bytes"], raw["next"]], 3
    )
    marker = DurabilityMarker(*_unsigned_integers(raw["mark"], 4))
    segments = tuple(SegmentEntry(*_unsigned_integers(entry, 4)) for entry in raw["segments"])
    return Manifest(generation, segment_bytes, next_segment, marker, segments)


def _unsigned_integers(raw: Any, count: int) -> list[int]:
    """Return `raw` as a list of `count` unsigned 64-bit integers. Raises CorruptDataError."""
    if not isinstance(raw, list) or len(raw) != count:
        raise _manifest_structure_error()
    for value in raw:
        if type(value) is not int or not 0 <= value < 2**64:
            raise _manifest_structure_error()
    return raw
