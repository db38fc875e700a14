"""What the two processes say to each other: a line `VERB LENGTH`, a JSON object of that length, CR LF. Sans-I/O,
bounded. The first line on a link names the version; what another version says is not read further."""

from __future__ import annotations

import json
from typing import Any

from ..facade import End
from ..idempotency import IdempotencyRecord
from ..net.lines import LineParser, ProtocolError, line

VERSION = 1
MAX_BODY = 512 * 1024  # what a module has learned of a thousand callers is a tenth of that
VERBS = frozenset(
    {
        "HELLO",  # successor: version, name
        "HERE",  # predecessor: its version; the listening sockets come with it
        "NO",  # predecessor: why there is no hand-over on this link
        "KEY",
        "DROP",  # both: an entry of mine is thus; is gone
        "LEARNED",  # predecessor: the module's experience
        "SYNCED",  # predecessor: all keys were told
        "TAKES",  # successor: it can serve
        "YOURS",  # predecessor: it has stopped accepting, the keys are the successor's
        "USE",  # both: runs, memory, descriptors
        "ASK",
        "TOLD",  # predecessor asks for a key; the successor's answer
    }
)
Frame = tuple[str, dict[str, Any]]


class Frames:
    """Feed it bytes, take whole frames. Raises ProtocolError for what no peer of this version says."""

    def __init__(self) -> None:
        self._parser = LineParser(lambda words: True, MAX_BODY)

    def feed(self, data: bytes) -> None:
        """Add what was read."""
        self._parser.feed(data)

    def next(self) -> Frame | None:
        """The next whole frame, or None until more is fed."""
        message = self._parser.next()
        if message is None:
            return None
        (verb, *_), body = message
        if verb not in VERBS:
            raise ProtocolError(f"unknown verb {verb[:20]}")
        try:
            fields = json.loads(body)
        except (ValueError, RecursionError):
            raise ProtocolError(f"{verb} is not JSON") from None
        if not isinstance(fields, dict):
            raise ProtocolError(f"{verb} is no object")
        return verb, fields


def frame(verb: str, **fields: object) -> bytes:
    """One frame."""
    return line(verb, body=json.dumps(fields, separators=(",", ":")).encode())


def encode_record(entry: IdempotencyRecord) -> bytes:
    """An entry as its owner has it. Bytes travel as Latin-1 text."""
    return frame(
        "KEY",
        key=entry.key,
        holder=entry.holder,
        until=entry.until,
        contents=entry.contents.hex(),
        ran=entry.ran,
        end=entry.end.value if entry.end is not None else None,
        result=entry.result.decode("latin-1"),
    )


def decode_record(fields: dict[str, Any]) -> IdempotencyRecord:
    """The entry of a frame. Raises ProtocolError."""
    try:
        ran, end = fields["ran"], fields["end"]
        return IdempotencyRecord(
            str(fields["key"]),
            str(fields["holder"]),
            float(fields["until"]),
            bytes.fromhex(fields["contents"]),
            str(ran) if ran is not None else None,
            End(end) if end is not None else None,
            str(fields["result"]).encode("latin-1"),
        )
    except (KeyError, ValueError, TypeError) as error:
        raise ProtocolError(f"a malformed entry: {error}") from None
