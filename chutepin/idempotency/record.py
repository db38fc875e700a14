"""The record of one idempotency key."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..facade import End


@dataclass(slots=True)
class IdempotencyRecord:
    """One key with the attempt that holds it, the attempt that ran, and the outcome of that run."""

    key: str
    holder_id: str  # attempt that holds the key and may start its run
    expires_at: float
    fingerprint: bytes  # digest of class, tenant and body, the same for all attempts of the key
    run_id: str | None = None  # attempt that ran; None before a run
    outcome: End | None = None  # of the run; None until the run ends
    result: bytes = b""
    waiting_ids: list[str] = field(default_factory=list)  # attempts that wait for the run's result
    owned_by_peer: bool = False  # the holder is an attempt at the peer process

    @property
    def has_run(self) -> bool:
        """Return whether a run of this key was started."""
        return self.run_id is not None
