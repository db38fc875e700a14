"""The exchange of keys, usage and learned statistics with the peer process during an upgrade."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..clock import Clock
from ..counters import Counters
from ..facade import End
from ..idempotency import IdempotencyRecord, IdempotencyTable, KeyRequest
from .attempts import Attempt, OpenAttempts, Phase
from .decisions import DecisionQueue
from .idempotent import IdempotentRequests
from .recent_runs import RecentRuns
from .requests import fingerprint


class PeerExchange:
    """The peer process's keys, usage and statistics, applied to the broker of this process."""

    def __init__(
        self,
        table: IdempotencyTable,
        idempotent: IdempotentRequests,
        attempts: OpenAttempts,
        decisions: DecisionQueue,
        recent_runs: RecentRuns,
        clock: Clock,
        counters: Counters,
        request_admission: Callable[[Attempt, IdempotencyRecord | None], None],
    ) -> None:
        """Create the exchange. `request_admission`: passes an attempt with a granted key to the decision module."""
        self._table = table
        self._idempotent = idempotent
        self._attempts = attempts
        self._decisions = decisions
        self._recent_runs = recent_runs
        self._clock = clock
        self._counters = counters
        self._request_admission = request_admission

    @property
    def usage(self) -> tuple[int, float]:
        """Return the decision module's count of runs on the cores or about to resume, and of the memory in KB."""
        return self._decisions.facade.usage

    def set_peer_usage(self, running: int, memory_kb: float) -> None:
        """Deduct the usage of the peer process from this process's capacity."""
        facade = self._decisions.facade
        self._decisions.run(lambda: facade.set_peer_usage(self._clock.now(), running, memory_kb))

    def runs_started(self, ids: Sequence[str]) -> None:
        """Record the ids of requests that the peer process runs."""
        self._recent_runs.started_at_peer(ids, self._clock.now())

    def learned(self) -> dict[str, object]:
        """Return the learned statistics of the decision module as JSON values."""
        return self._decisions.facade.learned()

    def adopt(self, learned: dict[str, object]) -> None:
        """Adopt the learned statistics of another process; count and ignore them if they do not fit the settings.

        A mismatch breaks no invariant: the other process may have another version or other settings."""
        if not self._decisions.facade.adopt(learned):
            self._counters.add("handover.statistics_rejected")

    def key_replied(self, id: str, key: str, is_granted: bool) -> None:
        """Apply the answer to `PeerProcess.request_key`: admit the request, share its record's result, or reject it."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None or attempt.phase is not Phase.REQUESTING_KEY:
            if is_granted and self._table.find(key, 0.0) is None:
                self._table.replicate(key, None)  # no attempt needs the key any more, so the peer may remove it
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
        self._request_admission(attempt, record)
        if key not in self._table.records:
            self._table.replicate(key, None)  # the request was rejected, so the peer may remove the key

    def peer_requests_key(self, request: KeyRequest) -> bool:
        """Grant a key to the peer process unless the key is known here; return false if the table has no room."""
        now = self._clock.now()
        if self._table.find(request.key, now) is not None:
            return True
        # A record is kept past its window for attempts that arrived within the window and are read late.
        if self._table.is_full or request.key in self._table.records:
            return False
        record = IdempotencyRecord(request.key, request.request_id, request.expires_at, request.fingerprint)
        self._table.apply_from_peer(record, now)
        return True

    def peer_record_changed(self, record: IdempotencyRecord) -> None:
        """Apply a record of the peer process."""
        waiting_ids = self._table.apply_from_peer(record, self._clock.now())
        self._idempotent.answer_waiters(waiting_ids, record.outcome or End.ERROR, record.result)
        self._decisions.run()

    def peer_key_removed(self, key: str) -> None:
        """Apply the removal of a key by the peer process."""
        self._idempotent.answer_waiters(self._table.remove_from_peer(key), End.ERROR, b"")
        self._decisions.run()

    def peer_lost(self) -> None:
        """Process the end of the peer: leave its runs in doubt and reject attempts that wait for its keys."""
        self._idempotent.answer_waiters(self._table.peer_lost(), End.ERROR, b"")
        waiting = [attempt for attempt in self._attempts.by_id.values() if attempt.phase is Phase.REQUESTING_KEY]
        for attempt in waiting:
            self._attempts.reject(attempt)
        self.set_peer_usage(0, 0.0)
