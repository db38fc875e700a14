"""Idempotent requests: which attempt holds an idempotency key, which one ran, and its result.

No I/O; time is an argument. `IdempotencyTable` is the table of one process. Where two processes serve one node during
an upgrade, `handover` tells each of the other's changes and decides who may claim a key."""

from .peer import KeyOwnership, NoPeerProcess, PeerProcess
from .table import KEY_GRACE_S, KEY_SLACK_S, IdempotencyRecord, IdempotencyTable

__all__ = [
    "KEY_GRACE_S",
    "KEY_SLACK_S",
    "IdempotencyRecord",
    "IdempotencyTable",
    "KeyOwnership",
    "NoPeerProcess",
    "PeerProcess",
]
