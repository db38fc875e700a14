"""Type checks for decoded values of messages and of the store. Performs no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

MAX_INTEGER = 2**63 - 1


class MalformedFieldError(ValueError):
    """A decoded value does not have the expected type or range."""


def read_integer(raw: Any, minimum: int = 0) -> int:
    """Return an integer from `minimum` to MAX_INTEGER. Raises MalformedFieldError."""
    if type(raw) is not int or not minimum <= raw <= MAX_INTEGER:
        raise MalformedFieldError("not a whole number within its bounds")
    return raw


def read_text(raw: Any) -> str:
    """Return a string. Raises MalformedFieldError."""
    if not isinstance(raw, str):
        raise MalformedFieldError("not text")
    return raw


def read_bytes(raw: Any) -> bytes:
    """Return bytes. Raises MalformedFieldError."""
    if not isinstance(raw, bytes):
        raise MalformedFieldError("not bytes")
    return raw


def read_list(raw: Any, length: int) -> Sequence[Any]:
    """Return a list of `length` elements. Raises MalformedFieldError."""
    if not isinstance(raw, list) or len(raw) != length:
        raise MalformedFieldError(f"not a list of {length}")
    return raw


def read_names(raw: Any) -> tuple[str, ...]:
    """Return the names in a list of strings. Raises MalformedFieldError."""
    if not isinstance(raw, list):
        raise MalformedFieldError("not a list of names")
    return tuple(map(read_text, raw))
