"""A token bucket of bytes: what dissemination and anti-entropy may send. Pure; time is an argument.

Probes and their answers are never held back: the budget bounds what may be late, not what finds failures."""

from __future__ import annotations

BYTES_PER_SECOND = 6000  # sent; as much comes in, and probes are beside: under 16 KB a second in the worst hour
BURST_S = 2.0  # that an idle member saves up


class ByteBudget:
    """Bytes that may be sent now."""

    def __init__(self, now: float, rate: float = BYTES_PER_SECOND, burst: float = BURST_S) -> None:
        self._rate, self._most = rate, rate * burst
        self._tokens, self._at = self._most, now

    def available(self, now: float) -> int:
        """How many bytes may be sent now; less than none after a message that was longer than that."""
        if now > self._at:
            self._tokens = min(self._most, self._tokens + (now - self._at) * self._rate)
            self._at = now
        return int(self._tokens)

    def spend(self, now: float, size: int) -> None:
        """So many bytes are sent."""
        self.available(now)
        self._tokens -= size

    def delay(self, now: float, wanted: int) -> float:
        """Seconds until so many bytes may be sent."""
        return max(0.0, (wanted - self.available(now)) / self._rate)
