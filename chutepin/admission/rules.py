"""The rules of admission and the table of connections that they keep. Pure: no socket, no clock.

Every step costs O(log n) in the number of connections, amortised. An address is known if the operator lists it, or has
earned standing; the rest are strangers. The rules in the order in which a newcomer meets them:

1. Strangers and the earned: the rate of new connections, and the cap, of its address.
2. Strangers: the same of its block, so that many addresses, each under its cap, are bounded together.
3. Strangers: the share of the table for connections that have not sent a sound request yet.
4. The table: strangers may not take the reserve. Where there is no room, the connection of least use makes it.

Least use: of those with nothing open that came or spoke no later than `settled` seconds ago, strangers before the
earned before the listed, and never one that ranks above the newcomer; of a rank those that never sent a sound
request, then health checks, then idle ones; of these the one that is silent for longest. A request may be there and
not read yet on one that spoke just now: closing that would lose it."""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from .addresses import Networks, block, show, show_block
from .limits import Gcra, Standing

SETTLED = 0.5  # seconds


class Rank(IntEnum):
    """How well an address is known."""

    STRANGER = 0
    EARNED = 1
    LISTED = 2


class Use(IntEnum):
    """What a connection has been good for; the least is the first to go."""

    NEW = 0  # no sound request yet
    CHECKS = 1  # health checks
    REQUESTS = 2


class Reason(Enum):
    """Why a newcomer is turned away; each is a counter `admission.refused.…`."""

    RATE_ADDRESS = "rate_address"
    RATE_BLOCK = "rate_block"
    CAP_ADDRESS = "cap_address"
    CAP_BLOCK = "cap_block"
    NEW = "new"
    FULL = "full"
    DESCRIPTORS = "descriptors"  # the process has none left


@dataclass(frozen=True, slots=True)
class Rules:
    """An operator's settings. 0 switches a cap, a rate, the share of the new or earning off; so do the defaults."""

    per_address: int = 0  # connections
    per_block: int = 0
    block_v4: int = 24  # bits
    block_v6: int = 64
    rate_address: float = 0.0  # new connections a second
    burst_address: int = 10
    rate_block: float = 0.0
    burst_block: int = 50
    new_share: float = 1.0  # part of the table for strangers that have not sent a sound request
    reserve: float = 0.0  # part of the table that strangers may not take
    known: Networks = field(default_factory=Networks)
    relays: Networks = field(default_factory=Networks)  # who tells the true address by the PROXY protocol
    earn_requests: int = 0
    earn_over: float = 10.0  # seconds
    earned_age: float = 3600.0  # seconds
    remembered: int = 4096  # addresses, of each kind of memory


@dataclass(slots=True)
class Entry:
    """A connection in the table."""

    key: int
    address: bytes
    block: bytes
    rank: Rank
    use: Use
    last: float  # when it came or spoke last
    open: bool = False  # it has a request in hand


@dataclass(frozen=True, slots=True)
class Verdict:
    """What becomes of a newcomer: refused for a reason, or taken, in the place of `evict` if that is set."""

    refused: Reason | None = None
    evict: int | None = None
    wait: float = 0.0  # seconds after which its rate would allow it


