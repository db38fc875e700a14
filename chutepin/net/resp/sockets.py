"""Socket handling of a balancer connection: unread input, and closing without losing written answers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from typing import Any

from ..streams import BoundedStreamProtocol, PeerState, peer_state, stream_limit

FLUSH_TIMEOUT_S = 5.0  # for a balancer to read the last answers before its connection is closed
READ_BYTES = 4096  # read from one connection before the event loop serves others


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts the bytes received from the transport and not yet read."""

    unread_bytes = 0

    def __init__(self) -> None:
        super().__init__(limit=stream_limit(READ_BYTES), loop=asyncio.get_running_loop())

    def feed_data(self, data: Any) -> None:
        """Add bytes from the transport."""
        self.unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` bytes."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


@dataclass(slots=True)
class SocketLink:
    """The socket, transport and reader of one connection."""

    sock: socket.socket
    transport: asyncio.WriteTransport
    reader: CountingReader
    protocol: BoundedStreamProtocol

    def has_unread_input(self) -> bool:
        """Return whether received bytes are waiting to be read, after fetching what the kernel has buffered.

        Protects a request that arrived before its connection was closed: closing a socket with unread input resets
        the connection, and if the event loop was busy for long, the balancer would not send the request again."""
        if not self.reader.unread_bytes and not self.transport.is_closing():
            with contextlib.suppress(OSError):  # no input is buffered, or the peer has reset the connection
                if data := self.sock.recv(READ_BYTES):
                    self.reader.feed_data(data)
        return self.reader.unread_bytes > 0

    @property
    def peer_state(self) -> PeerState:
        """The state of the balancer's side; RESET also if this side is closed."""
        return PeerState.RESET if self.transport.is_closing() else peer_state(self.sock)

    def close(self) -> None:
        """Close once all written bytes are sent, or after FLUSH_TIMEOUT_S at the latest.

        The limit keeps a peer that never reads from holding the descriptor."""
        self.transport.close()
        if self.transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_at(loop.time() + FLUSH_TIMEOUT_S, self.transport.abort)
