"""Parser of the PROXY protocol header that a relay sends first on a connection. Version 2, binary. Sans-I/O.

After "The PROXY protocol, versions 1 & 2", section 2.2. The header is expected from listed relays only; from any other
client it is a malformed request. Version 1, text of unknown length, is not accepted."""

from __future__ import annotations

from .addresses import LOCAL

SIGNATURE = b"\r\n\r\n\0\r\nQUIT\n"
FIXED_HEADER_BYTES = 16  # of the header, before the addresses
MAX_VARIABLE_BYTES = 536  # addresses and extensions; the protocol requires receivers to accept this many
_MAPPED = bytes(10) + b"\xff\xff"


class ProxyError(Exception):
    """The PROXY header is missing, malformed or of an unsupported kind."""


class ProxyHeaderParser:
    """Incremental header parser. Once `done`, `address` is the client's and `rest` holds the bytes after the header."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.done = False
        self.address: bytes | None = None  # packed; None if the relay connects for itself, as for a health check
        self.rest = b""

    def feed(self, data: bytes) -> None:
        """Parse more bytes. Raises ProxyError as soon as they can't be a header."""
        self._buffer += data
        prefix_size = min(len(self._buffer), len(SIGNATURE))
        if self._buffer[:prefix_size] != SIGNATURE[:prefix_size]:
            raise ProxyError("not a PROXY protocol header of version 2")
        if len(self._buffer) < FIXED_HEADER_BYTES:
            return
        command, family = self._buffer[12], self._buffer[13]
        length = int.from_bytes(self._buffer[14:16], "big")
        if command >> 4 != 2 or command & 15 > 1:
            raise ProxyError("unsupported PROXY protocol version or command")
        if length > MAX_VARIABLE_BYTES:
            raise ProxyError("PROXY protocol header is too long")
        if len(self._buffer) < FIXED_HEADER_BYTES + length:
            return
        body = bytes(self._buffer[FIXED_HEADER_BYTES : FIXED_HEADER_BYTES + length])
        self.rest = bytes(self._buffer[FIXED_HEADER_BYTES + length :])
        self.address = self._source(command & 15, family, body)
        self.done = True
        self._buffer.clear()

    def _source(self, command: int, family: int, body: bytes) -> bytes | None:
        if command == 0:  # LOCAL: the protocol says to ignore the addresses
            return None
        size = {0x11: 4, 0x21: 16}.get(family)
        if size is None:
            if family in (0x00, 0x31, 0x32):  # unspecified, or Unix sockets
                return LOCAL
            raise ProxyError("PROXY protocol header is not for a TCP connection")
        if len(body) < 2 * size + 4:
            raise ProxyError("PROXY protocol header has truncated addresses")
        packed = body[:size]
        return packed[12:] if packed.startswith(_MAPPED) else packed


def encode_proxy_header(source: bytes, target: bytes, source_port: int, target_port: int) -> bytes:
    """Encode the header of a relayed TCP connection. Both addresses must be of one family."""
    body = source + target + source_port.to_bytes(2, "big") + target_port.to_bytes(2, "big")
    family = 0x11 if len(source) == 4 else 0x21
    return SIGNATURE + bytes([0x21, family]) + len(body).to_bytes(2, "big") + body
