"""Streams over a Unix socket that lose no bytes of a peer process that ends.

asyncio closes a transport when a write fails, and drops the bytes that were received but not read. A peer process may
have sent the claim of a run and ended; the claim must be read before the peer's keys are taken over."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket

from ..net.streams import LINK_READ_BYTES, BoundedStreamProtocol, ConnectionHandler, new_reader

READ_BYTES = 65536


class LosslessStreamProtocol(BoundedStreamProtocol):
    """A stream protocol that passes on all bytes that the kernel holds before the end of the stream, without errors."""

    def __init__(self, reader: asyncio.StreamReader, handler: ConnectionHandler | None = None) -> None:
        """Create a protocol. `handler`: called for an accepted connection."""
        super().__init__(reader, LINK_READ_BYTES, handler)
        self._transport_socket: socket.socket | None = None
        self._is_at_end = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the socket of the connection."""
        self._transport_socket = transport.get_extra_info("socket")
        super().connection_made(transport)

    def eof_received(self) -> bool | None:
        """Record that the kernel holds no more bytes."""
        self._is_at_end = True
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the remaining bytes, then the end of the stream in place of an error."""
        if not self._is_at_end and self._transport_socket is not None:
            self._reader.feed_data(_remaining_bytes(self._transport_socket))
        super().connection_lost(None)


def _remaining_bytes(transport_socket: socket.socket) -> bytes:
    """Shut a socket down, so that the peer can send no more, and return the bytes that the peer has sent."""
    chunks = []
    with contextlib.suppress(OSError), socket.socket(fileno=os.dup(transport_socket.fileno())) as sock:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)
        while data := sock.recv(READ_BYTES):
            chunks.append(data)
    return b"".join(chunks)


async def open_stream(sock: socket.socket) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Return the stream of a connected Unix socket. Raises OSError."""
    loop = asyncio.get_running_loop()
    reader = new_reader(LINK_READ_BYTES)
    protocol = LosslessStreamProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, sock=sock)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def start_server(handler: ConnectionHandler, sock: socket.socket, backlog: int) -> asyncio.Server:
    """Accept connections on a bound Unix socket and call the handler with the stream of each."""
    loop = asyncio.get_running_loop()

    def protocol() -> LosslessStreamProtocol:
        return LosslessStreamProtocol(new_reader(LINK_READ_BYTES), handler)

    return await loop.create_unix_server(protocol, sock=sock, backlog=backlog)
