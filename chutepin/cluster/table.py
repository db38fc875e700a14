"""The members that are known, bounded. Pure; time is an argument.

It holds what was told and heard. What is to be made of it is decided in `view` and `detector`."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field

from .records import LIVE, Claim, Record, Status, judge

WINDOW = 256  # packets of one sender that may come out of their order


@dataclass(slots=True)
class Window:
    """Which packets of one life of a sender have come: none is taken in twice."""

    highest: int = -1
    seen: int = 0  # a bit for each of the last numbers

    def fresh(self, number: int) -> bool:
        """Take note of a number; false for one that came before or is too old to tell."""
        if number > self.highest:
            self.seen = (self.seen << min(number - self.highest, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.highest = number
            return True
        back = self.highest - number
        if back >= WINDOW or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True


@dataclass(slots=True)
class Member:
    """One other member."""

    record: Record
    since: float  # of its present state
    life: int = 0  # the process that spoke last
    heard: float = -math.inf  # its last packet that came directly
    scolded: float = -math.inf  # when it was last told that its life is over
    accusers: list[str] = field(default_factory=list)  # at this incarnation
    window: Window = field(default_factory=Window)


def digest_of(record: Record) -> int:
    """What a live record adds to the digest of a view. A suspicion adds nothing: it comes and goes by itself."""
    text = f"{record.name} {record.address} {record.region} {record.zone} {record.incarnation}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest())


class Table:
    """All other members by name."""

    def __init__(self, most: int, remember: float) -> None:
        """`most`: names, the gone included. `remember`: seconds for which the gone are known."""
        self._most, self._remember = most, remember
        self.members: dict[str, Member] = {}
        self.digest = 0  # of the live ones
        self.refused = 0  # names for which there was no room
        self._groups: dict[Status, dict[str, None]] = {status: {} for status in Status}
        self._live: list[str] | None = []

    def live(self) -> list[str]:
        """Names of all that are alive or suspect. Not to be changed."""
        if self._live is None:  # a suspicion that comes and goes costs nothing here, however large the table is
            self._live = [name for name, member in self.members.items() if member.record.live]
        return self._live

    def of(self, status: Status) -> list[str]:
        """Names of those in this state."""
        return list(self._groups[status])

    def put(self, now: float, record: Record) -> Claim:
        """Take in a record, if it holds against the known one; HELD also where there is no room."""
        member = self.members.get(record.name)
        if member is None:
            if not self._room(now):
                self.refused += 1
                return Claim.HELD
            self.members[record.name] = member = Member(record, now)
            self._account(None, record)
            return Claim.NEW
        old = member.record
        claim = judge(record, old)
        if claim is Claim.NEW:
            if record.status is not old.status:
                member.since = now
            if record.address != old.address:  # another process: nothing that was heard of the old one is its own
                member.life, member.heard, member.window = 0, -math.inf, Window()
            if (record.incarnation, record.address) != (old.incarnation, old.address) or not record.live:
                member.accusers = []
            member.record = record
            self._account(old, record)
        return claim

    def _account(self, old: Record | None, new: Record | None) -> None:
        """Keep groups, list and digest as the records are. An accusation changes neither of the last two."""
        was, lives = old is not None and old.status in LIVE, new is not None and new.status in LIVE
        if old is not None:
            del self._groups[old.status][old.name]
        if new is not None:
            self._groups[new.status][new.name] = None
        if was != lives:
            self._live = None
        if old is not None and new is not None and was and lives and old[:5] == new[:5]:
            return
        if old is not None and was:
            self.digest ^= digest_of(old)
        if new is not None and lives:
            self.digest ^= digest_of(new)

    def _room(self, now: float) -> bool:
        """Whether a name fits, without the oldest of the gone if need be."""
        if len(self.members) < self._most:
            return True
        gone = self.of(Status.DEAD) + self.of(Status.LEFT)
        if not gone:
            return False
        self.drop(min(gone, key=lambda name: self.members[name].since))
        return True

    def drop(self, name: str) -> None:
        """Forget a name."""
        self._account(self.members.pop(name).record, None)

    def aged(self, now: float) -> list[str]:
        """The gone that have been remembered long enough."""
        return [
            name
            for name in self.of(Status.DEAD) + self.of(Status.LEFT)
            if now - self.members[name].since > self._remember
        ]
