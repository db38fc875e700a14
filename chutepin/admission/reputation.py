"""Trust that addresses earn by their history of valid requests. Pure.

Times are seconds of the caller's clock, which never runs backwards."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(slots=True)
class AddressHistory:
    """Valid requests of an address."""

    first: float
    last: float
    count: int = 0  # of requests on connections that had carried one before


class Reputation:
    """Which addresses have earned trust.

    An address earns it by `requests` valid requests over at least `over` seconds. The first on each connection does
    not count, so a flood of one request a connection earns nothing. Trust ends `age` seconds after the last request,
    or immediately with malformed data, after which the address can't earn any for `age` seconds.

    Candidates, trusted and barred addresses are bounded by `max_addresses` each: a flood of candidates takes no trust
    from those that have it."""

    def __init__(self, requests: int, over: float, age: float, max_addresses: int) -> None:
        self._requests = requests
        self._over_s = over
        self._age_s = age
        self._max_addresses = max_addresses
        self._candidates: OrderedDict[bytes, AddressHistory] = OrderedDict()
        self._trusted: OrderedDict[bytes, AddressHistory] = OrderedDict()
        self._barred_at: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._candidates) + len(self._trusted) + len(self._barred_at)

    def is_earned(self, now: float, address: bytes) -> bool:
        """Whether the address has earned trust."""
        history = self._trusted.get(address)
        return history is not None and now - history.last <= self._age_s

    def record_valid(self, now: float, address: bytes) -> bool:
        """Record a valid request on a connection that had carried one; whether it has earned trust just now."""
        if not self._requests or self._is_barred(now, address):
            return False
        if self.is_earned(now, address):
            self._trusted[address].last = now
            self._trusted.move_to_end(address)
            return False
        self._trusted.pop(address, None)
        history = self._candidates.pop(address, None)
        if history is None or now - history.last > self._age_s:
            history = AddressHistory(now, now)
        history.last = now
        history.count += 1
        earned = history.count >= self._requests and now - history.first >= self._over_s
        addresses = self._trusted if earned else self._candidates
        addresses[address] = history
        if len(addresses) > self._max_addresses:
            addresses.popitem(last=False)
        return earned

    def record_malformed(self, now: float, address: bytes) -> bool:
        """Record malformed data; whether the address had earned trust, which it has lost."""
        if not self._requests:
            return False
        had_earned = self.is_earned(now, address)
        self._trusted.pop(address, None)
        self._candidates.pop(address, None)
        self._barred_at.pop(address, None)
        self._barred_at[address] = now
        if len(self._barred_at) > self._max_addresses:
            self._barred_at.popitem(last=False)
        return had_earned

    def forget(self, now: float, most: int) -> None:
        """Drop up to `most` addresses of each kind that have aged out."""
        for addresses in (self._candidates, self._trusted):
            for _ in range(most):
                oldest = next(iter(addresses), None)
                if oldest is None or now - addresses[oldest].last <= self._age_s:
                    break
                del addresses[oldest]
        for _ in range(most):
            oldest = next(iter(self._barred_at), None)
            if oldest is None or now - self._barred_at[oldest] <= self._age_s:
                break
            del self._barred_at[oldest]

    def _is_barred(self, now: float, address: bytes) -> bool:
        return self._barred_at.get(address, -self._age_s) + self._age_s > now
