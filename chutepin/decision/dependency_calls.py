"""Scheduling of the calls that runs make to the dependency: start, retry and skipping."""

from __future__ import annotations

import math

from .actions import Call, SkipCall
from .endings import Endings
from .events import CallReturned, Outcome
from .job import Job, RequestState
from .server_state import ServerState
from .settings import Idempotency
from .timers import TimerKind

CALL_RETRY_DELAY_S = 0.05  # mean delay before the first retry of a call; doubled with each further retry
CALL_TIME_MARGIN = 0.1  # margin, as a share, below the longest call that the budget can allow
MIN_CALL_TIME_S = 1e-6
NO_EFFECT_OUTCOMES = (Outcome.BUSY, Outcome.CONNECT_FAILED)  # outcomes that prove that a call had no effect


class DependencyCalls:
    """Queue of runs that wait for their dependency calls."""

    def __init__(self, server: ServerState, endings: Endings) -> None:
        self._server = server
        self._endings = endings
        self._waiting_jobs: list[Job] = []
        self._next_attempt_at = -math.inf

    def request_call(self, job: Job) -> None:
        """Queue the call that a run needs."""
        server = self._server
        self._endings.record_progress()
        server.requests.move(job, RequestState.AWAITING_CALL)
        job.call_wait_started_at = server.now
        if job.answered:
            return
        self._waiting_jobs.append(job)
        if not (job.request_class.late_weight or job.request_class.weight_without_call):
            latest_start = job.objective_at - server.call_limit.average_time
            server.timers.push(latest_start, TimerKind.CALL_TOO_LATE, job)

    def record_return(self, job: Job, event: CallReturned) -> None:
        """Resume a run whose call succeeded; retry or skip a failed call, or fail the request."""
        server = self._server
        if job.state is not RequestState.CALLING:
            return
        server.call_budget.end(server.now, job.reserved_call_time, abandoned=event.outcome is Outcome.TIMEOUT)
        if event.outcome is Outcome.OK:
            in_use = server.call_budget.in_flight + 1
            server.call_limit.record_success(server.now, max(MIN_CALL_TIME_S, event.elapsed), 1.0, in_use, False)
            self._resume(job)
            return
        server.requests.move(job, RequestState.AWAITING_CALL)
        if event.outcome in (Outcome.BUSY, Outcome.TIMEOUT):
            server.call_limit.record_back_pressure(server.now)
            server.run_limit.record_back_pressure(server.now)
        if not job.answered:
            self._retry(job, event.outcome)

    def _retry(self, job: Job, outcome: Outcome) -> None:
        """Schedule a retry of a failed call, skip the call, or fail the request."""
        server = self._server
        delay = CALL_RETRY_DELAY_S * 2**job.call_attempts * (0.5 + server.random.random())
        job.call_attempts += 1
        # A second call is safe only if the first one is proven to have had no effect, or if the class is idempotent.
        may_repeat = outcome in NO_EFFECT_OUTCOMES or job.request_class.idempotency is Idempotency.IDEMPOTENT
        if may_repeat and server.now + delay < min(job.due_at, job.objective_at):
            server.timers.push(server.now + delay, TimerKind.RETRY_CALL, job)
        elif job.request_class.weight_without_call:
            self._skip_call(job)
        else:
            self._endings.fail(job)

    def retry_now(self, job: Job) -> None:
        """Queue a run's call again after the retry delay of a failed call."""
        self._waiting_jobs.append(job)

    def fail_if_too_late(self, job: Job) -> None:
        """Fail a request whose call can no longer end in time, unless no call is in flight.

        With no call in flight the call stays queued: without any call, the average call time learned while the
        dependency was slow would never decrease."""
        server = self._server
        if server.call_budget.in_flight or server.now >= job.objective_at:
            self._endings.fail(job)
        else:
            retry_at = min(job.objective_at, server.now + CALL_RETRY_DELAY_S)
            server.timers.push(retry_at, TimerKind.CALL_TOO_LATE, job)

    def make_calls(self) -> None:
        """Start the calls that limit and budget allow; skip optional calls that would end too late."""
        if not self._waiting_jobs:
            return
        server = self._server
        jobs = server.requests.jobs
        self._waiting_jobs = [job for job in self._waiting_jobs if not job.answered and job.id in jobs]
        self._start_allowed_calls()
        self._skip_late_calls()
        if self._waiting_jobs and self._next_attempt_at <= server.now:
            self._next_attempt_at = server.now + CALL_RETRY_DELAY_S
            server.timers.push(self._next_attempt_at, TimerKind.MAKE_CALLS)

    def _start_allowed_calls(self) -> None:
        server = self._server
        budget = server.call_budget
        tick = server.settings.tick
        abandoned_time = server.settings.abandoned_call_time
        # The time required to start a call is capped by what the budget can ever allow. Otherwise, where the average
        # call time is overestimated at first or was longer recently, no call would start and no time be measured.
        max_call_time = (budget.total_time() / 2 - abandoned_time) * (1 - CALL_TIME_MARGIN)
        while self._waiting_jobs and budget.in_flight < server.call_limit.limit and server.has_core_capacity():
            job = max(self._waiting_jobs, key=server.weight_density)
            time_to_due = job.due_at - server.now
            timeout = min(time_to_due, budget.remaining_time(server.now) / 2 - abandoned_time)
            if timeout < min(server.call_limit.average_time, time_to_due, max(tick, max_call_time)):
                break
            self._waiting_jobs.remove(job)
            job.reserved_call_time = max(tick, timeout) + abandoned_time
            budget.begin(server.now, job.reserved_call_time)
            server.requests.move(job, RequestState.CALLING)
            server.actions.append(Call(job.id, job.reserved_call_time - abandoned_time))

    def _skip_late_calls(self) -> None:
        server = self._server
        for job in [job for job in self._waiting_jobs if job.request_class.weight_without_call]:
            call_wait = server.class_statistics.call_wait[job.class_index]
            expected_end = server.now + call_wait + job.work * server.progress.slowness / 2
            if expected_end > job.objective_at and server.has_core_capacity():
                self._waiting_jobs.remove(job)
                self._skip_call(job)

    def _skip_call(self, job: Job) -> None:
        self._server.actions.append(SkipCall(job.id))
        self._resume(job)

    def _resume(self, job: Job) -> None:
        """Return a run to the cores at once, even above the concurrency limit."""
        job.call_wait += self._server.now - job.call_wait_started_at
        self._server.requests.move(job, RequestState.RUNNING)
