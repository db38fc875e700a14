"""Properties that a publisher shapes: whatever they hold, they fail only their own delivery, and the link stays."""

from __future__ import annotations

import struct
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pamqp import commands, frame

from chutepin.config import load_amqp
from chutepin.decision import simulator_protocol as wire
from chutepin.logs import Log
from chutepin.net.amqp import Consumer, FrameParser, Session, State, decode

from .helper import ENV, ROOT, STEPS, Core
from .test_amqp import SECRET

CONFIG = load_amqp(str(ROOT / "deploy" / "amqp.toml"), wire.parse_settings(ENV), SECRET)
MAX_PAYLOAD_BYTES = 65_000  # of a content header in one frame
ALL_FLAGS = 0xFFFC  # every property of class basic
SHORT_TEXT_FLAGS = {"message-id": 1 << 7, "correlation-id": 1 << 10, "reply-to": 1 << 9, "expiration": 1 << 8}
HEADERS_FLAG = 1 << 13


def frame_of(frame_type: int, payload: bytes) -> bytes:
    return struct.pack(">BHI", frame_type, 1, len(payload)) + payload + b"\xce"


def header_frame(body: bytes, flags: int, properties: bytes) -> bytes:
    """Return the frame of a content header with these raw properties; the AMQP broker writes the other fields."""
    return frame_of(2, struct.pack(">HHQH", 60, 0, len(body), flags) + properties[:MAX_PAYLOAD_BYTES])


def table(entries: bytes) -> bytes:
    return struct.pack(">I", len(entries)) + entries


def nested_tables(depth: int) -> bytes:
    entries = b""
    for _ in range(depth):
        entries = b"\x01aF" + table(entries)
    return table(entries)


def nested_arrays(depth: int) -> bytes:
    items = b""
    for _ in range(depth):
        items = b"A" + struct.pack(">I", len(items)) + items
    return table(b"\x01a" + items)


class World:
    """A consumer whose link is a list of written frames, and the deliveries that a test makes."""

    def __init__(self) -> None:
        self.core = Core()
        self.written = FrameParser()
        consumer = Consumer(CONFIG, self.core.broker, self.core.hand.clock, self.core.counters, self._log(), 1)
        self.session = Session(CONFIG, self.written.feed, consumer.delivered, self.core.counters)
        self.session.state = State.READY
        self.tag = 0

    def _log(self) -> Log:
        return Log(self.core.hand.clock)

    def deliver(self, header: bytes, body: bytes) -> int:
        """Deliver a message of the queue with keys and return its delivery tag. Raises ProtocolError."""
        self.tag += 1
        method = commands.Basic.Deliver("q0", self.tag, False, "", "depot.work-orders")
        body_frame = frame_of(3, body) if body else b""
        self.session.received(frame.marshal(method, 1) + header + body_frame)
        return self.tag

    def deliver_sound(self, message_id: bytes) -> int:
        """Deliver a message with a message id and no other property."""
        properties = bytes([len(message_id)]) + message_id
        return self.deliver(header_frame(b"order", SHORT_TEXT_FLAGS["message-id"], properties), b"order")

    def settlements(self) -> dict[int, str]:
        """End all runs and return how each delivery was settled. Raises AssertionError for a second settlement."""
        for id in self.core.running():
            self.core.end(id)
        settled: dict[int, str] = {}
        while (received := self.written.next()) is not None:
            method = decode(received[2])
            if isinstance(method, commands.Basic.Ack | commands.Basic.Nack | commands.Basic.Reject):
                tag = int(method.delivery_tag or 0)
                assert tag not in settled
                settled[tag] = type(method).__name__
        return settled


def assert_only_the_hostile_delivery_fails(header: bytes, body: bytes, expected: set[str]) -> None:
    world = World()
    first = world.deliver_sound(b"first")
    hostile = world.deliver(header, body)
    last = world.deliver_sound(b"last")
    settled = world.settlements()
    assert settled[first] == settled[last] == "Ack"
    assert settled[hostile] in expected


