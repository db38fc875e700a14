"""Frames of a hand-over: what is read in pieces, and what no peer sends."""

from __future__ import annotations

import dataclasses
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chutepin.facade import End
from chutepin.handover.fields import MAX_NUMBER
from chutepin.handover.frames import (
    Frame,
    FrameReader,
    MalformedFrameError,
    decode,
    decode_record,
    encode,
    encode_frame,
    encode_record,
)
from chutepin.handover.learned import LEARNED_CHECKS
from chutepin.handover.messages import (
    Hello,
    Here,
    KeyRemoved,
    KeyReply,
    KeysSynced,
    LearnedStatistics,
    Message,
    ProcessUsage,
    RecordChanged,
    Rejection,
    TakeoverGranted,
    TakeoverRequest,
)
from chutepin.idempotency import IdempotencyRecord, KeyRequest
from chutepin.net.lines import ProtocolError

from .helper import Core


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


def sound_messages() -> list[Message]:
    """One message of each verb, KEY with and without an outcome, NO of both kinds."""
    core = Core()
    core.pick("a", "position-push")
    core.pass_time(0.1)
    core.end("a")
    learned = core.broker.peer_exchange.learned()
    return [
        Hello(1),
        Here(1),
        Rejection("another successor", is_busy=True),
        Rejection("another version", version=2),
        RecordChanged(IdempotencyRecord("k", "id", 7.25, b"\x00\xff", "id", End.OK, b"\xff")),
        RecordChanged(IdempotencyRecord("k", "id", 7.25, b"", None, None, b"")),
        KeyRemoved("k"),
        ProcessUsage(3, 12.5, 40),
        KeyRequest("id", "k", b"\x01", 7.25),
        KeyReply("id", "k", True),
        KeysSynced(9.5),
        TakeoverRequest(),
        TakeoverGranted(),
        LearnedStatistics(learned),
    ]


MALFORMED_VALUES = [
    float("nan"),
    float("inf"),
    float("-inf"),
    -1,
    -0.5,
    10**399,
    1e300,
    None,
    True,
    "1",
    "\ud800",
    "x" * 2000,
    [],
    [1],
    {},
    {"a": 1},
    [float("nan")],
    [[1, float("nan")]],
    [[float("inf"), 1]],
    [[1, [1, -1]]],
]


def assert_sound_numbers(value: object, name: str = "") -> None:
    """Fail for a number or a text that no handler of a message can cope with, however deep it lies."""
    match value:
        case bool() | None | End() | bytes():
            return
        case int() | float():
            assert is_sound_number(value, name), (name, value)
        case str():
            value.encode()
        case dict():
            for key, item in value.items():
                assert_sound_numbers(item, key)
        case list() | tuple():
            for item in value:
                assert_sound_numbers(item, name)
        case IdempotencyRecord():
            assert_sound_numbers(dataclasses.asdict(value), name)
        case _:
            raise AssertionError(f"a message has a field of type {type(value)}")


def is_sound_number(value: float, name: str) -> bool:
    """Finite, 0 or more and within the bound, but for three learned values."""
    if name == "first" and value == math.inf:  # no request has come yet
        return True
    minimum = -MAX_NUMBER if name in ("buckets", "patience") else 0  # overdrawn quotas, waits already over
    return minimum <= value <= MAX_NUMBER


@pytest.mark.parametrize("message", sound_messages(), ids=lambda message: type(message).__name__)
def test_sound_frame_is_decoded_to_the_message_that_was_encoded(message: Message) -> None:
    frame = read_one(encode(message))
    decoded = decode(frame)
    assert type(decoded) is type(message) and encode(decoded) == encode(message)


# Guards against times and counts that are no numbers: a key that never expired, a link that ended with OverflowError.
@pytest.mark.parametrize("message", sound_messages(), ids=lambda message: type(message).__name__)
def test_frame_with_one_malformed_field_is_sound_or_malformed(message: Message) -> None:
    frame = read_one(encode(message))
    for name in frame.fields:
        for value in MALFORMED_VALUES:
            try:
                decoded = decode(Frame(frame.verb, {**frame.fields, name: value}))
            except MalformedFrameError:
                continue
            assert_sound_numbers(decoded)
        missing = {other: value for other, value in frame.fields.items() if other != name}
        try:
            assert_sound_numbers(decode(Frame(frame.verb, missing)))
        except MalformedFrameError:
            continue


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8) | st.sampled_from(["\ud800"]),
    lambda children: st.lists(children, max_size=4) | st.dictionaries(st.text(max_size=4), children, max_size=3),
    max_leaves=8,
)


# The same for values of any shape, as bytes; bodies may hold NaN, Infinity and 1e999, which `json` reads.
@settings(max_examples=300, deadline=None, derandomize=True)
@given(message=st.sampled_from(sound_messages()), data=st.data())
def test_bytes_of_any_json_give_a_sound_message_or_a_protocol_error(message: Message, data: st.DataObject) -> None:
    frame = read_one(encode(message))
    names = [*sorted(frame.fields), "other"]
    changes = data.draw(st.dictionaries(st.sampled_from(names), JSON_VALUES, max_size=2))
    raw = encode_frame(frame.verb, **{**frame.fields, **changes})
    try:
        assert_sound_numbers(decode(read_one(raw)))
    except ProtocolError:
        return


@pytest.mark.parametrize("digits", ["1e999", "-1e999", "NaN", "Infinity", "9" * 400, "9" * 5000])
@pytest.mark.parametrize(
    "body", ['{"running":%s,"memory":1,"descriptors":1}', '{"running":1,"memory":%s,"descriptors":1}']
)
def test_digits_that_are_no_finite_number_are_a_protocol_error(body: str, digits: str) -> None:
    data = (body % digits).encode()
    with pytest.raises(ProtocolError):
        decode(read_one(b"USE %d\r\n%b\r\n" % (len(data), data)))


# Guards against a zero that is divided by, and a limit below which nothing runs.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("runs.average", 0),
        ("runs.time", 0.0),
        ("calls.average", 0),
        ("runs.limit", 0),
        ("again_share", 1),
        ("slowness", 0),
    ],
)
def test_learned_value_that_would_be_divided_by_is_malformed(name: str, value: float) -> None:
    learned = Core().broker.peer_exchange.learned()
    with pytest.raises(MalformedFrameError):
        decode(read_one(encode_frame("LEARNED", **{**learned, name: value})))


def test_every_learned_value_has_a_check() -> None:
    assert set(Core().broker.peer_exchange.learned()) == set(LEARNED_CHECKS)


def read_one(data: bytes) -> Frame:
    frames = FrameReader()
    frames.feed(data)
    frame = frames.next()
    assert frame is not None
    return frame
