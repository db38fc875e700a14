"""What members say to each other, as bytes of a stream: length, checksum, msgpack. Sans I/O; the wire knows no meaning.

A connection carries words in one direction only. It begins with a preface and one `Hello`."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from typing import Any, NamedTuple, get_type_hints

import msgpack

from .errors import CodecError
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
from .observer import FetchReply, FetchRequest
from .participant import (
    ForwardProposal,
    Greeting,
    ParticipantMessage,
    ProposalRejected,
    ReadIndexReply,
    ReadIndexRequest,
)

PREFACE = b"cpA\x01"  # what a connection of this kind begins with; its last byte is the format's version
MAX_FRAME = 256 * 1024  # bytes: two pieces and a head
MAX_NAME = 96  # characters of an identity
MAX_ENTRIES = 4096  # in one word

_HEAD = struct.Struct(">II")


class Hello(NamedTuple):
    """Who speaks on this connection, to whom, in which cluster; the version of entries that it knows."""

    cluster: str
    name: str
    identity: str
    to: str
    version: int


WireMessage = ParticipantMessage | Hello | StoreAnnouncement | StoreAcknowledgement

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


def _whole(raw: Any) -> int:
    if type(raw) is not int or not -1 <= raw < 2**63:
        raise CodecError("malformed")
    return raw


def _text(raw: Any) -> str:
    if not isinstance(raw, str) or len(raw) > MAX_NAME or not raw.isprintable():
        raise CodecError("malformed")
    return raw


def _exactly(kind: type[Any]) -> Callable[[Any], Any]:
    def read(raw: Any) -> Any:
        if type(raw) is not kind:
            raise CodecError("malformed")
        return raw

    return read


def _entries(raw: Any) -> tuple[Entry, ...]:
    if len(raw) > MAX_ENTRIES:
        raise CodecError("too_long")
    return tuple(unpack_entry(part) for part in raw)


def _members(raw: Any) -> Membership:
    voters, learners = raw
    return Membership(tuple(map(_text, voters)), tuple(map(_text, learners)))


_READERS: dict[Any, Callable[[Any], Any]] = {
    int: _whole,
    str: _text,
    bytes: _exactly(bytes),
    bool: _exactly(bool),
    tuple[Entry, ...]: _entries,
    Membership: _members,
}
_FIELDS = {word: tuple(_READERS[kind] for kind in get_type_hints(word).values()) for word in MESSAGE_TYPES}


def _plain(value: Any) -> Any:
    if isinstance(value, Membership):
        return [list(names) for names in value]
    if isinstance(value, tuple):
        return [pack_entry(entry) for entry in value]
    return value


def encode(word: WireMessage) -> bytes:
    """A word's frame."""
    content = msgpack.packb([MESSAGE_TYPES.index(type(word)), *map(_plain, word)])
    return _HEAD.pack(len(content), zlib.crc32(content)) + bytes(content)


def decode(content: bytes) -> WireMessage:
    """The word of a frame's content. Raises CodecError."""
    try:
        kind, *fields = msgpack.unpackb(content, strict_map_key=True, max_map_len=0, max_ext_len=0)
        word = MESSAGE_TYPES[_whole(kind)]
        readers = _FIELDS[word]
        if kind < 0 or len(fields) != len(readers):
            raise CodecError("malformed")
        made: WireMessage = word(*(read(raw) for read, raw in zip(readers, fields, strict=True)))
        return made
    except CodecError:
        raise
    except Exception:  # whatever an unpacker may raise on hostile bytes costs the sender its connection, nothing else
        raise CodecError("malformed") from None


class FrameReader:
    """Feed it bytes of a connection; it gives the words that are whole."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[WireMessage]:
        """Add what was read. Raises CodecError; nothing after that can be read."""
        self._buffer += data
        words, at = list[WireMessage](), 0
        while len(self._buffer) - at >= _HEAD.size:
            length, check = _HEAD.unpack_from(self._buffer, at)
            if length > MAX_FRAME:
                raise CodecError("too_long")
            end = at + _HEAD.size + length
            if len(self._buffer) < end:
                break
            content = bytes(self._buffer[at + _HEAD.size : end])
            if zlib.crc32(content) != check:
                raise CodecError("checksum")
            words.append(decode(content))
            at = end
        del self._buffer[:at]
        return words
