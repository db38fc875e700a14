"""What is remembered of one idempotency key."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..facade import End


@dataclass(slots=True)
class IdempotencyRecord:
    """One key: the attempt that holds it, the one that ran, and the outcome of that run."""

    key: str
    holder_id: str  # attempt that holds the key and may run
    expires_at: float
    fingerprint: bytes  # digest of what each of its attempts carries
    run_id: str | None = None  # attempt that ran
    outcome: End | None = None  # of the run, once it is over
    result: bytes = b""
    waiting_ids: list[str] = field(default_factory=list)  # attempts that wait for the run's result
    owned_by_peer: bool = False  # its holder is a request of the node's other process

    @property
    def has_run(self) -> bool:
        """An attempt of this key was started."""
        return self.run_id is not None
