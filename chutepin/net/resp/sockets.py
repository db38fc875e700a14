"""The socket side of a balancer's connection: what was received and not yet read, and closing in order."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from typing import Any

FLUSH_TIMEOUT_S = 5.0  # in which a balancer that sends no more must have read its last answers
READ_BYTES = 4096  # taken in from one connection before others have their turn


class CountingReader(asyncio.StreamReader):
    """A stream reader that counts the bytes which were received and not yet read."""

    unread_bytes = 0

    def feed_data(self, data: Any) -> None:
        """Take in bytes from the transport."""
        self.unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` bytes."""
        data = await super().read(n)
        self.unread_bytes -= len(data)
        return data


@dataclass(slots=True)
class SocketLink:
    """One connection's socket, transport and reader."""

    sock: socket.socket
    transport: asyncio.WriteTransport
    reader: CountingReader

    def has_unread_input(self) -> bool:
        """Whether something was received that nobody has read; takes in what the system has buffered.

        Guards a request that came before its connection was closed: a close over it would reset the connection, and
        after a turn of the loop that took long its balancer would not send it again."""
        if not self.reader.unread_bytes and not self.transport.is_closing():
            with contextlib.suppress(OSError):  # nothing lies there, or the peer has reset
                if data := self.sock.recv(READ_BYTES):
                    self.reader.feed_data(data)
        return self.reader.unread_bytes > 0

    def close(self) -> None:
        """Close once all written bytes have left the process, or the peer has had its time to read them.

        Guards descriptors against a peer that never reads."""
        self.transport.close()
        if self.transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_at(loop.time() + FLUSH_TIMEOUT_S, self.transport.abort)
