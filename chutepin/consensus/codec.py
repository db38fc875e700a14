"""The frame format of consensus connections: length, checksum and a message in msgpack. Performs no I/O.

A connection carries messages in one direction and begins with PREFACE and one `Hello`."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from typing import Any, NamedTuple, get_type_hints

import msgpack

from .errors import CodecError
from .fields import read_integer
from .identity import StoreAcknowledgement, StoreAnnouncement
from .journal import pack_entry, unpack_entry
from .messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshotChunk,
    InstallSnapshotReply,
    Membership,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from .protocol import (
    FetchReply,
    FetchRequest,
    ForwardProposal,
    Greeting,
    ParticipantMessage,
    ProposalRejected,
    ReadIndexReply,
    ReadIndexRequest,
)

PREFACE = b"cpA\x01"  # the last byte is the version of the format
MAX_FRAME_BYTES = 256 * 1024  # size of a frame's content
MAX_IDENTITY_CHARACTERS = 96
MAX_ENTRIES_PER_MESSAGE = 4096

_FRAME_HEADER = struct.Struct(">II")  # length of the content, its CRC-32


class Hello(NamedTuple):
    """The first message of a connection: its sender and receiver, their cluster, and the sender's entry version.

    `version` is the highest version of log entries that the sender can read."""

    cluster: str
    name: str
    identity: str
    to: str
    version: int


WireMessage = ParticipantMessage | Hello | StoreAnnouncement | StoreAcknowledgement

# The index of a type is its tag on the wire.
MESSAGE_TYPES: tuple[type[Any], ...] = (
    Hello,
    RequestVote,
    RequestVoteReply,
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshotChunk,
    InstallSnapshotReply,
    TimeoutNow,
    ForwardProposal,
    ProposalRejected,
    ReadIndexRequest,
    ReadIndexReply,
    FetchRequest,
    FetchReply,
    StoreAnnouncement,
    StoreAcknowledgement,
    Greeting,
)


def _read_integer(raw: Any) -> int:
    return read_integer(raw, minimum=-1)


def _read_text(raw: Any) -> str:
    if not isinstance(raw, str) or len(raw) > MAX_IDENTITY_CHARACTERS or not raw.isprintable():
        raise CodecError("malformed")
    return raw


def _exact_type_reader(kind: type[Any]) -> Callable[[Any], Any]:
    def read(raw: Any) -> Any:
        if type(raw) is not kind:
            raise CodecError("malformed")
        return raw

    return read


def _read_entries(raw: Any) -> tuple[Entry, ...]:
    if len(raw) > MAX_ENTRIES_PER_MESSAGE:
        raise CodecError("too_long")
    return tuple(unpack_entry(packed) for packed in raw)


def _read_membership(raw: Any) -> Membership:
    voters, learners = raw
    return Membership(tuple(map(_read_text, voters)), tuple(map(_read_text, learners)))


_READERS: dict[Any, Callable[[Any], Any]] = {
    int: _read_integer,
    str: _read_text,
    bytes: _exact_type_reader(bytes),
    bool: _exact_type_reader(bool),
    tuple[Entry, ...]: _read_entries,
    Membership: _read_membership,
}
_FIELD_READERS = {
    message_type: tuple(_READERS[kind] for kind in get_type_hints(message_type).values())
    for message_type in MESSAGE_TYPES
}


def _pack_field(value: Any) -> Any:
    if isinstance(value, Membership):
        return [list(names) for names in value]
    if isinstance(value, tuple):
        return [pack_entry(entry) for entry in value]
    return value


def encode(message: WireMessage) -> bytes:
    """Return a message encoded as a frame."""
    content = msgpack.packb([MESSAGE_TYPES.index(type(message)), *map(_pack_field, message)])
    return _FRAME_HEADER.pack(len(content), zlib.crc32(content)) + bytes(content)


def decode(content: bytes) -> WireMessage:
    """Decode the content of a frame. Raises CodecError."""
    try:
        tag, *fields = msgpack.unpackb(content, strict_map_key=True, max_map_len=0, max_ext_len=0)
        message_type = MESSAGE_TYPES[_read_integer(tag)]
        readers = _FIELD_READERS[message_type]
        if tag < 0 or len(fields) != len(readers):
            raise CodecError("malformed")
        message: WireMessage = message_type(*(read(raw) for read, raw in zip(readers, fields, strict=True)))
        return message
    except CodecError:
        raise
    except Exception:  # noqa: BLE001  msgpack may raise any exception on malformed bytes; only this connection ends
        raise CodecError("malformed") from None


class FrameReader:
    """A reader that splits a connection's byte stream into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[WireMessage]:
        """Add received bytes; return the completed messages. Raises CodecError, which must end the connection."""
        self._buffer += data
        messages = list[WireMessage]()
        start = 0
        while len(self._buffer) - start >= _FRAME_HEADER.size:
            length, checksum = _FRAME_HEADER.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                raise CodecError("too_long")
            end = start + _FRAME_HEADER.size + length
            if len(self._buffer) < end:
                break
            content = bytes(self._buffer[start + _FRAME_HEADER.size : end])
            if zlib.crc32(content) != checksum:
                raise CodecError("checksum")
            messages.append(decode(content))
            start = end
        del self._buffer[:start]
        return messages
