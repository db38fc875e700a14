"""Idempotent requests: keys reserved, run once, and results shared between the attempts of one request."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from ..counters import Counters
from ..decision import Idempotency, RequestClass
from ..facade import End, Report, RunEnded
from ..idempotency import IdempotencyTable
from .attempts import Attempt, OpenAttempts, Phase
from .requests import Request, fingerprint


class IdempotentRequests:
    """Applies what becomes of attempts to the table of keys, and outcomes of runs to the attempts that wait."""

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
        """Some attempt of this request ran: then none is rejected, as that says that none had."""
        record = self._table.find(request.key, request.arrived)
        return record is not None and record.has_run

    def reserve(self, attempt: Attempt, expires_at: float) -> None:
        """Reserve the key of an attempt; a record that never ran passes to it from an older one."""
        request = attempt.request
        self._table.reserve(request.key or "", request.id, request.arrived, expires_at, fingerprint(request))

    def release(self, request: Request) -> None:
        """Free the key of an attempt that is over, if it holds it and never ran: a further attempt is new."""
        record = self._table.records.get(request.key or "")
        if record is None or record.holder_id != request.id or record.has_run or record.owned_by_peer:
            return
        self.answer_waiters(self._table.remove(record), End.ERROR, b"")

    def start_run(self, attempt: Attempt) -> bool:
        """Claim the run of an attempt; false where it must not run.

        A key runs at most once within its window, and not before the node's other process is sure to learn of it."""
        if attempt.idempotency is not Idempotency.KEYED:
            return True
        request = attempt.request
        key = request.key or ""
        record = self._table.records.get(key)
        is_free = record is not None and record.holder_id == request.id and not record.has_run
        if not self._counters.check_invariant(is_free, "one run a key"):
            return False
        window_s = max(self._classes[request.cls].window, request.remembered)
        if self._table.start_run(key, request.id, request.arrived + window_s):
            return True
        self._counters.add("keys.peer_not_notified")
        record = self._table.records.get(key)
        if record is not None:
            self.answer_waiters(self._table.remove(record), End.ERROR, b"")
        self._attempts.reject(attempt)
        return False

    def finish_run(self, attempt: Attempt, end: End, result: bytes) -> None:
        """Record the outcome of an attempt's run, and answer who waited for it."""
        if attempt.idempotency is not Idempotency.KEYED:
            return
        key = attempt.request.key or ""
        is_served = end is End.OK and key in self._table.records
        waiting_ids = self._table.finish_run(key, attempt.request.id, end, result)
        if is_served:
            self.answer_waiters(waiting_ids, End.OK, result)
        else:
            self.answer_waiters(waiting_ids, End.ERROR, b"")

    def share_result(self, attempt: Attempt) -> None:
        """Answer with the result of the attempt that ran, now or once its run ends."""
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
        """Answer attempts that waited for a run."""
        for id in waiting_ids:
            self._answer_waiter(id, end, result)

    def remove_expired(self, now: float) -> None:
        """Remove records whose window is over, unless their run still goes on. The peer does so for itself."""
        for record in self._table.expired(now, self._attempts.by_id.__contains__):
            self.answer_waiters(self._table.discard(record), End.ERROR, b"")

    def _answer_waiter(self, id: str, end: End, result: bytes) -> None:
        attempt = self._attempts.by_id.get(id)
        if attempt is None or not attempt.awaiting_response:
            return
        self._counters.add("answers.shared")
        if end is End.OK:
            self._attempts.serve(attempt, result)
        else:
            self._attempts.fail(attempt)
        self._reports.append(RunEnded(id, end))
