"""Streams whose receive buffers are bounded, and whether the peer of a connection has ended its side.

asyncio's own streams read up to 256 KiB at a time, whatever their limit. A `BoundedStreamProtocol` reads `read_bytes`
at a time into a buffer that all connections share, and stops when more than that are unread. The system's buffers hold
the rest, and make the peer wait."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

MAX_READ_BYTES = 16384
LINK_READ_BYTES = 16384  # for the single link to the executor, to the AMQP broker or to the node's other process
TCP_STATE_BYTES = 1

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

# All connections of the event loop receive into this buffer: received bytes are passed on before the next read.
_receive_buffer = memoryview(bytearray(MAX_READ_BYTES))


class BoundedStreamProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """A stream protocol that holds at most `2 * read_bytes` of unread input, and none once it discards its input."""

    def __init__(self, reader: asyncio.StreamReader, read_bytes: int, handler: ConnectionHandler | None = None) -> None:
        """Create a protocol. `handler`: called for an accepted connection."""
        assert read_bytes <= MAX_READ_BYTES
        super().__init__(reader, handler, loop=asyncio.get_running_loop())
        self._reader = reader
        self._buffer = _receive_buffer[:read_bytes]
        self._is_discarding = False

    def discard_input(self) -> None:
        """Drop all further input; the reader still receives its end."""
        self._is_discarding = True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on received bytes, or drop them."""
        if self._is_discarding:
            return
        self._reader.feed_data(self._buffer[:nbytes].tobytes())


def stream_limit(read_bytes: int) -> int:
    """Return the limit of a reader that stops its transport above `read_bytes`: a transport stops above twice it."""
    return read_bytes // 2


def new_reader(read_bytes: int) -> asyncio.StreamReader:
    """Return a reader for a `BoundedStreamProtocol`."""
    return asyncio.StreamReader(limit=stream_limit(read_bytes), loop=asyncio.get_running_loop())


async def open_connection(
    host: str, port: int, read_bytes: int = LINK_READ_BYTES
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect as `asyncio.open_connection`, with a bounded receive buffer. Raises OSError."""
    loop = asyncio.get_running_loop()
    reader = new_reader(read_bytes)
    protocol = BoundedStreamProtocol(reader, read_bytes)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class PeerState(Enum):
    """What the system knows of the peer of a connection, even while received bytes are unread."""

    OPEN = 1
    ENDED = 2  # the peer has ended its side; it may still read, or may have closed the connection
    RESET = 3  # nothing can be sent to the peer any more


# The first byte of `tcp_info`, from Linux's `include/net/tcp_states.h`.
_ESTABLISHED = b"\x01"
_PEER_STATES = {b"\x07": PeerState.RESET, b"\x08": PeerState.ENDED}  # TCP_CLOSE, TCP_CLOSE_WAIT


def peer_state(sock: Any) -> PeerState:
    """Return the state of the peer of a TCP connection. `sock`: a socket, or asyncio's wrapper of one."""
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_STATE_BYTES)
    except OSError as error:  # the socket is closed, or the system tells no state
        return PeerState.RESET if error.errno == errno.EBADF else PeerState.OPEN
    return PeerState.OPEN if state == _ESTABLISHED else _PEER_STATES.get(state, PeerState.OPEN)
