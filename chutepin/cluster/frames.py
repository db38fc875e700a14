"""The wire format: packets to frames and back. Sans-I/O; whatever is received is a valid packet or a `FrameError`.

A frame is `cp`, the version, a digest of the cluster's name, a checksum, and a msgpack array. Over TCP a length of four
bytes precedes it, and long content is compressed, as a bit of its version byte shows. The checksum detects damage, not
forgery.

A record is whole, or short where the receiver is expected to hold the rest (`records.ShortRecord`); the length of its
array distinguishes them."""

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
    CHECK_BITS,
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
COMPRESSED = 0x80  # set in the version byte of a frame whose content is compressed; over TCP only
COMPRESS_FROM_BYTES = 4096  # of content: full states shrink to a third, digests do not shrink at all
COMPRESS_LEVEL = 1  # the fastest
MAX_DATAGRAM_BYTES = 1200  # fits every path without fragmentation
MAX_STREAM_FRAME_BYTES = 2**20  # also of its content unpacked: 8,192 records of 120 bytes
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
    """Why a frame is dropped, as counters and log show it."""

    GARBAGE = "garbage"  # no frame of this protocol
    TRUNCATED = "truncated"
    VERSION = "version"  # a frame of a program with another version
    CLUSTER = "cluster"  # a frame of another cluster
    CHECKSUM = "checksum"
    TOO_LONG = "too_long"
    MALFORMED = "malformed"


