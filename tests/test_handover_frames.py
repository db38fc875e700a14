"""Frames of a hand-over: what is read in pieces, and what no peer sends."""

from __future__ import annotations

import pytest

from chutepin.facade import End
from chutepin.handover.frames import (
    Frame,
    FrameReader,
    MalformedFrameError,
    decode,
    decode_record,
    encode_frame,
    encode_record,
)
from chutepin.idempotency import IdempotencyRecord
from chutepin.net.lines import ProtocolError


def test_frames_are_read_in_any_pieces_and_malformed_ones_rejected() -> None:
    entry = IdempotencyRecord("k", "id", 7.25, b"\x00\xff", "id", End.OK, bytes(range(256)))
    data = encode_record(entry) + encode_frame("SYNCED", closed_until=0)
    frames, got = FrameReader(), []
    for byte in data:
        frames.feed(bytes([byte]))
        while (message := frames.next()) is not None:
            got.append(message)
    assert [verb for verb, _ in got] == ["KEY", "SYNCED"] and decode_record(got[0][1]) == entry
    for bad in (b"WHAT 2\r\n{}\r\n", b"KEY 1\r\n{\r\n", b"KEY 2\r\n[]\r\n", b"KEY 999999999\r\n", b"x" * 600):
        frames = FrameReader()
        frames.feed(bad)
        with pytest.raises(ProtocolError):
            frames.next()
    with pytest.raises(ProtocolError):
        decode_record({"key": "k"})


@pytest.mark.parametrize("field", ["running", "descriptors"])
def test_usage_that_is_no_finite_count_is_a_malformed_frame(field: str) -> None:
    fields = {"running": 1, "memory": 1.0, "descriptors": 1, field: float("inf")}
    with pytest.raises(MalformedFrameError):
        decode(Frame("USE", fields))
