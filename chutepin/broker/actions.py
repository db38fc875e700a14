"""The actions of the decision module (`facade.DecisionHost`), carried out on attempts, ports and timers."""

from __future__ import annotations

from collections import deque

from ..decision import Idempotency
from ..facade import End, Report, RunEnded
from .attempts import Attempt, NodeStatus, OpenAttempts, Phase
from .drain import DrainPlan
from .idempotent import IdempotentRequests
from .ports import Environment
from .recent_runs import RecentRuns
from .schedule import Schedule


class DecisionActions:
    """The implementation of `facade.DecisionHost` over one broker's attempts and ports."""

    def __init__(
        self,
        attempts: OpenAttempts,
        idempotent: IdempotentRequests,
        schedule: Schedule,
        drain: DrainPlan,
        status: NodeStatus,
        reports: deque[Report],
        recent_runs: RecentRuns,
        environment: Environment,
        announces_value: bool,
    ) -> None:
        """Create the actions. `announces_value`: the load signal value is sent to callers with every answer."""
        self._attempts = attempts
        self._idempotent = idempotent
        self._schedule = schedule
        self._drain = drain
        self._status = status
        self._reports = reports
        self._recent_runs = recent_runs
        self._executor = environment.executor
        self._records = environment.records
        self._clock = environment.clock
        self._counters = environment.counters
        self._log = environment.log
        self._announces_value = announces_value

    def run(self, id: str) -> None:
        """Start the run of a queued request, unless it arrived after the drain grace or its key may not run."""
        attempt = self._attempts.by_id[id]
        request = attempt.request
        is_in_time = self._counters.check_invariant(not self._drain.is_too_late(request), "no run after the grace")
        if not is_in_time or self._has_run_at_peer(attempt) or not self._idempotent.start_run(attempt):
            self._reports.append(RunEnded(id, End.NOT_STARTED))
            return
        self._recent_runs.started(id, self._clock.now(), attempt.is_keyed)
        attempt.phase = Phase.RUNNING
        self._counters.add("runs")
        self._attempts.count_run()
        self._executor.exec(id, request.cls, request.body, attempt.idempotency is Idempotency.IDEMPOTENT)

    def _has_run_at_peer(self, attempt: Attempt) -> bool:
        """Return whether the node's other process has run this id meanwhile, and answer the attempt if so."""
        if attempt.request.id not in self._recent_runs:
            return False
        self._counters.add("requests.repeated")
        self._attempts.fail(attempt)
        return True

    def stop(self, id: str) -> None:
        """Stop a run; the attempt stays open until the executor reports the end of the run."""
        attempt = self._attempts.by_id.get(id)
        if attempt is not None and attempt.phase is Phase.RUNNING:
            attempt.phase = Phase.STOPPED
            self._executor.kill(id)

    def reject(self, id: str, retry_after: float, no_other_node: bool) -> None:
        """Reject a request that never ran, or fail one that did: a rejection guarantees that no run was started."""
        attempt = self._attempts.by_id.get(id)
        if attempt is None:  # the broker has already answered it as overdue
            return
        if attempt.phase is Phase.QUEUED and not self._idempotent.has_run(attempt.request):
            self._attempts.reject(attempt, retry_after, no_other_node)
        else:
            self._attempts.fail(attempt, retry_after, no_other_node)

    def fail(self, id: str) -> None:
        """Answer with an error; an attempt whose run goes on stays open until the run ends."""
        if (attempt := self._attempts.by_id.get(id)) is not None:
            self._attempts.fail(attempt)

    def call(self, id: str, deadline: float) -> None:
        """Call the records service for a run that waits for the call."""
        attempt = self._attempts.by_id[id]
        if not self._counters.check_invariant(attempt.phase is Phase.CALL_WANTED, "call only at a call"):
            return
        attempt.phase = Phase.CALLING_DEPENDENCY
        attempt.call_started_at = self._clock.now()
        self._counters.add("calls")
        self._records.call(id, deadline, attempt.call_body, attempt.idempotency is Idempotency.IDEMPOTENT)

    def skip_call(self, id: str) -> None:
        """Resume a run without the call that it asked for."""
        attempt = self._attempts.by_id[id]
        if not self._counters.check_invariant(attempt.phase is Phase.CALL_WANTED, "skip only at a call"):
            return
        attempt.phase = Phase.RUNNING
        self._counters.add("calls.skipped")
        self._executor.bypass(id, attempt.call_notice)

    def reserve_key(self, id: str, until: float) -> None:
        """Reserve the idempotency key of an attempt until a time."""
        self._idempotent.reserve(self._attempts.by_id[id], until)

    def release_key(self, id: str) -> None:
        """Release the idempotency key of an attempt that never ran."""
        if (attempt := self._attempts.by_id.get(id)) is not None:
            self._idempotent.release(attempt.request)

    def share_result(self, id: str) -> None:
        """Answer with the result of the key's run, now or when that run ends."""
        self._idempotent.share_result(self._attempts.by_id[id])

    def set_health(self, good: bool) -> None:
        """Set the answer to health checks."""
        self._status.is_healthy = good

    def announce(self, value: float) -> None:
        """Set the load signal value that is sent with every answer."""
        self._status.value = value if self._announces_value else None

    def set_idle_timeout(self, after: float) -> None:
        """Set the idle time, in seconds, after which connections are closed."""
        self._status.idle_timeout_s = after

    def set_timer(self, token: int, at: float) -> None:
        """Set a timer that ticks the decision module with this token."""
        self._schedule.set_timer(token, at)

    def log(self, text: str) -> None:
        """Log a line of the decision module."""
        self._log.event("module", text=text)
