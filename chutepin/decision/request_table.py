"""All requests in hand, by state, with the counts that follow from their states."""

from __future__ import annotations

from .job import Job, State
from .memory_guard import MemoryGuard

LIGHT_STATES = (State.QUEUED, State.AWAITING_RESULT)  # without the memory of a run
CALL_STATES = (State.AWAITING_CALL, State.CALLING)


class RequestTable:
    """Requests in hand; the only place that changes their states."""

    def __init__(self, memory: MemoryGuard, run_factor: float) -> None:
        self.jobs: dict[str, Job] = {}
        self.queued: dict[str, Job] = {}
        self.running = 0
        self.at_calls = 0
        self._memory = memory
        self._run_factor = run_factor

    def add(self, job: Job) -> None:
        """Take in a request, queued."""
        self.jobs[job.id] = self.queued[job.id] = job
        self._memory.used += job.request.size

    def move(self, job: Job, state: State) -> None:
        """Move a request to another state."""
        old = job.state
        if old in LIGHT_STATES and state not in LIGHT_STATES:
            self._memory.used += job.request.size * (self._run_factor - 1)
        self.running += (state is State.RUNNING) - (old is State.RUNNING)
        self.at_calls += (state in CALL_STATES) - (old in CALL_STATES)
        if old is State.QUEUED:
            self.queued.pop(job.id, None)
        job.state = state

    def remove(self, job: Job) -> None:
        """Forget a request that is over."""
        is_light = job.state in LIGHT_STATES
        self._memory.used -= job.request.size * (1 if is_light else self._run_factor)
        self.running -= job.state is State.RUNNING
        self.at_calls -= job.state in CALL_STATES
        self.queued.pop(job.id, None)
        del self.jobs[job.id]

    def running_jobs(self) -> list[Job]:
        """Requests on the cores, in order of arrival."""
        return [job for job in self.jobs.values() if job.state is State.RUNNING]
