"""RESP arrays of bulk strings: a sans-I/O parser with strict bounds, and the encoder."""

from __future__ import annotations

from ..lines import ProtocolError

MAX_ITEMS = 8  # bulk strings in an array
MAX_BULK_BYTES = 4096
MAX_HEAD_BYTES = 10  # a type byte, the length's digits and the line's end


class RespParser:
    """Feed it bytes, take whole arrays. Sans-I/O; holds one bounded array and what was fed."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._items: list[bytes] = []
        self._missing = 0  # items of the present array that are yet to come
        self._length = -1  # of the present item, once its head was read

    def feed(self, data: bytes) -> None:
        """Add what was read."""
        self._buffer += data

    @property
    def partial(self) -> bool:
        """An array has begun and is not whole."""
        return bool(self._buffer or self._missing)

    def next(self) -> list[bytes] | None:
        """The next whole array, or None until more is fed."""
        while True:
            if not self._missing:
                count = self._head(b"*", MAX_ITEMS)
                if count is None:
                    return None
                if count == 0:
                    raise ProtocolError("an empty array")
                self._missing, self._items = count, []
            if self._length < 0:
                length = self._head(b"$", MAX_BULK_BYTES)
                if length is None:
                    return None
                self._length = length
            if len(self._buffer) < self._length + 2:
                return None
            item = bytes(self._buffer[: self._length + 2])
            del self._buffer[: self._length + 2]
            if not item.endswith(b"\r\n"):
                raise ProtocolError("a bulk string does not end where its length says")
            self._items.append(item[:-2])
            self._length = -1
            self._missing -= 1
            if not self._missing:
                return self._items

    def _head(self, mark: bytes, most: int) -> int | None:
        if self._buffer and self._buffer[:1] != mark:
            raise ProtocolError("not an array of bulk strings")
        end = self._buffer.find(b"\r\n", 0, MAX_HEAD_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_HEAD_BYTES:
                raise ProtocolError("a length is too long")
            return None
        digits = bytes(self._buffer[1:end])
        if not digits.isdigit() or int(digits) > most:
            raise ProtocolError("a length is no number or too large")
        del self._buffer[: end + 2]
        return int(digits)


def array(*items: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)
