"""Idempotent requests: which attempt holds an idempotency key, which one ran, and its result.

No I/O; time is an argument. `IdempotencyTable` is the table of one process. Where two processes serve one node during
an upgrade, `handover` replicates each one's changes to the other and decides who owns a key (`KeyOwnership`)."""

from .peer import KeyOwnership, KeyRequest, NoPeerProcess, PeerProcess
from .record import IdempotencyRecord
from .table import KEY_GRACE_S, KEY_SLACK_S, IdempotencyTable

__all__ = [
    "KEY_GRACE_S",
    "KEY_SLACK_S",
    "IdempotencyRecord",
    "IdempotencyTable",
    "KeyOwnership",
    "KeyRequest",
    "NoPeerProcess",
    "PeerProcess",
]
