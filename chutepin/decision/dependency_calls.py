"""Calls that runs make to the dependency: when they are made, made again or left out."""

from __future__ import annotations

import math

from .actions import Call, SkipCall
from .endings import Endings
from .events import CallReturned, Outcome
from .job import Job, State
from .server_state import ServerState
from .settings import Idempotency
from .timers import TimerKind

CALL_RETRY_DELAY_S = 0.05  # before a failed call is made again, doubled each time
CALL_TIME_MARGIN = 0.1  # of the longest call that the budget allows
MIN_CALL_TIME_S = 1e-6
NEVER_RAN = (Outcome.BUSY, Outcome.CONNECT_FAILED)  # outcomes that prove that a call had no effect


class DependencyCalls:
    """Runs that wait for their calls."""

    def __init__(self, server: ServerState, endings: Endings) -> None:
        self._server = server
        self._endings = endings
        self._waiting: list[Job] = []
        self._next_attempt_at = -math.inf

    def need(self, job: Job) -> None:
        """Take in that a run needs its call."""
        server = self._server
        self._endings.record_progress()
        server.requests.move(job, State.AWAITING_CALL)
        job.call_wait_began = server.now
        if job.answered:
            return
        self._waiting.append(job)
        if not (job.request_class.late_weight or job.request_class.weight_without_call):
            latest_start = job.objective_at - server.call_limit.average_time
            server.timers.push(latest_start, TimerKind.CALL_TOO_LATE, job)

    def end(self, job: Job, event: CallReturned) -> None:
        """Take in the end of a call."""
        server = self._server
        if job.state is not State.CALLING:
            return
        server.call_budget.end(server.now, job.reserved_call_time, abandoned=event.outcome is Outcome.TIMEOUT)
        if event.outcome is Outcome.OK:
            in_use = server.call_budget.in_flight + 1
            server.call_limit.record_success(server.now, max(MIN_CALL_TIME_S, event.elapsed), 1.0, in_use, False)
            self._resume(job)
            return
        server.requests.move(job, State.AWAITING_CALL)
        if event.outcome in (Outcome.BUSY, Outcome.TIMEOUT):
            server.call_limit.record_back_pressure(server.now)
            server.run_limit.record_back_pressure(server.now)
        if not job.answered:
            self._retry(job, event.outcome)

    def _retry(self, job: Job, outcome: Outcome) -> None:
        """Make a failed call again later, or leave it out, or fail the request."""
        server = self._server
        delay = CALL_RETRY_DELAY_S * 2**job.call_attempts * (0.5 + server.random.random())
        job.call_attempts += 1
        # Only a proof that the call had no effect, or an idempotent class, allows a second one.
        may_repeat = outcome in NEVER_RAN or job.request_class.idempotency is Idempotency.IDEMPOTENT
        if may_repeat and server.now + delay < min(job.due_at, job.objective_at):
            server.timers.push(server.now + delay, TimerKind.RETRY_CALL, job)
        elif job.request_class.weight_without_call:
            self._skip(job)
        else:
            self._endings.fail(job)

    def retry_now(self, job: Job) -> None:
        """Let a run wait for its call again after a failed one."""
        self._waiting.append(job)

    def fail_if_too_late(self, job: Job) -> None:
        """A run's call can no longer end in time: fail the request, unless no call is in flight at all.

        One call is made all the same: otherwise a slow spell of the dependency would never be unlearned."""
        server = self._server
        if server.call_budget.in_flight or server.now >= job.objective_at:
            self._endings.fail(job)
        else:
            retry_at = min(job.objective_at, server.now + CALL_RETRY_DELAY_S)
            server.timers.push(retry_at, TimerKind.CALL_TOO_LATE, job)

    def make_calls(self) -> None:
        """Make the calls that limit and budget allow; leave out those that cannot wait."""
        if not self._waiting:
            return
        server = self._server
        jobs = server.requests.jobs
        self._waiting = [job for job in self._waiting if not job.answered and job.id in jobs]
        self._begin_allowed()
        self._skip_late()
        if self._waiting and self._next_attempt_at <= server.now:
            self._next_attempt_at = server.now + CALL_RETRY_DELAY_S
            server.timers.push(self._next_attempt_at, TimerKind.MAKE_CALLS)

    def _begin_allowed(self) -> None:
        server = self._server
        budget = server.call_budget
        tick = server.settings.tick
        abandoned_time = server.settings.abandoned_call_time
        # A call never waits for more time than the budget can ever allow: where its usual time is not known yet and
        # thought longer, or was longer of late, no call would be made and nothing learned.
        longest = (budget.total_time() / 2 - abandoned_time) * (1 - CALL_TIME_MARGIN)
        while self._waiting and budget.in_flight < server.call_limit.limit and server.cores_admit_one():
            job = max(self._waiting, key=server.weight_density)
            time_to_due = job.due_at - server.now
            timeout = min(time_to_due, budget.remaining_time(server.now) / 2 - abandoned_time)
            if timeout < min(server.call_limit.average_time, time_to_due, max(tick, longest)):
                break
            self._waiting.remove(job)
            job.reserved_call_time = max(tick, timeout) + abandoned_time
            budget.begin(server.now, job.reserved_call_time)
            server.requests.move(job, State.CALLING)
            server.actions.append(Call(job.id, job.reserved_call_time - abandoned_time))

    def _skip_late(self) -> None:
        server = self._server
        for job in [job for job in self._waiting if job.request_class.weight_without_call]:
            call_wait = server.class_statistics.call_wait[job.class_index]
            expected_end = server.now + call_wait + job.work * server.progress.slowness / 2
            if expected_end > job.objective_at and server.cores_admit_one():
                self._waiting.remove(job)
                self._skip(job)

    def _skip(self, job: Job) -> None:
        self._server.actions.append(SkipCall(job.id))
        self._resume(job)

    def _resume(self, job: Job) -> None:
        """Put a run back on the cores without waiting, even over the limit."""
        job.call_wait += self._server.now - job.call_wait_began
        self._server.requests.move(job, State.RUNNING)
