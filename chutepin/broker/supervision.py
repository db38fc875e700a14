"""Attempts that the decision module has left, and runs that no caller awaits."""

from __future__ import annotations

from ..counters import Counters
from ..facade import CallerDisconnected
from .attempts import NOT_STARTED, Attempt, OpenAttempts, Phase
from .decisions import DecisionQueue
from .ports import Executor
from .schedule import Schedule

ORPHANED_RUN_TIMEOUT_S = 60.0  # past the due time, after which a run that no caller awaits is terminated


class Supervision:
    """The periodic checks of one broker's attempts: each gets its answer in time, and each run ends."""

    def __init__(
        self,
        attempts: OpenAttempts,
        schedule: Schedule,
        decisions: DecisionQueue,
        executor: Executor,
        counters: Counters,
    ) -> None:
        self._attempts = attempts
        self._schedule = schedule
        self._decisions = decisions
        self._executor = executor
        self._counters = counters

    def answer_overdue_attempts(self, now: float) -> None:
        """Answer attempts that the decision module has left past their deadline or past the stop of a drain."""
        expired_ids = self._schedule.pop_expired_ids(now)
        is_past_stop = self._schedule.is_past_stop(now)
        if is_past_stop:
            expired_ids += list(self._attempts.by_id)
        for id in expired_ids:
            attempt = self._attempts.by_id.get(id)
            if attempt is not None and (is_past_stop or attempt.answer_deadline <= now):
                self._answer_overdue(attempt)

    def _answer_overdue(self, attempt: Attempt) -> None:
        if attempt.phase is Phase.REQUESTING_KEY:
            self._counters.add("keys.not_granted")
            self._attempts.reject(attempt)
        elif attempt.awaiting_response:
            self._counters.add("answers.overdue")
            self._attempts.fail(attempt)
            self._decisions.report(CallerDisconnected(attempt.request.id))

    def end_abandoned_runs(self, now: float) -> None:
        """Resolve or terminate runs that no caller awaits."""
        for id, attempt in self._attempts.by_id.items():
            if attempt.awaiting_response or attempt.phase in NOT_STARTED:
                continue
            if attempt.is_in_doubt or attempt.request.due + ORPHANED_RUN_TIMEOUT_S < now:
                self._executor.terminate(id)
            elif attempt.phase in (Phase.RUNNING, Phase.STOPPED):
                self._executor.resolve(id, attempt.request.executor_detects_end)
