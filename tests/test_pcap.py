"""pcap files: both byte orders, TCP reassembly, reports of damage, and recordings that can be read back."""

from __future__ import annotations

import asyncio
import io
import random
import struct
from contextlib import AsyncExitStack
from pathlib import Path

import dpkt  # type: ignore[import-untyped]
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutepin.clock import Clock
from chutepin.config import ConfigError
from chutepin.counters import Counters
from chutepin.net.resp import RespParser, array
from chutepin.pcap import Chunk, Recorder, Report, chunks
from chutepin.testbench.standins.platform import eventually, free_port

from .helper import STEPS, Standins

PORT = 7001
START = 1_764_576_000.0


def packet(seq: int, data: bytes, flags: int = dpkt.tcp.TH_ACK, v6: bool = False, port: int = PORT) -> bytes:
    tcp = dpkt.tcp.TCP(sport=50000, dport=port, seq=seq % 2**32, flags=flags, data=data)
    if v6:
        ip = dpkt.ip6.IP6(
            src=b"\0" * 15 + b"\1", dst=b"\0" * 15 + b"\1", nxt=dpkt.ip.IP_PROTO_TCP, hlim=64, plen=len(tcp), data=tcp
        )
        return bytes(dpkt.ethernet.Ethernet(type=dpkt.ethernet.ETH_TYPE_IP6, data=ip))
    ip = dpkt.ip.IP(src=b"\x7f\0\0\2", dst=b"\x7f\0\0\1", p=dpkt.ip.IP_PROTO_TCP, data=tcp)
    ip.len = len(ip)
    return bytes(dpkt.ethernet.Ethernet(data=ip))


def capture(packets: list[bytes], order: str = "<", nano: bool = False) -> bytes:
    """Build a file by hand, so that reader and writer are not only tested against each other."""
    magic = 0xA1B23C4D if nano else 0xA1B2C3D4
    out = struct.pack(order + "IHHiIII", magic, 2, 4, 0, 0, 65535, 1)
    for index, frame in enumerate(packets):
        fraction = 500_000_000 if nano else 500_000
        out += struct.pack(order + "IIII", int(START) + index, fraction, len(frame), len(frame)) + frame
    return out


def read(data: bytes) -> tuple[bytes, Report, list[Chunk]]:
    report = Report()
    result = list(chunks(io.BytesIO(data), PORT, report))
    return b"".join(chunk.data for chunk in result), report, result


@pytest.mark.parametrize("order", ["<", ">"])
@pytest.mark.parametrize("nano", [False, True])
@pytest.mark.parametrize("v6", [False, True])
def test_every_byte_order_resolution_and_ip_version_is_read(order: str, nano: bool, v6: bool) -> None:
    segments = [packet(99, b"", dpkt.tcp.TH_SYN, v6), packet(100, b"one ", v6=v6), packet(104, b"two", v6=v6)]
    data, report, result = read(capture(segments, order, nano))
    assert data == b"one two" and [chunk.time for chunk in result[:2]] == [START + 1.5, START + 2.5]
    assert (report.packets, report.gaps, report.truncated, result[-1].ended) == (3, 0, False, True)


@STEPS
@given(data=st.binary(min_size=1, max_size=400), start=st.integers(2**32 - 300, 2**32 + 10), seed=st.integers(0, 10**6))
def test_reordered_and_repeated_segments_give_the_same_bytes(data: bytes, start: int, seed: int) -> None:
    rng = random.Random(seed)
    spans = []
    offset = 0
    while offset < len(data):
        end = min(len(data), offset + rng.randint(1, 60))
        spans.append((offset, end))
        if rng.random() < 0.4:  # retransmitted with other boundaries
            spans.append((max(0, offset - rng.randint(0, 20)), min(len(data), end + rng.randint(0, 20))))
        offset = end
    rng.shuffle(spans)
    frames = [packet(start, b"", dpkt.tcp.TH_SYN)] + [packet(start + 1 + a, data[a:b]) for a, b in spans]
    result, report, _ = read(capture(frames))
    assert result == data and report.gaps == 0 and report.unused == 0


def test_data_behind_a_gap_is_reported_and_not_used() -> None:
    data, report, _ = read(
        capture([packet(99, b"", dpkt.tcp.TH_SYN), packet(100, b"whole"), packet(110, b"behind"), packet(116, b"!")])
    )
    assert data == b"whole" and (report.gaps, report.unused) == (1, 7)


@pytest.mark.parametrize("missing_bytes", [1, 20, 60])
def test_complete_packets_of_truncated_file_are_used(missing_bytes: int) -> None:
    complete = capture([packet(100, b"first "), packet(106, b"second")])
    data, report, _ = read(complete[:-missing_bytes])
    assert data == b"first " and report.truncated


def test_truncation_inside_a_packet_header_is_reported() -> None:
    complete = capture([packet(100, b"first ")])
    data, report, _ = read(complete + b"\0" * 7)
    assert data == b"first " and report.truncated


