"""The byte budget of dissemination and anti-entropy, a token bucket. Pure; time is an argument.

Probes and acks are not limited by it: failure detection must not be late."""

from __future__ import annotations

BYTES_PER_SECOND = 6000  # sent; with what is received and with probes it stays under 16 KB a second
BURST_S = 2.0  # of that rate, which an idle member saves up


class ByteBudget:
    """A token bucket of bytes."""

    def __init__(self, now: float, rate: float = BYTES_PER_SECOND, burst: float = BURST_S) -> None:
        self._rate = rate
        self._capacity = rate * burst
        self._tokens = self._capacity
        self._updated_at = now

    def available(self, now: float) -> int:
        """Return how many bytes may be sent now; negative after a message that was longer than that."""
        if now > self._updated_at:
            self._tokens = min(self._capacity, self._tokens + (now - self._updated_at) * self._rate)
            self._updated_at = now
        return int(self._tokens)

    def spend(self, now: float, size: int) -> None:
        """Take so many bytes from the budget."""
        self.available(now)
        self._tokens -= size

    def delay(self, now: float, wanted: int) -> float:
        """Return the seconds until so many bytes may be sent."""
        return max(0.0, (wanted - self.available(now)) / self._rate)
