"""Readers of external bytes raise only their own error, whatever the input.

An error of another type would end more than the connection on which the bytes arrived."""

from __future__ import annotations

import json
import struct
import zlib
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from pamqp import commands, frame, header

from chutepin.admin.line_reader import InvalidLineError, LineReader
from chutepin.cluster import frames as gossip
from chutepin.consensus import codec as consensus
from chutepin.consensus.errors import CodecError
from chutepin.handover.frames import FrameReader, decode
from chutepin.logs import Log
from chutepin.net.amqp import Content, State
from chutepin.net.executor import Session as ExecutorSession
from chutepin.net.lines import ProtocolError, line
from chutepin.net.resp import RespParser, array, parse_call

from .helper import Core
from .test_amqp import quiet_session

KEPT: dict[str, dict[str, str]] = json.loads((Path(__file__).parent / "data" / "frames.json").read_text())
CLUSTER = gossip.cluster_id("kept-cluster")
FUZZ = settings(
    derandomize=True, database=None, deadline=None, max_examples=400, suppress_health_check=list(HealthCheck)
)
# Texts that `float` or `int` accept, or nearly: superscripts, digits of other scripts, signs, underscores, lengths.
ODD_NUMBERS = st.sampled_from(
    ["²", "٣", "1_0", "nan", "inf", "-1", "+1", "1e999", "9" * 400, "9" * 5000, "", ".", "0x1", " 1", "\x00"]
)
CONSUMER_TAGS = st.one_of(st.text(max_size=6), ODD_NUMBERS.map(lambda text: f"q{text}"))


@st.composite
def changed(draw: st.DrawFn, data: bytes) -> bytes:
    """Return the data with some bytes replaced, removed or inserted."""
    for _ in range(draw(st.integers(1, 4))):
        offset = draw(st.integers(0, max(0, len(data) - 1)))
        length = draw(st.integers(0, 4))
        data = data[:offset] + draw(st.binary(max_size=4)) + data[offset + length :]
    return data


# Guards against a consumer tag such as "q²": `str.isdigit` accepts it and `int` does not, which broke every link.
@FUZZ
@given(consumer_tag=CONSUMER_TAGS, delivery_tag=st.integers(1, 2**63 - 1))
def test_amqp_delivery_under_any_consumer_tag_is_settled(consumer_tag: str, delivery_tag: int) -> None:
    sent: list[bytes] = []
    consumer, session = quiet_session(sent, Core())
    session.state = State.READY
    session.unsettled.add(delivery_tag)
    deliver = commands.Basic.Deliver(consumer_tag, delivery_tag, False, "", "depot.status")
    consumer.delivered(session, Content(deliver, commands.Basic.Properties(), 0, 0, []))
    if consumer_tag not in ("q0", "q1"):
        assert delivery_tag not in session.unsettled and sent


AMQP_FRAMES = [
    frame.marshal(commands.Basic.Deliver("q1", 1, False, "", "depot.status"), 1),
    frame.marshal(header.ContentHeader(0, 2, commands.Basic.Properties(message_id="m", expiration="9")), 1),
    frame.marshal(commands.Basic.QosOk(), 1),
    frame.marshal(commands.Channel.Flow(True), 1),
    frame.marshal(commands.Connection.Start(mechanisms="PLAIN"), 0),
    frame.marshal(commands.Connection.Tune(1, 8192, 5), 0),
]


@FUZZ
@given(data=st.data(), state=st.sampled_from(list(State)))
def test_amqp_session_raises_only_protocol_errors(data: st.DataObject, state: State) -> None:
    _, session = quiet_session([], Core())
    session.state = state
    for raw in data.draw(st.lists(st.sampled_from(AMQP_FRAMES), min_size=1, max_size=4)):
        try:
            session.received(data.draw(changed(raw)) if data.draw(st.booleans()) else raw)
        except ProtocolError:
            return


CALL_FIELDS = b"i=0123456789abcdef,s=1764576000123,f=4,t=bernard-lodge,d=480,m=24.5,p=0.6250"


