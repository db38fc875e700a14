"""The byte budget of dissemination and anti-entropy, a token bucket. Pure; time is an argument.

Probes and acks are exempt, so that failure detection is never delayed."""

from __future__ import annotations

BYTES_PER_SECOND = 6000  # sent; keeps the total with probes and received bytes under 16 KB/s
BURST_S = 2.0  # capacity of the bucket, in seconds at that rate


class ByteBudget:
    """A token bucket of bytes."""

    def __init__(self, now: float, rate: float = BYTES_PER_SECOND, burst: float = BURST_S) -> None:
        self._rate = rate
        self._capacity = rate * burst
        self._tokens = self._capacity
        self._updated_at = now

    def available(self, now: float) -> int:
        """Return the number of bytes that may be sent now; negative after a message that exceeded the budget."""
        if now > self._updated_at:
            self._tokens = min(self._capacity, self._tokens + (now - self._updated_at) * self._rate)
            self._updated_at = now
        return int(self._tokens)

    def spend(self, now: float, size: int) -> None:
        """Subtract the bytes of a message from the budget."""
        self.available(now)
        self._tokens -= size

    def delay(self, now: float, size: int) -> float:
        """Return the seconds until this many bytes may be sent."""
        return max(0.0, (size - self.available(now)) / self._rate)
