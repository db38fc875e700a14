"""The port to the peer process: the second process of the node during an upgrade."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol


class KeyOwnership(Enum):
    """The process that may take a key that is not in this process's table."""

    OWNED = "owned by this process"
    ASK_PEER = "owned by the peer process, which grants or denies the key"
    IN_DOUBT = "in doubt: the key may have run"


class KeyRequest(NamedTuple):
    """A request for a key that an attempt at the requesting process needs."""

    request_id: str
    key: str
    fingerprint: bytes  # digest of the request's class, tenant and body
    expires_at: float


class PeerProcess(Protocol):
    """The second process of the node during an upgrade."""

    def ownership(self, now: float, key_lifetime_s: float) -> KeyOwnership:
        """Return which process may take a key that is not in this process's table and is kept for `key_lifetime_s`."""

    def request_key(self, request: KeyRequest) -> None:
        """Request a key. The answer is passed to `PeerExchange.key_replied`, unless the peer ends before."""


class NoPeerProcess:
    """The absence of a peer process: this process owns every key."""

    def ownership(self, now: float, key_lifetime_s: float) -> KeyOwnership:
        """Return that this process owns every key."""
        return KeyOwnership.OWNED

    def request_key(self, request: KeyRequest) -> None:
        """Raise AssertionError: `ownership` never returns ASK_PEER, so this is never called."""
        raise AssertionError("a key was requested from a peer process, but there is none")
