"""RESP arrays of bulk strings: a sans-I/O parser with strict size limits, and the encoder."""

from __future__ import annotations

from ..lines import ProtocolError

MAX_ITEMS = 8  # bulk strings in an array
MAX_BULK_BYTES = 4096
MAX_ARRAY_BYTES = 6144  # all bulk strings of an array together
MAX_HEADER_BYTES = 10  # type byte, digits of the length, CR LF


class RespParser:
    """Incremental parser: `feed` adds bytes, `next` returns complete arrays.

    Buffers at most one array of limited size in addition to the bytes of the last `feed`."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._items: list[bytes] = []
        self._remaining = 0  # items of the current array that are not yet received
        self._length = -1  # of the current item; -1 until its header is parsed
        self._array_bytes = 0  # of the items of the current array, and the declared length of the next

    def feed(self, data: bytes) -> None:
        """Add received bytes to the buffer."""
        self._buffer += data

    @property
    def partial(self) -> bool:
        """Whether an array is partly received."""
        return bool(self._buffer or self._remaining)

    @property
    def held_bytes(self) -> int:
        """The bytes that are held for arrays that have not been returned."""
        return len(self._buffer) + self._array_bytes - max(0, self._length)

    def next(self) -> list[bytes] | None:
        """Return the next complete array, or None until more bytes are fed. Raises ProtocolError."""
        while True:
            if not self._remaining:
                count = self._read_header(b"*", MAX_ITEMS)
                if count is None:
                    return None
                if count == 0:
                    raise ProtocolError("array without items")
                self._remaining, self._items = count, []
            item = self._read_item()
            if item is None:
                return None
            self._items.append(item)
            self._remaining -= 1
            if not self._remaining:
                self._array_bytes = 0
                return self._items

    def _read_item(self) -> bytes | None:
        if self._length < 0:
            length = self._read_header(b"$", MAX_BULK_BYTES)
            if length is None:
                return None
            self._length = length
            self._array_bytes += length
            if self._array_bytes > MAX_ARRAY_BYTES:
                raise ProtocolError("array is too long")
        if len(self._buffer) < self._length + 2:
            return None
        item = bytes(self._buffer[: self._length + 2])
        del self._buffer[: self._length + 2]
        if not item.endswith(b"\r\n"):
            raise ProtocolError("bulk string is not terminated by CR LF at its declared length")
        self._length = -1
        return item[:-2]

    def _read_header(self, type_byte: bytes, maximum: int) -> int | None:
        if self._buffer and self._buffer[:1] != type_byte:
            raise ProtocolError("expected an array of bulk strings")
        end = self._buffer.find(b"\r\n", 0, MAX_HEADER_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_HEADER_BYTES:
                raise ProtocolError("length header is too long")
            return None
        digits = bytes(self._buffer[1:end])
        if not digits.isdigit() or int(digits) > maximum:
            raise ProtocolError("length is not a number or exceeds the limit")
        del self._buffer[: end + 2]
        return int(digits)


def array(*items: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)
