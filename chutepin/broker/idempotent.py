"""Idempotent requests: one run per key, with its result shared between the attempts of one request."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from ..counters import Counters
from ..decision import RequestClass
from ..facade import End, Report, RunEnded
from ..idempotency import IdempotencyTable
from .attempts import Attempt, OpenAttempts, Phase
from .requests import Request, fingerprint


class IdempotentRequests:
    """The link between open attempts and the table of keys: reservations, claims of runs, and shared results."""

    def __init__(
        self,
        table: IdempotencyTable,
        attempts: OpenAttempts,
        reports: deque[Report],
        classes: Mapping[str, RequestClass],
        counters: Counters,
    ) -> None:
        self._table = table
        self._attempts = attempts
        self._reports = reports
        self._classes = classes
        self._counters = counters

    def has_run(self, request: Request) -> bool:
        """Return whether an attempt of this request ran; no retry is then rejected, as a rejection denies any run."""
        record = self._table.find(request.key, request.arrived)
        return record is not None and record.has_run

    def is_awaited(self, attempt: Attempt) -> bool:
        """Return whether other attempts wait for the result of this attempt's run."""
        if not attempt.is_keyed:
            return False
        return self._table.is_awaited(attempt.request.key or "", attempt.request.id)

    def reserve(self, attempt: Attempt, expires_at: float) -> None:
        """Reserve the key of an attempt; take over the record of an older attempt that never ran."""
        request = attempt.request
        self._table.reserve(request.key or "", request.id, request.arrived, expires_at, fingerprint(request))

    def attempt_removed(self, request: Request) -> None:
        """Release the key of an attempt that is over, and end its wait for the run of another one.

        An id that stayed with the key would be held until that run ends, for each attempt that was withdrawn."""
        self._table.remove_waiter(request.key or "", request.id)
        self.release(request)

    def release(self, request: Request) -> None:
        """Release the key of an attempt that is over, if the attempt holds the key and never ran.

        The next attempt under the key is then a new request."""
        record = self._table.records.get(request.key or "")
        if record is None or record.holder_id != request.id or record.has_run or record.owned_by_peer:
            return
        self.answer_waiters(self._table.remove(record), End.NOT_STARTED, b"")

    def start_run(self, attempt: Attempt) -> bool:
        """Claim the run of an attempt's key; return false if the attempt must not run.

        A key runs at most once within its window, and only after its claim is certain to reach the peer process."""
        if not attempt.is_keyed:
            return True
        request = attempt.request
        key = request.key or ""
        record = self._table.records.get(key)
        may_run = record is not None and record.holder_id == request.id and not record.has_run
        if not self._counters.check_invariant(may_run, "one run a key"):
            return False
        window_s = max(self._classes[request.cls].window, request.min_key_lifetime_s)
        if self._table.start_run(key, request.id, request.arrived + window_s):
            return True
        self._counters.add("keys.peer_not_notified")
        record = self._table.records.get(key)
        if record is not None:
            self.answer_waiters(self._table.remove(record), End.NOT_STARTED, b"")
        self._attempts.reject(attempt)
        return False

    def finish_run(self, attempt: Attempt, end: End, result: bytes) -> None:
        """Record the outcome of an attempt's run and answer the attempts that waited for it."""
        if not attempt.is_keyed:
            return
        key = attempt.request.key or ""
        is_served = end is End.OK and key in self._table.records
        waiting_ids = self._table.finish_run(key, attempt.request.id, end, result)
        if is_served:
            self.answer_waiters(waiting_ids, End.OK, result)
        else:
            self.answer_waiters(waiting_ids, End.ERROR, b"")

    def share_result(self, attempt: Attempt) -> None:
        """Answer with the result of the key's run, now or when that run ends."""
        attempt.phase = Phase.SHARING_RESULT
        id = attempt.request.id
        record = self._table.records.get(attempt.request.key or "")
        if record is None:
            self._answer_waiter(id, End.ERROR, b"")
        elif record.outcome is not None:
            self._answer_waiter(id, record.outcome, record.result)
        else:
            record.waiting_ids.append(id)

    def answer_waiters(self, waiting_ids: list[str], end: End, result: bytes) -> None:
        """Answer the attempts that waited for a run."""
        for id in waiting_ids:
            self._answer_waiter(id, end, result)

    def remove_expired(self, now: float) -> None:
        """Remove records whose window is over, except those with a run in progress. The peer removes its own copies."""
        for record in self._table.expired(now, self._attempts.by_id.__contains__):
            self.answer_waiters(self._table.discard(record), End.ERROR, b"")

    def _answer_waiter(self, id: str, end: End, result: bytes) -> None:
        attempt = self._attempts.by_id.get(id)
        if attempt is None or not attempt.awaiting_response:
            return
        self._counters.add("answers.shared")
        if end is End.OK:
            self._attempts.serve(attempt, result)
        elif end is End.NOT_STARTED and attempt.request.is_deduplicated:
            self._attempts.reject(attempt)
        else:
            self._attempts.fail(attempt)
        self._reports.append(RunEnded(id, end))