class Table:
    """All connections of a front. A connection is known by a number of the caller's."""

    def __init__(self, rules: Rules, limit: int) -> None:
        self.limit = limit
        self.entries: dict[int, Entry] = {}
        self.by_address: dict[bytes, set[int]] = {}
        self.by_block: Counter[bytes] = Counter()  # strangers alone
        self.refused: Counter[Reason] = Counter()
        self._strangers = self._new = 0  # connections of strangers; and of these, without a sound request
        # A heap for each rank and use, of what could be closed by when it spoke last. What has changed since it was
        # entered is known by its entry and dropped when it comes to the front.
        self._queues: dict[tuple[Rank, Use], list[tuple[float, int]]] = {
            (rank, use): [] for rank in Rank for use in Use
        }
        self._standing = Standing(0, 0, 0, 0)
        self.apply(rules)

    def apply(self, rules: Rules) -> None:
        """Go by these rules from now on. Connections stay; their ranks and blocks follow the new lists. Standing is
        kept unless it is earned differently now, rates begin anew."""
        old = getattr(self, "rules", None)
        self.rules = rules
        most = rules.remembered
        self._rate_address = Gcra(rules.rate_address, rules.burst_address, most) if rules.rate_address else None
        self._rate_block = Gcra(rules.rate_block, rules.burst_block, most) if rules.rate_block else None
        earning = (rules.earn_requests, rules.earn_over, rules.earned_age, most)
        if old is None or earning != (old.earn_requests, old.earn_over, old.earned_age, old.remembered):
            self._standing = Standing(*earning)
        self.by_block.clear()
        for entry in self.entries.values():
            entry.block = block(entry.address, rules.block_v4, rules.block_v6)
            if entry.rank is Rank.STRANGER:
                self.by_block[entry.block] += 1
        for address in list(self.by_address):
            self._rank_anew(address, max((self.entries[key].last for key in self.by_address[address]), default=0.0))

    # --- a newcomer ---

    def rank(self, now: float, address: bytes) -> Rank:
        """How well an address is known."""
        if address in self.rules.known or address in self.rules.relays:
            return Rank.LISTED
        return Rank.EARNED if self._standing.holds(now, address) else Rank.STRANGER

    def judge(self, now: float, address: bytes) -> Verdict:
        """What would become of a newcomer now. Changes nothing."""
        rank = self.rank(now, address)
        rules, name = self.rules, block(address, self.rules.block_v4, self.rules.block_v6)
        if rank is not Rank.LISTED:
            if self._rate_address is not None and (wait := self._rate_address.wait(now, address)) > 0:
                return Verdict(Reason.RATE_ADDRESS, wait=wait)
            if rules.per_address and len(self.by_address.get(address, ())) >= rules.per_address:
                return Verdict(Reason.CAP_ADDRESS)
        if rank is Rank.STRANGER:
            if self._rate_block is not None and (wait := self._rate_block.wait(now, name)) > 0:
                return Verdict(Reason.RATE_BLOCK, wait=wait)
            if rules.per_block and self.by_block[name] >= rules.per_block:
                return Verdict(Reason.CAP_BLOCK)
            if self._new >= max(1, int(rules.new_share * self.limit)):
                newest = self._least(now, Rank.STRANGER, (Use.NEW,))
                return Verdict(evict=newest) if newest is not None else Verdict(Reason.NEW)
        if self._has_room(rank):
            return Verdict()
        least = self._least(now, rank, tuple(Use))
        return Verdict(evict=least) if least is not None else Verdict(Reason.FULL)

    def _has_room(self, rank: Rank) -> bool:
        if len(self.entries) >= self.limit:
            return False
        return rank is not Rank.STRANGER or self._strangers < self.limit - self.reserved

    @property
    def reserved(self) -> int:
        """Places that strangers may not take."""
        return min(self.limit - 1, int(self.rules.reserve * self.limit))

    def _least(self, now: float, most: Rank, uses: tuple[Use, ...]) -> int | None:
        """The connection of least use that may go for a newcomer of this rank."""
        for rank in Rank:
            if rank > most:
                break
            for use in uses:
                queue = self._queues[rank, use]
                while queue and not self._queued(rank, use, *queue[0]):
                    heapq.heappop(queue)
                if queue and queue[0][0] < now - SETTLED:
                    return queue[0][1]
        return None

    def _queued(self, rank: Rank, use: Use, last: float, key: int) -> bool:
        """What a heap says of a connection is so still."""
        entry = self.entries.get(key)
        return entry is not None and not entry.open and (entry.rank, entry.use, entry.last) == (rank, use, last)

    def _enqueue(self, entry: Entry) -> None:
        """It could be closed, should room be needed."""
        queue = self._queues[entry.rank, entry.use]
        heapq.heappush(queue, (entry.last, entry.key))
        if len(queue) > 2 * len(self.entries) + 64:  # guards memory where nothing ever needs room
            queue[:] = sorted({item for item in queue if self._queued(entry.rank, entry.use, *item)})

    def least_below(self, now: float, address: bytes) -> int | None:
        """The connection of least use that ranks below this address."""
        rank = self.rank(now, address)
        return self._least(now, Rank(rank - 1), tuple(Use)) if rank else None

    def admit(self, now: float, address: bytes) -> Verdict:
        """As `judge`, and its rates are charged, also for one that is refused for another reason than its rate."""
        verdict = self.judge(now, address)
        if verdict.refused is not None:
            self.refused[verdict.refused] += 1
        if verdict.refused not in (Reason.RATE_ADDRESS, Reason.RATE_BLOCK):
            rank = self.rank(now, address)
            if self._rate_address is not None and rank is not Rank.LISTED:
                self._rate_address.take(now, address)
            if self._rate_block is not None and rank is Rank.STRANGER:
                self._rate_block.take(now, block(address, self.rules.block_v4, self.rules.block_v6))
        return verdict

    # --- what happens on connections ---

    def opened(self, key: int, now: float, address: bytes) -> None:
        """A connection that was admitted, after the one that made room for it was closed."""
        rank = self.rank(now, address)
        entry = Entry(key, address, block(address, self.rules.block_v4, self.rules.block_v6), rank, Use.NEW, now)
        self.entries[key] = entry
        self.by_address.setdefault(address, set()).add(key)
        self._count(entry, 1)
        self._enqueue(entry)

    def closed(self, key: int) -> None:
        """It is no more; nothing happens if it is not in the table."""
        entry = self.entries.pop(key, None)
        if entry is None:
            return
        self._count(entry, -1)
        keys = self.by_address[entry.address]
        keys.discard(key)
        if not keys:
            del self.by_address[entry.address]

    def spoke(self, key: int, now: float, use: Use | None, open: bool) -> None:
        """A whole, sound message came; `open` tells whether the connection has a request in hand now. A `use` of
        None proves nothing of what the connection is good for."""
        entry = self.entries.get(key)
        if entry is None:
            return
        first = entry.use is Use.NEW
        if use is not None and (first or use < entry.use):  # once it carries health checks it counts as one that does
            self._count(entry, -1)
            entry.use = use
            self._count(entry, 1)
        entry.last, entry.open = now, open
        if not open:
            self._enqueue(entry)
        if not first and use is Use.REQUESTS and entry.rank is not Rank.LISTED:
            if self._standing.sound(now, entry.address):
                self._rank_anew(entry.address, now)

    def answered(self, key: int) -> None:
        """Nothing is open on it any more. It is as long silent as before."""
        entry = self.entries.get(key)
        if entry is not None and entry.open:
            entry.open = False
            self._enqueue(entry)

    def malformed(self, key: int, now: float) -> None:
        """It sent what can't be understood: its address loses the standing that it had earned."""
        entry = self.entries.get(key)
        if entry is not None and self._standing.malformed(now, entry.address):
            self._rank_anew(entry.address, now)

    def _count(self, entry: Entry, by: int) -> None:
        if entry.rank is Rank.STRANGER:
            self._strangers += by
            self._new += by * (entry.use is Use.NEW)
            self.by_block[entry.block] += by
            if not self.by_block[entry.block]:
                del self.by_block[entry.block]

    def _rank_anew(self, address: bytes, now: float) -> None:
        """All connections of an address take the rank that it has now."""
        rank = self.rank(now, address)
        for key in self.by_address.get(address, ()):
            entry = self.entries[key]
            self._count(entry, -1)
            entry.rank = rank
            self._count(entry, 1)
            if not entry.open:
                self._enqueue(entry)

    # --- housekeeping and the operator's view ---

    def forget(self, now: float, most: int = 64) -> None:
        """Drop up to `most` remembered addresses of each kind that are at rest or have aged out."""
        for rate in (self._rate_address, self._rate_block):
            if rate is not None:
                rate.forget(now, most)
        self._standing.forget(now, most)

    @property
    def remembered(self) -> int:
        """Addresses and blocks of which something is kept besides connections."""
        rates = sum(len(rate) for rate in (self._rate_address, self._rate_block) if rate is not None)
        return rates + len(self._standing)

    def top(self, most: int) -> tuple[list[tuple[str, int]], list[tuple[str, int]]]:
        """Addresses and blocks of strangers with the most connections."""
        addresses = Counter({address: len(keys) for address, keys in self.by_address.items()}).most_common(most)
        rules = self.rules
        return (
            [(show(address), count) for address, count in addresses],
            [
                (show_block(name, rules.block_v4, rules.block_v6), count)
                for name, count in self.by_block.most_common(most)
            ],
        )

    def explain(self, now: float, address: bytes) -> list[tuple[str, str]]:
        """Which rules an address meets, and what each says of it now."""
        rules, rank = self.rules, self.rank(now, address)
        name = block(address, rules.block_v4, rules.block_v6)

        def rule(applies: bool, setting: float, text: str) -> str:
            return "does not apply to it" if not applies else "off" if not setting else text

        known, stranger = rank is not Rank.LISTED, rank is Rank.STRANGER
        return [
            ("address", show(address)),
            ("block", show_block(name, rules.block_v4, rules.block_v6)),
            (
                "rank",
                {
                    Rank.LISTED: "listed by the operator",
                    Rank.EARNED: "earned by sound requests",
                    Rank.STRANGER: "stranger",
                }[rank],
            ),
            (
                "rate of its address",
                rule(known, rules.rate_address, f"{rules.rate_address:g} a second, {rules.burst_address} at once"),
            ),
            ("cap of its address", rule(known, rules.per_address, f"{rules.per_address} connections")),
            (
                "rate of its block",
                rule(stranger, rules.rate_block, f"{rules.rate_block:g} a second, {rules.burst_block} at once"),
            ),
            ("cap of its block", rule(stranger, rules.per_block, f"{rules.per_block} connections")),
            (
                "share of the new",
                rule(
                    stranger,
                    rules.new_share < 1,
                    f"{max(1, int(rules.new_share * self.limit))} connections of strangers that have "
                    "not sent a sound request",
                ),
            ),
            (
                "table",
                f"{self.limit} connections"
                if not stranger
                else f"{self.limit - self.reserved} of {self.limit} connections, the rest is kept for the known",
            ),
            (
                "earning",
                rule(
                    known,
                    rules.earn_requests,
                    f"{rules.earn_requests} sound requests over {rules.earn_over:g} s, the first on each "
                    f"connection not counted; kept for {rules.earned_age:g} s",
                ),
            ),
        ]
