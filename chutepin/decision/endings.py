"""Completion of requests: rejected, failed, abandoned by their callers, or finished."""

from __future__ import annotations

from enum import Enum

from .actions import Fail, ForgetKey, Log, Reject, SetHealth, Stop
from .events import Outcome
from .job import Job, RequestState
from .server_state import ServerState
from .settings import Cancellation, Idempotency
from .timers import TimerKind

FULL_FLEET_REJECTED_SHARE = 0.2  # rejected share on this server above which other servers are assumed to be full too
MIN_RUN_TIME_S = 1e-6


class RejectReason(Enum):
    """Reason to reject a request that never ran."""

    DRAINING = "drain"
    HUNG = "hang"
    MEMORY = "memory"
    OBJECTIVE_UNREACHABLE = "hopeless"  # the request could not meet its latency objective when it arrived
    LATEST_START_PASSED = "late"  # the queued request can no longer meet its latency objective
    DEADLINE_PASSED = "due"  # the request was queued until its deadline
    REPLACED = "replaced"  # a newer attempt with the same idempotency key replaces the request


class Endings:
    """Handler that gives final answers and updates the statistics from them."""

    def __init__(self, server: ServerState) -> None:
        self._server = server

    def reject(self, job: Job, reason: RejectReason, no_other_node: bool | None = None) -> None:
        """Reject a request that never ran.

        The caller may retry on another server only while few requests are rejected or this server is at fault;
        otherwise each server has to read the same retry and reject it."""
        server = self._server
        at_fault = reason in (RejectReason.DRAINING, RejectReason.HUNG)
        if no_other_node is None:
            no_other_node = not at_fault and server.rejections.share > FULL_FLEET_REJECTED_SHARE
        server.rejections.record_rejection(reason.value)
        server.class_statistics.record_rejection(job.class_index, server.now - job.arrived_at)
        if reason in (RejectReason.OBJECTIVE_UNREACHABLE, RejectReason.LATEST_START_PASSED):
            server.announcement.record_rejection(server.quota_weight(job))
        if job.state is RequestState.QUEUED:
            self._remove(job)
        else:
            job.answered = True
        server.actions.append(Reject(job.id, self._retry_after(at_fault, no_other_node), no_other_node))

    def fail(self, job: Job) -> None:
        """Answer a request that cannot be served in time, whether queued, running or in a call."""
        if job.answered:
            return
        if job.state is RequestState.QUEUED and not job.ran:
            self.reject(job, RejectReason.DEADLINE_PASSED, no_other_node=True)
            return
        self._server.actions.append(Fail(job.id))
        self.abandon(job)

    def abandon(self, job: Job) -> None:
        """Stop the work of a request that no caller waits for, unless a repeat with its key may need the result."""
        server = self._server
        if job.answered:
            return
        job.answered = True
        if job.state is RequestState.RUNNING:
            server.progress.record_abandoned(server.now - job.run_started_at - job.call_wait, job.work)
        if job.state in (RequestState.QUEUED, RequestState.AWAITING_RESULT):
            self._remove(job)
        elif job.state is RequestState.RUNNING and server.settings.cancellation is not Cancellation.UNSUPPORTED:
            if job.request_class.idempotency is not Idempotency.KEYED:
                server.actions.append(Stop(job.id))

    def finish(self, job: Job, outcome: Outcome) -> None:
        """Record the end of a run or of a shared answer, and remove the request."""
        server = self._server
        if job.state is RequestState.CALLING:
            server.call_budget.end(server.now, job.reserved_call_time, abandoned=True)
        if job.state is RequestState.RUNNING:
            self.record_progress()
            if outcome is Outcome.OK:
                self._record_run(job)
        in_time = not job.answered and server.now <= job.objective_at
        if outcome is Outcome.OK and job.tenant_index >= 0 and in_time:
            server.tenants.record_served(job.tenant_index)
        if outcome in (Outcome.CANCELLED, Outcome.NOT_STARTED) and not job.answered:
            server.actions.append(Fail(job.id))
        self._remove(job)

    def record_progress(self) -> None:
        """Record that a run ended or reached its call, which ends a hang."""
        server = self._server
        server.progress.last_progress_at = server.now
        if server.progress.hung:
            server.progress.hung = False
            server.actions += [SetHealth(not server.drain.has_begun), Log("hang ended: a run made progress")]

    def _retry_after(self, at_fault: bool, no_other_node: bool) -> float:
        """Return the Retry-After in seconds.

        The maximum where this server is at fault; where the other servers are full too, the time in which the backlog
        is expected to fall to its target; otherwise 0."""
        max_retry_after = self._server.settings.max_retry_after
        if at_fault:
            return max_retry_after
        return min(max_retry_after, self._server.announcement.excess_backlog if no_other_node else 0.0)

    def _record_run(self, job: Job) -> None:
        """Update limit and class statistics from a successful run; the run time excludes the time in calls."""
        server = self._server
        run_time = max(MIN_RUN_TIME_S, server.now - job.run_started_at - job.call_wait)
        missed_objective = server.now - job.arrived_at > job.request_class.latency_objective
        after_pause = job.arrived_at >= server.pauses.ended_at
        back_pressure = (missed_objective and after_pause) or server.unread_wait.is_long(server.run_limit.average_time)
        in_use = server.requests.running + server.peer_running
        if job.request.hint is None:
            core_time = run_time * min(1.0, server.settings.cores / max(1, in_use))
            server.class_statistics.record_work(job.class_index, core_time)
        server.class_statistics.record_call_wait(job.class_index, job.call_wait)
        gauges = server.core_gauges
        server.run_limit.record_success(
            server.now, run_time, job.work, in_use, back_pressure, gauges.cores_full, gauges.cores_idle
        )

    def _remove(self, job: Job) -> None:
        """Remove a completed request; if the request ran, its key stays until its window ends."""
        server = self._server
        server.requests.remove(job)
        if not job.has_key:
            return
        if job.ran:
            expires_at = job.arrived_at + job.request_class.window + 2 * server.settings.tick
            server.timers.push(expires_at, TimerKind.KEY_EXPIRED)
        else:
            server.memory.remove_key()
            server.actions.append(ForgetKey(job.id))
