"""The wire format: round trips, damaged frames, hostile input and compression."""

from __future__ import annotations

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutepin.cluster import Record, Status
from chutepin.cluster.frames import (
    COMPRESSED,
    MAX_DATAGRAM_BYTES,
    MAX_STREAM_FRAME_BYTES,
    VERSION,
    FrameError,
    StreamReader,
    decode,
    encode,
    stream_frame,
)
from chutepin.cluster.messages import (
    Ack,
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
from chutepin.cluster.records import BadLink, LinkReport, ShortRecord

from .cluster_helper import FLEET, record
from .helper import STEPS

WORDS = st.text(st.characters(codec="utf-8", categories=("L", "N")), min_size=1, max_size=64)
UNSIGNED = st.integers(0, 2**63 - 1)
AGES = st.integers(-1, 2**63 - 1)
RECORDS = st.builds(Record, WORDS, WORDS, WORDS, WORDS, UNSIGNED, st.sampled_from(Status), WORDS)
LINK_REPORTS = st.builds(
    LinkReport, WORDS, UNSIGNED, UNSIGNED, st.lists(st.builds(BadLink, WORDS, WORDS, UNSIGNED), max_size=16).map(tuple)
)
BODIES = st.one_of(
    st.builds(Ping, UNSIGNED, st.just("") | WORDS, UNSIGNED),
    st.builds(Ack, UNSIGNED, AGES),
    st.builds(PingReq, UNSIGNED, WORDS),
    st.builds(ProbeResult, UNSIGNED, WORDS, st.booleans(), AGES),
    st.just(Gossip()),
    st.builds(Sync, st.booleans(), st.booleans()),
    st.just(NameTaken()),
    st.builds(StaleProcess, UNSIGNED),
    st.builds(BucketDigests, st.binary(max_size=64), UNSIGNED),
    st.builds(BucketRecords, UNSIGNED, st.binary(max_size=64), UNSIGNED, UNSIGNED),
    st.builds(RecordRequest, st.lists(WORDS, max_size=3).map(tuple)),
    st.just(Records()),
)
SHORT_RECORDS = st.builds(
    ShortRecord, WORDS, UNSIGNED, st.sampled_from(Status), st.integers(0, 2**16 - 1), st.just("") | WORDS
)
STREAM_BODIES = (Sync, NameTaken, BucketDigests, BucketRecords, RecordRequest, Records)
PACKETS = st.builds(
    Packet,
    st.just("") | WORDS,
    RECORDS | SHORT_RECORDS,
    UNSIGNED,
    UNSIGNED,
    st.integers(0, 2**56 - 1),
    BODIES,
    st.lists(RECORDS | SHORT_RECORDS | LINK_REPORTS, max_size=4).map(tuple),
)


@STEPS
@given(PACKETS, st.data())
def test_packet_round_trips_and_damaged_frames_are_rejected(packet: Packet, data: st.DataObject) -> None:
    frame = encode(packet, FLEET)
    assert decode(frame, FLEET, True) == packet
    position = data.draw(st.integers(0, len(frame) - 1))
    for damaged in (
        frame[:position],
        frame[:position] + bytes([frame[position] ^ 0x40]) + frame[position + 1 :],
        frame + b"x",
    ):
        with pytest.raises(FrameError):
            decode(damaged, FLEET, True)
    if isinstance(packet.body, STREAM_BODIES) or len(frame) > MAX_DATAGRAM_BYTES:
        with pytest.raises(FrameError):
            decode(frame, FLEET, False)
    reader, stream_data = StreamReader(), stream_frame(packet, FLEET)
    assert reader.feed(stream_data[:position]) is None or position >= len(stream_data)
    assert reader.feed(stream_data[position:]) == frame


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "garbage"),
        (b"GET / HTTP/1.1", "garbage"),
        (b"cp", "truncated"),
        (b"cp\x01" + bytes(20), "version"),
        (b"cp\x82" + bytes(20), "version"),  # compressed: over TCP only
        (b"cp\x02" + bytes(20), "cluster"),
        (b"cp\x02" + FLEET + bytes(20), "checksum"),
        (bytes(1201), "too_long"),
    ],
)
def test_invalid_frame_is_rejected_with_its_reason(data: bytes, reason: str) -> None:
    with pytest.raises(FrameError, match=reason):
        decode(data, FLEET, False)


@STEPS
@given(st.binary(max_size=300))
def test_hostile_content_with_valid_checksum_is_rejected(content: bytes) -> None:
    import struct
    import zlib

    frame = b"cp\x02" + FLEET + struct.pack("!I", zlib.crc32(content)) + content
    with pytest.raises(FrameError, match=r"malformed|truncated"):
        decode(frame, FLEET, False)


def test_stream_with_invalid_length_is_rejected() -> None:
    with pytest.raises(FrameError, match="too_long"):
        StreamReader().feed((MAX_STREAM_FRAME_BYTES + 1).to_bytes(4) + b"x")
    with pytest.raises(FrameError, match="truncated"):
        StreamReader().feed(bytes(4))


def test_full_state_is_compressed_and_decompression_is_bounded() -> None:
    packet = Packet("n2", record(1), 1, 1, 0, Sync(False, True), tuple(record(number) for number in range(2300)))
    frame = encode(packet, FLEET)
    assert frame[2] == VERSION | COMPRESSED and len(frame) < 60_000 and decode(frame, FLEET, True) == packet
    bomb = zlib.compress(bytes(MAX_STREAM_FRAME_BYTES + 1))
    head = frame[:7] + zlib.crc32(bomb).to_bytes(4)
    with pytest.raises(FrameError, match="too_long"):
        decode(head + bomb, FLEET, True)
    truncated = bomb[:-9]
    with pytest.raises(FrameError, match=r"too_long|malformed"):
        decode(frame[:7] + zlib.crc32(truncated).to_bytes(4) + truncated, FLEET, True)
