"""Messages of one line of words, ended by CR LF, with an optional counted body. Sans-I/O, with strict size limits."""

from __future__ import annotations

from collections.abc import Callable

MAX_LINE_BYTES = 512
Message = tuple[list[str], bytes]


class ProtocolError(ValueError):
    """A violation of the protocol by the peer; only its connection is closed."""


class LineParser:
    """Incremental parser: `feed` adds bytes, `next` returns complete messages.

    `has_body(words)` returns whether the last word of a line is the length of a body."""

    def __init__(
        self, has_body: Callable[[list[str]], bool], max_body_bytes: int, max_line_bytes: int = MAX_LINE_BYTES
    ) -> None:
        self._has_body, self._max_body_bytes, self._max_line_bytes = has_body, max_body_bytes, max_line_bytes
        self._buffer = bytearray()
        self._words: list[str] | None = None  # words of a line whose body is not yet complete
        self._length = 0

    @property
    def held_bytes(self) -> int:
        """The bytes that are held for messages that have not been returned."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Add received bytes to the buffer."""
        self._buffer += data

    def next(self) -> Message | None:
        """Return the next complete message, or None until more bytes are fed. Raises ProtocolError."""
        if self._words is None and not self._read_line():
            return None
        assert self._words is not None
        if not self._length:
            words, self._words = self._words, None
            return words, b""
        if len(self._buffer) < self._length:
            return None
        raw = bytes(self._buffer[: self._length])
        del self._buffer[: self._length]
        if not raw.endswith(b"\r\n"):
            raise ProtocolError("body is not terminated by CR LF at its declared length")
        words, self._words, self._length = self._words, None, 0
        return words, raw[:-2]

    def _read_line(self) -> bool:
        end = self._buffer.find(b"\r\n", 0, self._max_line_bytes + 2)
        if end < 0:
            if len(self._buffer) > self._max_line_bytes:
                raise ProtocolError("line is too long")
            return False
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        words = line.decode("utf-8", "replace").split()
        if not words:
            raise ProtocolError("line without words")
        if self._has_body(words):
            if not words[-1].isascii() or not words[-1].isdigit() or len(words[-1]) > 9:
                raise ProtocolError("body length is not a number")
            if int(words[-1]) > self._max_body_bytes:
                raise ProtocolError("body is too long")
            self._length = int(words[-1]) + 2
        self._words = words
        return True


def line(*words: str | int, body: bytes | None = None) -> bytes:
    """Encode a message; the length of a body is appended as the last word."""
    head = " ".join(str(word) for word in words)
    if body is None:
        return f"{head}\r\n".encode()
    return f"{head} {len(body)}\r\n".encode() + body + b"\r\n"


def word_at(words: list[str], index: int) -> str:
    """Return the word at this index. Raises ProtocolError if there is none."""
    if index >= len(words):
        raise ProtocolError(f"{words[0]} has too few words")
    return words[index]


def number_at(words: list[str], index: int) -> float:
    """Return the word at this index as a finite number of 0 or more. Raises ProtocolError."""
    try:
        value = float(word_at(words, index))
    except ValueError:
        value = -1.0
    if not 0 <= value < 2.0**53:
        raise ProtocolError(f"{words[0]} has a malformed number")
    return value
