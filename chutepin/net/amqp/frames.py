"""AMQP frames: a sans-I/O parser with strict size limits, and decoding by pamqp."""

from __future__ import annotations

import struct

from pamqp import exceptions, frame

from ..lines import ProtocolError

MAX_FRAME_BYTES = 64 * 1024
METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8  # frame types
FRAME_HEADER_BYTES = 7  # type, channel and size
END_BYTE = 0xCE


class FrameParser:
    """Incremental parser: `feed` adds bytes, `next` returns complete frames.

    A frame is returned as its type, its channel and its raw bytes. A frame over MAX_FRAME_BYTES is an error."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes to the buffer."""
        self._buffer += data

    def next(self) -> tuple[int, int, bytes] | None:
        """Return the next complete frame, or None until more bytes are fed. Raises ProtocolError."""
        if len(self._buffer) < FRAME_HEADER_BYTES:
            return None
        frame_type, channel, size = struct.unpack(">BHI", self._buffer[:FRAME_HEADER_BYTES])
        if frame_type not in (METHOD, HEADER, BODY, HEARTBEAT) or size > MAX_FRAME_BYTES:
            raise ProtocolError("unknown frame type, or frame over the negotiated size")
        if len(self._buffer) < size + FRAME_HEADER_BYTES + 1:
            return None
        raw = bytes(self._buffer[: size + FRAME_HEADER_BYTES + 1])
        if raw[-1] != END_BYTE:
            raise ProtocolError("no frame-end byte at the declared size")
        del self._buffer[: size + FRAME_HEADER_BYTES + 1]
        return frame_type, channel, raw


def decode(raw: bytes) -> object:
    """Decode a raw frame. Raises ProtocolError for every error that pamqp raises on malformed input.

    pamqp decodes tables and arrays within each other by recursion, so deep ones raise RecursionError."""
    try:
        return frame.unmarshal(raw)[2]
    except (
        exceptions.PAMQPException,
        ValueError,
        LookupError,
        TypeError,
        ArithmeticError,
        OSError,
        struct.error,
        AttributeError,
        RecursionError,
    ) as error:
        raise ProtocolError(f"frame cannot be decoded: {type(error).__name__}") from None
