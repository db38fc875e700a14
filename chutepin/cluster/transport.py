"""The sockets of a member: datagrams and exchanges over TCP at one address, bounded in work and in time.

The transport decodes and delivers received packets. It drops only invalid frames and input above its rate limits."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

from ..admission import AddressSharing, DescriptorBudget
from ..config import Address
from ..counters import Counters
from ..logs import Log
from .addresses import AddressError, parse_address
from .datagram_drops import count_dropped
from .drop_log import DropLog
from .frames import MAX_DATAGRAM_BYTES, FrameError, cluster_id, decode, encode
from .send_queue import Send
from .streams import DESCRIPTOR_SHARE, Deliver, StreamExchanges, StreamHandler

MAX_READS_PER_CALLBACK = 64  # datagrams per event-loop callback, so that client connections are served in between
SLICE_S = 0.05  # time slice of the rate limits
# Limits per slice on datagrams read (3 µs each) and on frames of this protocol decoded (30 µs each). A flood above them
# fills the kernel's receive buffer and is dropped there, while the node keeps serving clients.
MAX_DATAGRAMS_PER_SLICE = 1000
MAX_DECODED_FRAMES_PER_SLICE = 200
RECEIVE_BUFFER_BYTES = 2**20  # requested from the kernel


class Transport:
    """The sockets of one member."""

    def __init__(
        self,
        cluster: str,
        listen: Address,
        deliver: Deliver,
        descriptors: DescriptorBudget,
        counters: Counters,
        log: Log,
    ) -> None:
        """`deliver(packet, stream)` processes a received packet; for a TCP request it returns the answer."""
        self._cluster = cluster_id(cluster)
        self._listen = listen
        self._deliver = deliver
        self._descriptors = descriptors
        self._counters = counters
        self._drops = DropLog(counters, log)
        self._streams = StreamExchanges(self._cluster, deliver, descriptors, counters, log, self._drops)
        self._udp: socket.socket | None = None
        self._slice_started_at = 0.0
        self._datagrams_in_slice = 0  # read in the current slice
        self._frames_in_slice = 0  # decoded in the current slice
        self._resume_timer: asyncio.TimerHandle | None = None
        self._open = False
        self.overrun = False  # a rate limit has paused reading; the reader of this flag resets it

    def add_stream_handler(self, preface: bytes, handler: StreamHandler) -> None:
        """Register a handler for TCP connections with this preface; it also gets the bytes read after the preface."""
        self._streams.handlers[preface] = handler

    def adopt(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Take over a predecessor's sockets at this address; return the others."""
        others = []
        for sock in sockets:
            if sock.getsockname()[:2] != (self._listen.host.strip("[]"), self._listen.port):
                others.append(sock)
            elif sock.type == socket.SOCK_DGRAM:
                self._udp = sock
                self._descriptors.parts[DESCRIPTOR_SHARE].in_use += 1
            else:
                self._streams.acceptor.pause()
                self._streams.acceptor.adopt([sock])
        return others

    def sockets(self) -> list[socket.socket]:
        """Return the sockets to pass to a successor."""
        datagrams = [self._udp] if self._udp is not None else []
        return datagrams + self._streams.acceptor.sockets

    async def open(self) -> None:
        """Bind the sockets that were not adopted, and start receiving. Raises OSError."""
        host = self._listen.host.strip("[]")
        port = self._listen.port
        if self._udp is None:
            self._udp = self._bind_datagrams(host, port)
            self._descriptors.parts[DESCRIPTOR_SHARE].in_use += 1
        self._udp.setblocking(False)
        with contextlib.suppress(OSError):
            self._udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        if self._streams.acceptor.sockets:
            self._streams.acceptor.resume()
        else:
            await self._streams.acceptor.listen(host, port, AddressSharing.NONE)
        asyncio.get_running_loop().add_reader(self._udp, self._on_readable)
        self._set_open(True)

    @staticmethod
    def _bind_datagrams(host: str, port: int) -> socket.socket:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        return sock

    def dropped_by_system(self) -> int:
        """Return the number of datagrams dropped because the receive buffer was full; 0 if the system has no count."""
        return (count_dropped(self._udp) or 0) if self._udp is not None else 0

    def pause(self) -> None:
        """Stop receiving, as another process of this node reads the same sockets."""
        if self._open and self._udp is not None:
            asyncio.get_running_loop().remove_reader(self._udp)
            self._streams.acceptor.pause()
            if self._resume_timer is not None:
                self._resume_timer.cancel()
                self._resume_timer = None
        self._set_open(False)

    def close(self) -> None:
        """Close all sockets."""
        self.pause()
        self._streams.close()
        if self._udp is not None:
            self._udp.close()
            self._udp = None

    def send(self, effect: Send) -> None:
        """Send a datagram, or start an exchange.

        Errors are counted and treated as packet loss, as a member may announce an invalid address."""
        try:
            address = parse_address(effect.address)
            if effect.stream:
                self._streams.begin(address, effect.packet)
            elif self._udp is not None:
                data = encode(effect.packet, self._cluster)
                assert len(data) <= MAX_DATAGRAM_BYTES, len(data)
                self._udp.sendto(data, address)
                self._counters.add("cluster.datagrams_out")
                self._counters.add("cluster.bytes_out", len(data))
        except (OSError, AddressError, UnicodeError, OverflowError) as error:
            self._drops.send_failed(error)

    def _set_open(self, is_open: bool) -> None:
        self._open = is_open
        self._streams.delivering = is_open

    def _on_readable(self) -> None:
        now = time.monotonic()
        if now >= self._slice_started_at + SLICE_S:
            self._slice_started_at = now
            self._datagrams_in_slice = 0
            self._frames_in_slice = 0
        assert self._udp is not None
        for _ in range(MAX_READS_PER_CALLBACK):
            if not self._open:  # a delivered packet has paused the transport
                return
            if (
                self._datagrams_in_slice >= MAX_DATAGRAMS_PER_SLICE
                or self._frames_in_slice >= MAX_DECODED_FRAMES_PER_SLICE
            ):
                self._pause_reading()
                return
            try:
                data = self._udp.recv(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # a pending error of an earlier send
                continue
            self._datagrams_in_slice += 1
            self._counters.add("cluster.bytes_in", len(data))
            self._receive(data)

    def _pause_reading(self) -> None:
        """Stop reading until the next slice; datagrams stay in the kernel's receive buffer."""
        self._counters.add("cluster.overrun")
        self.overrun = True
        loop = asyncio.get_running_loop()
        assert self._udp is not None
        loop.remove_reader(self._udp)
        delay = max(0.0, self._slice_started_at + SLICE_S - time.monotonic())
        self._resume_timer = loop.call_later(delay, self._resume_reading)

    def _resume_reading(self) -> None:
        self._resume_timer = None
        if self._open and self._udp is not None:
            asyncio.get_running_loop().add_reader(self._udp, self._on_readable)

    def _receive(self, data: bytes) -> None:
        try:
            if len(data) > 2 and data[:2] == b"cp":
                self._frames_in_slice += 1
            packet = decode(data, self._cluster, False)
        except FrameError as error:
            self._drops.drop(error.reason.value)
            return
        self._counters.add("cluster.datagrams_in")
        self._deliver(packet, False)