class FrameError(ClusterError):
    """The bytes are no packet for this member. `reason` is what is counted."""

    def __init__(self, reason: DropReason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason


def _malformed(detail: str) -> FrameError:
    return FrameError(DropReason.MALFORMED, detail)


def cluster_id(name: str) -> bytes:
    """Return the digest of the cluster's name that each frame has."""
    return hashlib.blake2b(name.encode(), digest_size=4).digest()


def _wire_form(update: Update) -> tuple[Any, ...]:
    """Return an update as it is encoded: a short record without an empty `by`."""
    if isinstance(update, ShortRecord) and not update.by:
        return update[:-1]
    return update


def update_bytes(update: Update) -> int:
    """Return the bytes that an update takes in a frame, at the most: the ages of links grow until it is sent."""
    return len(msgpack.packb(_wire_form(update))) + (4 * len(update.bad) if isinstance(update, LinkReport) else 0)


def encode(packet: Packet, cluster: bytes) -> bytes:
    """Encode a packet as a frame."""
    body = packet.body
    content = msgpack.packb(
        [
            packet.to,
            _wire_form(packet.sender),
            packet.sender.incarnation - packet.process_incarnation,  # small in nearly all frames
            packet.sequence,
            packet.digest,
            BODIES.index(type(body)),
            body,
            [_wire_form(update) for update in packet.updates],
        ]
    )
    version = VERSION
    if len(content) >= COMPRESS_FROM_BYTES:
        content = zlib.compress(content, COMPRESS_LEVEL)
        version = VERSION | COMPRESSED
    return bytes(_HEAD.pack(_MAGIC, version, cluster, zlib.crc32(content)) + content)


def decode(data: bytes, cluster: bytes, stream: bool) -> Packet:
    """Decode a frame. `stream`: it came over TCP. Raises FrameError."""
    limit = MAX_STREAM_FRAME_BYTES if stream else MAX_DATAGRAM_BYTES
    if len(data) > limit:
        raise FrameError(DropReason.TOO_LONG, f"a frame of {len(data)} bytes, {limit} are allowed")
    if data[:2] != _MAGIC:
        raise FrameError(DropReason.GARBAGE, f"{len(data)} bytes that don't begin as a frame does")
    if len(data) <= _HEAD.size:
        raise FrameError(DropReason.TRUNCATED, f"a frame of {len(data)} bytes, its head alone has {_HEAD.size}")
    _, version, whose, checksum = _HEAD.unpack_from(data)
    if version & ~COMPRESSED != VERSION or (version & COMPRESSED and not stream):
        raise FrameError(DropReason.VERSION, f"a frame of version {version}, this program has {VERSION}")
    if whose != cluster:
        raise FrameError(DropReason.CLUSTER, "a frame of another cluster")
    content: bytes | memoryview = memoryview(data)[_HEAD.size :]
    if zlib.crc32(content) != checksum:
        raise FrameError(DropReason.CHECKSUM, "the checksum does not match the content")
    if version & COMPRESSED:
        content = _decompressed(content)
    try:
        return _packet(msgpack.unpackb(content, strict_map_key=True, max_map_len=0, max_ext_len=0), stream)
    except FrameError:
        raise
    except Exception as error:  # whatever an unpacker may raise on hostile bytes costs only that packet
        raise _malformed(f"the content can't be unpacked ({type(error).__name__})") from error


def _decompressed(content: bytes | memoryview) -> bytes:
    """Decompress the content of a frame, never to more than a frame may hold. Raises FrameError."""
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(content, MAX_STREAM_FRAME_BYTES)
    except zlib.error as error:
        raise _malformed(f"the content can't be decompressed: {error}") from error
    if unpacker.unconsumed_tail:
        raise FrameError(DropReason.TOO_LONG, f"content of more than {MAX_STREAM_FRAME_BYTES} bytes")
    if not unpacker.eof:
        raise _malformed("the compressed content ends too early")
    if unpacker.unused_data:
        raise _malformed(f"{len(unpacker.unused_data)} bytes behind the compressed content")
    return unpacked


def _packet(raw: Any, stream: bool) -> Packet:
    to, raw_sender, incarnation_delta, sequence, digest, kind, fields, updates = raw
    body = BODIES[_unsigned(kind)]
    if body in _STREAM_ONLY and not stream:
        raise _malformed(f"{body.__name__} in a datagram")
    if len(updates) > MAX_UPDATES:
        raise FrameError(DropReason.TOO_LONG, f"{len(updates)} updates, {MAX_UPDATES} are allowed")
    sender = _sender(raw_sender)
    if type(incarnation_delta) is not int:
        raise _malformed("the process incarnation is no number")
    # A seed may be asked before its name is known to be right: `to` may be empty, no other name may.
    return Packet(
        _text(to) if to else "",
        sender,
        _unsigned(sender.incarnation - incarnation_delta),
        _unsigned(sequence),
        int(digest),
        _body(body, fields),
        tuple(_update(update) for update in updates),
    )


_READERS: dict[type[Any], Any] = {}


def _body(body: type[Any], fields: list[Any]) -> Body:
    types = _FIELDS[body]
    if len(fields) != len(types):
        raise _malformed(f"{body.__name__} with {len(fields)} fields, it has {len(types)}")
    if body is RecordRequest and len(fields[0]) > MAX_UPDATES:
        raise FrameError(DropReason.TOO_LONG, f"a request for {len(fields[0])} records, {MAX_UPDATES} are allowed")
    message: Body = body(*(_READERS[kind](value) for kind, value in zip(types, fields, strict=True)))
    return message


def _text(raw: Any) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= MAX_NAME or not raw.isprintable() or " " in raw:
        raise _malformed(f"a name that is no printable word of 1 to {MAX_NAME} characters")
    return raw


def _unsigned(raw: Any) -> int:
    if type(raw) is not int or not 0 <= raw <= MAX_NUMBER:
        raise _malformed("a number that is negative or too large")
    return raw


def _age(raw: Any) -> int:
    if type(raw) is not int or not -1 <= raw <= MAX_NUMBER:
        raise _malformed("an age that is too small or too large")
    return raw


def _boolean(raw: Any) -> bool:
    if not isinstance(raw, bool):
        raise _malformed("a flag that is neither true nor false")
    return raw


def _bytes(raw: Any) -> bytes:
    if not isinstance(raw, bytes) or len(raw) > MAX_DIGEST_BYTES:
        raise _malformed(f"digests that are no bytes, or more than {MAX_DIGEST_BYTES}")
    return raw


_READERS |= {
    int: _age,
    str: lambda raw: _text(raw) if raw else "",
    bool: _boolean,
    bytes: _bytes,
    tuple[str, ...]: lambda raw: tuple(map(_text, raw)),
}


def _record(raw: list[Any]) -> Record:
    name, address, region, zone, incarnation, status, by = raw
    # Thousands of members share few regions and zones: intern them to save memory.
    return Record(
        _text(name),
        _text(address),
        sys.intern(_text(region)),
        sys.intern(_text(zone)),
        _unsigned(incarnation),
        Status(_unsigned(status)),
        _text(by),
    )


def _short(raw: list[Any]) -> ShortRecord:
    name, incarnation, status, check, *by = raw
    if _unsigned(check) >> CHECK_BITS or len(by) > 1:
        raise _malformed("a short record with a wrong check or too many fields")
    return ShortRecord(
        _text(name), _unsigned(incarnation), Status(_unsigned(status)), check, _text(by[0]) if by else ""
    )


def _sender(raw: list[Any]) -> SenderRecord:
    return _record(raw) if len(raw) == _RECORD_LENGTH else _short(raw)


def _update(raw: list[Any]) -> Update:
    return _links(raw) if isinstance(raw[-1], list) else _sender(raw)


def _links(raw: list[Any]) -> LinkReport:
    reporter, process_incarnation, version, bad = raw
    if len(bad) > MAX_LINKS:
        raise _malformed(f"{len(bad)} links in a report, {MAX_LINKS} are allowed")
    return LinkReport(
        _text(reporter),
        _unsigned(process_incarnation),
        _unsigned(version),
        tuple(BadLink(_text(source), _text(target), _unsigned(age)) for source, target, age in bad),
    )


def stream_frame(packet: Packet, cluster: bytes) -> bytes:
    """Encode a packet as a frame for TCP, preceded by its length."""
    data = encode(packet, cluster)
    return _LENGTH.pack(len(data)) + data


class StreamReader:
    """Reassembles the one frame that each side of a TCP connection sends."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes | None:
        """Add bytes that were read; return the frame once it is complete, before that None. Raises FrameError."""
        self._buffer += data
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if not _HEAD.size < length <= MAX_STREAM_FRAME_BYTES:
            reason = DropReason.TOO_LONG if length > MAX_STREAM_FRAME_BYTES else DropReason.TRUNCATED
            raise FrameError(reason, f"a frame of {length} bytes, {MAX_STREAM_FRAME_BYTES} are allowed")
        if len(self._buffer) < _LENGTH.size + length:
            return None
        return bytes(self._buffer[_LENGTH.size : _LENGTH.size + length])
