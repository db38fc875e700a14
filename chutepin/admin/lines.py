"""One line of a caller, in whatever pieces it comes. Sans-I/O, bounded."""

from __future__ import annotations

MAX_LINE = 256  # bytes, its end included


class LineError(ValueError):
    """The line can't be a call; the message says why, in words for the caller."""


class LineReader:
    """Feed it bytes until it gives the line; what follows the line is nobody's."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> str | None:
        """Add what was read: the whole line without its end (LF, CR LF) and outer spaces, None until it is whole.

        Raises LineError for a line that is too long, empty or not ASCII."""
        self._buffer += data[: MAX_LINE + 1 - len(self._buffer)]  # never holds more, whatever is fed
        line, end, _ = self._buffer.partition(b"\n")
        if not end:
            if len(self._buffer) >= MAX_LINE:
                raise LineError(f"a line has {MAX_LINE} bytes at most")
            return None
        try:
            text = line.decode("ascii").strip()
        except UnicodeDecodeError:
            raise LineError("not ASCII") from None
        if not text:
            raise LineError("an empty line")
        return text
