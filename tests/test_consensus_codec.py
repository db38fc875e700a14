"""The consensus codec: messages round-trip through frames, and malformed bytes raise CodecError only."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutepin.consensus import Entry, EntryKind, Membership
from chutepin.consensus.codec import MAX_FRAME_BYTES, FrameReader, Hello, WireMessage, decode, encode
from chutepin.consensus.errors import CodecError
from chutepin.consensus.identity import StoreAnnouncement
from chutepin.consensus.messages import AppendEntries, InstallSnapshotChunk
from chutepin.consensus.protocol import FetchReply, FetchRequest, ForwardProposal, Greeting, ProposalRejected

from .helper import STEPS


def entry(index: int, term: int, data: bytes = b"x") -> Entry:
    return Entry(index, term, EntryKind.PROPOSAL, data)


CHANGE = Entry(4, 3, EntryKind.VOTERS, b"", Membership(("n1", "n2"), ("n3~a",)))
MESSAGES: list[WireMessage] = [
    Hello("fleet", "n1", "n1~ab", "n2", 1),
    AppendEntries(3, 2, 1, (entry(3, 2), CHANGE), 2, 9),
    InstallSnapshotChunk(1, 5, 1, Membership(("n1",)), 3, 77, 0, b"abc", 4),
    ForwardProposal(bytes(16), 1, b"data"),
    ProposalRejected(bytes(16), "full", False),
    FetchRequest(1, 0, 0, 3),
    StoreAnnouncement("n1", "ab"),
    Greeting(True),
    FetchReply((entry(1, 1),), "n1", -1, 2, Membership(("n1",)), 0, 0, 0, 0, 0, b""),
]


def test_messages_round_trip_for_any_split_of_the_byte_stream() -> None:
    data = b"".join(map(encode, MESSAGES))
    for step in (1, 7, len(data)):
        reader = FrameReader()
        assert [
            message for start in range(0, len(data), step) for message in reader.feed(data[start : start + step])
        ] == MESSAGES


@STEPS
@given(st.binary(max_size=60))
def test_malformed_bytes_raise_only_codec_errors(data: bytes) -> None:
    with contextlib.suppress(CodecError):
        FrameReader().feed(data)
    for message in MESSAGES:
        frame = bytearray(encode(message)[8:])
        if data:
            frame[len(data) % len(frame)] ^= data[0]
        with contextlib.suppress(CodecError):
            decode(bytes(frame))


def test_frame_above_the_size_limit_is_rejected_by_its_header() -> None:
    with pytest.raises(CodecError, match="too_long"):
        FrameReader().feed((MAX_FRAME_BYTES + 1).to_bytes(4) + bytes(4))
