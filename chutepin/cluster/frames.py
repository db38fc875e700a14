"""The wire format: encodes packets as frames and decodes them. Sans-I/O; any invalid input raises `FrameError`.

A frame is the magic `cp`, the version, a digest of the cluster's name, a checksum, and a msgpack array. Over TCP a
length of four bytes precedes it, and long content is compressed, which a bit of the version byte marks. The checksum
detects damage, not forgery.

A record is whole, or short if the receiver is expected to hold the rest (`records.ShortRecord`). The length of the
array distinguishes the two forms."""

from __future__ import annotations

import hashlib
import struct
import sys
import zlib
from enum import StrEnum
from typing import Any, get_type_hints

import msgpack

from .errors import ClusterError
from .messages import (
    Ack,
    Body,
    BucketDigests,
    BucketRecords,
    Gossip,
    NameTaken,
    Packet,
    Ping,
    PingReq,
    ProbeResult,
    RecordRequest,
    Records,
    StaleProcess,
    Sync,
)
from .records import (
    LOCATION_CHECKSUM_BITS,
    MAX_LINKS,
    MAX_NAME,
    MAX_NUMBER,
    BadLink,
    LinkReport,
    Record,
    SenderRecord,
    ShortRecord,
    Status,
    Update,
)

VERSION = 2
COMPRESSED = 0x80  # bit of the version byte that marks compressed content; over TCP only
COMPRESS_FROM_BYTES = 4096  # of content; full states shrink to a third, digests do not compress
COMPRESS_LEVEL = 1  # the fastest level
MAX_DATAGRAM_BYTES = 1200  # passes every path without fragmentation
MAX_STREAM_FRAME_BYTES = 2**20  # limit of the frame and of its decompressed content: 8,192 records of 120 bytes
MAX_UPDATES = 8192  # in one frame
MAX_DIGEST_BYTES = 4096  # 1,024 buckets
_HEAD = struct.Struct("!2sB4sI")  # magic, version, cluster, checksum
_LENGTH = struct.Struct("!I")
_MAGIC = b"cp"
BODIES: tuple[type[Any], ...] = (
    Ping,
    Ack,
    PingReq,
    ProbeResult,
    Gossip,
    Sync,
    NameTaken,
    StaleProcess,
    BucketDigests,
    BucketRecords,
    RecordRequest,
    Records,
)
_STREAM_ONLY = (Sync, NameTaken, BucketDigests, BucketRecords, RecordRequest, Records)
_FIELDS: dict[type[Any], tuple[type[Any], ...]] = {body: tuple(get_type_hints(body).values()) for body in BODIES}


_RECORD_LENGTH = len(Record._fields)


class DropReason(StrEnum):
    """The reason for dropping a frame, as counters and log show it."""

    GARBAGE = "garbage"  # not a frame of this protocol
    TRUNCATED = "truncated"
    VERSION = "version"  # another protocol version
    CLUSTER = "cluster"  # another cluster
    CHECKSUM = "checksum"
    TOO_LONG = "too_long"
    MALFORMED = "malformed"


