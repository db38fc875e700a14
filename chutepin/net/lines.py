"""Lines of words that end in CR LF, some followed by a counted body. Sans-I/O, with strict bounds."""

from __future__ import annotations

from collections.abc import Callable

MAX_LINE = 512
Message = tuple[list[str], bytes]


class ProtocolError(ValueError):
    """The peer broke the protocol; its connection is closed and nothing else."""


class LineParser:
    """Feed it bytes, take whole messages. `has_body` tells of a line's words whether the last is a length."""

    def __init__(self, has_body: Callable[[list[str]], bool], max_body: int, max_line: int = MAX_LINE) -> None:
        self._has_body, self._max_body, self._max_line = has_body, max_body, max_line
        self._buffer = bytearray()
        self._words: list[str] | None = None  # a line whose body is yet to come
        self._length = 0

    def feed(self, data: bytes) -> None:
        """Add what was read."""
        self._buffer += data

    def next(self) -> Message | None:
        """The next whole message, or None until more is fed."""
        if self._words is None and not self._line():
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
            raise ProtocolError("a body does not end where its length says")
        words, self._words, self._length = self._words, None, 0
        return words, raw[:-2]

    def _line(self) -> bool:
        end = self._buffer.find(b"\r\n", 0, self._max_line + 2)
        if end < 0:
            if len(self._buffer) > self._max_line:
                raise ProtocolError("a line is too long")
            return False
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        words = line.decode("utf-8", "replace").split()
        if not words:
            raise ProtocolError("an empty line")
        if self._has_body(words):
            if not words[-1].isascii() or not words[-1].isdigit() or len(words[-1]) > 9:
                raise ProtocolError("a length is no number")
            if int(words[-1]) > self._max_body:
                raise ProtocolError("a body is too long")
            self._length = int(words[-1]) + 2
        self._words = words
        return True


def line(*words: str | int, body: bytes | None = None) -> bytes:
    """One message; with a body its length is the last word."""
    head = " ".join(str(word) for word in words)
    if body is None:
        return f"{head}\r\n".encode()
    return f"{head} {len(body)}\r\n".encode() + body + b"\r\n"


def word(words: list[str], index: int) -> str:
    """A word that must be there."""
    if index >= len(words):
        raise ProtocolError(f"{words[0]} is cut short")
    return words[index]


def number(words: list[str], index: int) -> float:
    """A word that must be a finite number of 0 or more."""
    try:
        value = float(word(words, index))
    except ValueError:
        value = -1.0
    if not 0 <= value < 2.0**53:
        raise ProtocolError(f"{words[0]} has a malformed number")
    return value
