"""What the core asks about the node's other process, where there is one: a port."""

from __future__ import annotations

from enum import Enum
from typing import Protocol


class KeyOwnership(Enum):
    """Who may take a key that is not in the table."""

    OWNED = "this process"
    ASK_PEER = "the other process, which must be asked"
    IN_DOUBT = "nobody, as it can't be known whether it ran"


class PeerProcess(Protocol):
    """The other process."""

    def standing(self, now: float) -> KeyOwnership: ...

    def ask(self, id: str, key: str, contents: bytes, until: float) -> None:
        """Ask for a key that a try wants. The answer comes as `Broker.granted`, unless the other process has gone."""


class NoPeerProcess:
    """There is no other process."""

    def standing(self, now: float) -> KeyOwnership:
        """All keys are this process's."""
        return KeyOwnership.OWNED

    def ask(self, id: str, key: str, contents: bytes, until: float) -> None:
        """Never called: the standing says so."""
        raise AssertionError("nobody to ask")
