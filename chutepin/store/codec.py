"""The bytes of a store: records, heads of segments, hints, the watermark and the manifest. No files, no clock.

All integers are little-endian. A checksum is a CRC32C. `docs/store.md` draws the layouts.

A record is `checksum | magic, kind, version | key length, value length | sequence | durable offset | expiry | key |
value`; the checksum covers everything after itself. The sequence number counts records in log order, without a gap
inside a segment. The durable offset is the offset in the same segment below which everything was durable when the
record was encoded. A readable record after an unreadable one therefore proves whether the latter was acknowledged."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

from google_crc32c import extend
from google_crc32c import value as crc32c

NEVER_MS = 2**63 - 1  # the expiry, in ms, of what does not expire
MAGIC = 0xC5B7
VERSION = 1
_RECORD = struct.Struct("<IHBBIIQIQ")
_TAIL = struct.Struct("<HBBIIQIQ")  # a record's header behind its checksum
_CRC = struct.Struct("<I")
RECORD_HEADER_BYTES = _RECORD.size
_pack_tail, _pack_crc = _TAIL.pack, _CRC.pack
MAX_KEY_BYTES = 2**16 - 1  # bytes
_SEGMENT_HEADER = struct.Struct("<8sQQQ")
_SEGMENT_MAGIC = b"chutseg1"
FIRST_RECORD_OFFSET = 64  # offset of a segment's first record
_MARKER = struct.Struct("<8sIIQQ")
_MARKER_MAGIC = b"chutack1"
MARKER_OFFSETS = (0, 4096)  # the two places of the watermark: sectors of their own
MARKER_FILE_BYTES = 8192  # bytes
LOCATION = struct.Struct("<QIII")  # expires in ms, segment, offset, size
_HINT = struct.Struct("<8sIIIQQ")
_HINT_MAGIC = b"chuthnt1"
_RUN = struct.Struct("<BHQIQ")
HINT_ENTRY_BYTES = LOCATION.size  # bytes of a hint for a record, besides its key
_MANIFEST_HEAD = "chutepin-store 1"


class RecordKind(IntEnum):
    """What a record says."""

    PUT = 1
    DELETE = 2
    SEAL = 3  # the segment ends here; the log goes on in the next


_KINDS = (RecordKind.PUT, *RecordKind)  # by number; there is no kind 0


class CorruptRecordError(ValueError):
    """Bytes that are not what was written. `offset` says where in the file it begins."""

    def __init__(self, offset: int, what: str) -> None:
        super().__init__(what)
        self.offset, self.what = offset, what


class Record(NamedTuple):
    """A record as it is read back. A tuple, as millions are made when a store is opened."""

    kind: RecordKind
    offset: int  # in its file
    size: int  # bytes in all
    sequence: int
    durable_offset: int
    expires: int  # ms
    key: bytes
    value: bytes


def encode(kind: int, sequence: int, durable_offset: int, expires: int, key: bytes, value: bytes) -> bytes:
    """A record up to its value, which follows as it is: it is not copied."""
    tail = _pack_tail(MAGIC, kind, VERSION, len(key), len(value), sequence, durable_offset, expires) + key
    return _pack_crc(extend(crc32c(tail), value) if value else crc32c(tail)) + tail


SEAL_RECORD_BYTES = RECORD_HEADER_BYTES


def decode(data: bytes, at: int, base: int) -> Record | int:
    """The record at `at` of `data`, whose first byte lies at `base` in the file.

    Returns the number of bytes needed from `at` on if `data` holds too few. Raises CorruptRecordError for anything
    that is not a record, including unwritten space (zeros)."""
    if len(data) - at < RECORD_HEADER_BYTES:
        return RECORD_HEADER_BYTES
    crc, magic, kind, version, key_size, value_size, sequence, durable_offset, expires = _RECORD.unpack_from(data, at)
    if magic != MAGIC or version != VERSION or not 1 <= kind <= 3 or key_size > MAX_KEY_BYTES:
        raise CorruptRecordError(base + at, "no record begins here")
    size = RECORD_HEADER_BYTES + key_size + value_size
    if len(data) - at < size:
        return int(size)
    if crc32c(data[at + 4 : at + size]) != crc:
        raise CorruptRecordError(base + at, "a record's checksum does not match")
    key_at = at + RECORD_HEADER_BYTES
    return Record(
        _KINDS[kind],
        base + at,
        size,
        sequence,
        durable_offset,
        expires,
        data[key_at : key_at + key_size],
        data[key_at + key_size : at + size],
    )


def highest_durable_offset(data: bytes, base: int, limit: int) -> int:
    """The highest durable_offset that a sound record in `data` states, 0 if there is none.

    Reads on behind a place that can't be read. `limit` is the file's size: a length beyond it is not believed."""
    magic, highest, at = MAGIC.to_bytes(2, "little"), 0, 0
    while (found := data.find(magic, at + 4)) >= 0:
        at = found - 4
        try:
            record = decode(data, at, base)
        except CorruptRecordError:
            at += 1
            continue
        if isinstance(record, int):
            at += 1
            continue
        highest = max(highest, record.durable_offset)
        at += record.size - 4 if record.size > 4 else 1
    return min(highest, limit)


def encode_segment_header(segment: int, size: int, created_ms: int) -> bytes:
    """The first bytes of a segment's file of `size` bytes, laid out at `created_ms` (ms)."""
    head = _SEGMENT_HEADER.pack(_SEGMENT_MAGIC, segment, size, created_ms)
    return (head + _CRC.pack(crc32c(head))).ljust(FIRST_RECORD_OFFSET, b"\0")


