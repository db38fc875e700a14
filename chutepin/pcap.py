"""Requests read from pcap files, and connections recorded to them. Nothing is captured from the network.

The reader handles Ethernet, IPv4 or IPv6, and TCP, with reordered and repeated segments. Data after a gap in a
stream, or after the place where a file is truncated, cannot be framed: it is reported and not used."""

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

MAX_PACKET_BYTES = 256 * 1024  # the limit of other pcap tools
MAX_STREAMS = 512  # one-directional streams reassembled at the same time
MAX_PENDING_BYTES = 256 * 1024  # per stream, behind a gap
MAX_RECORD_BYTES = 256 * 2**20  # size limit of a recorded file
MAX_SEGMENT_BYTES = 1400
FIRST_EPHEMERAL_PORT = 49152
EPHEMERAL_PORTS = 16384
PACKET_HEADER_BYTES = 16
Flow = tuple[bytes, int, bytes, int]  # source address and port, destination address and port


@dataclass(slots=True)
class Report:
    """The contents of a file, and the parts of it that could not be used."""

    packets: int = 0
    other: int = 0  # packets that are not TCP over IP over Ethernet, or are IP fragments
    malformed: int = 0
    again: int = 0  # segments without new data
    reordered: int = 0  # segments received ahead of a gap
    gaps: int = 0  # streams with bytes missing
    unused: int = 0  # bytes received behind a gap that was never filled
    truncated: bool = False  # the file ends inside a packet


class BoundedFile:
    """A file for dpkt's reader, which reads as many bytes as a packet's header declares."""

    def __init__(self, file: BinaryIO, report: Report) -> None:
        self._file, self._report = file, report

    def read(self, count: int) -> bytes:
        """Read bytes. Rejects a declared length of gigabytes, and notes whether the file is truncated."""
        if count > MAX_PACKET_BYTES:
            raise ValueError("packet length exceeds the limit")  # the error type of dpkt for unreadable data
        data = self._file.read(count)
        if 0 < len(data) < count:
            self._report.truncated = True
            return b""
        if not data and count != PACKET_HEADER_BYTES:  # a packet header without its packet
            self._report.truncated = self._report.truncated or count > 0
        return data


def packets(file: BinaryIO, report: Report) -> Iterator[tuple[float, bytes]]:
    """Yield the complete packets of a file, in either byte order, with micro- or nanosecond timestamps."""
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
    """One direction of a TCP connection. Sequence numbers wrap; segments may arrive in any order."""

    report: Report
    next_sequence: int | None = None
    pending: dict[int, bytes] = field(default_factory=dict)
    pending_bytes: int = 0
    ended: bool = False

    def add_segment(self, sequence: int, syn: bool, data: bytes) -> bytes:
        """Add a segment and return the bytes that can now be read in order."""
        if syn:
            sequence += 1
            if self.next_sequence is None:
                self.next_sequence = sequence % 2**32
        if not data or self.ended:
            return b""
        if self.next_sequence is None:  # the file starts in the middle of this stream
            self.next_sequence = sequence
        offset = self._offset_of(sequence)
        if offset > 0:
            self.report.reordered += 1
            if len(data) > len(self.pending.get(sequence, b"")):
                self.pending_bytes += len(data) - len(self.pending.get(sequence, b""))
                self.pending[sequence] = data
            if self.pending_bytes > MAX_PENDING_BYTES:
                self.close()
            return b""
        if -offset >= len(data):
            self.report.again += 1
            return b""
        ready = [self._advance(data[-offset:])]
        while (sequence := next((n for n in self.pending if self._offset_of(n) <= 0), -1)) >= 0:
            waiting, skip = self.pending.pop(sequence), -self._offset_of(sequence)
            self.pending_bytes -= len(waiting)
            ready.append(self._advance(waiting[skip:]))
        return b"".join(ready)

    def _offset_of(self, sequence: int) -> int:
        assert self.next_sequence is not None
        return (sequence - self.next_sequence + 2**31) % 2**32 - 2**31

    def _advance(self, data: bytes) -> bytes:
        assert self.next_sequence is not None
        self.next_sequence = (self.next_sequence + len(data)) % 2**32
        return data

    def close(self) -> None:
        """End the stream; data waiting behind a gap is lost."""
        if self.pending and not self.ended:
            self.report.gaps += 1
            self.report.unused += self.pending_bytes
        self.ended, self.pending_bytes = True, 0
        self.pending.clear()


@dataclass(frozen=True, slots=True)
class Chunk:
    """Consecutive bytes of one stream; `ended` marks the last chunk."""

    time: float
    flow: Flow
    data: bytes
    ended: bool


def _parse_segment(frame: bytes, report: Report) -> tuple[Any, Any] | None:
    """Return the IP and TCP headers of a packet, or None if it does not have both."""
    try:
        ip = dpkt.ethernet.Ethernet(frame).data
    except (dpkt.UnpackError, ValueError, LookupError):
        report.malformed += 1
        return None
    tcp = ip.data if isinstance(ip, dpkt.ip.IP | dpkt.ip6.IP6) else None
    if not isinstance(tcp, dpkt.tcp.TCP) or (isinstance(ip, dpkt.ip.IP) and (ip.mf or ip.offset)):
        report.other += 1
        return None
    return ip, tcp