@pytest.mark.parametrize("content", [b"", b"text", b"\xd4\xc3\xb2\xa1", capture([])[:20] + struct.pack("<I", 101)])
def test_file_other_than_ethernet_capture_is_a_configuration_error(content: bytes) -> None:
    with pytest.raises(ConfigError, match=r"^read: not a"):
        read(content)


@STEPS
@given(offset=st.integers(24, 200), damage=st.binary(min_size=1, max_size=40))
def test_damaged_file_does_not_crash_the_reader(offset: int, damage: bytes) -> None:
    complete = capture([packet(99, b"", dpkt.tcp.TH_SYN), packet(100, b"one"), packet(103, b"two")])
    read(complete[:offset] + damage + complete[offset + len(damage) :])


def call(number: int, cls: bytes, sent_at: float, body: bytes) -> bytes:
    fields = f"i={number:016x},s={int(sent_at * 1000)},f=1,t=bernard-lodge,d=4000,m=24.5,p=0.5"
    fields += ",k=same" if cls == b"work-order" else ""
    return array(b"RPC.CALL", b"%d" % number, cls, fields.encode(), body)


def checksum(data: bytes) -> int:
    """Return the Internet checksum; 0 over data that includes a valid one."""
    words = struct.unpack(f">{(len(data) + 1) // 2}H", data + b"\0" * (len(data) % 2))
    total = sum(words)
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return int(total ^ 0xFFFF)


def test_replayed_file_is_served_and_its_recording_can_be_read(tmp_path: Path) -> None:
    first = call(1, b"work-order", START, b"mend") + call(2, b"work-order", START, b"mend")
    stream = first + call(3, b"position-push", START + 2, b"\0\xff here")
    source, record = tmp_path / "in.pcap", tmp_path / "out.pcap"

    async def run() -> tuple[str, int]:
        async with AsyncExitStack() as stack:
            world = Standins()
            port = world.listen_port = await free_port()
            source.write_bytes(
                capture(
                    [
                        packet(99, b"", dpkt.tcp.TH_SYN, port=port),
                        packet(150, stream[50:], port=port),
                        packet(100, stream[:50], port=port),
                        packet(100 + len(stream), b"", dpkt.tcp.TH_FIN, port=port),
                    ]
                )
            )
            await world.start(stack, "--read", str(source), "--record", str(record))
            assert world.process is not None and world.process.stderr is not None
            log = (await world.process.stderr.read()).decode()
            assert await world.process.wait() == 0, log
            assert sorted(body for _, _, body in world.runs) == [b"\0\xff here", b"mend"]  # one run per key
            return log, port

    log, port = asyncio.run(run())
    assert "answers.served=3" in log and "pcap.read packets=4 " in log
    report = Report()
    requests = b"".join(chunk.data for chunk in chunks(io.BytesIO(record.read_bytes()), port, report))
    assert requests == stream and report.gaps == 0
    answers: dict[bytes, list[bytes]] = {}
    parser = RespParser()
    for _, frame in dpkt.pcap.Reader(io.BytesIO(record.read_bytes())):
        tcp = dpkt.ethernet.Ethernet(frame).data.data
        assert checksum(frame[14:34]) == 0
        assert checksum(frame[26:34] + struct.pack(">HH", 6, len(frame) - 34) + frame[34:]) == 0
        if tcp.sport == port:
            parser.feed(tcp.data)
    while (items := parser.next()) is not None:
        answers[items[0]] = items[1:]
    assert {answers[tag][0] for tag in (b"1", b"2", b"3")} == {b"OK"} and answers[b"1"][2] == answers[b"2"][2]


def test_recording_of_live_connections_can_be_read(tmp_path: Path) -> None:
    record = tmp_path / "live.pcap"

    async def run() -> None:
        async with AsyncExitStack() as stack:
            world = Standins()
            await world.start(stack, "--record", str(record))
            balancer = await world.connect()
            assert (await balancer.answer(balancer.call("position-push", b"x" * 2048)))[0] == b"OK"
            await balancer.close()
            await eventually(lambda: world.reports)
            await world.leave()
            report = Report()
            with record.open("rb") as file:
                data = b"".join(chunk.data for chunk in chunks(file, world.port, report))
            assert b"x" * 2048 in data and report.gaps == 0 and not report.truncated

    asyncio.run(run())


def test_recorded_timestamp_never_has_a_million_microseconds(tmp_path: Path) -> None:
    """dpkt's writer rounds .9999999 s up to 1,000,000 microseconds, which other tools reject."""
    recorder = Recorder(str(tmp_path / "x.pcap"), Clock(lambda: START + 0.99999985), Counters(), PORT)
    recorder.opened(1)
    recorder.close()
    seconds, microseconds = struct.unpack("<II", (tmp_path / "x.pcap").read_bytes()[24:32])
    assert seconds == int(START) and microseconds == 999_999
