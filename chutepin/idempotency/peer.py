"""The port through which the broker reaches the node's other process, where there is one."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol


class KeyOwnership(Enum):
    """Who may take a key that is not in this process's table."""

    OWNED = "owned by this process"
    ASK_PEER = "owned by the other process, which must be asked"
    IN_DOUBT = "in doubt: it can't be known whether the key has run"


class KeyRequest(NamedTuple):
    """A request for a key that an attempt at the asking process needs."""

    request_id: str
    key: str
    fingerprint: bytes  # digest of what the request carries
    expires_at: float


class PeerProcess(Protocol):
    """The node's other process."""

    def ownership(self, now: float) -> KeyOwnership:
        """Return who may take a key that is not known here."""

    def request_key(self, request: KeyRequest) -> None:
        """Ask for a key. The answer comes as `Broker.key_replied`, unless the peer ends before."""


class NoPeerProcess:
    """There is no other process: all keys are this one's."""

    def ownership(self, now: float) -> KeyOwnership:
        """Return that this process owns every key."""
        return KeyOwnership.OWNED

    def request_key(self, request: KeyRequest) -> None:
        """Never called, as `ownership` never says to ask."""
        raise AssertionError("there is no peer process to ask")
