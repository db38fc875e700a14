"""Packets as bytes and back. Sans-I/O; whatever comes in is either a sound packet or a reason for dropping it.

A frame is `cp`, the version, a digest of the cluster's name, a checksum, and a msgpack array. Over TCP a length of four
bytes stands before it; a long content is compressed there, which its version byte tells. The checksum finds what was
damaged or cut off, not what was forged.

A record is written whole, or short where the receiver is expected to hold the rest (`records.ShortRecord`); the length
of its array tells which."""

from __future__ import annotations

import hashlib
import struct
import sys
import zlib
from typing import Any, get_type_hints

import msgpack

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
COMPRESS_FROM_BYTES = 4096  # bytes of content: whole states shrink to a third, digests do not shrink at all
COMPRESS_LEVEL = 1  # the fastest
MAX_DATAGRAM_BYTES = 1200  # bytes: fits every path without being taken apart
MAX_STREAM_FRAME_BYTES = 2**20  # bytes of a frame over TCP, and of its content unpacked: 8,192 records of 120 bytes
MAX_UPDATES = 8192  # in one frame
MAX_DIGEST_BYTES = 4096  # bytes of digests: 1,024 buckets
_HEAD = struct.Struct("!2sB4sI")  # mark, version, cluster, checksum
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


class FrameError(ValueError):
    """The bytes are no packet for this member; the message is the reason that is counted."""


def cluster_id(name: str) -> bytes:
    """What stands for the cluster's name in each frame."""
    return hashlib.blake2b(name.encode(), digest_size=4).digest()


def _wire_form(update: Update) -> tuple[Any, ...]:
    """An update as it is written: a short record without the `by` that it does not need."""
    if isinstance(update, ShortRecord) and not update.by:
        return update[:-1]
    return update


def update_bytes(update: Update) -> int:
    """How many bytes an update takes in a frame, at the most: ages may grow until it is sent."""
    return len(msgpack.packb(_wire_form(update))) + (4 * len(update.bad) if isinstance(update, LinkReport) else 0)


def encode(packet: Packet, cluster: bytes) -> bytes:
    """The frame of a packet."""
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
        content, version = zlib.compress(content, COMPRESS_LEVEL), VERSION | COMPRESSED
    return bytes(_HEAD.pack(_MAGIC, version, cluster, zlib.crc32(content)) + content)


def decode(data: bytes, cluster: bytes, stream: bool) -> Packet:
    """The packet of a frame. Raises FrameError."""
    if len(data) > (MAX_STREAM_FRAME_BYTES if stream else MAX_DATAGRAM_BYTES):
        raise FrameError("too_long")
    if data[:2] != _MAGIC:
        raise FrameError("garbage")
    if len(data) <= _HEAD.size:
        raise FrameError("truncated")
    _, version, whose, checksum = _HEAD.unpack_from(data)
    if version & ~COMPRESSED != VERSION or (version & COMPRESSED and not stream):
        raise FrameError("version")
    if whose != cluster:
        raise FrameError("cluster")
    content: bytes | memoryview = memoryview(data)[_HEAD.size :]
    if zlib.crc32(content) != checksum:
        raise FrameError("checksum")
    if version & COMPRESSED:
        content = _decompressed(content)
    try:
        return _packet(msgpack.unpackb(content, strict_map_key=True, max_map_len=0, max_ext_len=0), stream)
    except FrameError:
        raise
    except Exception:  # whatever an unpacker may raise on hostile bytes costs the sender its packet, nothing else
        raise FrameError("malformed") from None


def _decompressed(content: bytes | memoryview) -> bytes:
    """The content of a compressed frame, never more than a frame may hold. Raises FrameError."""
    unpacker = zlib.decompressobj()
    try:
        whole = unpacker.decompress(content, MAX_STREAM_FRAME_BYTES)
    except zlib.error:
        raise FrameError("malformed") from None
    if not unpacker.eof:
        raise FrameError("too_long" if unpacker.unconsumed_tail else "malformed")
    if unpacker.unused_data:
        raise FrameError("malformed")
    return whole


def _packet(raw: Any, stream: bool) -> Packet:
    to, sender, incarnation_delta, number, digest, kind, fields, updates = raw
    body = BODIES[_unsigned(kind)]
    if body in _STREAM_ONLY and not stream:
        raise FrameError("malformed")
    if len(updates) > MAX_UPDATES:
        raise FrameError("too_long")
    me = _sender(sender)
    if type(incarnation_delta) is not int:
        raise FrameError("malformed")
    # A seed may be asked before its name is known to be right: `to` may be empty, no other name may.
    return Packet(
        _text(to) if to else "",
        me,
        _unsigned(me.incarnation - incarnation_delta),
        _unsigned(number),
        int(digest),
        _body(body, fields),
        tuple(_update(update) for update in updates),
    )


_READERS: dict[type[Any], Any] = {}


def _body(body: type[Any], fields: list[Any]) -> Body:
    types = _FIELDS[body]
    if len(fields) != len(types):
        raise FrameError("malformed")
    if body is RecordRequest and len(fields[0]) > MAX_UPDATES:
        raise FrameError("too_long")
    made: Body = body(*(_READERS[kind](value) for kind, value in zip(types, fields, strict=True)))
    return made


def _text(raw: Any) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= MAX_NAME or not raw.isprintable() or " " in raw:
        raise FrameError("malformed")
    return raw


def _unsigned(raw: Any) -> int:
    if type(raw) is not int or not 0 <= raw <= MAX_NUMBER:
        raise FrameError("malformed")
    return raw


def _age(raw: Any) -> int:
    if type(raw) is not int or not -1 <= raw <= MAX_NUMBER:
        raise FrameError("malformed")
    return raw


def _boolean(raw: Any) -> bool:
    if not isinstance(raw, bool):
        raise FrameError("malformed")
    return raw


def _bytes(raw: Any) -> bytes:
    if not isinstance(raw, bytes) or len(raw) > MAX_DIGEST_BYTES:
        raise FrameError("malformed")
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
    # Thousands of members share few regions and zones: one text of each is kept.
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
        raise FrameError("malformed")
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
        raise FrameError("malformed")
    return LinkReport(
        _text(reporter),
        _unsigned(process_incarnation),
        _unsigned(version),
        tuple(BadLink(_text(source), _text(target), _unsigned(age)) for source, target, age in bad),
    )


def stream_frame(packet: Packet, cluster: bytes) -> bytes:
    """A frame with its length before it."""
    data = encode(packet, cluster)
    return _LENGTH.pack(len(data)) + data


class StreamReader:
    """Feed it bytes of a connection until it gives the one frame that a side sends."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes | None:
        """Add what was read; the frame once it is whole. Raises FrameError for a length that no frame has."""
        self._buffer += data
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if not _HEAD.size < length <= MAX_STREAM_FRAME_BYTES:
            raise FrameError("too_long" if length > MAX_STREAM_FRAME_BYTES else "truncated")
        if len(self._buffer) < _LENGTH.size + length:
            return None
        return bytes(self._buffer[_LENGTH.size : _LENGTH.size + length])
