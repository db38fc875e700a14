"""AMQP frames out of a byte stream: a sans-I/O parser with strict bounds, and decoding by pamqp."""

from __future__ import annotations

import struct

from pamqp import exceptions, frame

from ..lines import ProtocolError

MAX_FRAME_BYTES = 64 * 1024
METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8  # types of frames
HEAD_BYTES = 7  # type, channel and size
END_BYTE = 0xCE


class FrameParser:
    """Feed it bytes, take complete frames: type, channel and the raw frame. A frame over the bound is an error."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Add what was read."""
        self._buffer += data

    def next(self) -> tuple[int, int, bytes] | None:
        """Return the next complete frame, or None until more is fed. Raises ProtocolError."""
        if len(self._buffer) < HEAD_BYTES:
            return None
        kind, channel, size = struct.unpack(">BHI", self._buffer[:HEAD_BYTES])
        if kind not in (METHOD, HEADER, BODY, HEARTBEAT) or size > MAX_FRAME_BYTES:
            raise ProtocolError("not a frame, or one over the negotiated size")
        if len(self._buffer) < size + HEAD_BYTES + 1:
            return None
        raw = bytes(self._buffer[: size + HEAD_BYTES + 1])
        if raw[-1] != END_BYTE:
            raise ProtocolError("a frame does not end where its size says")
        del self._buffer[: size + HEAD_BYTES + 1]
        return kind, channel, raw


def decode(raw: bytes) -> object:
    """Decode a raw frame. Raises ProtocolError, whatever pamqp raises on malformed input."""
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
    ) as error:
        raise ProtocolError(f"a frame that cannot be decoded: {type(error).__name__}") from None
