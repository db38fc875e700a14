"""Validation of the fields of a hand-over frame against their types and bounds. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeGuard

from ..net.lines import ProtocolError

MAX_COUNT = 2**31 - 1  # upper bound of counts of runs and descriptors, and of the protocol version
MAX_NUMBER = 2.0**53  # upper bound of KB and seconds; whole numbers are exact up to this value
MAX_TEXT_CHARACTERS = 1024  # upper bound of ids, keys and reasons
MAX_FINGERPRINT_BYTES = 64


class MalformedFrameError(ProtocolError):
    """A frame that violates the protocol version of this process; the connection is closed."""


def is_number(value: object, minimum: float = 0.0, maximum: float = MAX_NUMBER) -> TypeGuard[int | float]:
    """Return whether a JSON value is a number within these bounds; reject booleans, infinities and NaN."""
    return isinstance(value, int | float) and not isinstance(value, bool) and minimum <= value <= maximum


class Fields:
    """The fields of one frame. Each method raises MalformedFrameError if the field is absent or malformed."""

    def __init__(self, verb: str, values: Mapping[str, Any]) -> None:
        """Wrap the values of one frame. `verb`: name of the frame in error messages."""
        self._verb = verb
        self._values = values

    def text(self, name: str, max_characters: int = MAX_TEXT_CHARACTERS) -> str:
        """Return a text that can be encoded as UTF-8."""
        value = self._value(name)
        if not isinstance(value, str) or len(value) > max_characters:
            raise self._error(name)
        try:
            value.encode()
        except UnicodeEncodeError as error:
            raise self._error(name) from error
        return value

    def texts(self, name: str, max_items: int) -> tuple[str, ...]:
        """Return a list of texts."""
        values = self._value(name)
        if not isinstance(values, list) or len(values) > max_items:
            raise self._error(name)
        if not all(isinstance(value, str) and len(value) <= MAX_TEXT_CHARACTERS for value in values):
            raise self._error(name)
        return tuple(values)

    def mapping(self, name: str) -> dict[str, Any]:
        """Return a JSON object, whose values are not checked."""
        value = self._value(name)
        if not isinstance(value, dict):
            raise self._error(name)
        return value

    def optional_text(self, name: str) -> str | None:
        """Return a text, or None if the field is null."""
        return None if self._value(name) is None else self.text(name)

    def count(self, name: str) -> int:
        """Return a whole number from 0 to MAX_COUNT."""
        value = self._value(name)
        if not is_number(value, maximum=MAX_COUNT) or not isinstance(value, int):
            raise self._error(name)
        return value

    def number(self, name: str) -> float:
        """Return a number from 0 to MAX_NUMBER."""
        value = self._value(name)
        if not is_number(value):
            raise self._error(name)
        return float(value)

    def optional_number(self, name: str) -> float | None:
        """Return a number from 0 to MAX_NUMBER, or None if the field is null."""
        return None if self._value(name) is None else self.number(name)

    def flag(self, name: str) -> bool:
        """Return a boolean."""
        value = self._value(name)
        if not isinstance(value, bool):
            raise self._error(name)
        return value

    def fingerprint(self, name: str) -> bytes:
        """Return a digest that is encoded in hexadecimal."""
        digits = self.text(name, 2 * MAX_FINGERPRINT_BYTES)
        try:
            return bytes.fromhex(digits)
        except ValueError as error:
            raise self._error(name) from error

    def latin_1(self, name: str, max_bytes: int) -> bytes:
        """Return bytes that are encoded as Latin-1 text."""
        try:
            return self.text(name, max_bytes).encode("latin-1")
        except UnicodeEncodeError as error:
            raise self._error(name) from error

    def _value(self, name: str) -> object:
        if name not in self._values:
            raise MalformedFrameError(f"{self._verb}: missing field {name}")
        return self._values[name]

    def _error(self, name: str) -> MalformedFrameError:
        return MalformedFrameError(f"{self._verb}: malformed field {name}")
