"""One directed link between two real processes: a relay for datagrams and TCP, under the faults of the moment.

What the source sends to the target goes through here; what the target sends back over the same TCP connection is
subject to the other direction's faults, as a cut of it would have it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import cast

from chutepin.testbench.checks.history import Truth

CONNECTIONS = 32  # of one link, at once
STALL = 10.0  # seconds for which a connection over a cut link hangs at the most
LOOK = 0.05  # seconds between looks whether a cut has ended
RESENT = 0.2  # seconds by which a lost segment is late


class Relay(asyncio.DatagramProtocol):
    """The link from `source` to `target`."""

    def __init__(self, source: str, target: str, to: tuple[str, int], truth: Truth, rng: random.Random) -> None:
        self._source, self._target, self._to, self._truth, self._rng = source, target, to, truth, rng
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0
        self.packets = self.bytes = self.longest = 0

    async def open(self) -> None:
        """Listen for both at one port of loopback."""
        loop = asyncio.get_running_loop()
        while True:
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self.port = self._server.sockets[0].getsockname()[1]
            try:
                await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", self.port))
            except OSError:  # somebody else has that port for datagrams
                self._server.close()
                continue
            return

    def close(self) -> None:
        """End the link."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket for datagrams is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """The target is down."""

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Pass a datagram on, under the faults of the moment."""
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
                asyncio.get_running_loop().call_later(truth.delay * self._rng.random(), self._pass, data)
            else:
                self._pass(data)

    def _pass(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self._to)

    # --- TCP ---

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            if (
                len(self._tasks) <= CONNECTIONS
                and await self._clear(self._source, self._target)
                and await self._clear(self._target, self._source)
            ):
                await self._carry(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(sock, self._to)
            there, back = await asyncio.open_connection(sock=sock)
        except OSError:
            sock.close()
            return
        torn = self._rng.random() < self._truth.tear
        try:
            await asyncio.gather(
                self._pump(reader, back, self._source, self._target, torn),
                self._pump(there, writer, self._target, self._source, torn),
            )
        finally:
            back.transport.abort()

    async def _clear(self, a: str, b: str) -> bool:
        """Wait until that direction is not cut; false where that takes too long."""
        until = asyncio.get_running_loop().time() + STALL
        while (a, b) in self._truth.cuts:
            if asyncio.get_running_loop().time() > until:
                return False
            await asyncio.sleep(LOOK)
        return True

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, a: str, b: str, torn: bool
    ) -> None:
        while data := await reader.read(65536):
            if self._rng.random() < self._truth.loss:
                await asyncio.sleep(RESENT)
            if not await self._clear(a, b):
                return
            if torn:
                writer.write(data[: self._rng.randrange(len(data))])
                with contextlib.suppress(OSError):
                    await writer.drain()
                raise ConnectionAbortedError("torn")
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