def check_segment_header(data: bytes, segment: int, size: int) -> int:
    """When the segment was laid out (ms). Raises CorruptRecordError if this is not the head of that segment."""
    if len(data) < FIRST_RECORD_OFFSET:
        raise CorruptRecordError(len(data), "the file ends inside its head")
    magic, number, stated, created_ms = _SEGMENT_HEADER.unpack_from(data)
    if (
        _CRC.unpack_from(data, _SEGMENT_HEADER.size)[0] != crc32c(data[: _SEGMENT_HEADER.size])
        or magic != _SEGMENT_MAGIC
    ):
        raise CorruptRecordError(0, "the segment's head is damaged")
    if (number, stated) != (segment, size):
        raise CorruptRecordError(
            0, f"this is the head of segment {number} of {stated} bytes, not of {segment} of {size}"
        )
    return int(created_ms)


@dataclass(frozen=True, slots=True, order=True)
class DurabilityMarker:
    """The watermark: all up to `end` of `segment` was acknowledged by `time` (ms), `sequence` being the last record."""

    sequence: int = 0
    segment: int = 0
    end: int = 0
    time: int = 0


def encode_marker(mark: DurabilityMarker) -> bytes:
    """One place's bytes."""
    data = _MARKER.pack(_MARKER_MAGIC, mark.segment, mark.end, mark.sequence, mark.time)
    return data + _CRC.pack(crc32c(data))


def decode_markers(data: bytes) -> list[DurabilityMarker]:
    """The sound ones of both places: a mark is written without a sync, so a cut may leave any of it."""
    marks = []
    for at in MARKER_OFFSETS:
        part = data[at : at + _MARKER.size + 4]
        if len(part) == _MARKER.size + 4 and _CRC.unpack_from(part, _MARKER.size)[0] == crc32c(part[: _MARKER.size]):
            magic, segment, end, sequence, time = _MARKER.unpack_from(part)
            if magic == _MARKER_MAGIC:
                marks.append(DurabilityMarker(sequence, segment, end, time))
    return marks


class HintWriter:
    """Puts together the hint of a segment while it is written: key and place of each record, in order.

    Records of one kind, key length and second of expiry that follow each other form a run. Keyed requests of one
    window do, and a run is taken into the index without a step for each record."""

    def __init__(self) -> None:
        self._runs: list[tuple[tuple[int, int, int], list[bytes]]] = []
        self._sizes: list[int] = []  # bytes of the records of each run
        self._entries: list[bytes] = []  # of the last run
        self._kind = self._key_size = self._bucket = -1  # its shape
        self.bytes = 0

    def add(self, kind: int, key: bytes, expires: int, location: bytes, size: int) -> None:
        """The next record."""
        key_size, bucket = len(key), expires >> 10
        if kind != self._kind or key_size != self._key_size or bucket != self._bucket:
            self._kind, self._key_size, self._bucket = kind, key_size, bucket
            self._entries = []
            self._runs.append(((kind, key_size, bucket), self._entries))
            self._sizes.append(0)
            self.bytes += _RUN.size
        self._entries.append(key + location)
        self._sizes[-1] += size
        self.bytes += key_size + HINT_ENTRY_BYTES

    def add_run(self, kind: int, key_size: int, expires: int, entries: list[bytes], size: int) -> None:
        """Records of one shape: key and location of each, and the bytes of all."""
        if entries:
            self.add(kind, entries[0][:key_size], expires, entries[0][key_size:], size)
            self._entries.extend(entries[1:])
            self.bytes += (len(entries) - 1) * (key_size + HINT_ENTRY_BYTES)

    def encode(self, segment: int, end: int, count: int, last: int) -> bytes:
        """The file: of `count` records, sealed at `end`, `last` being the last record's sequence."""
        parts = [_HINT.pack(_HINT_MAGIC, segment, end, count, last, len(self._runs))]
        for ((kind, key_size, bucket), entries), size in zip(self._runs, self._sizes, strict=True):
            parts += [_RUN.pack(kind, key_size, bucket, len(entries), size), *entries]
        data = b"".join(parts)
        return data + _CRC.pack(crc32c(data))


