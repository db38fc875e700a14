"""A bounded sans-I/O reader of one line."""

from __future__ import annotations

MAX_LINE_BYTES = 256  # its end included


class InvalidLineError(ValueError):
    """The line can't be a command; the message is meant for the caller."""


class LineReader:
    """Feed it bytes until it returns the line; what follows the line is ignored."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> str | None:
        """Add what was read; return the line without its end (LF, CR LF) and outer spaces, None until it is complete.

        Raises InvalidLineError for a line that is too long, empty or not ASCII."""
        self._buffer += data[: MAX_LINE_BYTES + 1 - len(self._buffer)]  # never holds more, whatever is fed
        line, end, _ = self._buffer.partition(b"\n")
        if not end:
            if len(self._buffer) >= MAX_LINE_BYTES:
                raise InvalidLineError(f"a line has {MAX_LINE_BYTES} bytes at most")
            return None
        try:
            text = line.decode("ascii").strip()
        except UnicodeDecodeError:
            raise InvalidLineError("not ASCII") from None
        if not text:
            raise InvalidLineError("an empty line")
        return text
