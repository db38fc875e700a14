"""Packets as bytes and back. Sans-I/O; whatever comes in is either a sound packet or a reason for dropping it.

A frame is `cp`, the version, a digest of the cluster's name, a checksum, and a msgpack array. Over TCP a length of four
bytes stands before it. The checksum finds what was damaged or cut off, not what was forged."""

from __future__ import annotations

import hashlib
import struct
import zlib
from typing import Any, get_type_hints

import msgpack

from .messages import Ack, Body, Found, Gossip, Packet, Ping, PingReq, Refuse, Stale, Sync
from .records import MAX_LINKS, MAX_NAME, MAX_NUMBER, BadLink, Links, Record, Status, Update

VERSION = 1
MAX_DATAGRAM = 1200  # bytes: fits every path without being taken apart
MAX_STREAM = 2**20  # bytes of a frame over TCP: 4,096 of the longest records, more than the table of members holds
MAX_UPDATES = 4096  # in one frame
_HEAD = struct.Struct("!2sB4sI")  # mark, version, cluster, checksum
_LENGTH = struct.Struct("!I")
_MARK = b"cp"
BODIES: tuple[type[Any], ...] = (Ping, Ack, PingReq, Found, Gossip, Sync, Refuse, Stale)
_STREAM_ONLY = (Sync, Refuse)
_FIELDS: dict[type[Any], tuple[type[Any], ...]] = {body: tuple(get_type_hints(body).values()) for body in BODIES}


class FrameError(ValueError):
    """The bytes are no packet for this member; the message is the reason that is counted."""


def cluster_id(name: str) -> bytes:
    """What stands for the cluster's name in each frame."""
    return hashlib.blake2b(name.encode(), digest_size=4).digest()


def _plain(update: Update) -> list[Any]:
    return [0, *update] if isinstance(update, Record) else [1, *update]


def update_bytes(update: Update) -> int:
    """How many bytes an update takes in a frame, at the most: ages may grow until it is sent."""
    return len(msgpack.packb(_plain(update))) + 4 * (not isinstance(update, Record)) * len(update[3])


def encode(packet: Packet, cluster: bytes) -> bytes:
    """The frame of a packet."""
    body = packet.body
    content = msgpack.packb(
        [
            packet.to,
            packet.me,
            packet.life,
            packet.number,
            packet.digest,
            BODIES.index(type(body)),
            body,
            [_plain(update) for update in packet.updates],
        ]
    )
    return bytes(_HEAD.pack(_MARK, VERSION, cluster, zlib.crc32(content)) + content)


def decode(data: bytes, cluster: bytes, stream: bool) -> Packet:
    """The packet of a frame. Raises FrameError."""
    if len(data) > (MAX_STREAM if stream else MAX_DATAGRAM):
        raise FrameError("too_long")
    if data[:2] != _MARK:
        raise FrameError("garbage")
    if len(data) <= _HEAD.size:
        raise FrameError("truncated")
    _, version, whose, checksum = _HEAD.unpack_from(data)
    if version != VERSION:
        raise FrameError("version")
    if whose != cluster:
        raise FrameError("cluster")
    content = memoryview(data)[_HEAD.size :]
    if zlib.crc32(content) != checksum:
        raise FrameError("checksum")
    try:
        return _packet(msgpack.unpackb(content, strict_map_key=True, max_map_len=0, max_ext_len=0), stream)
    except FrameError:
        raise
    except Exception:  # whatever an unpacker may raise on hostile bytes costs the sender its packet, nothing else
        raise FrameError("malformed") from None


def _packet(raw: Any, stream: bool) -> Packet:
    to, me, life, number, digest, kind, fields, updates = raw
    body = BODIES[_whole(kind)]
    if body in _STREAM_ONLY and not stream:
        raise FrameError("malformed")
    if len(updates) > MAX_UPDATES:
        raise FrameError("too_long")
    # A seed may be asked before its name is known to be right: `to` may be empty, no other name may.
    return Packet(
        _text(to) if to else "",
        _record(me),
        _whole(life),
        _whole(number),
        int(digest),
        _body(body, fields),
        tuple(_update(update) for update in updates),
    )


_READERS: dict[type[Any], Any] = {}


def _body(body: type[Any], fields: list[Any]) -> Body:
    types = _FIELDS[body]
    if len(fields) != len(types):
        raise FrameError("malformed")
    made: Body = body(*(_READERS[kind](value) for kind, value in zip(types, fields, strict=True)))
    return made


def _text(raw: Any) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= MAX_NAME or not raw.isprintable() or " " in raw:
        raise FrameError("malformed")
    return raw


def _whole(raw: Any) -> int:
    if type(raw) is not int or not 0 <= raw <= MAX_NUMBER:
        raise FrameError("malformed")
    return raw


def _age(raw: Any) -> int:
    if type(raw) is not int or not -1 <= raw <= MAX_NUMBER:
        raise FrameError("malformed")
    return raw


def _truth(raw: Any) -> bool:
    if not isinstance(raw, bool):
        raise FrameError("malformed")
    return raw


_READERS |= {int: _age, str: lambda raw: _text(raw) if raw else "", bool: _truth}


def _record(raw: list[Any]) -> Record:
    name, address, region, zone, incarnation, status, by = raw
    return Record(
        _text(name), _text(address), _text(region), _text(zone), _whole(incarnation), Status(_whole(status)), _text(by)
    )


def _update(raw: list[Any]) -> Update:
    kind, *fields = raw
    if kind == 0:
        return _record(fields)
    reporter, life, version, bad = fields
    if kind != 1 or len(bad) > MAX_LINKS:
        raise FrameError("malformed")
    return Links(
        _text(reporter),
        _whole(life),
        _whole(version),
        tuple(BadLink(_text(source), _text(target), _whole(age)) for source, target, age in bad),
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
        if not _HEAD.size < length <= MAX_STREAM:
            raise FrameError("too_long" if length > MAX_STREAM else "truncated")
        if len(self._buffer) < _LENGTH.size + length:
            return None
        return bytes(self._buffer[_LENGTH.size : _LENGTH.size + length])
