"""Rate limiting per key. No clock: times are seconds of the caller's monotonic clock."""

from __future__ import annotations

from collections import OrderedDict

KEYS_CHECKED_PER_EVENT = 2  # more than 1, so that idle keys are removed faster than new ones are added


class RateLimiter:
    """The generic cell rate algorithm (GCRA): `rate` events per second for each key, and bursts of up to `burst`.

    The only state of a key is its theoretical arrival time. Once that time has passed, the key is idle and needs no
    state, so a flood of addresses leaves nothing behind. During a flood at most `max_keys` keys are kept; a new key
    replaces the one with the oldest event. The replaced key regains its burst, which the rate of its block bounds.

    After ITU-T I.371, annex A (virtual scheduling)."""

    def __init__(self, rate: float, burst: int, max_keys: int) -> None:
        self._interval_s = 1 / rate
        self._tolerance_s = (burst - 1) / rate
        self._max_keys = max_keys
        self._arrival_times: OrderedDict[bytes, float] = (
            OrderedDict()
        )  # theoretical arrival times, ordered by last event

    def __len__(self) -> int:
        return len(self._arrival_times)

    def wait(self, now: float, key: bytes) -> float:
        """Return the seconds until an event of this key conforms, or 0 if it conforms now. Changes nothing."""
        return max(0.0, self._arrival_times.get(key, now) - self._tolerance_s - now)

    def take(self, now: float, key: bytes) -> None:
        """Record a conforming event."""
        self._arrival_times[key] = max(self._arrival_times.pop(key, now), now) + self._interval_s
        self.forget(now, KEYS_CHECKED_PER_EVENT)
        if len(self._arrival_times) > self._max_keys:
            self._arrival_times.popitem(last=False)

    def forget(self, now: float, most: int) -> None:
        """Check up to `most` keys, oldest events first, and remove the idle ones."""
        for _ in range(most):
            key = next(iter(self._arrival_times), None)
            if key is None:
                return
            if self._arrival_times[key] > now:
                # After a long burst a key becomes idle late: check the other keys before this one again.
                self._arrival_times.move_to_end(key)
                continue
            del self._arrival_times[key]
