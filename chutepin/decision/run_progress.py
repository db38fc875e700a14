"""Slowness estimate of runs, and hang detection."""

from __future__ import annotations

import math
from collections.abc import Sequence

from .aimd_limit import AimdLimit
from .job import Job

PRIOR_RUNS = 4.0  # weight, in runs, of the average of ended runs against the runs still running
ABANDONED_RUNS_DECAY_S = 4.0
HANG_RUN_TIMES = 3.0  # time without progress that indicates a hang, in usual run times


class RunProgress:
    """Slowness of runs and time of the last progress.

    Slowness is the run time per second of work on a standard core."""

    def __init__(self, slowness: float) -> None:
        self.slowness = slowness
        self.last_progress_at = 0.0  # when a run last ended or reached its call
        self.hung = False
        self._abandoned_time = 0.0
        self._abandoned_work = 0.0

    def record_abandoned(self, run_time: float, work: float) -> None:
        """Record an abandoned run, which the average of ended runs does not include.

        Without abandoned runs in the estimate, a server too slow to finish any run would seem fast again."""
        self._abandoned_time += run_time
        self._abandoned_work += work

    def decay(self, elapsed: float) -> None:
        """Decay the weight of abandoned runs by the elapsed time."""
        self._abandoned_time *= math.exp(-elapsed / ABANDONED_RUNS_DECAY_S)
        self._abandoned_work *= math.exp(-elapsed / ABANDONED_RUNS_DECAY_S)

    def update_slowness(self, now: float, running: Sequence[Job], run_limit: AimdLimit) -> None:
        """Set the slowness to the average of ended runs, or higher where running or abandoned runs took longer."""
        spent = sum(now - job.run_started_at - job.call_wait for job in running) + self._abandoned_time
        work = sum(job.work for job in running) + self._abandoned_work
        prior = PRIOR_RUNS * run_limit.average_time / run_limit.average_time_per_work
        estimate = (prior * run_limit.average_time_per_work + spent) / (prior + work)
        self.slowness = max(run_limit.average_time_per_work, estimate)

    def usual_run_time(self, running: Sequence[Job], run_limit: AimdLimit) -> float:
        """Return the usual time of these runs, with an allowance that is larger the fewer there are."""
        mean_work = sum(job.work for job in running) / len(running)
        return max(run_limit.average_time, mean_work * run_limit.average_time_per_work) * (1 + 2 / len(running))

    def is_overdue(self, now: float, usual_run_time: float) -> bool:
        """Return whether no run has made progress for long enough to indicate a hang."""
        return now - self.last_progress_at > HANG_RUN_TIMES * usual_run_time
