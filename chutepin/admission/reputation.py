"""Trust that addresses earn by their history of valid requests.

No clock: times are seconds of the caller's monotonic clock."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(slots=True)
class AddressHistory:
    """The history of valid requests of an address."""

    first: float
    last: float
    count: int = 0  # requests, not counting the first on each connection


class Reputation:
    """Tracks which addresses have earned trust.

    An address earns trust by `min_requests` valid requests over at least `min_duration_s` seconds. The first request on
    each connection does not count, so a flood of connections with one request each earns no trust. Trust expires
    `max_age_s` seconds after the last request. Malformed data revokes it immediately and bars the address from earning
    trust for `max_age_s` seconds.

    Candidate, trusted and barred addresses are limited to `max_addresses` each, so that a flood of candidates can't
    displace trusted addresses."""

    def __init__(self, min_requests: int, min_duration_s: float, max_age_s: float, max_addresses: int) -> None:
        self._min_requests = min_requests
        self._min_duration_s = min_duration_s
        self._max_age_s = max_age_s
        self._max_addresses = max_addresses
        self._candidates: OrderedDict[bytes, AddressHistory] = OrderedDict()
        self._trusted: OrderedDict[bytes, AddressHistory] = OrderedDict()
        self._barred_at: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._candidates) + len(self._trusted) + len(self._barred_at)

    def is_earned(self, now: float, address: bytes) -> bool:
        """Return whether the address has earned trust."""
        history = self._trusted.get(address)
        return history is not None and now - history.last <= self._max_age_s

    def record_valid(self, now: float, address: bytes) -> bool:
        """Record a valid request other than the first on its connection; return whether it earned the address trust."""
        if not self._min_requests or self._is_barred(now, address):
            return False
        if self.is_earned(now, address):
            self._trusted[address].last = now
            self._trusted.move_to_end(address)
            return False
        self._trusted.pop(address, None)
        history = self._candidates.pop(address, None)
        if history is None or now - history.last > self._max_age_s:
            history = AddressHistory(now, now)
        history.last = now
        history.count += 1
        earned = history.count >= self._min_requests and now - history.first >= self._min_duration_s
        addresses = self._trusted if earned else self._candidates
        addresses[address] = history
        if len(addresses) > self._max_addresses:
            addresses.popitem(last=False)
        return earned

    def record_malformed(self, now: float, address: bytes) -> bool:
        """Record malformed data and revoke earned trust; return whether the address had any."""
        if not self._min_requests:
            return False
        had_trust = self.is_earned(now, address)
        self._trusted.pop(address, None)
        self._candidates.pop(address, None)
        self._barred_at.pop(address, None)
        self._barred_at[address] = now
        if len(self._barred_at) > self._max_addresses:
            self._barred_at.popitem(last=False)
        return had_trust

    def forget(self, now: float, most: int) -> None:
        """Remove up to `most` expired addresses of each kind."""
        for addresses in (self._candidates, self._trusted):
            for _ in range(most):
                oldest = next(iter(addresses), None)
                if oldest is None or now - addresses[oldest].last <= self._max_age_s:
                    break
                del addresses[oldest]
        for _ in range(most):
            oldest = next(iter(self._barred_at), None)
            if oldest is None or now - self._barred_at[oldest] <= self._max_age_s:
                break
            del self._barred_at[oldest]

    def _is_barred(self, now: float, address: bytes) -> bool:
        return self._barred_at.get(address, -self._max_age_s) + self._max_age_s > now
