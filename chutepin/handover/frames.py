"""Codec of hand-over frames: a line `VERB LENGTH`, a JSON object of that length, CR LF. Sans-I/O and bounded.

Verbs and field names appear only in this module, except for the names of the learned statistics (`learned`); the rest
of the process uses the types of `messages`. Every field is checked against its type and bound (`fields`). The first
frame of a connection carries the protocol version; a peer of another version is rejected without further reading."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from ..facade import End
from ..idempotency import IdempotencyRecord, KeyRequest
from ..net.lines import LineParser, line
from ..node_intent import NodeIntent
from .fields import Fields
from .fields import MalformedFrameError as MalformedFrameError
from .learned import check_learned
from .messages import (
    HandoverAccepted,
    Hello,
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
MAX_STARTED_IDS = 1000  # in one frame
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


class Frame(NamedTuple):
    """One frame with unvalidated fields."""

    verb: str
    fields: dict[str, Any]


class FrameReader:
    """An incremental parser from bytes to frames. Its methods raise ProtocolError."""

    def __init__(self) -> None:
        self._parser = LineParser(lambda words: True, MAX_BODY_BYTES)

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._parser.feed(data)

    def next(self) -> Frame | None:
        """Return the next complete frame, or None if more bytes are needed."""
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
    """Return the encoding of one frame."""
    return line(verb, body=json.dumps(fields, separators=(",", ":")).encode())


def encode_record(record: IdempotencyRecord) -> bytes:
    """Return the encoded frame of a record. The result's bytes are encoded as Latin-1 text."""
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


def decode_record(values: dict[str, Any]) -> IdempotencyRecord:
    """Return the record from the fields of a KEY frame. Raises MalformedFrameError."""
    fields = Fields("KEY", values)
    return IdempotencyRecord(
        key=fields.text("key"),
        holder_id=fields.text("holder"),
        expires_at=fields.number("until"),
        fingerprint=fields.fingerprint("contents"),
        run_id=fields.optional_text("ran"),
        outcome=_decode_outcome(fields),
        result=fields.latin_1("result", MAX_BODY_BYTES),
    )


def _decode_outcome(fields: Fields) -> End | None:
    word = fields.optional_text("end")
    if word is None:
        return None
    try:
        return End(word)
    except ValueError as error:
        raise MalformedFrameError(f"KEY: unknown value of field end: {word[:20]}") from error


def encode(message: Message) -> bytes:  # noqa: C901  one case per message
    """Return the encoded frame of a message."""
    match message:
        case RecordChanged(record):
            return encode_record(record)
        case KeyRemoved(key):
            return encode_frame("DROP", key=key)
        case ProcessUsage():
            return _encode_usage(message)
        case KeyRequest(request_id, key, fingerprint, expires_at):
            return encode_frame("ASK", id=request_id, key=key, contents=fingerprint.hex(), until=expires_at)
        case KeyReply(request_id, key, is_granted):
            return encode_frame("TOLD", id=request_id, key=key, may=is_granted)
        case Hello(version, is_serving):
            if is_serving:
                return encode_frame("HELLO", version=version, serving=True)
            return encode_frame("HELLO", version=version)
        case HandoverAccepted(version):
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


def _encode_usage(usage: ProcessUsage) -> bytes:
    """Return the frame of a usage. Peers of earlier versions ignore the fields of started runs and of the intent."""
    values: dict[str, object] = {
        "running": usage.running,
        "memory": usage.memory_kb,
        "descriptors": usage.descriptors,
    }
    if usage.started_ids:
        values["runs"] = usage.started_ids
    if usage.intent is not None:
        values["intent"] = encode_intent(usage.intent)
    return encode_frame("USE", **values)


def encode_intent(intent: NodeIntent) -> dict[str, object]:
    """Return the JSON values of what the node was told."""
    return {"sequence": intent.sequence, "drained": intent.is_drained, "left_at": intent.left_at}


def decode_intent(values: dict[str, Any]) -> NodeIntent:
    """Return what the node was told from its JSON values. Raises MalformedFrameError."""
    fields = Fields("intent", values)
    return NodeIntent(fields.count("sequence"), fields.flag("drained"), fields.optional_number("left_at"))


def _decode_usage(fields: Fields, values: dict[str, Any]) -> ProcessUsage:
    """Return a usage; peers of earlier versions omit the started runs and the intent."""
    return ProcessUsage(
        fields.count("running"),
        fields.number("memory"),
        fields.count("descriptors"),
        fields.texts("runs", MAX_STARTED_IDS) if "runs" in values else (),
        decode_intent(fields.mapping("intent")) if "intent" in values else None,
    )


def decode(frame: Frame) -> Message:  # noqa: C901  one case per verb
    """Return the message of a frame. Raises MalformedFrameError."""
    fields = Fields(frame.verb, frame.fields)
    match frame.verb:
        case "KEY":
            return RecordChanged(decode_record(frame.fields))
        case "DROP":
            return KeyRemoved(fields.text("key"))
        case "USE":
            return _decode_usage(fields, frame.fields)
        case "ASK":
            return KeyRequest(
                fields.text("id"), fields.text("key"), fields.fingerprint("contents"), fields.number("until")
            )
        case "TOLD":
            return KeyReply(fields.text("id"), fields.text("key"), fields.flag("may"))
        case "SYNCED":
            return KeysSynced(fields.number("closed_until"))
        case "LEARNED":
            return LearnedStatistics(check_learned(frame.fields))
        case "TAKES":
            return TakeoverRequest()
        case "YOURS":
            return TakeoverGranted()
        case "HELLO":
            return Hello(fields.count("version"), fields.flag("serving") if "serving" in frame.fields else False)
        case "HERE":
            return HandoverAccepted(fields.count("version"))
        case "NO":
            return _decode_rejection(fields, frame.fields)
    raise MalformedFrameError(f"unknown verb {frame.verb[:20]}")


def _decode_rejection(fields: Fields, values: dict[str, Any]) -> Rejection:
    """Return a rejection: a peer of another version sends its version, a busy peer sends `busy`."""
    version = fields.count("version") if "version" in values else None
    is_busy = fields.flag("busy") if "busy" in values else False
    return Rejection(fields.text("why"), version, is_busy)


def is_compatible_hello(frame: Frame) -> bool:
    """Return whether a frame is a HELLO of this protocol version."""
    version = frame.fields.get("version")
    return frame.verb == "HELLO" and isinstance(version, int) and version == PROTOCOL_VERSION
