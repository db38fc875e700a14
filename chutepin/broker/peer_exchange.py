"""What the node's other process and this one's broker have of each other during an upgrade."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..counters import Counters
from ..facade import End
from ..idempotency import IdempotencyRecord, IdempotencyTable, KeyRequest
from .attempts import Attempt, OpenAttempts, Phase
from .decisions import DecisionQueue
from .idempotent import IdempotentRequests
from .requests import fingerprint


class PeerExchange:
    """Applies the other process's keys, usage and statistics to the broker."""

    def __init__(
        self,
        table: IdempotencyTable,
        idempotent: IdempotentRequests,
        attempts: OpenAttempts,
        decisions: DecisionQueue,
        clock: Clock,
        counters: Counters,
        offer: Callable[[Attempt, IdempotencyRecord | None], None],
    ) -> None:
        """`offer` lets the decision module decide about an attempt whose key was granted."""
        self._table = table
        self._idempotent = idempotent
        self._attempts = attempts
        self._decisions = decisions
        self._clock = clock
        self._counters = counters
        self._offer = offer

    @property
    def usage(self) -> tuple[int, float]:
        """Runs on the cores or coming back to them, and memory of all requests in KB, by the module's count."""
        return self._decisions.facade.use

    def set_peer_usage(self, running: int, memory_kb: float) -> None:
        """Take what the other process uses as capacity that is not there."""
        facade = self._decisions.facade
        self._decisions.run(lambda: facade.set_peer_usage(self._clock.now(), running, memory_kb))

    def learned(self) -> dict[str, object]:
        """Return what the decision module has learned, as JSON knows it."""
        return self._decisions.facade.learned()

    def adopt(self, learned: dict[str, object]) -> None:
        """Begin with what another process's module had learned. What does not fit this one's settings is left.

        That is no invariant of this process: the other one may be of another version or have other settings."""
        if not self._decisions.facade.adopt(learned):
            self._counters.add("handover.statistics_rejected")

    def key_replied(self, id: str, key: str, is_granted: bool) -> None:
        """Apply the answer to `PeerProcess.request_key`: the key may be taken, or its record came before."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None or attempt.phase is not Phase.REQUESTING_KEY:
            if is_granted and self._table.find(key, 0.0) is None:
                self._table.replicate(key, None)  # no attempt wants it any more
            return
        if not is_granted:
            self._counters.add("keys.not_granted")
            self._attempts.reject(attempt)
            return
        attempt.phase = Phase.QUEUED
        record = self._table.find(key, attempt.request.arrived)
        if record is not None and record.fingerprint != fingerprint(attempt.request):
            self._counters.add("requests.malformed")
            self._attempts.fail(attempt)
            return
        self._offer(attempt, record)
        if key not in self._table.records:
            self._table.replicate(key, None)  # the decision module has rejected the request

    def peer_requests_key(self, request: KeyRequest) -> bool:
        """Give the other process a key, unless it is known here; false where there is no room for it."""
        now = self._clock.now()
        if self._table.find(request.key, now) is not None:
            return True
        # A record whose window is over stays for attempts that came within it and are read late.
        if self._table.is_full or request.key in self._table.records:
            return False
        record = IdempotencyRecord(request.key, request.request_id, request.expires_at, request.fingerprint)
        self._table.apply_from_peer(record, now)
        return True

    def peer_record_changed(self, record: IdempotencyRecord) -> None:
        """Apply a record of the other process."""
        waiting_ids = self._table.apply_from_peer(record, self._clock.now())
        self._idempotent.answer_waiters(waiting_ids, record.outcome or End.ERROR, record.result)
        self._decisions.run()

    def peer_key_removed(self, key: str) -> None:
        """Apply the removal of a key by the other process."""
        self._idempotent.answer_waiters(self._table.remove_from_peer(key), End.ERROR, b"")
        self._decisions.run()

    def peer_lost(self) -> None:
        """Settle the end of the other process: its runs stay in doubt, requests for its keys are rejected."""
        self._idempotent.answer_waiters(self._table.peer_lost(), End.ERROR, b"")
        requesting = [attempt for attempt in self._attempts.by_id.values() if attempt.phase is Phase.REQUESTING_KEY]
        for attempt in requesting:
            self._attempts.reject(attempt)
        self.set_peer_usage(0, 0.0)
