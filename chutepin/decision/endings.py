"""How requests end: rejected, failed, given up by their callers, or finished."""

from __future__ import annotations

from enum import Enum

from .actions import Fail, ForgetKey, Log, Reject, SetHealth, Stop
from .events import Outcome
from .job import Job, State
from .server_state import ServerState
from .settings import Cancellation, Idempotency
from .timers import TimerKind

FULL_FLEET_REJECTED_SHARE = 0.2  # of requests here, from which the other servers are taken to be full as well
MIN_RUN_TIME_S = 1e-6


class RejectReason(Enum):
    """Why a request that never ran is rejected."""

    DRAINING = "drain"
    HUNG = "hang"
    MEMORY = "memory"
    HOPELESS = "hopeless"  # at its arrival: it could not meet its objective
    LATE = "late"  # in the queue: it can no longer meet its objective
    DUE = "due"  # it was queued until its deadline
    REPLACED = "replaced"  # by a newer attempt with the same key


class Endings:
    """Final answers, and what is learned from them."""

    def __init__(self, server: ServerState) -> None:
        self._server = server

    def reject(self, job: Job, reason: RejectReason, no_other_node: bool | None = None) -> None:
        """Reject a request that never ran.

        The caller may retry at another server only while few requests are rejected or this server is at fault;
        otherwise each retry costs every server its reading."""
        server = self._server
        at_fault = reason in (RejectReason.DRAINING, RejectReason.HUNG)
        if no_other_node is None:
            no_other_node = not at_fault and server.rejections.share > FULL_FLEET_REJECTED_SHARE
        server.rejections.record_rejection(reason.value)
        server.class_statistics.record_rejection(job.class_index, server.now - job.arrived_at)
        if reason in (RejectReason.HOPELESS, RejectReason.LATE):
            server.announcement.record_rejection(server.quota_weight(job))
        if job.state is State.QUEUED:
            self._remove(job)
        else:
            job.answered = True
        server.actions.append(Reject(job.id, self._retry_after(at_fault, no_other_node), no_other_node))

    def fail(self, job: Job) -> None:
        """Give the final answer for what cannot be served in time, running work included."""
        if job.answered:
            return
        if job.state is State.QUEUED and not job.ran:
            self.reject(job, RejectReason.DUE, no_other_node=True)
            return
        self._server.actions.append(Fail(job.id))
        self.abandon(job)

    def abandon(self, job: Job) -> None:
        """Nobody waits any longer: stop the work, unless a repeat with the same key may still come for its answer."""
        server = self._server
        if job.answered:
            return
        job.answered = True
        if job.state is State.RUNNING:
            server.progress.record_abandoned(server.now - job.run_started - job.call_wait, job.work)
        if job.state in (State.QUEUED, State.AWAITING_RESULT):
            self._remove(job)
        elif job.state is State.RUNNING and server.settings.cancellation is not Cancellation.UNSUPPORTED:
            if job.request_class.idempotency is not Idempotency.KEYED:
                server.actions.append(Stop(job.id))

    def finish(self, job: Job, outcome: Outcome) -> None:
        """Take in the end of a run or of a shared answer."""
        server = self._server
        if job.state is State.CALLING:
            server.call_budget.end(server.now, job.reserved_call_time, abandoned=True)
        if job.state is State.RUNNING:
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
        """A run ended or came to a call: the server does not hang."""
        server = self._server
        server.progress.last_progress_at = server.now
        if server.progress.hung:
            server.progress.hung = False
            server.actions += [SetHealth(not server.drain.is_begun), Log("work moves again")]

    def _retry_after(self, at_fault: bool, no_other_node: bool) -> float:
        """Where the other servers are full as well: when the backlog here is expected to be at its target again."""
        longest = self._server.settings.max_retry_after
        if at_fault:
            return longest
        return min(longest, self._server.announcement.excess_backlog if no_other_node else 0.0)

    def _record_run(self, job: Job) -> None:
        """Feed the limit with the run time, without the time spent at calls."""
        server = self._server
        run_time = max(MIN_RUN_TIME_S, server.now - job.run_started - job.call_wait)
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
        """Forget a request that is over; its key stays for its window if it ran."""
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
