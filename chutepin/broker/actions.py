"""What the decision module can have done (`facade.Core`)."""

from __future__ import annotations

from collections import deque

from ..decision import Idempotency
from ..facade import End, Report, RunEnded
from .attempts import NodeStatus, OpenAttempts, Phase
from .drain import DrainPlan
from .idempotent import IdempotentRequests
from .ports import Environment
from .schedule import Schedule


class DecisionActions:
    """Carries out the decision module's actions."""

    def __init__(
        self,
        attempts: OpenAttempts,
        idempotent: IdempotentRequests,
        schedule: Schedule,
        drain: DrainPlan,
        status: NodeStatus,
        reports: deque[Report],
        environment: Environment,
        announces_value: bool,
    ) -> None:
        """`announces_value`: the free value goes out to callers."""
        self._attempts = attempts
        self._idempotent = idempotent
        self._schedule = schedule
        self._drain = drain
        self._status = status
        self._reports = reports
        self._executor = environment.executor
        self._records = environment.records
        self._clock = environment.clock
        self._counters = environment.counters
        self._log = environment.log
        self._announces_value = announces_value

    def run(self, id: str) -> None:
        """Start a queued request."""
        attempt = self._attempts.by_id[id]
        request = attempt.request
        is_in_time = self._counters.check_invariant(not self._drain.is_too_late(request), "no run after the grace")
        if not is_in_time or not self._idempotent.start_run(attempt):
            self._reports.append(RunEnded(id, End.NEVER))
            return
        attempt.phase = Phase.RUNNING
        self._counters.add("runs")
        self._attempts.run_sent()
        self._executor.exec(id, request.cls, request.body, attempt.idempotency is Idempotency.IDEMPOTENT)

    def stop(self, id: str) -> None:
        """Stop a run."""
        attempt = self._attempts.by_id.get(id)
        if attempt is not None and attempt.phase is Phase.RUNNING:
            attempt.phase = Phase.STOPPED
            self._executor.kill(id)

    def reject(self, id: str, retry_after: float, no_other_node: bool) -> None:
        """Reject a request. That promises that it never ran: what did is failed instead."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None:  # answered when it was overdue
            return
        if attempt.phase is Phase.QUEUED and not self._idempotent.has_run(attempt.request):
            self._attempts.reject(attempt, retry_after, no_other_node)
        else:
            self._attempts.fail(attempt, retry_after, no_other_node)

    def fail(self, id: str) -> None:
        """Answer with an error; what still runs stays open until it ends."""
        if (attempt := self._attempts.by_id.get(id)) is not None:
            self._attempts.fail(attempt)

    def call(self, id: str, deadline: float) -> None:
        """Make the call that a run wants."""
        attempt = self._attempts.by_id[id]
        if not self._counters.check_invariant(attempt.phase is Phase.CALL_WANTED, "call only at a call"):
            return
        attempt.phase = Phase.CALLING_DEPENDENCY
        attempt.call_since = self._clock.now()
        self._counters.add("calls")
        self._records.call(id, deadline, attempt.call_body, attempt.idempotency is Idempotency.IDEMPOTENT)

    def skip_call(self, id: str) -> None:
        """Let a run go on without its call."""
        attempt = self._attempts.by_id[id]
        if not self._counters.check_invariant(attempt.phase is Phase.CALL_WANTED, "skip only at a call"):
            return
        attempt.phase = Phase.RUNNING
        self._counters.add("calls.skipped")
        self._executor.bypass(id, attempt.call_notice)

    def keep_key(self, id: str, until: float) -> None:
        """Reserve the key of an attempt."""
        self._idempotent.reserve(self._attempts.by_id[id], until)

    def forget_key(self, id: str) -> None:
        """Free the key of an attempt that never ran."""
        if (attempt := self._attempts.by_id.get(id)) is not None:
            self._idempotent.release(attempt.request)

    def share(self, id: str) -> None:
        """Answer with the result of the attempt that ran, now or once its run ends."""
        self._idempotent.share_result(self._attempts.by_id[id])

    def set_health(self, good: bool) -> None:
        """Set how health checks are answered."""
        self._status.is_healthy = good

    def announce(self, value: float) -> None:
        """Set the free value."""
        self._status.value = value if self._announces_value else None

    def set_idle(self, after: float) -> None:
        """Have connections closed that were idle this long."""
        self._status.idle_timeout_s = after

    def set_timer(self, token: int, at: float) -> None:
        """Have the module ticked at this time."""
        self._schedule.set_timer(token, at)

    def log_line(self, text: str) -> None:
        """Write a line of the module to the log."""
        self._log.event("module", text=text)
