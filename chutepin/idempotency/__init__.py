"""Idempotency keys: the attempt that holds each key, the attempt that ran, and the result.

No I/O; time is an argument. `IdempotencyTable` is the table of one process. While two processes serve one node during
an upgrade, `handover` replicates the changes of each table to the other and decides which process owns a key
(`KeyOwnership`)."""

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
