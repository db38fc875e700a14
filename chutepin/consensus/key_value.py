"""A key-value state machine on the replicated log, for operators and tests. Performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

import msgpack

from .errors import InvalidRequestError

MAX_KEYS = 256
MAX_KEY_CHARACTERS = 64
MAX_VALUE_BYTES = 1024


class StoredValue(NamedTuple):
    """The value of a key, the index of the entry that set it, and the number of times the key was set."""

    value: bytes
    at_index: int
    times_set: int


def pack_assignment(key: str, value: bytes) -> bytes:
    """Return the data of a proposal that sets a key. Raises InvalidRequestError."""
    if not 0 < len(key) <= MAX_KEY_CHARACTERS or len(value) > MAX_VALUE_BYTES:
        raise InvalidRequestError(
            f"a name of 1 to {MAX_KEY_CHARACTERS} characters, a value of up to {MAX_VALUE_BYTES} bytes"
        )
    return bytes(msgpack.packb([key, value]))


class KeyValueMachine:
    """A map of keys to values; implements `replicated_state.StateMachine`."""

    version = 1

    def __init__(self) -> None:
        self.values: dict[str, StoredValue] = {}

    def apply(self, index: int, version: int, data: bytes) -> bytes:
        """Set a key; return `set`, or `full` if a new key would exceed MAX_KEYS."""
        key, value = msgpack.unpackb(data)
        former = self.values.get(key)
        if former is None and len(self.values) >= MAX_KEYS:
            return b"full"
        times_set = former.times_set if former is not None else 0
        self.values[key] = StoredValue(value, index, times_set + 1)
        return b"set"

    def snapshot(self) -> bytes:
        """Return all keys and values in msgpack, sorted by key."""
        return bytes(msgpack.packb([[key, *stored] for key, stored in sorted(self.values.items())]))

    def restore(self, version: int, data: bytes) -> None:
        """Replace all keys and values with those of a snapshot."""
        self.values = {key: StoredValue(value, index, times) for key, value, index, times in msgpack.unpackb(data)}