def chunks(file: BinaryIO, port: int, report: Report) -> Iterator[Chunk]:
    """Yield the data sent to a port, from all its streams, in the order in which it became readable."""
    streams: dict[Flow, Stream] = {}
    last_time = 0.0
    for last_time, frame in packets(file, report):
        if (headers := _parse_segment(frame, report)) is None or headers[1].dport != port:
            continue
        ip, tcp = headers
        flow = (ip.src, tcp.sport, ip.dst, port)
        syn = bool(tcp.flags & dpkt.tcp.TH_SYN)
        stream = streams.get(flow)
        if syn and stream is not None and stream.next_sequence != (tcp.seq + 1) % 2**32 and not tcp.data:
            stream.close()  # a new connection reuses the port
            yield Chunk(last_time, flow, b"", True)
            stream = None
        if stream is None:
            if len(streams) >= MAX_STREAMS:
                report.gaps += 1
                continue
            stream = streams[flow] = Stream(report)
        data = stream.add_segment(tcp.seq, syn, tcp.data)
        has_ended = (
            bool(tcp.flags & dpkt.tcp.TH_RST)
            or (bool(tcp.flags & dpkt.tcp.TH_FIN) and not stream.pending)
            or stream.ended
        )
        if data or has_ended:
            yield Chunk(last_time, flow, data, has_ended)
        if has_ended:
            stream.close()
            del streams[flow]
    for flow, stream in streams.items():
        stream.close()
        yield Chunk(last_time, flow, b"", True)


class Recorder:
    """Writes the bytes of connections as TCP packets that the reader and standard tools can read."""

    def __init__(self, path: str, clock: Clock, counters: Counters, port: int) -> None:
        self._clock, self._counters, self._port = clock, counters, port
        try:
            self._file = Path(path).open("wb")
        except OSError as error:
            raise ConfigError(f"record: {error.strerror or error}") from None
        self._writer = dpkt.pcap.Writer(self._file, snaplen=65535)
        self._connections: dict[int, list[int]] = {}  # by connection: port, next sequence numbers of balancer and node
        self._next_port = 0
        self._written_bytes = 0

    def opened(self, key: int) -> None:
        """Write the handshake of a new connection."""
        self._next_port = (self._next_port + 1) % EPHEMERAL_PORTS
        self._connections[key] = [FIRST_EPHEMERAL_PORT + self._next_port, 1000, 2000]
        self._write_packet(key, False, dpkt.tcp.TH_SYN, b"")
        self._write_packet(key, True, dpkt.tcp.TH_SYN | dpkt.tcp.TH_ACK, b"")
        self._write_packet(key, False, dpkt.tcp.TH_ACK, b"")

    def passed(self, key: int, sent: bool, data: bytes) -> None:
        """Write bytes that the node sent or received."""
        for start in range(0, len(data) if key in self._connections else 0, MAX_SEGMENT_BYTES):
            self._write_packet(key, sent, dpkt.tcp.TH_ACK | dpkt.tcp.TH_PUSH, data[start : start + MAX_SEGMENT_BYTES])

    def closed(self, key: int) -> None:
        """Write the end of a connection."""
        self._write_packet(key, False, dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK, b"")
        self._write_packet(key, True, dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK, b"")
        self._write_packet(key, False, dpkt.tcp.TH_ACK, b"")
        del self._connections[key]

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def _write_packet(self, key: int, sent: bool, flags: int, data: bytes) -> None:
        port, *numbers = self._connections[key]
        ports = (self._port, port) if sent else (port, self._port)
        source, destination = (1, 0) if sent else (0, 1)
        tcp = dpkt.tcp.TCP(
            sport=ports[0],
            dport=ports[1],
            seq=numbers[source],
            ack=numbers[destination] if flags & dpkt.tcp.TH_ACK else 0,
            flags=flags,
            data=data,
        )
        ip_addresses = [socket.inet_aton("127.0.0.2"), socket.inet_aton("127.0.0.1")]
        ip = dpkt.ip.IP(
            src=ip_addresses[source], dst=ip_addresses[destination], p=dpkt.ip.IP_PROTO_TCP, ttl=64, data=tcp
        )
        ip.len = len(ip)
        mac_addresses = [b"\2\0\0\0\0\0", b"\2\0\0\0\0\1"]
        frame = bytes(dpkt.ethernet.Ethernet(src=mac_addresses[source], dst=mac_addresses[destination], data=ip))
        sequence_length = len(data) + bool(flags & (dpkt.tcp.TH_SYN | dpkt.tcp.TH_FIN))
        self._connections[key][1 + source] = (numbers[source] + sequence_length) % 2**32
        self._written_bytes += len(frame) + PACKET_HEADER_BYTES
        if self._written_bytes > MAX_RECORD_BYTES:
            self._counters.add("record.dropped")
            return
        # In whole microseconds: dpkt rounds .9999999 s up to 1,000,000 microseconds, which is invalid.
        self._writer.writepkt_time(frame, Decimal(int(self._clock.now() * 1e6)) / 10**6)


class Source:
    """Replays the requests of a file to the listener at the recorded pace, as if balancers were connected."""

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
        self._first_chunk = next(self._chunks, None)  # an invalid file ends the program before it serves

    async def run(self) -> None:
        """Replay the whole file; timestamps in the requests are shifted by the age of the file."""
        if self._first_chunk is None:
            self._file.close()
            return
        shift_s = self._clock.now() - self._first_chunk.time
        connections: dict[Flow, Connection] = {}
        self._replay_chunk(self._first_chunk, connections, shift_s)
        for chunk in self._chunks:
            while (wait_s := chunk.time + shift_s - self._clock.now()) > 0:
                await asyncio.sleep(min(wait_s, 1.0))
            self._replay_chunk(chunk, connections, shift_s)
        self._file.close()

    def _replay_chunk(self, chunk: Chunk, connections: dict[Flow, Connection], shift_s: float) -> None:
        connection = connections.get(chunk.flow)
        if connection is None:
            connection = connections[chunk.flow] = self._listener.open_replay(shift_s)
        if chunk.data and not connection.closing:
            connection.received(chunk.data)
        if chunk.ended:
            self._listener.finish_replay(connections.pop(chunk.flow))