# Guards against a message whose properties end the link at each delivery, so that what is behind it has no outcome.
@pytest.mark.parametrize(
    ("flags", "properties"),
    [
        (HEADERS_FLAG, nested_tables(600)),
        (HEADERS_FLAG, nested_tables(8000)),
        (HEADERS_FLAG, nested_arrays(600)),
        (HEADERS_FLAG, nested_arrays(12000)),
        (HEADERS_FLAG, table(b"\x00V" * 32_000)),
        (HEADERS_FLAG, table(b"\x01\xffV")),
        (HEADERS_FLAG, table(b"\x01aT" + b"\xff" * 8)),
        (HEADERS_FLAG, table(b"\x01aD\xff" + b"\xff" * 4)),
        (HEADERS_FLAG, struct.pack(">I", 2**32 - 1)),
        (HEADERS_FLAG, b""),
        (SHORT_TEXT_FLAGS["message-id"], b"\x02\xff\xfe"),
        (ALL_FLAGS, b"\x00" * 40),
        (0xFFFF, b"\xff" * 200),
    ],
    ids=[
        "600 tables",
        "8000 tables",
        "600 arrays",
        "12000 arrays",
        "32000 entries",
        "name not UTF-8",
        "time out of range",
        "decimal out of range",
        "length out of range",
        "no table",
        "id not UTF-8",
        "zeros",
        "more flags than properties",
    ],
)
def test_hostile_properties_reject_their_delivery_and_no_other(flags: int, properties: bytes) -> None:
    assert_only_the_hostile_delivery_fails(header_frame(b"bad", flags, properties), b"bad", {"Reject"})


VALUES = st.recursive(
    st.one_of(
        st.binary(max_size=9).map(lambda raw: b"t" + raw),
        st.tuples(st.sampled_from(b"tbBuUsIilLfdDxSTV\x00"), st.binary(max_size=12)).map(
            lambda v: bytes([v[0]]) + v[1]
        ),
        st.binary(max_size=30).map(lambda raw: b"S" + table(raw)),
    ),
    lambda children: st.one_of(
        st.lists(children, max_size=4).map(lambda items: b"A" + table(b"".join(items))),
        st.lists(st.tuples(st.binary(max_size=5), children), max_size=4).map(
            lambda entries: b"F" + table(b"".join(bytes([len(name)]) + name + value for name, value in entries))
        ),
    ),
    max_leaves=12,
)
HEADER_TABLES = st.lists(st.tuples(st.sampled_from([b"a", b"x-due-ms", b"\xff"]), VALUES), max_size=5).map(
    lambda entries: table(b"".join(bytes([len(name)]) + name + value for name, value in entries))
)


def encode_properties(values: dict[str, Any]) -> tuple[int, bytes]:
    """Return the flags and the bytes of raw values, in the order of the flags."""
    flags = HEADERS_FLAG if "headers" in values else 0
    properties = bytes(values.get("headers", b""))
    for name in sorted(SHORT_TEXT_FLAGS, key=lambda name: -SHORT_TEXT_FLAGS[name]):
        if name in values:
            flags |= SHORT_TEXT_FLAGS[name]
            properties += bytes([len(values[name])]) + values[name]
    return flags, properties


SHORT_TEXTS = st.one_of(st.binary(max_size=255), st.text(max_size=60).map(str.encode), st.just(b"17"))


@settings(STEPS, max_examples=300)
@given(
    st.fixed_dictionaries({}, optional={"headers": HEADER_TABLES} | dict.fromkeys(SHORT_TEXT_FLAGS, SHORT_TEXTS)),
    st.binary(max_size=40),
)
def test_properties_of_the_grammar_settle_their_delivery_and_no_other(values: dict[str, Any], body: bytes) -> None:
    flags, properties = encode_properties(values)
    assert_only_the_hostile_delivery_fails(header_frame(body, flags, properties), body, {"Ack", "Nack", "Reject"})


@settings(STEPS, max_examples=300)
@given(st.integers(0, 0xFFFF), st.binary(max_size=400), st.binary(max_size=40))
def test_raw_properties_settle_their_delivery_and_no_other(flags: int, properties: bytes, body: bytes) -> None:
    assert_only_the_hostile_delivery_fails(header_frame(body, flags, properties), body, {"Ack", "Nack", "Reject"})
