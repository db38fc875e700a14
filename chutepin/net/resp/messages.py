"""Codec of requests, answers and health checks; the only module that knows the field names on the wire.

A request is `RPC.CALL tag class fields body`, an answer `tag word fields body`; `fields` are comma-separated
`name=value` pairs."""

from __future__ import annotations

import math

from ...broker import Answer, Request, Verdict
from ..lines import ProtocolError
from .parser import array

MAX_BODY_BYTES = 2048
MAX_KEY_CHARACTERS = 64
MAX_FIELDS = 64  # of a request; balancers send up to ten
MAX_REQUEST_SIZE_KB = 2000
ID_CHARACTERS = 16  # hexadecimal digits
MAX_NUMBER_CHARACTERS = 24
CALL, CANCEL, HEALTH = b"RPC.CALL", b"RPC.CANCEL", b"RPC.HEALTH"
BYE = array(b"0", b"BYE")  # asks the balancer to send no more requests on this connection and to close it
_VERDICT_WORDS = {Verdict.SERVED: b"OK", Verdict.REJECTED: b"BUSY", Verdict.FAILED: b"FAILED"}


def parse_number(raw: str, maximum: float = 2.0**53) -> float:
    """Parse a non-negative decimal number up to `maximum`. Raises ProtocolError."""
    if (
        not raw.replace(".", "", 1).isdigit()
        or not raw.isascii()
        or len(raw) > MAX_NUMBER_CHARACTERS
        or float(raw) > maximum
    ):
        raise ProtocolError("field is not a number in range")
    return float(raw)


def parse_call(items: list[bytes]) -> Request:
    """Build a request from the items of an `RPC.CALL`. Raises ProtocolError."""
    if len(items) not in (4, 5):
        raise ProtocolError("RPC.CALL must have four or five items")
    try:
        cls, encoded_fields = items[2].decode(), items[3].decode()  # class names in the settings may use any script
    except UnicodeDecodeError:
        raise ProtocolError("class or fields of RPC.CALL are not UTF-8") from None
    encoded_pairs = encoded_fields.split(",", MAX_FIELDS)
    if len(encoded_pairs) > MAX_FIELDS:
        raise ProtocolError("RPC.CALL has too many fields")
    fields = dict(pair.partition("=")[::2] for pair in encoded_pairs)
    id = fields.get("i", "")
    if len(id) != ID_CHARACTERS or not set(id) <= set("0123456789abcdef"):
        raise ProtocolError("RPC.CALL has no valid request id")
    body = items[4] if len(items) == 5 else b""
    if len(body) > MAX_BODY_BYTES:
        raise ProtocolError("body is too long")
    arrived = parse_number(fields.get("s", "")) / 1000
    wait = parse_number(fields["d"]) / 1000 if "d" in fields else math.inf  # the deadline is optional
    key = fields.get("k")
    if key is not None and len(key) > MAX_KEY_CHARACTERS:
        raise ProtocolError("key is too long")
    return Request(
        id=id,
        cls=cls,
        body=body,
        arrived=arrived,
        due=arrived + wait,
        size=parse_number(fields.get("m", "0"), MAX_REQUEST_SIZE_KB),
        tenant=fields.get("t"),
        subject=fields.get("o"),
        key=key,
        rank=parse_number(fields.get("p", "0"), 1),
        caller=int(parse_number(fields.get("f", "0"))),
        is_retry=fields.get("r") == "1",
    )


def format_answer(tag: bytes, answer: Answer) -> bytes:
    """Encode the answer to the request with this tag."""
    fields = []
    if answer.value is not None:
        fields.append(f"v={answer.value:.6g}")
    if answer.verdict is Verdict.REJECTED:
        if answer.retry_after > 0:
            fields.append(f"w={max(1, round(answer.retry_after * 1000))}")
        if answer.no_other_node:
            fields.append("l=1")
    return array(tag, _VERDICT_WORDS[answer.verdict], ",".join(fields).encode(), answer.body)


def format_health(tag: bytes, healthy: bool, value: float | None) -> bytes:
    """Encode the answer to a health check. `value` is the announced load value, None if the site uses none."""
    fields = b"" if value is None else f"v={value:.6g}".encode()
    return array(tag, b"UP" if healthy else b"DOWN", fields)
