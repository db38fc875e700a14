"""The bytes of a store: records, heads of segments, hints, the watermark and the manifest. No files, no clock.

All integers are little-endian. A checksum is a CRC32C. `docs/store.md` draws the layouts.

A record is `crc | magic, kind, version | key length, value length | seq | floor | expires | key | value`; the checksum
is over all behind it. `seq` counts records in the order of the log without a gap inside a segment. `floor` is the
offset in the same segment below which all was durable when the record was laid out: a record that can be read behind
one that can't so proves whether the latter had been acknowledged."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

from google_crc32c import extend
from google_crc32c import value as crc32c

NEVER = 2**63 - 1  # the expiry, in ms, of what does not expire
MAGIC = 0xC5B7
VERSION = 1
_RECORD = struct.Struct("<IHBBIIQIQ")
_TAIL = struct.Struct("<HBBIIQIQ")  # a record's header behind its checksum
_CRC = struct.Struct("<I")
RECORD_HEAD = _RECORD.size
_pack_tail, _pack_crc = _TAIL.pack, _CRC.pack
MAX_KEY = 2**16 - 1  # bytes
_HEAD = struct.Struct("<8sQQQ")
_HEAD_MAGIC = b"chutseg1"
DATA_AT = 64  # offset of a segment's first record
_MARK = struct.Struct("<8sIIQQ")
_MARK_MAGIC = b"chutack1"
MARK_AT = (0, 4096)  # the two places of the watermark: sectors of their own
MARK_FILE = 8192  # bytes
LOCATION = struct.Struct("<QIII")  # expires in ms, segment, offset, size
_HINT = struct.Struct("<8sIIIQQ")
_HINT_MAGIC = b"chuthnt1"
_RUN = struct.Struct("<BHQIQ")
HINT_ENTRY = LOCATION.size  # bytes of a hint for a record, besides its key
_MANIFEST_HEAD = "chutepin-store 1"


class Kind(IntEnum):
    """What a record says."""

    PUT = 1
    DELETE = 2
    SEAL = 3  # the segment ends here; the log goes on in the next


_KINDS = (Kind.PUT, *Kind)  # by number; there is no kind 0


class Unsound(ValueError):  # noqa: N818 - it is caught here and never shown as such
    """Bytes that are not what was written. `offset` says where in the file it begins."""

    def __init__(self, offset: int, what: str) -> None:
        super().__init__(what)
        self.offset, self.what = offset, what


class Record(NamedTuple):
    """A record as it is read back. A tuple, as millions are made when a store is opened."""

    kind: Kind
    offset: int  # in its file
    size: int  # bytes in all
    seq: int
    floor: int
    expires: int  # ms
    key: bytes
    value: bytes


def encode(kind: int, seq: int, floor: int, expires: int, key: bytes, value: bytes) -> bytes:
    """A record up to its value, which follows as it is: it is not copied."""
    tail = _pack_tail(MAGIC, kind, VERSION, len(key), len(value), seq, floor, expires) + key
    return _pack_crc(extend(crc32c(tail), value) if value else crc32c(tail)) + tail


SEAL_SIZE = RECORD_HEAD


def decode(data: bytes, at: int, base: int) -> Record | int:
    """The record at `at` of `data`, whose first byte lies at `base` in the file.

    Returns how many bytes are needed from `at` on where `data` holds too few. Raises Unsound for anything that is no
    record, an empty place (zeros) among it."""
    if len(data) - at < RECORD_HEAD:
        return RECORD_HEAD
    crc, magic, kind, version, key_size, value_size, seq, floor, expires = _RECORD.unpack_from(data, at)
    if magic != MAGIC or version != VERSION or not 1 <= kind <= 3 or key_size > MAX_KEY:
        raise Unsound(base + at, "no record begins here")
    size = RECORD_HEAD + key_size + value_size
    if len(data) - at < size:
        return int(size)
    if crc32c(data[at + 4 : at + size]) != crc:
        raise Unsound(base + at, "a record's checksum does not match")
    key_at = at + RECORD_HEAD
    return Record(
        _KINDS[kind],
        base + at,
        size,
        seq,
        floor,
        expires,
        data[key_at : key_at + key_size],
        data[key_at + key_size : at + size],
    )


def later_floor(data: bytes, base: int, limit: int) -> int:
    """The highest floor that a sound record in `data` states, 0 if there is none.

    Reads on behind a place that can't be read. `limit` is the file's size: a length beyond it is not believed."""
    magic, highest, at = MAGIC.to_bytes(2, "little"), 0, 0
    while (found := data.find(magic, at + 4)) >= 0:
        at = found - 4
        try:
            record = decode(data, at, base)
        except Unsound:
            at += 1
            continue
        if isinstance(record, int):
            at += 1
            continue
        highest = max(highest, record.floor)
        at += record.size - 4 if record.size > 4 else 1
    return min(highest, limit)


def encode_head(segment: int, size: int, born: int) -> bytes:
    """The first bytes of a segment's file of `size` bytes, laid out at `born` (ms)."""
    head = _HEAD.pack(_HEAD_MAGIC, segment, size, born)
    return (head + _CRC.pack(crc32c(head))).ljust(DATA_AT, b"\0")