class FrameError(ClusterError):
    """The bytes are not a valid frame of this cluster. `reason` names the counter."""

    def __init__(self, reason: DropReason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason


def _malformed(detail: str) -> FrameError:
    return FrameError(DropReason.MALFORMED, detail)


def cluster_id(name: str) -> bytes:
    """Return the digest of the cluster's name, which every frame carries."""
    return hashlib.blake2b(name.encode(), digest_size=4).digest()


def _to_wire(update: Update) -> tuple[Any, ...]:
    """Return an update as it is encoded: a short record omits an empty `by`."""
    if isinstance(update, ShortRecord) and not update.by:
        return update[:-1]
    return update


def update_bytes(update: Update) -> int:
    """Return the maximum encoded size of an update. The ages of links may grow until the update is sent."""
    return len(msgpack.packb(_to_wire(update))) + (4 * len(update.bad) if isinstance(update, LinkReport) else 0)


def encode(packet: Packet, cluster: bytes) -> bytes:
    """Encode a packet as a frame."""
    body = packet.body
    content = msgpack.packb(
        [
            packet.to,
            _to_wire(packet.sender),
            packet.sender.incarnation - packet.process_incarnation,  # small in nearly all frames
            packet.sequence,
            packet.digest,
            BODIES.index(type(body)),
            body,
            [_to_wire(update) for update in packet.updates],
        ]
    )
    version = VERSION
    if len(content) >= COMPRESS_FROM_BYTES:
        content = zlib.compress(content, COMPRESS_LEVEL)
        version = VERSION | COMPRESSED
    return bytes(_HEAD.pack(_MAGIC, version, cluster, zlib.crc32(content)) + content)


def decode(data: bytes, cluster: bytes, stream: bool) -> Packet:
    """Decode a frame. `stream`: the frame was received over TCP. Raises FrameError."""
    limit = MAX_STREAM_FRAME_BYTES if stream else MAX_DATAGRAM_BYTES
    if len(data) > limit:
        raise FrameError(DropReason.TOO_LONG, f"frame of {len(data)} bytes, at most {limit} are allowed")
    if data[:2] != _MAGIC:
        raise FrameError(DropReason.GARBAGE, f"{len(data)} bytes without the magic of a frame")
    if len(data) <= _HEAD.size:
        raise FrameError(DropReason.TRUNCATED, f"frame of {len(data)} bytes, the header has {_HEAD.size}")
    _, version, cluster_digest, checksum = _HEAD.unpack_from(data)
    if version & ~COMPRESSED != VERSION or (version & COMPRESSED and not stream):
        raise FrameError(DropReason.VERSION, f"frame of version {version}, expected {VERSION}")
    if cluster_digest != cluster:
        raise FrameError(DropReason.CLUSTER, "frame of another cluster")
    content: bytes | memoryview = memoryview(data)[_HEAD.size :]
    if zlib.crc32(content) != checksum:
        raise FrameError(DropReason.CHECKSUM, "the checksum does not match the content")
    if version & COMPRESSED:
        content = _decompress(content)
    try:
        return _decode_packet(msgpack.unpackb(content, strict_map_key=True, max_map_len=0, max_ext_len=0), stream)
    except FrameError:
        raise
    except Exception as error:  # hostile content may raise anything; drop only this packet
        raise _malformed(f"content cannot be unpacked ({type(error).__name__})") from error


def _decompress(content: bytes | memoryview) -> bytes:
    """Decompress the content of a frame, up to the size limit of a frame. Raises FrameError."""
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(content, MAX_STREAM_FRAME_BYTES)
    except zlib.error as error:
        raise _malformed(f"content cannot be decompressed: {error}") from error
    if unpacker.unconsumed_tail:
        raise FrameError(DropReason.TOO_LONG, f"decompressed content exceeds {MAX_STREAM_FRAME_BYTES} bytes")
    if not unpacker.eof:
        raise _malformed("compressed content is truncated")
    if unpacker.unused_data:
        raise _malformed(f"{len(unpacker.unused_data)} extra bytes after the compressed content")
    return unpacked


def _decode_packet(raw: Any, stream: bool) -> Packet:
    to, raw_sender, incarnation_delta, sequence, digest, kind, fields, updates = raw
    body = BODIES[_decode_unsigned(kind)]
    if body in _STREAM_ONLY and not stream:
        raise _malformed(f"{body.__name__} is not allowed in a datagram")
    if len(updates) > MAX_UPDATES:
        raise FrameError(DropReason.TOO_LONG, f"{len(updates)} updates, at most {MAX_UPDATES} are allowed")
    sender = _decode_sender(raw_sender)
    if type(incarnation_delta) is not int:
        raise _malformed("process incarnation is not an integer")
    # `to` may be empty, unlike other names: a joining member may not know the seed's name for certain.
    return Packet(
        _decode_name(to) if to else "",
        sender,
        _decode_unsigned(sender.incarnation - incarnation_delta),
        _decode_unsigned(sequence),
        int(digest),
        _decode_body(body, fields),
        tuple(_decode_update(update) for update in updates),
    )


_DECODERS: dict[type[Any], Any] = {}


def _decode_body(body: type[Any], fields: list[Any]) -> Body:
    types = _FIELDS[body]
    if len(fields) != len(types):
        raise _malformed(f"{body.__name__} has {len(fields)} fields, expected {len(types)}")
    if body is RecordRequest and len(fields[0]) > MAX_UPDATES:
        raise FrameError(
            DropReason.TOO_LONG, f"request for {len(fields[0])} records, at most {MAX_UPDATES} are allowed"
        )
    message: Body = body(*(_DECODERS[kind](value) for kind, value in zip(types, fields, strict=True)))
    return message


def _decode_name(raw: Any) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= MAX_NAME or not raw.isprintable() or " " in raw:
        raise _malformed(f"name is not a printable word of 1 to {MAX_NAME} characters")
    return raw


def _decode_unsigned(raw: Any) -> int:
    if type(raw) is not int or not 0 <= raw <= MAX_NUMBER:
        raise _malformed("number is negative or too large")
    return raw


def _decode_age(raw: Any) -> int:
    if type(raw) is not int or not -1 <= raw <= MAX_NUMBER:
        raise _malformed("age is out of range")
    return raw


def _decode_boolean(raw: Any) -> bool:
    if not isinstance(raw, bool):
        raise _malformed("flag is not a boolean")
    return raw


def _decode_digests(raw: Any) -> bytes:
    if not isinstance(raw, bytes) or len(raw) > MAX_DIGEST_BYTES:
        raise _malformed(f"digests are not bytes, or longer than {MAX_DIGEST_BYTES}")
    return raw


_DECODERS |= {
    int: _decode_age,
    str: lambda raw: _decode_name(raw) if raw else "",
    bool: _decode_boolean,
    bytes: _decode_digests,
    tuple[str, ...]: lambda raw: tuple(map(_decode_name, raw)),
}


def _decode_record(raw: list[Any]) -> Record:
    name, address, region, zone, incarnation, status, by = raw
    # Interned to save memory, as thousands of members share few regions and zones.
    return Record(
        _decode_name(name),
        _decode_name(address),
        sys.intern(_decode_name(region)),
        sys.intern(_decode_name(zone)),
        _decode_unsigned(incarnation),
        Status(_decode_unsigned(status)),
        _decode_name(by),
    )


def _decode_short_record(raw: list[Any]) -> ShortRecord:
    name, incarnation, status, checksum, *by = raw
    if _decode_unsigned(checksum) >> LOCATION_CHECKSUM_BITS or len(by) > 1:
        raise _malformed("short record has an invalid checksum or too many fields")
    return ShortRecord(
        _decode_name(name),
        _decode_unsigned(incarnation),
        Status(_decode_unsigned(status)),
        checksum,
        _decode_name(by[0]) if by else "",
    )


def _decode_sender(raw: list[Any]) -> SenderRecord:
    return _decode_record(raw) if len(raw) == _RECORD_LENGTH else _decode_short_record(raw)


def _decode_update(raw: list[Any]) -> Update:
    return _decode_link_report(raw) if isinstance(raw[-1], list) else _decode_sender(raw)


def _decode_link_report(raw: list[Any]) -> LinkReport:
    reporter, process_incarnation, version, bad = raw
    if len(bad) > MAX_LINKS:
        raise _malformed(f"{len(bad)} links in a report, at most {MAX_LINKS} are allowed")
    return LinkReport(
        _decode_name(reporter),
        _decode_unsigned(process_incarnation),
        _decode_unsigned(version),
        tuple(
            BadLink(_decode_name(source), _decode_name(target), _decode_unsigned(age)) for source, target, age in bad
        ),
    )


def stream_frame(packet: Packet, cluster: bytes) -> bytes:
    """Encode a packet as a length-prefixed frame for TCP."""
    data = encode(packet, cluster)
    return _LENGTH.pack(len(data)) + data


class StreamReader:
    """Reassembles the one frame that each side of a TCP connection sends."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes | None:
        """Add received bytes; return the frame once it is complete, else None. Raises FrameError."""
        self._buffer += data
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if not _HEAD.size < length <= MAX_STREAM_FRAME_BYTES:
            reason = DropReason.TOO_LONG if length > MAX_STREAM_FRAME_BYTES else DropReason.TRUNCATED
            raise FrameError(
                reason, f"frame length {length} is out of range, at most {MAX_STREAM_FRAME_BYTES} bytes are allowed"
            )
        if len(self._buffer) < _LENGTH.size + length:
            return None
        return bytes(self._buffer[_LENGTH.size : _LENGTH.size + length])
