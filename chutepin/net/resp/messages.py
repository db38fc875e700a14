"""Requests and answers on the platform's wire; the only module that knows the names of their fields.

`RPC.CALL tag class fields body` asks, `tag word fields body` answers; fields are comma-separated `name=value` pairs."""

from __future__ import annotations

import math

from ...broker import Answer, Request, Verdict
from ..lines import ProtocolError
from .parser import array

MAX_BODY_BYTES = 2048
MAX_KEY_CHARACTERS = 64
MAX_REQUEST_SIZE_KB = 2000
ID_CHARACTERS = 16  # hexadecimal digits
MAX_NUMBER_CHARACTERS = 24
CALL, CANCEL, HEALTH = b"RPC.CALL", b"RPC.CANCEL", b"RPC.HEALTH"
BYE = array(b"0", b"BYE")  # asks the balancer to send nothing more on this connection and to close it
_WORDS = {Verdict.SERVED: b"OK", Verdict.REJECTED: b"BUSY", Verdict.FAILED: b"FAILED"}


def number(raw: str, most: float = 2.0**53) -> float:
    """Parse a plain decimal number of 0 or more. Raises ProtocolError."""
    if (
        not raw.replace(".", "", 1).isdigit()
        or not raw.isascii()
        or len(raw) > MAX_NUMBER_CHARACTERS
        or float(raw) > most
    ):
        raise ProtocolError("a field is no number")
    return float(raw)


def parse_call(items: list[bytes]) -> Request:
    """Read a request from the items of `RPC.CALL`. Raises ProtocolError."""
    if len(items) not in (4, 5):
        raise ProtocolError("a call has five parts")
    try:
        cls, head = items[2].decode(), items[3].decode()  # names are the settings', in whatever letters
    except UnicodeDecodeError:
        raise ProtocolError("a call's head is not UTF-8") from None
    fields = dict(part.partition("=")[::2] for part in head.split(","))
    id = fields.get("i", "")
    if len(id) != ID_CHARACTERS or not set(id) <= set("0123456789abcdef"):
        raise ProtocolError("a call without a sound id")
    body = items[4] if len(items) == 5 else b""
    if len(body) > MAX_BODY_BYTES:
        raise ProtocolError("a body is too long")
    arrived = number(fields.get("s", "")) / 1000
    wait = number(fields["d"]) / 1000 if "d" in fields else math.inf  # callers need not pass their deadline
    key = fields.get("k")
    if key is not None and len(key) > MAX_KEY_CHARACTERS:
        raise ProtocolError("a key is too long")
    return Request(
        id=id,
        cls=cls,
        body=body,
        arrived=arrived,
        due=arrived + wait,
        size=number(fields.get("m", "0"), MAX_REQUEST_SIZE_KB),
        tenant=fields.get("t"),
        subject=fields.get("o"),
        key=key,
        rank=number(fields.get("p", "0"), 1),
        caller=int(number(fields.get("f", "0"))),
        is_retry=fields.get("r") == "1",
    )


def format_answer(tag: bytes, answer: Answer) -> bytes:
    """Encode the final answer to the request with this tag."""
    fields = []
    if answer.value is not None:
        fields.append(f"v={answer.value:.6g}")
    if answer.verdict is Verdict.REJECTED:
        if answer.retry_after > 0:
            fields.append(f"w={max(1, round(answer.retry_after * 1000))}")
        if answer.no_other_node:
            fields.append("l=1")
    return array(tag, _WORDS[answer.verdict], ",".join(fields).encode(), answer.body)


def format_health(tag: bytes, healthy: bool, value: float | None) -> bytes:
    """Encode the answer to a health check. `value`: the announced value, None where the site uses none."""
    fields = b"" if value is None else f"v={value:.6g}".encode()
    return array(tag, b"UP" if healthy else b"DOWN", fields)
