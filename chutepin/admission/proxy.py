"""The head that a relay sends before a connection's bytes: PROXY protocol, version 2, binary. Sans-I/O.

After "The PROXY protocol, versions 1 & 2", section 2.2. Only listed relays are asked for it; whoever else sends one
sends a malformed request. Version 1 is text of unknown length and is not taken."""

from __future__ import annotations

from .addresses import LOCAL

SIGNATURE = b"\r\n\r\n\0\r\nQUIT\n"
HEAD = 16  # bytes before the addresses
MAX_REST = 536  # bytes behind it: addresses and as many additions as the protocol wants taken
_MAPPED = bytes(10) + b"\xff\xff"


class ProxyError(ValueError):
    """The head is forged, malformed or of a kind that is not taken."""


class ProxyHead:
    """Feed it a connection's first bytes until `done`; then `address` is the true peer's, `rest` what follows."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.done = False
        self.address: bytes | None = None  # packed; None: the relay speaks for itself (health checks)
        self.rest = b""

    def feed(self, data: bytes) -> None:
        """More bytes. Raises ProxyError as soon as they can't be a head."""
        self._buffer += data
        seen = min(len(self._buffer), len(SIGNATURE))
        if self._buffer[:seen] != SIGNATURE[:seen]:
            raise ProxyError("no PROXY head of version 2")
        if len(self._buffer) < HEAD:
            return
        command, family = self._buffer[12], self._buffer[13]
        length = int.from_bytes(self._buffer[14:16], "big")
        if command >> 4 != 2 or command & 15 > 1:
            raise ProxyError("an unknown version or command")
        if length > MAX_REST:
            raise ProxyError("a head that is too long")
        if len(self._buffer) < HEAD + length:
            return
        body = bytes(self._buffer[HEAD : HEAD + length])
        self.rest = bytes(self._buffer[HEAD + length :])
        self.address = self._source(command & 15, family, body)
        self.done = True
        self._buffer.clear()

    def _source(self, command: int, family: int, body: bytes) -> bytes | None:
        if command == 0:  # LOCAL: whatever the addresses say is to be ignored
            return None
        size = {0x11: 4, 0x21: 16}.get(family)
        if size is None:
            if family in (0x00, 0x31, 0x32):  # unspecified, or Unix sockets
                return LOCAL
            raise ProxyError("not a TCP connection")
        if len(body) < 2 * size + 4:
            raise ProxyError("addresses that are cut")
        packed = body[:size]
        return packed[12:] if packed.startswith(_MAPPED) else packed


def proxy_head(source: bytes, target: bytes, source_port: int, target_port: int) -> bytes:
    """The head of a relayed TCP connection, as a relay sends it; both addresses of one family."""
    body = source + target + source_port.to_bytes(2, "big") + target_port.to_bytes(2, "big")
    family = 0x11 if len(source) == 4 else 0x21
    return SIGNATURE + bytes([0x21, family]) + len(body).to_bytes(2, "big") + body
