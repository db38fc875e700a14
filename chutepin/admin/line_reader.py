"""Reads one line of bounded length from chunks of bytes, without I/O."""

from __future__ import annotations

MAX_LINE_BYTES = 256  # including the line ending


class InvalidLineError(ValueError):
    """An error for a line that cannot be a command; the message is sent to the client."""


class LineReader:
    """An incremental parser of one line; bytes after the line are ignored."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> str | None:
        """Add received bytes; return the line without its ending (LF, CR LF) and outer spaces, None while incomplete.

        Raises InvalidLineError for a line that is too long, empty or not ASCII."""
        self._buffer += data[: MAX_LINE_BYTES + 1 - len(self._buffer)]  # the buffer stays bounded for any input
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
