"""The table of connections that keeps the admission rules. Pure: no socket, no clock.

An address is trusted if the operator lists it or its history of valid requests has earned that; all others are
untrusted. A new connection meets the rules in this order:

1. Not listed: the rate of new connections, and the cap, of its address.
2. Untrusted: the same of its block, so that many addresses, each below its cap, are bounded together.
3. Untrusted: the share of the table for connections that have not sent a valid request yet.
4. The table: untrusted connections may not take the reserve. If there is no place, a connection is evicted.

Evicted is an idle connection that was opened or received a message more than `SETTLED_S` ago: the least trusted
first, and never one of more trust than the new connection; of those the ones that never sent a valid request, then
health checks, then others; of these the one that is idle for longest. A request may have arrived and not been read yet
on a connection that was active just now: closing it would lose the request.

Every step takes O(log n) time in the number of connections, amortised."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from .addresses import address_block, format_address, format_block
from .eviction import EvictionQueues, TrackedConnection
from .explanation import RuleExplanation, explain_rules
from .rates import RateLimiter
from .reputation import Reputation
from .rules import AdmissionResult, RejectionReason, Rules
from .trust import ClientTrust, ConnectionUsage

MAX_FORGOTTEN = 64  # addresses of each kind in one call


class TopConnections(NamedTuple):
    """Addresses, and blocks of untrusted ones, with the most connections."""

    addresses: list[tuple[str, int]]
    blocks: list[tuple[str, int]]


class ConnectionTable:
    """All connections of a listener. A connection is identified by a number of the caller's."""

    def __init__(self, rules: Rules, limit: int) -> None:
        self.rules = rules
        self.limit = limit
        self.entries: dict[int, TrackedConnection] = {}
        self.by_address: dict[bytes, set[int]] = {}
        self.by_block: Counter[bytes] = Counter()  # untrusted connections alone
        self.rejections: Counter[RejectionReason] = Counter()
        self.untrusted_count = 0
        self.new_count = 0  # untrusted connections without a valid request
        self.eviction_queues = EvictionQueues(self.entries)
        self._reputation = _reputation(rules)
        self._set_rates(rules)

    def apply(self, rules: Rules) -> None:
        """Use these rules from now on.

        Connections stay; their trust and blocks follow the new rules. Earned trust is kept unless it is earned
        differently now, rates begin anew."""
        old = self.rules
        self.rules = rules
        self._set_rates(rules)
        if _earning_settings(rules) != _earning_settings(old):
            self._reputation = _reputation(rules)
        self.by_block.clear()
        for connection in self.entries.values():
            connection.block = self._block_of(connection.address)
            if connection.trust is ClientTrust.UNTRUSTED:
                self.by_block[connection.block] += 1
        for address, keys in list(self.by_address.items()):
            self._update_trust(address, max((self.entries[key].last_active for key in keys), default=0.0))

    def _set_rates(self, rules: Rules) -> None:
        self._address_rate = _rate_limiter(rules.rate_address, rules.burst_address, rules)
        self._block_rate = _rate_limiter(rules.rate_block, rules.burst_block, rules)

    def trust_of(self, now: float, address: bytes) -> ClientTrust:
        """How well an address is known."""
        if address in self.rules.known or address in self.rules.relays:
            return ClientTrust.LISTED
        return ClientTrust.EARNED if self._reputation.is_earned(now, address) else ClientTrust.UNTRUSTED

    def judge(self, now: float, address: bytes) -> AdmissionResult:
        """What the result for a new connection would be now. Changes nothing."""
        trust = self.trust_of(now, address)
        if trust is not ClientTrust.LISTED and (rejected := self._check_address(now, address)) is not None:
            return rejected
        if trust is ClientTrust.UNTRUSTED:
            if (rejected := self._check_block(now, self._block_of(address))) is not None:
                return rejected
            if self.new_count >= self.rules.max_new(self.limit):
                return self._evict_or_reject(now, trust, (ConnectionUsage.NEW,), RejectionReason.NEW)
        if self._has_place(trust):
            return AdmissionResult()
        return self._evict_or_reject(now, trust, tuple(ConnectionUsage), RejectionReason.FULL)

    def _check_address(self, now: float, address: bytes) -> AdmissionResult | None:
        """A rejection by the rate or cap of the address, or None."""
        if self._address_rate is not None and (wait := self._address_rate.wait(now, address)) > 0:
            return AdmissionResult(RejectionReason.RATE_ADDRESS, retry_after_s=wait)
        if self.rules.per_address and len(self.by_address.get(address, ())) >= self.rules.per_address:
            return AdmissionResult(RejectionReason.CAP_ADDRESS)
        return None

    def _check_block(self, now: float, block: bytes) -> AdmissionResult | None:
        """A rejection by the rate or cap of the block, or None."""
        if self._block_rate is not None and (wait := self._block_rate.wait(now, block)) > 0:
            return AdmissionResult(RejectionReason.RATE_BLOCK, retry_after_s=wait)
        if self.rules.per_block and self.by_block[block] >= self.rules.per_block:
            return AdmissionResult(RejectionReason.CAP_BLOCK)
        return None

    def _evict_or_reject(
        self, now: float, trust: ClientTrust, usages: tuple[ConnectionUsage, ...], reason: RejectionReason
    ) -> AdmissionResult:
        evict = self.eviction_queues.first(now, trust, usages)
        return AdmissionResult(reason) if evict is None else AdmissionResult(evict=evict)

    def _has_place(self, trust: ClientTrust) -> bool:
        if len(self.entries) >= self.limit:
            return False
        return trust is not ClientTrust.UNTRUSTED or self.untrusted_count < self.limit - self.reserved

    @property
    def reserved(self) -> int:
        """Places that untrusted connections may not take."""
        return self.rules.reserved_places(self.limit)

    def evictable_below(self, now: float, address: bytes) -> int | None:
        """The connection to evict first among those of less trust than this address."""
        trust = self.trust_of(now, address)
        if trust is ClientTrust.UNTRUSTED:
            return None
        return self.eviction_queues.first(now, ClientTrust(trust - 1), tuple(ConnectionUsage))

    def admit(self, now: float, address: bytes) -> AdmissionResult:
        """As `judge`, and charges its rates, also for a connection that another rule than its rate rejects."""
        verdict = self.judge(now, address)
        if verdict.rejection is not None:
            self.rejections[verdict.rejection] += 1
        if verdict.rejection not in (RejectionReason.RATE_ADDRESS, RejectionReason.RATE_BLOCK):
            trust = self.trust_of(now, address)
            if self._address_rate is not None and trust is not ClientTrust.LISTED:
                self._address_rate.take(now, address)
            if self._block_rate is not None and trust is ClientTrust.UNTRUSTED:
                self._block_rate.take(now, self._block_of(address))
        return verdict

    def opened(self, key: int, now: float, address: bytes) -> None:
        """A connection that was admitted is open. One that was evicted for it has been closed before."""
        connection = TrackedConnection(
            key, address, self._block_of(address), self.trust_of(now, address), ConnectionUsage.NEW, now
        )
        self.entries[key] = connection
        self.by_address.setdefault(address, set()).add(key)
        self._count(connection, 1)
        self.eviction_queues.add(connection)

    def closed(self, key: int) -> None:
        """A connection is closed; nothing happens if it is not in the table."""
        connection = self.entries.pop(key, None)
        if connection is None:
            return
        self._count(connection, -1)
        keys = self.by_address[connection.address]
        keys.discard(key)
        if not keys:
            del self.by_address[connection.address]

    def message_received(self, key: int, now: float, usage: ConnectionUsage | None, open: bool) -> None:
        """A complete, valid message was received.

        `usage`: what the message uses the connection for; None says nothing of that. `open`: whether the connection
        has an open request now."""
        connection = self.entries.get(key)
        if connection is None:
            return
        first = connection.usage is ConnectionUsage.NEW
        # A connection that carries health checks counts as one, whatever else it carries.
        if usage is not None and (first or usage < connection.usage):
            self._count(connection, -1)
            connection.usage = usage
            self._count(connection, 1)
        connection.last_active = now
        connection.busy = open
        if not open:
            self.eviction_queues.add(connection)
        if not first and usage is ConnectionUsage.REQUESTS and connection.trust is not ClientTrust.LISTED:
            if self._reputation.record_valid(now, connection.address):
                self._update_trust(connection.address, now)

    def answered(self, key: int) -> None:
        """A connection has no open request any more. Its last activity stays what it was."""
        connection = self.entries.get(key)
        if connection is not None and connection.busy:
            connection.busy = False
            self.eviction_queues.add(connection)

    def malformed(self, key: int, now: float) -> None:
        """A connection received malformed data: its address loses the trust that it had earned."""
        connection = self.entries.get(key)
        if connection is not None and self._reputation.record_malformed(now, connection.address):
            self._update_trust(connection.address, now)

    def _block_of(self, address: bytes) -> bytes:
        return address_block(address, self.rules.block_v4, self.rules.block_v6)

    def _count(self, connection: TrackedConnection, change: int) -> None:
        if connection.trust is not ClientTrust.UNTRUSTED:
            return
        self.untrusted_count += change
        if connection.usage is ConnectionUsage.NEW:
            self.new_count += change
        self.by_block[connection.block] += change
        if not self.by_block[connection.block]:
            del self.by_block[connection.block]

    def _update_trust(self, address: bytes, now: float) -> None:
        """Give all connections of an address the trust that it has now."""
        trust = self.trust_of(now, address)
        for key in self.by_address.get(address, ()):
            connection = self.entries[key]
            self._count(connection, -1)
            connection.trust = trust
            self._count(connection, 1)
            if not connection.busy:
                self.eviction_queues.add(connection)

    def forget(self, now: float, most: int = MAX_FORGOTTEN) -> None:
        """Drop up to `most` remembered addresses of each kind that are at rest or have aged out."""
        for rate in (self._address_rate, self._block_rate):
            if rate is not None:
                rate.forget(now, most)
        self._reputation.forget(now, most)

    @property
    def remembered(self) -> int:
        """Addresses and blocks of which something is remembered besides connections."""
        rates = sum(len(rate) for rate in (self._address_rate, self._block_rate) if rate is not None)
        return rates + len(self._reputation)

    def top(self, most: int) -> TopConnections:
        """Addresses, and blocks of untrusted ones, with the most connections."""
        rules = self.rules
        by_address = Counter({address: len(keys) for address, keys in self.by_address.items()})
        return TopConnections(
            [(format_address(address), count) for address, count in by_address.most_common(most)],
            [
                (format_block(block, rules.block_v4, rules.block_v6), count)
                for block, count in self.by_block.most_common(most)
            ],
        )

    def explain(self, now: float, address: bytes) -> list[RuleExplanation]:
        """Which rules an address meets, and what each says of it now."""
        return explain_rules(self.rules, self.limit, address, self.trust_of(now, address))


def _rate_limiter(rate: float, burst: int, rules: Rules) -> RateLimiter | None:
    return RateLimiter(rate, burst, rules.remembered) if rate else None


def _earning_settings(rules: Rules) -> tuple[int, float, float, int]:
    return rules.earn_requests, rules.earn_over, rules.earned_age, rules.remembered


def _reputation(rules: Rules) -> Reputation:
    return Reputation(*_earning_settings(rules))
