"""Exchanges over TCP: one request and its answer on each connection, bounded in number, rate and time.

The same listener takes connections of other protocols between members, which begin with a preface of their own."""

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
MAX_OUTGOING = 4  # exchanges that this member has begun, at the same time
MAX_SERVED_PER_SECOND = 50  # exchanges that others begin: each may cost milliseconds in a large cluster
EXCHANGE_TIMEOUT_S = 3.0
READ_BYTES = 65536
PREFACE_BYTES = 4  # show what a connection is for: the length of a frame, or the preface of another protocol

Deliver = Callable[[Packet, bool], Packet | None]
StreamHandler = Callable[[socket.socket, bytes], Coroutine[Any, Any, None]]


class StreamExchanges:
    """The exchanges of one member. It is the gate of its own acceptor."""

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
        self._second_started = 0.0
        self._served = 0  # in this second
        self.acceptor = Acceptor(self, b"", counters, log)
        self.delivering = False  # packets are delivered
        self.handlers: dict[bytes, StreamHandler] = {}  # of other protocols, by preface

    def decide(self, address: bytes, short: bool) -> AcceptDecision:
        """Accept a connection if there is room beside the exchanges that this member may begin itself."""
        now = time.monotonic()
        if now >= self._second_started + 1.0:
            self._second_started = now
            self._served = 0
        reserved = MAX_OUTGOING - self._outgoing
        if short or self._served >= MAX_SERVED_PER_SECOND or self._descriptors.available(DESCRIPTOR_SHARE) <= reserved:
            self._counters.add("cluster.rejected_connections")
            return AcceptDecision.DROP
        return AcceptDecision.SERVE

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Answer one exchange."""
        self._served += 1
        self._descriptors.parts[DESCRIPTOR_SHARE].in_use += 1
        self._spawn(sock, self._serve(sock))

    def begin(self, address: tuple[str, int], packet: Packet) -> None:
        """Begin an exchange with this request; its answer is delivered."""
        if self._outgoing >= MAX_OUTGOING or not self._descriptors.acquire(DESCRIPTOR_SHARE):
            self._counters.add("cluster.send_failed")
            return
        self._outgoing += 1
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        self._spawn(sock, self._exchange(sock, address, packet)).add_done_callback(self._ended)

    def close(self) -> None:
        """Close the listener and cancel all exchanges."""
        self.acceptor.close()
        for task in self._tasks:
            task.cancel()

    def _ended(self, _: asyncio.Task[None]) -> None:
        self._outgoing -= 1

    def _spawn(self, sock: socket.socket, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work on a connection, which is closed and its descriptor released at the end."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

        def ended(task: asyncio.Task[None]) -> None:
            sock.close()
            self._descriptors.release(DESCRIPTOR_SHARE)
            self.acceptor.descriptor_freed()
            self._tasks.discard(task)

        task.add_done_callback(ended)
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
        """Read the one frame of the other side, of which this much was read. Raises FrameError, OSError."""
        reader = StreamReader()
        data = received
        while (frame := reader.feed(data)) is None:
            data = await self._read(sock)
        return decode(frame, self._cluster, True)

    async def _read(self, sock: socket.socket) -> bytes:
        data = await asyncio.get_running_loop().sock_recv(sock, READ_BYTES)
        if not data:
            raise FrameError(DropReason.TRUNCATED, "the connection was closed before the end of the frame")
        self._counters.add("cluster.stream_bytes_in", len(data))
        return data

    async def _send(self, sock: socket.socket, packet: Packet) -> None:
        """Send the one frame of this side. Raises OSError."""
        frame = stream_frame(packet, self._cluster)
        await asyncio.get_running_loop().sock_sendall(sock, frame)
        self._counters.add("cluster.stream_bytes_out", len(frame))