@FUZZ
@given(data=st.data(), field=st.sampled_from([b"s", b"f", b"d", b"m", b"p"]), odd_number=ODD_NUMBERS)
def test_platform_call_raises_only_protocol_errors(data: st.DataObject, field: bytes, odd_number: str) -> None:
    fields = dict(part.split(b"=") for part in CALL_FIELDS.split(b","))
    fields[field] = odd_number.encode()
    encoded_fields = b",".join(b"%b=%b" % pair for pair in fields.items())
    parser = RespParser()
    raw = array(b"RPC.CALL", b"1", b"status-read", encoded_fields, b"x")
    try:
        parser.feed(data.draw(changed(raw)) if data.draw(st.booleans()) else raw)
        while (items := parser.next()) is not None:
            parse_call(items)
    except ProtocolError:
        return


NOTICES = [
    line("WELCOME", "hot", 5),
    line("EXIT", 1, "id", "complete", 20, body=b"done"),
    line("CALLOUT", 2, "id", body=b"call"),
    line("METERS", 1, "0.1", 1),
    line("LOG", 3, "a", "remark"),
    line("BAD", "EXEC", "id"),
]


@FUZZ
@given(data=st.data(), odd_number=ODD_NUMBERS)
def test_executor_session_raises_only_protocol_errors(data: st.DataObject, odd_number: str) -> None:
    core = Core()
    session = ExecutorSession(core.hand.clock, core.counters, Log(core.hand.clock), True)
    session.notices = core.broker
    session.connected(lambda sent: None)
    for raw in data.draw(st.lists(st.sampled_from(NOTICES), min_size=1, max_size=4)):
        words = raw.split(b" ")
        words[data.draw(st.integers(0, len(words) - 1))] = odd_number.encode()
        try:
            session.received(data.draw(st.sampled_from([raw, b" ".join(words), data.draw(changed(raw))])))
        except ProtocolError:
            return


@FUZZ
@given(data=st.binary(max_size=300))
def test_ops_line_reader_raises_only_its_own_error(data: bytes) -> None:
    reader = LineReader()
    try:
        reader.feed(data)
    except InvalidLineError:
        return


def reseal(protocol: str, data: bytes) -> bytes:
    """Replace the checksum of changed content by a valid one, so that the reader decodes the content."""
    if protocol == "gossip":
        return data[:7] + struct.pack(">I", zlib.crc32(data[11:])) + data[11:]
    return struct.pack(">II", len(data) - 8, zlib.crc32(data[8:])) + data[8:]


@FUZZ
@given(data=st.data(), name=st.sampled_from(sorted(name for name in KEPT["gossip"] if "length" not in name)))
def test_gossip_raises_only_frame_errors(data: st.DataObject, name: str) -> None:
    raw = bytes.fromhex(KEPT["gossip"][name])
    raw = raw[:11] + data.draw(changed(raw[11:]))
    try:
        gossip.decode(reseal("gossip", raw), CLUSTER, True)
    except gossip.FrameError:
        return


@FUZZ
@given(data=st.data(), name=st.sampled_from(sorted(KEPT["consensus"])))
def test_consensus_raises_only_codec_errors(data: st.DataObject, name: str) -> None:
    raw = bytes.fromhex(KEPT["consensus"][name])
    raw = raw[:8] + data.draw(changed(raw[8:]))
    try:
        consensus.FrameReader().feed(reseal("consensus", raw))
    except CodecError:
        return


@FUZZ
@given(data=st.data(), name=st.sampled_from(sorted(KEPT["hand-over"])))
def test_handover_raises_only_protocol_errors(data: st.DataObject, name: str) -> None:
    reader = FrameReader()
    try:
        reader.feed(data.draw(changed(bytes.fromhex(KEPT["hand-over"][name]))))
        while (received_frame := reader.next()) is not None:
            decode(received_frame)
    except ProtocolError:
        return


def test_resealed_checksums_equal_those_of_the_senders() -> None:
    """Otherwise the two tests above could only exercise invalid checksums."""
    for protocol in ("gossip", "consensus"):
        data: dict[str, Any] = KEPT[protocol]
        raw = bytes.fromhex(data["Ping" if protocol == "gossip" else "Hello"])
        assert reseal(protocol, raw) == raw
