"""pcap files as a source of requests and as a record of what was asked and answered. Nothing is captured.

Reading: Ethernet, IPv4 or IPv6, TCP reassembled from segments that were reordered or sent twice. What
follows a gap in a stream, or the place where a file was cut off, cannot be framed and is reported, not used.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from decimal import Decimal
from pathlib import Path
from typing import Any, BinaryIO

import dpkt  # type: ignore[import-untyped]

from .clock import Clock
from .config import ConfigError
from .counters import Counters
from .net.resp import Connection, RespListener

MAX_PACKET_BYTES = 256 * 1024  # as other tools bound it
MAX_STREAMS = 512  # streams in one direction that are put together at once
MAX_PENDING_BYTES = 256 * 1024  # of a stream, that wait for a gap to be filled
MAX_RECORD_BYTES = 256 * 2**20  # of a file that is written
MAX_SEGMENT_BYTES = 1400
FIRST_EPHEMERAL_PORT = 49152
EPHEMERAL_PORTS = 16384
PACKET_HEADER_BYTES = 16
Flow = tuple[bytes, int, bytes, int]  # from address and port, to address and port


@dataclass(slots=True)
class Report:
    """What a file held, and what of it could not be used."""

    packets: int = 0
    other: int = 0  # packets that are not TCP over IP over Ethernet, fragments among them
    malformed: int = 0
    again: int = 0  # segments that brought nothing new
    reordered: int = 0  # segments that came before their turn
    gaps: int = 0  # streams with bytes missing
    unused: int = 0  # bytes behind a gap
    truncated: bool = False  # the file ends inside a packet


class BoundedFile:
    """A file for dpkt's reader, which asks for as many bytes as a packet's header claims."""

    def __init__(self, file: BinaryIO, report: Report) -> None:
        self._file, self._report = file, report

    def read(self, count: int) -> bytes:
        """Guards against a header that claims gigabytes, and notes where the file is cut off."""
        if count > MAX_PACKET_BYTES:
            raise ValueError("a packet is longer than any")  # as dpkt reports what it can't read
        data = self._file.read(count)
        if 0 < len(data) < count:
            self._report.truncated = True
            return b""
        if not data and count != PACKET_HEADER_BYTES:  # a packet's header stands without its packet
            self._report.truncated = self._report.truncated or count > 0
        return data


def packets(file: BinaryIO, report: Report) -> Iterator[tuple[float, bytes]]:
    """Yield the complete packets of a file in either byte order, in micro- or nanoseconds."""
    try:
        reader = dpkt.pcap.Reader(BoundedFile(file, report))
    except (ValueError, dpkt.UnpackError):
        raise ConfigError("read: not a pcap file") from None
    if reader.datalink() != dpkt.pcap.DLT_EN10MB:
        raise ConfigError("read: not a capture of Ethernet")
    try:
        for time, data in reader:
            if report.truncated:
                return
            report.packets += 1
            yield float(time), data
    except ValueError:
        report.malformed += 1  # the rest of the file cannot be framed
        report.truncated = True


@dataclass(slots=True)
class Stream:
    """One direction of a TCP connection. Sequence numbers wrap; the order of arrival does not matter."""

    report: Report
    expected: int | None = None
    pending: dict[int, bytes] = field(default_factory=dict)
    size: int = 0
    ended: bool = False

    def segment(self, number: int, syn: bool, data: bytes) -> bytes:
        """Take a segment; what can now be read in order."""
        if syn:
            number += 1
            if self.expected is None:
                self.expected = number % 2**32
        if not data or self.ended:
            return b""
        if self.expected is None:  # the file begins inside this stream
            self.expected = number
        ahead = self._ahead(number)
        if ahead > 0:
            self.report.reordered += 1
            if len(data) > len(self.pending.get(number, b"")):
                self.size += len(data) - len(self.pending.get(number, b""))
                self.pending[number] = data
            if self.size > MAX_PENDING_BYTES:
                self.end()
            return b""
        if -ahead >= len(data):
            self.report.again += 1
            return b""
        ready = [self._take(data[-ahead:])]
        while (number := next((n for n in self.pending if self._ahead(n) <= 0), -1)) >= 0:
            late, skip = self.pending.pop(number), -self._ahead(number)
            self.size -= len(late)
            ready.append(self._take(late[skip:]))
        return b"".join(ready)

    def _ahead(self, number: int) -> int:
        assert self.expected is not None
        return (number - self.expected + 2**31) % 2**32 - 2**31

    def _take(self, data: bytes) -> bytes:
        assert self.expected is not None
        self.expected = (self.expected + len(data)) % 2**32
        return data

    def end(self) -> None:
        """No more comes: what waits behind a gap is lost."""
        if self.pending and not self.ended:
            self.report.gaps += 1
            self.report.unused += self.size
        self.ended, self.size = True, 0
        self.pending.clear()


@dataclass(frozen=True, slots=True)
class Chunk:
    """Bytes of one stream, in order; `ended` after the last."""

    time: float
    flow: Flow
    data: bytes
    ended: bool


def _segment(raw: bytes, report: Report) -> tuple[Any, Any] | None:
    """Return the IP and TCP parts of a packet, if it has both."""
    try:
        ip = dpkt.ethernet.Ethernet(raw).data
    except (dpkt.UnpackError, ValueError, LookupError):
        report.malformed += 1
        return None
    tcp = ip.data if isinstance(ip, dpkt.ip.IP | dpkt.ip6.IP6) else None
    if not isinstance(tcp, dpkt.tcp.TCP) or (isinstance(ip, dpkt.ip.IP) and (ip.mf or ip.offset)):
        report.other += 1
        return None
    return ip, tcp


def chunks(file: BinaryIO, port: int, report: Report) -> Iterator[Chunk]:
    """What was sent to a port, stream by stream, in the order in which it could be read."""
    streams: dict[Flow, Stream] = {}
    last = 0.0
    for last, raw in packets(file, report):
        if (found := _segment(raw, report)) is None or found[1].dport != port:
            continue
        ip, tcp = found
        flow = (ip.src, tcp.sport, ip.dst, port)
        syn = bool(tcp.flags & dpkt.tcp.TH_SYN)
        stream = streams.get(flow)
        if syn and stream is not None and stream.expected != (tcp.seq + 1) % 2**32 and not tcp.data:
            stream.end()  # the port is used again
            yield Chunk(last, flow, b"", True)
            stream = None
        if stream is None:
            if len(streams) >= MAX_STREAMS:
                report.gaps += 1
                continue
            stream = streams[flow] = Stream(report)
        data = stream.segment(tcp.seq, syn, tcp.data)
        over = (
            bool(tcp.flags & dpkt.tcp.TH_RST)
            or (bool(tcp.flags & dpkt.tcp.TH_FIN) and not stream.pending)
            or stream.ended
        )
        if data or over:
            yield Chunk(last, flow, data, over)
        if over:
            stream.end()
            del streams[flow]
    for flow, stream in streams.items():
        stream.end()
        yield Chunk(last, flow, b"", True)


class Recorder:
    """Writes what passes on connections as TCP that the reader and standard tools read back."""

    def __init__(self, path: str, clock: Clock, counters: Counters, port: int) -> None:
        self._clock, self._counters, self._port = clock, counters, port
        try:
            self._file = Path(path).open("wb")
        except OSError as error:
            raise ConfigError(f"record: {error.strerror or error}") from None
        self._writer = dpkt.pcap.Writer(self._file, snaplen=65535)
        self._numbers: dict[int, list[int]] = {}  # connection: its port, next numbers of balancer and node
        self._next_port = 0
        self._written = 0

    def opened(self, key: int) -> None:
        """A connection stands."""
        self._next_port = (self._next_port + 1) % EPHEMERAL_PORTS
        self._numbers[key] = [FIRST_EPHEMERAL_PORT + self._next_port, 1000, 2000]
        self._packet(key, False, dpkt.tcp.TH_SYN, b"")
        self._packet(key, True, dpkt.tcp.TH_SYN | dpkt.tcp.TH_ACK, b"")
        self._packet(key, False, dpkt.tcp.TH_ACK, b"")

    def passed(self, key: int, sent: bool, data: bytes) -> None:
        """Bytes that the node sent, or that it read."""
        for at in range(0, len(data) if key in self._numbers else 0, MAX_SEGMENT_BYTES):
            self._packet(key, sent, dpkt.tcp.TH_ACK | dpkt.tcp.TH_PUSH, data[at : at + MAX_SEGMENT_BYTES])

    def closed(self, key: int) -> None:
        """A connection is over."""
        self._packet(key, False, dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK, b"")
        self._packet(key, True, dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK, b"")
        self._packet(key, False, dpkt.tcp.TH_ACK, b"")
        del self._numbers[key]

    def close(self) -> None:
        """All is written."""
        self._file.close()

    def _packet(self, key: int, sent: bool, flags: int, data: bytes) -> None:
        port, *numbers = self._numbers[key]
        ports = (self._port, port) if sent else (port, self._port)
        own, other = (1, 0) if sent else (0, 1)
        tcp = dpkt.tcp.TCP(
            sport=ports[0],
            dport=ports[1],
            seq=numbers[own],
            ack=numbers[other] if flags & dpkt.tcp.TH_ACK else 0,
            flags=flags,
            data=data,
        )
        ends = [socket.inet_aton("127.0.0.2"), socket.inet_aton("127.0.0.1")]
        ip = dpkt.ip.IP(src=ends[own], dst=ends[other], p=dpkt.ip.IP_PROTO_TCP, ttl=64, data=tcp)
        ip.len = len(ip)
        cards = [b"\2\0\0\0\0\0", b"\2\0\0\0\0\1"]
        raw = bytes(dpkt.ethernet.Ethernet(src=cards[own], dst=cards[other], data=ip))
        counted = len(data) + bool(flags & (dpkt.tcp.TH_SYN | dpkt.tcp.TH_FIN))
        self._numbers[key][1 + own] = (numbers[own] + counted) % 2**32
        self._written += len(raw) + PACKET_HEADER_BYTES
        if self._written > MAX_RECORD_BYTES:
            self._counters.add("record.dropped")
            return
        # In whole microseconds: the library rounds a fraction just under a second up to a second too many.
        self._writer.writepkt_time(raw, Decimal(int(self._clock.now() * 1e6)) / 10**6)


class Source:
    """Feeds a file's requests to the listener as if its balancers were connected now, at the recorded pace."""

    def __init__(self, path: str, port: int, listener: RespListener, clock: Clock) -> None:
        self._port = port
        self._listener = listener
        self._clock = clock
        self.report = Report()
        try:
            self._file = Path(path).open("rb")
        except OSError as error:
            raise ConfigError(f"read: {error.strerror or error}") from None
        self._chunks = chunks(self._file, port, self.report)
        self._first = next(self._chunks, None)  # what is no pcap file ends the program before it serves

    async def run(self) -> None:
        """Feed all of it; times in the requests are moved by as much as the file lies in the past."""
        if self._first is None:
            self._file.close()
            return
        shift = self._clock.now() - self._first.time
        connections: dict[Flow, Connection] = {}
        self._feed(self._first, connections, shift)
        for chunk in self._chunks:
            while (wait := chunk.time + shift - self._clock.now()) > 0:
                await asyncio.sleep(min(wait, 1.0))
            self._feed(chunk, connections, shift)
        self._file.close()

    def _feed(self, chunk: Chunk, connections: dict[Flow, Connection], shift: float) -> None:
        connection = connections.get(chunk.flow)
        if connection is None:
            connection = connections[chunk.flow] = self._listener.replayed(shift)
        if chunk.data and not connection.closing:
            connection.received(chunk.data)
        if chunk.ended:
            self._listener.replay_ended(connections.pop(chunk.flow))