def check_head(data: bytes, segment: int, size: int) -> int:
    """When the segment was laid out (ms). Raises Unsound if this is not the head of that segment."""
    if len(data) < DATA_AT:
        raise Unsound(len(data), "the file ends inside its head")
    magic, number, stated, born = _HEAD.unpack_from(data)
    if _CRC.unpack_from(data, _HEAD.size)[0] != crc32c(data[: _HEAD.size]) or magic != _HEAD_MAGIC:
        raise Unsound(0, "the segment's head is damaged")
    if (number, stated) != (segment, size):
        raise Unsound(0, f"this is the head of segment {number} of {stated} bytes, not of {segment} of {size}")
    return int(born)


@dataclass(frozen=True, slots=True, order=True)
class Mark:
    """The watermark: all up to `end` of `segment` was acknowledged by `time` (ms), `seq` being the last record."""

    seq: int = 0
    segment: int = 0
    end: int = 0
    time: int = 0


def encode_mark(mark: Mark) -> bytes:
    """One place's bytes."""
    data = _MARK.pack(_MARK_MAGIC, mark.segment, mark.end, mark.seq, mark.time)
    return data + _CRC.pack(crc32c(data))


def decode_marks(data: bytes) -> list[Mark]:
    """The sound ones of both places: a mark is written without a sync, so a cut may leave any of it."""
    marks = []
    for at in MARK_AT:
        part = data[at : at + _MARK.size + 4]
        if len(part) == _MARK.size + 4 and _CRC.unpack_from(part, _MARK.size)[0] == crc32c(part[: _MARK.size]):
            magic, segment, end, seq, time = _MARK.unpack_from(part)
            if magic == _MARK_MAGIC:
                marks.append(Mark(seq, segment, end, time))
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
        self.bytes += key_size + HINT_ENTRY

    def add_run(self, kind: int, key_size: int, expires: int, entries: list[bytes], size: int) -> None:
        """Records of one shape: key and location of each, and the bytes of all."""
        if entries:
            self.add(kind, entries[0][:key_size], expires, entries[0][key_size:], size)
            self._entries.extend(entries[1:])
            self.bytes += (len(entries) - 1) * (key_size + HINT_ENTRY)

    def encode(self, segment: int, end: int, count: int, last: int) -> bytes:
        """The file: of `count` records, sealed at `end`, `last` being the last record's seq."""
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
    """The runs of a hint. Raises Unsound if it is damaged, or tells of another segment or another state of it."""
    if len(data) < _HINT.size + 4 or _CRC.unpack_from(data, len(data) - 4)[0] != crc32c(data[:-4]):
        raise Unsound(0, "the hint is damaged")
    magic, number, stated_end, stated_count, stated_last, runs = _HINT.unpack_from(data)
    if (magic, number, stated_end, stated_count, stated_last) != (_HINT_MAGIC, segment, end, count, last):
        raise Unsound(0, "the hint is of another segment or stale")
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
    last: int = 0  # seq of the last one


@dataclass(frozen=True, slots=True)
class Manifest:
    """Which segments make up the log, in its order. Replaced as a whole, by a rename."""

    generation: int
    segment_bytes: int
    next: int  # number of the next segment; numbers are never used again
    # How far all was acknowledged by then. No expiry at or before its time is ever undone, whatever the clock says.
    mark: Mark = Mark()
    segments: tuple[SegmentEntry, ...] = ()


def encode_manifest(manifest: Manifest) -> bytes:
    """A line with length and checksum, then JSON that a person can read."""
    body = json.dumps(
        {
            "generation": manifest.generation,
            "segment_bytes": manifest.segment_bytes,
            "next": manifest.next,
            "mark": [manifest.mark.seq, manifest.mark.segment, manifest.mark.end, manifest.mark.time],
            "segments": [[s.number, s.end, s.count, s.last] for s in manifest.segments],
        }
    ).encode()
    return f"{_MANIFEST_HEAD} {len(body):08d} {crc32c(body):08x}\n".encode() + body


def decode_manifest(data: bytes) -> Manifest:
    """Raises Unsound unless every byte is as it was written."""
    head, newline, body = data.partition(b"\n")
    if not newline or head != f"{_MANIFEST_HEAD} {len(body):08d} {crc32c(body):08x}".encode():
        raise Unsound(0, "the manifest is damaged or cut")
    raw: Any = json.loads(body)
    return Manifest(
        raw["generation"],
        raw["segment_bytes"],
        raw["next"],
        Mark(*raw["mark"]),
        tuple(SegmentEntry(*entry) for entry in raw["segments"]),
    )
