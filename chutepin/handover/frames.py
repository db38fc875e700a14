"""Frames of a hand-over: a line `VERB LENGTH`, a JSON object of that length, CR LF. Sans-I/O and bounded.

The only module that knows verbs and field names; inside the process messages are the types of `messages`. The first
frame of a connection names the protocol's version; a peer of another version is rejected without reading on."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from ..facade import End
from ..idempotency import IdempotencyRecord, KeyRequest
from ..net.lines import LineParser, ProtocolError, line
from .messages import (
    Hello,
    Here,
    KeyRemoved,
    KeyReply,
    KeysSynced,
    LearnedStatistics,
    Message,
    ProcessUsage,
    RecordChanged,
    Rejection,
    TakeoverGranted,
    TakeoverRequest,
)

PROTOCOL_VERSION = 1
MAX_BODY_BYTES = 512 * 1024  # ten times the learned statistics of a thousand callers
VERBS = frozenset(
    {
        "HELLO",
        "HERE",
        "NO",
        "KEY",
        "DROP",
        "LEARNED",
        "SYNCED",
        "TAKES",
        "YOURS",
        "USE",
        "ASK",
        "TOLD",
    }
)


class MalformedFrameError(ProtocolError):
    """A frame that no peer of this version sends; the connection is closed."""


class Frame(NamedTuple):
    """One frame as it was read, its fields not yet checked."""

    verb: str
    fields: dict[str, Any]


class FrameReader:
    """Feed it bytes, take whole frames. Raises ProtocolError."""

    def __init__(self) -> None:
        self._parser = LineParser(lambda words: True, MAX_BODY_BYTES)

    def feed(self, data: bytes) -> None:
        """Add what was read."""
        self._parser.feed(data)

    def next(self) -> Frame | None:
        """Return the next whole frame, or None until more is fed."""
        message = self._parser.next()
        if message is None:
            return None
        (verb, *_), body = message
        if verb not in VERBS:
            raise MalformedFrameError(f"unknown verb {verb[:20]}")
        try:
            fields = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise MalformedFrameError(f"the body of {verb} is not JSON") from error
        if not isinstance(fields, dict):
            raise MalformedFrameError(f"the body of {verb} is not a JSON object")
        return Frame(verb, fields)


def encode_frame(verb: str, **fields: object) -> bytes:
    """Return the bytes of one frame."""
    return line(verb, body=json.dumps(fields, separators=(",", ":")).encode())


def encode_record(record: IdempotencyRecord) -> bytes:
    """Return the frame of a record. The result's bytes travel as Latin-1 text."""
    return encode_frame(
        "KEY",
        key=record.key,
        holder=record.holder_id,
        until=record.expires_at,
        contents=record.fingerprint.hex(),
        ran=record.run_id,
        end=record.outcome.value if record.outcome is not None else None,
        result=record.result.decode("latin-1"),
    )


def decode_record(fields: dict[str, Any]) -> IdempotencyRecord:
    """Return the record of a frame's fields. Raises MalformedFrameError."""
    try:
        run_id = fields["ran"]
        outcome = fields["end"]
        return IdempotencyRecord(
            key=str(fields["key"]),
            holder_id=str(fields["holder"]),
            expires_at=float(fields["until"]),
            fingerprint=bytes.fromhex(fields["contents"]),
            run_id=str(run_id) if run_id is not None else None,
            outcome=End(outcome) if outcome is not None else None,
            result=str(fields["result"]).encode("latin-1"),
        )
    except (KeyError, ValueError, TypeError) as error:
        raise MalformedFrameError(f"KEY is malformed: {error!r}") from error


def encode(message: Message) -> bytes:  # noqa: C901  one case a message
    """Return the frame of a message."""
    match message:
        case RecordChanged(record):
            return encode_record(record)
        case KeyRemoved(key):
            return encode_frame("DROP", key=key)
        case ProcessUsage(running, memory_kb, descriptors):
            return encode_frame("USE", running=running, memory=memory_kb, descriptors=descriptors)
        case KeyRequest(request_id, key, fingerprint, expires_at):
            return encode_frame("ASK", id=request_id, key=key, contents=fingerprint.hex(), until=expires_at)
        case KeyReply(request_id, key, is_granted):
            return encode_frame("TOLD", id=request_id, key=key, may=is_granted)
        case Hello(version):
            return encode_frame("HELLO", version=version)
        case Here(version):
            return encode_frame("HERE", version=version)
        case Rejection(reason, version, is_busy):
            if is_busy:
                return encode_frame("NO", why=reason, busy=True)
            return encode_frame("NO", why=reason, version=version)
        case LearnedStatistics(statistics):
            return encode_frame("LEARNED", **statistics)
        case KeysSynced(in_doubt_until):
            return encode_frame("SYNCED", closed_until=in_doubt_until)
        case TakeoverRequest():
            return encode_frame("TAKES")
        case TakeoverGranted():
            return encode_frame("YOURS")


def decode(frame: Frame) -> Message:
    """Return the message of a frame. Raises MalformedFrameError."""
    try:
        return _decode(frame.verb, frame.fields)
    except MalformedFrameError:
        raise
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedFrameError(f"{frame.verb} is malformed: {error!r}") from error


def _decode(verb: str, fields: dict[str, Any]) -> Message:  # noqa: C901  one case a verb
    match verb:
        case "KEY":
            return RecordChanged(decode_record(fields))
        case "DROP":
            return KeyRemoved(str(fields["key"]))
        case "USE":
            return ProcessUsage(int(fields["running"]), float(fields["memory"]), int(fields["descriptors"]))
        case "ASK":
            fingerprint = bytes.fromhex(fields["contents"])
            return KeyRequest(str(fields["id"]), str(fields["key"]), fingerprint, float(fields["until"]))
        case "TOLD":
            return KeyReply(str(fields["id"]), str(fields["key"]), bool(fields["may"]))
        case "SYNCED":
            return KeysSynced(float(fields["closed_until"]))
        case "LEARNED":
            return LearnedStatistics(fields)
        case "TAKES":
            return TakeoverRequest()
        case "YOURS":
            return TakeoverGranted()
        case "HELLO":
            return Hello(fields.get("version"))
        case "HERE":
            return Here(fields.get("version"))
        case "NO":
            return Rejection(str(fields.get("why")), is_busy=bool(fields.get("busy")))
    raise AssertionError(f"{verb} is in VERBS and has no message")


def is_compatible_hello(frame: Frame) -> bool:
    """The frame opens a hand-over of this protocol's version."""
    return frame.verb == "HELLO" and frame.fields.get("version") == PROTOCOL_VERSION
