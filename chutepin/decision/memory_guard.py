"""Admission by memory: use by requests and idempotency keys against the server's limit, in KB."""

from __future__ import annotations

from .settings import Settings

USED_SHARE = 0.85  # share of the configured memory for new requests; runs may use half of the rest


class MemoryGuard:
    """Memory used by this process and by another process on the same server."""

    def __init__(self, settings: Settings) -> None:
        self.used = 0.0
        self.used_by_peer = 0.0
        self._limit = settings.memory
        self._run_factor = settings.run_factor
        self._key_memory = settings.key_memory

    def admits_request(self, size: float, needs_key: bool) -> bool:
        """Return whether memory allows a new request, already counted in `used`, to run and its key to be kept."""
        key_memory = self._key_memory if needs_key else 0.0
        memory = self.used + self.used_by_peer
        return not memory + key_memory + size * self._run_factor > self._limit * USED_SHARE

    def admits_run(self, size: float) -> bool:
        """Return whether memory allows a queued request to run."""
        extra = size * (self._run_factor - 1)
        return not self.used + self.used_by_peer + extra > self._limit * (1 + USED_SHARE) / 2

    def add_key(self) -> None:
        """Count an idempotency key."""
        self.used += self._key_memory

    def remove_key(self) -> None:
        """Release the memory of an idempotency key."""
        self.used -= self._key_memory
