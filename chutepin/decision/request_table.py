"""Open requests, with the counts by state and the memory use that follow from their states."""

from __future__ import annotations

from .job import Job, RequestState
from .memory_guard import MemoryGuard

STATES_WITHOUT_RUN = (RequestState.QUEUED, RequestState.AWAITING_RESULT)  # requests without the memory of a run
CALL_STATES = (RequestState.AWAITING_CALL, RequestState.CALLING)


class RequestTable:
    """Table of open requests; the only code that changes their states."""

    def __init__(self, memory: MemoryGuard, run_factor: float) -> None:
        self.jobs: dict[str, Job] = {}
        self.queued: dict[str, Job] = {}
        self.running = 0
        self.in_calls = 0  # requests in `CALL_STATES`
        self._memory = memory
        self._run_factor = run_factor

    def add(self, job: Job) -> None:
        """Add a queued request."""
        self.jobs[job.id] = self.queued[job.id] = job
        self._memory.used += job.request.size

    def move(self, job: Job, state: RequestState) -> None:
        """Move a request to another state."""
        old = job.state
        if old in STATES_WITHOUT_RUN and state not in STATES_WITHOUT_RUN:
            self._memory.used += job.request.size * (self._run_factor - 1)
        self.running += (state is RequestState.RUNNING) - (old is RequestState.RUNNING)
        self.in_calls += (state in CALL_STATES) - (old in CALL_STATES)
        if old is RequestState.QUEUED:
            self.queued.pop(job.id, None)
        job.state = state

    def remove(self, job: Job) -> None:
        """Remove a completed request."""
        has_no_run = job.state in STATES_WITHOUT_RUN
        self._memory.used -= job.request.size * (1 if has_no_run else self._run_factor)
        self.running -= job.state is RequestState.RUNNING
        self.in_calls -= job.state in CALL_STATES
        self.queued.pop(job.id, None)
        del self.jobs[job.id]

    def running_jobs(self) -> list[Job]:
        """Return the requests that run on the cores, in order of arrival."""
        return [job for job in self.jobs.values() if job.state is RequestState.RUNNING]
