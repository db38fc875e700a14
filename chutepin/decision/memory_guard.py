"""Memory of requests and idempotency keys, against the server's limit. In KB."""

from __future__ import annotations

from .settings import Settings

USED_SHARE = 0.85  # of the configured memory, for new requests; runs may take half of what is left


class MemoryGuard:
    """Memory in use here and in another process on the same server."""

    def __init__(self, settings: Settings) -> None:
        self.used = 0.0
        self.used_by_peer = 0.0
        self._limit = settings.memory
        self._run_factor = settings.run_factor
        self._key_memory = settings.key_memory

    def admits_request(self, size: float, needs_key: bool) -> bool:
        """Whether a new request, counted in `used` already, could also run and have its key kept."""
        key_memory = self._key_memory if needs_key else 0.0
        memory = self.used + self.used_by_peer
        return not memory + key_memory + size * self._run_factor > self._limit * USED_SHARE

    def admits_run(self, size: float) -> bool:
        """Whether a queued request may take the memory of a run."""
        extra = size * (self._run_factor - 1)
        return not self.used + self.used_by_peer + extra > self._limit * (1 + USED_SHARE) / 2

    def add_key(self) -> None:
        """Count an idempotency key."""
        self.used += self._key_memory

    def remove_key(self) -> None:
        """Give a key's memory back."""
        self.used -= self._key_memory
