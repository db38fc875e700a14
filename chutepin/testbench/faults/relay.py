"""A directed link between two real processes: a relay for datagrams and TCP that injects the current faults.

The relay forwards the datagrams and TCP connections from the source to the target. Bytes that the target returns over
a TCP connection are subject to the cuts of the reverse direction."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import cast

from chutepin.testbench.checks.history import Truth

MAX_CONNECTIONS = 32  # of one link at a time; further ones are aborted
CUT_TIMEOUT_S = 10.0  # after which a connection over a cut link is aborted
CUT_POLL_INTERVAL_S = 0.05  # between checks for the end of a cut
RETRANSMISSION_DELAY_S = 0.2  # delay of a lost segment


class Relay(asyncio.DatagramProtocol):
    """The link from `source` to `target`; `packets`, `bytes` and `longest` count the datagrams sent by the source."""

    def __init__(self, source: str, target: str, address: tuple[str, int], truth: Truth, rng: random.Random) -> None:
        self._source, self._target, self._address, self._truth, self._rng = source, target, address, truth, rng
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0
        self.packets = self.bytes = self.longest = 0

    async def open(self) -> None:
        """Listen for datagrams and TCP on one loopback port."""
        loop = asyncio.get_running_loop()
        while True:
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self.port = self._server.sockets[0].getsockname()[1]
            try:
                await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", self.port))
            except OSError:  # the UDP port is taken
                self._server.close()
                continue
            return

    def close(self) -> None:
        """Close the sockets and abort all connections."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the datagram socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors: the target is down."""

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Forward a datagram under the current faults."""
        self.packets += 1
        self.bytes += len(data)
        self.longest = max(self.longest, len(data))
        truth = self._truth
        if (self._source, self._target) in truth.cuts:
            return
        for _ in range(1 + (self._rng.random() < truth.duplicate)):
            if self._rng.random() < truth.loss:
                continue
            if truth.delay:
                asyncio.get_running_loop().call_later(truth.delay * self._rng.random(), self._send_datagram, data)
            else:
                self._send_datagram(data)

    def _send_datagram(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self._address)

    # --- TCP ---

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            if (
                len(self._tasks) <= MAX_CONNECTIONS
                and await self._wait_until_uncut(self._source, self._target)
                and await self._wait_until_uncut(self._target, self._source)
            ):
                await self._forward_connection(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _forward_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._address)
            target_reader, target_writer = await asyncio.open_connection(sock=sock)
        except OSError:
            sock.close()
            return
        is_torn = self._rng.random() < self._truth.tear
        try:
            await asyncio.gather(
                self._forward_stream(reader, target_writer, self._source, self._target, is_torn),
                self._forward_stream(target_reader, writer, self._target, self._source, is_torn),
            )
        finally:
            target_writer.transport.abort()

    async def _wait_until_uncut(self, sender: str, receiver: str) -> bool:
        """Wait until the direction is not cut; return whether that happened before the timeout."""
        deadline = asyncio.get_running_loop().time() + CUT_TIMEOUT_S
        while (sender, receiver) in self._truth.cuts:
            if asyncio.get_running_loop().time() > deadline:
                return False
            await asyncio.sleep(CUT_POLL_INTERVAL_S)
        return True

    async def _forward_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str, receiver: str, is_torn: bool
    ) -> None:
        while data := await reader.read(65536):
            if self._rng.random() < self._truth.loss:
                await asyncio.sleep(RETRANSMISSION_DELAY_S)
            if not await self._wait_until_uncut(sender, receiver):
                return
            if is_torn:
                writer.write(data[: self._rng.randrange(len(data))])
                with contextlib.suppress(OSError):
                    await writer.drain()
                raise ConnectionAbortedError("torn")
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
