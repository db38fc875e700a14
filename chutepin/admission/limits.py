"""What is remembered of addresses between connections, each with a bound and an end: rates and standing. Pure.

Times are seconds of the caller's clock, which never runs back."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


class Gcra:
    """The generic cell rate algorithm for many keys: `rate` events a second, of which `burst` may come at once.

    One number is kept for each key: when it would next be at rest. A key at rest needs none, so a flood of addresses
    leaves nothing behind once it is over; while it lasts `most` keys are kept, the one that is due first goes for a
    new one. That key then has its burst again, which the block's rate bounds.

    After ITU-T I.371, annex A (virtual scheduling)."""

    def __init__(self, rate: float, burst: int, most: int) -> None:
        self._step, self._slack, self._most = 1 / rate, (burst - 1) / rate, most
        self._due: OrderedDict[bytes, float] = OrderedDict()  # in the order of the last event

    def __len__(self) -> int:
        return len(self._due)

    def wait(self, now: float, key: bytes) -> float:
        """Seconds until an event of this key conforms; 0 if it does now. Takes nothing."""
        return max(0.0, self._due.get(key, now) - self._slack - now)

    def take(self, now: float, key: bytes) -> None:
        """An event that conforms has come."""
        due = max(self._due.pop(key, now), now) + self._step
        self._due[key] = due
        self.forget(now, 2)
        if len(self._due) > self._most:
            self._due.popitem(last=False)

    def forget(self, now: float, most: int) -> None:
        """Drop up to `most` keys that are at rest, those of the oldest events first."""
        for _ in range(most):
            key = next(iter(self._due), None)
            if key is None:
                return
            if self._due[key] > now:
                # Long bursts end late: look at the others before it is seen again.
                self._due.move_to_end(key)
                continue
            del self._due[key]


@dataclass(slots=True)
class Record:
    """What an address has done so far."""

    first: float
    last: float
    count: int = 0  # sound requests that came on a connection which had carried one before


class Standing:
    """Which addresses have earned standing: `requests` sound ones over at least `over` seconds, not counting the
    first on each connection, so that a flood of one request a connection earns nothing. It ends `age` seconds after
    the last one, or at once with malformed traffic, after which the address begins anew only `age` later.

    Candidates, those with standing, and the barred are bounded by `most` each, on their own: a flood of candidates
    takes no standing from those that have it."""

    def __init__(self, requests: int, over: float, age: float, most: int) -> None:
        self._requests, self._over, self._age, self._most = requests, over, age, most
        self._candidates: OrderedDict[bytes, Record] = OrderedDict()
        self._earned: OrderedDict[bytes, Record] = OrderedDict()
        self._barred: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._candidates) + len(self._earned) + len(self._barred)

    def holds(self, now: float, address: bytes) -> bool:
        """The address has standing."""
        record = self._earned.get(address)
        return record is not None and now - record.last <= self._age

    def sound(self, now: float, address: bytes) -> bool:
        """A sound request came on a connection that had carried one; whether that has earned standing just now."""
        if not self._requests or self._barred.get(address, -self._age) + self._age > now:
            return False
        record = self._earned.get(address)
        if record is not None and now - record.last <= self._age:
            record.last = now
            self._earned.move_to_end(address)
            return False
        self._earned.pop(address, None)
        record = self._candidates.pop(address, None)
        if record is None or now - record.last > self._age:
            record = Record(now, now)
        record.last, record.count = now, record.count + 1
        earned = record.count >= self._requests and now - record.first >= self._over
        table = self._earned if earned else self._candidates
        table[address] = record
        if len(table) > self._most:
            table.popitem(last=False)
        return earned

    def malformed(self, now: float, address: bytes) -> bool:
        """The address sent what can't be understood; whether it had standing, which is gone."""
        if not self._requests:
            return False
        had = self.holds(now, address)
        self._earned.pop(address, None)
        self._candidates.pop(address, None)
        self._barred.pop(address, None)
        self._barred[address] = now
        if len(self._barred) > self._most:
            self._barred.popitem(last=False)
        return had

    def forget(self, now: float, most: int) -> None:
        """Drop up to `most` of each kind that have aged out."""
        for table in (self._candidates, self._earned):
            for _ in range(most):
                key = next(iter(table), None)
                if key is None or now - table[key].last <= self._age:
                    break
                del table[key]
        for _ in range(most):
            key = next(iter(self._barred), None)
            if key is None or now - self._barred[key] <= self._age:
                break
            del self._barred[key]
