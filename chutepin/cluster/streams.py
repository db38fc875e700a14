"""Exchanges over TCP: one request and one answer per connection, bounded in number, rate and time.

The listener also accepts connections of other protocols between members, each marked by its own preface."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any

from ..admission import AcceptDecision, Acceptor, DescriptorBudget
from ..counters import Counters
from ..logs import Log
from .drop_log import DropLog
from .frames import DropReason, FrameError, StreamReader, decode, stream_frame
from .messages import Packet

DESCRIPTOR_SHARE = "cluster"  # in the descriptor budget
MAX_OUTGOING = 4  # concurrent exchanges started by this member
MAX_SERVED_PER_SECOND = 50  # exchanges started by others; one may take milliseconds in a large cluster
EXCHANGE_TIMEOUT_S = 3.0
READ_BYTES = 65536
PREFACE_BYTES = 4  # distinguish protocols: the length of a frame, or the preface of another protocol

Deliver = Callable[[Packet, bool], Packet | None]
StreamHandler = Callable[[socket.socket, bytes], Coroutine[Any, Any, None]]


class StreamExchanges:
    """The exchanges of one member, and the admission gate of its TCP acceptor."""

    def __init__(
        self,
        cluster: bytes,
        deliver: Deliver,
        descriptors: DescriptorBudget,
        counters: Counters,
        log: Log,
        drops: DropLog,
    ) -> None:
        self._cluster = cluster
        self._deliver = deliver
        self._descriptors = descriptors
        self._counters = counters
        self._drops = drops
        self._tasks: set[asyncio.Task[None]] = set()
        self._outgoing = 0
        self._second_started_at = 0.0
        self._served_this_second = 0
        self.acceptor = Acceptor(self, b"", counters, log)
        self.delivering = False  # whether received packets are delivered
        self.handlers: dict[bytes, StreamHandler] = {}  # handlers of other protocols, by preface

    def decide(self, address: bytes, only_spare_left: bool) -> AcceptDecision:
        """Accept a connection if descriptors remain beyond those reserved for this member's own exchanges."""
        now = time.monotonic()
        if now >= self._second_started_at + 1.0:
            self._second_started_at = now
            self._served_this_second = 0
        reserved = MAX_OUTGOING - self._outgoing
        if (
            only_spare_left
            or self._served_this_second >= MAX_SERVED_PER_SECOND
            or self._descriptors.available(DESCRIPTOR_SHARE) <= reserved
        ):
            self._counters.add("cluster.rejected_connections")
            return AcceptDecision.DROP
        return AcceptDecision.SERVE

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Serve an accepted connection."""
        self._served_this_second += 1
        self._descriptors.parts[DESCRIPTOR_SHARE].in_use += 1
        self._spawn(sock, self._serve(sock))

    def begin(self, address: tuple[str, int], packet: Packet) -> None:
        """Start an exchange with this request; the answer is delivered."""
        if self._outgoing >= MAX_OUTGOING or not self._descriptors.acquire(DESCRIPTOR_SHARE):
            self._counters.add("cluster.send_failed")
            return
        self._outgoing += 1
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        self._spawn(sock, self._exchange(sock, address, packet)).add_done_callback(self._on_exchange_done)

    def close(self) -> None:
        """Close the listener and cancel all exchanges."""
        self.acceptor.close()
        for task in self._tasks:
            task.cancel()

    def _on_exchange_done(self, _: asyncio.Task[None]) -> None:
        self._outgoing -= 1

    def _spawn(self, sock: socket.socket, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work on a connection; at the end close the socket and release its descriptor."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

        def on_done(task: asyncio.Task[None]) -> None:
            sock.close()
            self._descriptors.release(DESCRIPTOR_SHARE)
            self.acceptor.descriptor_freed()
            self._tasks.discard(task)

        task.add_done_callback(on_done)
        return task

    async def _serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(loop.time() + EXCHANGE_TIMEOUT_S):
                received = await self._read(sock)
                while len(received) < PREFACE_BYTES:
                    received += await self._read(sock)
            if (handler := self.handlers.get(received[:PREFACE_BYTES])) is not None:
                await handler(sock, received[PREFACE_BYTES:])
                return
            async with asyncio.timeout_at(loop.time() + EXCHANGE_TIMEOUT_S):
                packet = await self._receive(sock, received)
                answer = self._deliver(packet, True) if self.delivering else None
                if answer is not None:
                    await self._send(sock, answer)
        except FrameError as error:
            self._drops.drop(error.reason.value)
        except (OSError, TimeoutError):
            self._counters.add("cluster.failed_exchanges")

    async def _exchange(self, sock: socket.socket, address: tuple[str, int], packet: Packet) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(loop.time() + EXCHANGE_TIMEOUT_S):
                await loop.sock_connect(sock, address)
                await self._send(sock, packet)
                answer = await self._receive(sock)
                if self.delivering:
                    self._deliver(answer, True)
        except FrameError as error:
            self._drops.drop(error.reason.value)
        except (OSError, TimeoutError):
            self._counters.add("cluster.failed_exchanges")

    async def _receive(self, sock: socket.socket, received: bytes = b"") -> Packet:
        """Read the peer's only frame; `received` are the bytes read so far. Raises FrameError, OSError."""
        reader = StreamReader()
        data = received
        while (frame := reader.feed(data)) is None:
            data = await self._read(sock)
        return decode(frame, self._cluster, True)

    async def _read(self, sock: socket.socket) -> bytes:
        data = await asyncio.get_running_loop().sock_recv(sock, READ_BYTES)
        if not data:
            raise FrameError(DropReason.TRUNCATED, "connection closed before the end of the frame")
        self._counters.add("cluster.stream_bytes_in", len(data))
        return data

    async def _send(self, sock: socket.socket, packet: Packet) -> None:
        """Send this member's only frame. Raises OSError."""
        frame = stream_frame(packet, self._cluster)
        await asyncio.get_running_loop().sock_sendall(sock, frame)
        self._counters.add("cluster.stream_bytes_out", len(frame))
