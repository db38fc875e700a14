"""The simplest machine on the log: names with values, which operators and tests can set and read. Pure."""

from __future__ import annotations

from typing import NamedTuple

import msgpack

MAX_NAMES = 256
MAX_NAME = 64  # characters
MAX_VALUE = 1024  # bytes


class StoredValue(NamedTuple):
    """A value, the entry that set it, and how often the name was set in all."""

    value: bytes
    at: int
    times: int


def pack_assignment(name: str, value: bytes) -> bytes:
    """The data of a proposal that sets a name. Raises ValueError."""
    if not 0 < len(name) <= MAX_NAME or len(value) > MAX_VALUE:
        raise ValueError(f"a name of 1 to {MAX_NAME} characters, a value of up to {MAX_VALUE} bytes")
    return bytes(msgpack.packb([name, value]))


class KeyValueMachine:
    """Names with values (`replica.Machine`)."""

    version = 1

    def __init__(self) -> None:
        self.known: dict[str, StoredValue] = {}

    def apply(self, index: int, version: int, data: bytes) -> bytes:
        """Set a name; `full` where there is no room for another one."""
        name, value = msgpack.unpackb(data)
        if name not in self.known and len(self.known) >= MAX_NAMES:
            return b"full"
        self.known[name] = StoredValue(value, index, self.known[name].times + 1 if name in self.known else 1)
        return b"set"

    def snapshot(self) -> bytes:
        """All facts, by name."""
        return bytes(msgpack.packb([[name, *fact] for name, fact in sorted(self.known.items())]))

    def restore(self, version: int, data: bytes) -> None:
        """Take over all facts."""
        self.known = {name: StoredValue(value, at, times) for name, value, at, times in msgpack.unpackb(data)}
