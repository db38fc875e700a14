"""The connection table, which enforces the admission rules. No sockets, no clock.

An address is trusted if the operator lists it or if it has earned trust by valid requests; all others are untrusted.
The rules apply to a new connection in this order:

1. Unless listed: the connection rate and the connection cap of its address.
2. If untrusted: the rate and cap of its block, which bound many addresses that each stay below their own limits.
3. If untrusted: the share of the table for connections that have not sent a valid request yet.
4. The size of the table, less the reserve if untrusted. If there is no free place, a connection is evicted.

Only an idle connection that was opened and last active more than `SETTLED_S` ago is evicted, and never one with more
trust than the new connection. The order is: least trust first; then connections without a valid request, health checks,
others; then longest idle first. A recently active connection may have an unread request, which closing it would lose.

Each operation takes O(log n) amortised time in the number of connections."""

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

MAX_FORGOTTEN_PER_CALL = 64  # addresses of each kind per call of `forget`


class TopConnections(NamedTuple):
    """The addresses and the blocks of untrusted addresses with the most connections."""

    addresses: list[tuple[str, int]]
    blocks: list[tuple[str, int]]


class ConnectionTable:
    """All connections of a listener. The caller assigns each connection a unique integer key."""

    def __init__(self, rules: Rules, limit: int) -> None:
        self.rules = rules
        self.limit = limit
        self.entries: dict[int, TrackedConnection] = {}
        self.by_address: dict[bytes, set[int]] = {}
        self.by_block: Counter[bytes] = Counter()  # counts untrusted connections only
        self.rejections: Counter[RejectionReason] = Counter()
        self.untrusted_count = 0
        self.new_count = 0  # untrusted connections without a valid request
        self.eviction_queues = EvictionQueues(self.entries)
        self._reputation = _new_reputation(rules)
        self._set_rates(rules)

    def apply(self, rules: Rules) -> None:
        """Replace the rules.

        Open connections are kept; their trust and blocks are recomputed. Earned trust is kept unless the settings for
        earning it change. Rate limiters start empty."""
        old = self.rules
        self.rules = rules
        self._set_rates(rules)
        if _earning_settings(rules) != _earning_settings(old):
            self._reputation = _new_reputation(rules)
        self.by_block.clear()
        for connection in self.entries.values():
            connection.block = self._block_of(connection.address)
            if connection.trust is ClientTrust.UNTRUSTED:
                self.by_block[connection.block] += 1
        for address, keys in list(self.by_address.items()):
            self._update_trust(address, max((self.entries[key].last_active for key in keys), default=0.0))

    def _set_rates(self, rules: Rules) -> None:
        self._address_rate = _new_rate_limiter(rules.rate_address, rules.burst_address, rules)
        self._block_rate = _new_rate_limiter(rules.rate_block, rules.burst_block, rules)

    def trust_of(self, now: float, address: bytes) -> ClientTrust:
        """Return the trust of an address."""
        if address in self.rules.known or address in self.rules.relays:
            return ClientTrust.LISTED
        return ClientTrust.EARNED if self._reputation.is_earned(now, address) else ClientTrust.UNTRUSTED

    def evaluate(self, now: float, address: bytes) -> AdmissionResult:
        """Return the result that `admit` would give a new connection now. Changes nothing."""
        trust = self.trust_of(now, address)
        if trust is not ClientTrust.LISTED and (rejection_result := self._check_address(now, address)) is not None:
            return rejection_result
        if trust is ClientTrust.UNTRUSTED:
            if (rejection_result := self._check_block(now, self._block_of(address))) is not None:
                return rejection_result
            if self.new_count >= self.rules.max_new(self.limit):
                return self._evict_or_reject(now, trust, (ConnectionUsage.NEW,), RejectionReason.NEW)
        if self._has_place(trust):
            return AdmissionResult()
        return self._evict_or_reject(now, trust, tuple(ConnectionUsage), RejectionReason.FULL)

    def _check_address(self, now: float, address: bytes) -> AdmissionResult | None:
        """Return a rejection by the rate or cap of the address, or None."""
        if self._address_rate is not None and (wait := self._address_rate.wait(now, address)) > 0:
            return AdmissionResult(RejectionReason.RATE_ADDRESS, retry_after_s=wait)
        if self.rules.per_address and len(self.by_address.get(address, ())) >= self.rules.per_address:
            return AdmissionResult(RejectionReason.CAP_ADDRESS)
        return None

    def _check_block(self, now: float, block: bytes) -> AdmissionResult | None:
        """Return a rejection by the rate or cap of the block, or None."""
        if self._block_rate is not None and (wait := self._block_rate.wait(now, block)) > 0:
            return AdmissionResult(RejectionReason.RATE_BLOCK, retry_after_s=wait)
        if self.rules.per_block and self.by_block[block] >= self.rules.per_block:
            return AdmissionResult(RejectionReason.CAP_BLOCK)
        return None

    def _evict_or_reject(
        self, now: float, trust: ClientTrust, usages: tuple[ConnectionUsage, ...], reason: RejectionReason
    ) -> AdmissionResult:
        evict = self.eviction_queues.first_evictable(now, trust, usages)
        return AdmissionResult(reason) if evict is None else AdmissionResult(evict=evict)

    def _has_place(self, trust: ClientTrust) -> bool:
        if len(self.entries) >= self.limit:
            return False
        return trust is not ClientTrust.UNTRUSTED or self.untrusted_count < self.limit - self.reserved

    @property
    def reserved(self) -> int:
        """Number of places reserved for trusted clients."""
        return self.rules.reserved_places(self.limit)

    def evictable_below(self, now: float, address: bytes) -> int | None:
        """Return the first connection to evict of less trust than this address, or None."""
        trust = self.trust_of(now, address)
        if trust is ClientTrust.UNTRUSTED:
            return None
        return self.eviction_queues.first_evictable(now, ClientTrust(trust - 1), tuple(ConnectionUsage))

    def admit(self, now: float, address: bytes) -> AdmissionResult:
        """Apply the rules to a new connection. Its rates are charged unless a rate limit rejects it."""
        result = self.evaluate(now, address)
        if result.rejection is not None:
            self.rejections[result.rejection] += 1
        if result.rejection not in (RejectionReason.RATE_ADDRESS, RejectionReason.RATE_BLOCK):
            trust = self.trust_of(now, address)
            if self._address_rate is not None and trust is not ClientTrust.LISTED:
                self._address_rate.take(now, address)
            if self._block_rate is not None and trust is ClientTrust.UNTRUSTED:
                self._block_rate.take(now, self._block_of(address))
        return result

    def opened(self, key: int, now: float, address: bytes) -> None:
        """Add an admitted connection. A connection evicted for it must have been removed by `closed` before."""
        connection = TrackedConnection(
            key, address, self._block_of(address), self.trust_of(now, address), ConnectionUsage.NEW, now
        )
        self.entries[key] = connection
        self.by_address.setdefault(address, set()).add(key)
        self._count(connection, 1)
        self.eviction_queues.add(connection)

    def closed(self, key: int) -> None:
        """Remove a connection; do nothing if it is not in the table."""
        connection = self.entries.pop(key, None)
        if connection is None:
            return
        self._count(connection, -1)
        keys = self.by_address[connection.address]
        keys.discard(key)
        if not keys:
            del self.by_address[connection.address]

    def message_received(self, key: int, now: float, usage: ConnectionUsage | None, open: bool) -> None:
        """Record a complete, valid message.

        `usage` is the usage that the message implies, or None. `open` is whether the connection has an open request
        after it."""
        connection = self.entries.get(key)
        if connection is None:
            return
        first = connection.usage is ConnectionUsage.NEW
        # A connection that carries health checks is classed as CHECKS, whatever else it carries.
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
        """Mark a connection idle after its last open request. This does not count as activity."""
        connection = self.entries.get(key)
        if connection is not None and connection.busy:
            connection.busy = False
            self.eviction_queues.add(connection)

    def malformed(self, key: int, now: float) -> None:
        """Revoke the earned trust of a connection's address, as it sent malformed data."""
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
        """Recompute the trust of all connections of an address."""
        trust = self.trust_of(now, address)
        for key in self.by_address.get(address, ()):
            connection = self.entries[key]
            self._count(connection, -1)
            connection.trust = trust
            self._count(connection, 1)
            if not connection.busy:
                self.eviction_queues.add(connection)

    def forget(self, now: float, most: int = MAX_FORGOTTEN_PER_CALL) -> None:
        """Remove up to `most` remembered addresses of each kind that are idle or expired."""
        for rate in (self._address_rate, self._block_rate):
            if rate is not None:
                rate.forget(now, most)
        self._reputation.forget(now, most)

    @property
    def remembered(self) -> int:
        """Number of addresses and blocks in the rate limiters and the reputation."""
        rates = sum(len(rate) for rate in (self._address_rate, self._block_rate) if rate is not None)
        return rates + len(self._reputation)

    def top(self, most: int) -> TopConnections:
        """Return the addresses and the blocks of untrusted addresses with the most connections."""
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
        """Return which rules apply to an address now, with the effect of each."""
        return explain_rules(self.rules, self.limit, address, self.trust_of(now, address))


def _new_rate_limiter(rate: float, burst: int, rules: Rules) -> RateLimiter | None:
    return RateLimiter(rate, burst, rules.remembered) if rate else None


def _earning_settings(rules: Rules) -> tuple[int, float, float, int]:
    return rules.earn_requests, rules.earn_over, rules.earned_age, rules.remembered


def _new_reputation(rules: Rules) -> Reputation:
    return Reputation(*_earning_settings(rules))
