"""Frames of a hand-over: incremental parsing, and rejection of malformed frames and fields."""

from __future__ import annotations

import contextlib
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
    HandoverAccepted,
    Hello,
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
from chutepin.node_intent import NodeIntent

from .helper import Core


def test_frames_are_parsed_byte_by_byte_and_malformed_frames_are_rejected() -> None:
    record = IdempotencyRecord("k", "id", 7.25, b"\x00\xff", "id", End.OK, bytes(range(256)))
    data = encode_record(record) + encode_frame("SYNCED", closed_until=0)
    reader, parsed = FrameReader(), []
    for byte in data:
        reader.feed(bytes([byte]))
        while (frame := reader.next()) is not None:
            parsed.append(frame)
    assert [verb for verb, _ in parsed] == ["KEY", "SYNCED"] and decode_record(parsed[0][1]) == record
    for malformed in (b"WHAT 2\r\n{}\r\n", b"KEY 1\r\n{\r\n", b"KEY 2\r\n[]\r\n", b"KEY 999999999\r\n", b"x" * 600):
        reader = FrameReader()
        reader.feed(malformed)
        with pytest.raises(ProtocolError):
            reader.next()
    with pytest.raises(ProtocolError):
        decode_record({"key": "k"})


@pytest.mark.parametrize("field", ["running", "descriptors"])
def test_infinite_usage_is_a_malformed_frame(field: str) -> None:
    fields = {"running": 1, "memory": 1.0, "descriptors": 1, field: float("inf")}
    with pytest.raises(MalformedFrameError):
        decode(Frame("USE", fields))


def valid_messages() -> list[Message]:
    """Return a message for each verb: two for KEY, with and without an outcome, and two for NO."""
    core = Core()
    core.pick("a", "position-push")
    core.pass_time(0.1)
    core.end("a")
    learned = core.broker.peer_exchange.learned()
    return [
        Hello(1),
        Hello(1, is_serving=True),
        HandoverAccepted(1),
        Rejection("another successor", is_busy=True),
        Rejection("another version", version=2),
        RecordChanged(IdempotencyRecord("k", "id", 7.25, b"\x00\xff", "id", End.OK, b"\xff")),
        RecordChanged(IdempotencyRecord("k", "id", 7.25, b"", None, None, b"")),
        KeyRemoved("k"),
        ProcessUsage(3, 12.5, 40),
        ProcessUsage(3, 12.5, 40, ("id",), NodeIntent(2, True)),
        ProcessUsage(3, 12.5, 40, (), NodeIntent(0, False, 7.25)),
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


def assert_valid_values(value: object, name: str = "") -> None:
    """Assert that all numbers and texts in a value, at any depth, are valid for the message handlers."""
    match value:
        case bool() | None | End() | bytes():
            return
        case int() | float():
            assert is_valid_number(value, name), (name, value)
        case str():
            value.encode()
        case dict():
            for key, item in value.items():
                assert_valid_values(item, key)
        case list() | tuple():
            for item in value:
                assert_valid_values(item, name)
        case IdempotencyRecord():
            assert_valid_values(dataclasses.asdict(value), name)
        case _:
            raise AssertionError(f"a message has a field of type {type(value)}")


def is_valid_number(value: float, name: str) -> bool:
    """Return whether a number is within 0 to MAX_NUMBER; three learned values may be infinite or negative."""
    if name == "first" and value == math.inf:  # before the first request
        return True
    minimum = -MAX_NUMBER if name in ("buckets", "patience") else 0  # exceeded quotas, waits that are over
    return minimum <= value <= MAX_NUMBER


@pytest.mark.parametrize("message", valid_messages(), ids=lambda message: type(message).__name__)
def test_encoded_message_is_decoded_to_an_equal_message(message: Message) -> None:
    frame = read_one(encode(message))
    decoded = decode(frame)
    assert type(decoded) is type(message) and encode(decoded) == encode(message)


# Guards against infinite or NaN times and counts: a key never expired, and a link ended with OverflowError.
@pytest.mark.parametrize("message", valid_messages(), ids=lambda message: type(message).__name__)
def test_frame_with_one_changed_or_missing_field_is_valid_or_malformed(message: Message) -> None:
    frame = read_one(encode(message))
    for name in frame.fields:
        for value in MALFORMED_VALUES:
            try:
                decoded = decode(Frame(frame.verb, {**frame.fields, name: value}))
            except MalformedFrameError:
                continue
            assert_valid_values(decoded)
        if isinstance(frame.fields[name], dict):
            changed = [
                {**frame.fields[name], inner: value} for inner in frame.fields[name] for value in MALFORMED_VALUES
            ]
            for values in changed:
                with contextlib.suppress(MalformedFrameError):
                    assert_valid_values(decode(Frame(frame.verb, {**frame.fields, name: values})))
        missing = {other: value for other, value in frame.fields.items() if other != name}
        try:
            assert_valid_values(decode(Frame(frame.verb, missing)))
        except MalformedFrameError:
            continue


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8) | st.sampled_from(["\ud800"]),
    lambda children: st.lists(children, max_size=4) | st.dictionaries(st.text(max_size=4), children, max_size=3),
    max_leaves=8,
)


# The same for encoded values of any shape; `json` parses NaN, Infinity and 1e999.
@settings(max_examples=300, deadline=None, derandomize=True)
@given(message=st.sampled_from(valid_messages()), data=st.data())
def test_frame_of_any_json_gives_a_valid_message_or_a_protocol_error(message: Message, data: st.DataObject) -> None:
    frame = read_one(encode(message))
    names = [*sorted(frame.fields), "other"]
    changes = data.draw(st.dictionaries(st.sampled_from(names), JSON_VALUES, max_size=2))
    encoded = encode_frame(frame.verb, **{**frame.fields, **changes})
    try:
        assert_valid_values(decode(read_one(encoded)))
    except ProtocolError:
        return


@pytest.mark.parametrize("digits", ["1e999", "-1e999", "NaN", "Infinity", "9" * 400, "9" * 5000])
@pytest.mark.parametrize(
    "body", ['{"running":%s,"memory":1,"descriptors":1}', '{"running":1,"memory":%s,"descriptors":1}']
)
def test_number_that_is_not_finite_is_a_protocol_error(body: str, digits: str) -> None:
    data = (body % digits).encode()
    with pytest.raises(ProtocolError):
        decode(read_one(b"USE %d\r\n%b\r\n" % (len(data), data)))


# Guards against a division by zero, and a concurrency limit of zero that would stop all runs.
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
def test_learned_value_that_leads_to_a_division_by_zero_or_no_runs_is_malformed(name: str, value: float) -> None:
    learned = Core().broker.peer_exchange.learned()
    with pytest.raises(MalformedFrameError):
        decode(read_one(encode_frame("LEARNED", **{**learned, name: value})))


def test_every_learned_value_has_a_check() -> None:
    assert set(Core().broker.peer_exchange.learned()) == set(LEARNED_CHECKS)


def read_one(data: bytes) -> Frame:
    reader = FrameReader()
    reader.feed(data)
    frame = reader.next()
    assert frame is not None
    return frame
