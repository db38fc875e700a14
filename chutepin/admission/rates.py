"""Rate limiting of many keys. Pure: times are seconds of the caller's clock, which never runs backwards."""

from __future__ import annotations

from collections import OrderedDict

KEYS_CHECKED_PER_EVENT = 2  # so that keys at rest go faster than new ones come


class RateLimiter:
    """The generic cell rate algorithm (GCRA): `rate` events a second for each key, and up to `burst` at once.

    One number is kept for each key: when it would next be at rest. A key at rest needs none, so a flood of addresses
    leaves nothing behind once it is over. While it lasts, at most `max_keys` are kept, and the one with the oldest
    event is dropped for a new one. A dropped key has its burst again, which the rate of its block bounds.

    After ITU-T I.371, annex A (virtual scheduling)."""

    def __init__(self, rate: float, burst: int, max_keys: int) -> None:
        self._interval_s = 1 / rate
        self._tolerance_s = (burst - 1) / rate
        self._max_keys = max_keys
        self._rest_at: OrderedDict[bytes, float] = OrderedDict()  # in order of the last event

    def __len__(self) -> int:
        return len(self._rest_at)

    def wait(self, now: float, key: bytes) -> float:
        """Seconds until an event of this key conforms; 0 if it does now. Changes nothing."""
        return max(0.0, self._rest_at.get(key, now) - self._tolerance_s - now)

    def take(self, now: float, key: bytes) -> None:
        """Record an event that conforms."""
        self._rest_at[key] = max(self._rest_at.pop(key, now), now) + self._interval_s
        self.forget(now, KEYS_CHECKED_PER_EVENT)
        if len(self._rest_at) > self._max_keys:
            self._rest_at.popitem(last=False)

    def forget(self, now: float, most: int) -> None:
        """Drop up to `most` keys that are at rest, those with the oldest events first."""
        for _ in range(most):
            key = next(iter(self._rest_at), None)
            if key is None:
                return
            if self._rest_at[key] > now:
                # A long burst is at rest late: look at the other keys before this one again.
                self._rest_at.move_to_end(key)
                continue
            del self._rest_at[key]