@dataclass(frozen=True, slots=True)
class Run:
    """Records of one kind, key length and second of expiry, one behind the other: (key, location) each."""

    kind: int
    key_size: int
    bucket: int  # expiry in units of 1,024 ms
    count: int
    total: int  # bytes of its records in the segment
    data: bytes

    def entries(self) -> Iterator[tuple[bytes, bytes]]:
        """Key and location of each, in the order of the log."""
        return struct.iter_unpack(f"{self.key_size}s{LOCATION.size}s", self.data)


def decode_hint(data: bytes, segment: int, end: int, count: int, last: int) -> list[Run]:
    """The runs of a hint. Raises CorruptRecordError if it is damaged, stale or of another segment."""
    if len(data) < _HINT.size + 4 or _CRC.unpack_from(data, len(data) - 4)[0] != crc32c(data[:-4]):
        raise CorruptRecordError(0, "the hint is damaged")
    magic, number, stated_end, stated_count, stated_last, runs = _HINT.unpack_from(data)
    if (magic, number, stated_end, stated_count, stated_last) != (_HINT_MAGIC, segment, end, count, last):
        raise CorruptRecordError(0, "the hint is of another segment or stale")
    found, at = [], _HINT.size
    for _ in range(runs):
        kind, key_size, bucket, entries, total = _RUN.unpack_from(data, at)
        at += _RUN.size
        size = entries * (key_size + LOCATION.size)
        found.append(Run(kind, key_size, bucket, entries, total, data[at : at + size]))
        at += size
    return found


@dataclass(frozen=True, slots=True)
class SegmentEntry:
    """A segment in the manifest. `end` is 0 until it is known to be sealed and durable as a whole."""

    number: int
    end: int = 0
    count: int = 0  # records, the seal among them
    last: int = 0  # sequence of the last one


@dataclass(frozen=True, slots=True)
class Manifest:
    """Which segments make up the log, in its order. Replaced as a whole, by a rename."""

    generation: int
    segment_bytes: int
    next: int  # number of the next segment; numbers are never used again
    # How far all was acknowledged by then. No expiry at or before its time is ever undone, whatever the clock says.
    mark: DurabilityMarker = DurabilityMarker()
    segments: tuple[SegmentEntry, ...] = ()


def encode_manifest(manifest: Manifest) -> bytes:
    """A line with length and checksum, then JSON that a person can read."""
    body = json.dumps(
        {
            "generation": manifest.generation,
            "segment_bytes": manifest.segment_bytes,
            "next": manifest.next,
            "mark": [manifest.mark.sequence, manifest.mark.segment, manifest.mark.end, manifest.mark.time],
            "segments": [[s.number, s.end, s.count, s.last] for s in manifest.segments],
        }
    ).encode()
    return f"{_MANIFEST_HEAD} {len(body):08d} {crc32c(body):08x}\n".encode() + body


def decode_manifest(data: bytes) -> Manifest:
    """Raises CorruptRecordError unless every byte is as it was written."""
    head, newline, body = data.partition(b"\n")
    if not newline or head != f"{_MANIFEST_HEAD} {len(body):08d} {crc32c(body):08x}".encode():
        raise CorruptRecordError(0, "the manifest is damaged or cut")
    raw: Any = json.loads(body)
    return Manifest(
        raw["generation"],
        raw["segment_bytes"],
        raw["next"],
        DurabilityMarker(*raw["mark"]),
        tuple(SegmentEntry(*entry) for entry in raw["segments"]),
    )
