"""How slow runs are, and whether they make progress at all."""

from __future__ import annotations

import math
from collections.abc import Sequence

from .aimd_limit import AimdLimit
from .job import Job

PRIOR_RUNS = 4.0  # ended runs that the average counts for, against those still running
ABANDONED_RUNS_DECAY_S = 4.0
HANG_RUN_TIMES = 3.0  # no progress for this many usual run times is a hang


class RunProgress:
    """Slowness is the run time for each second of work on a standard core."""

    def __init__(self, slowness: float) -> None:
        self.slowness = slowness
        self.last_progress_at = 0.0  # a run ended or came to a call
        self.hung = False
        self._abandoned_time = 0.0
        self._abandoned_work = 0.0

    def record_abandoned(self, run_time: float, work: float) -> None:
        """Take in a run that was given up: it teaches the average of ended runs nothing.

        Without a trace of such runs a slow server would forget that it is slow."""
        self._abandoned_time += run_time
        self._abandoned_work += work

    def decay(self, elapsed: float) -> None:
        """Let abandoned runs count for less."""
        self._abandoned_time *= math.exp(-elapsed / ABANDONED_RUNS_DECAY_S)
        self._abandoned_work *= math.exp(-elapsed / ABANDONED_RUNS_DECAY_S)

    def update_slowness(self, now: float, running: Sequence[Job], run_limit: AimdLimit) -> None:
        """The average of ended runs, or more where those still running or abandoned took longer."""
        spent = sum(now - job.run_started - job.call_wait for job in running) + self._abandoned_time
        work = sum(job.work for job in running) + self._abandoned_work
        prior = PRIOR_RUNS * run_limit.average_time / run_limit.average_ratio
        estimate = (prior * run_limit.average_ratio + spent) / (prior + work)
        self.slowness = max(run_limit.average_ratio, estimate)

    def usual_run_time(self, running: Sequence[Job], run_limit: AimdLimit) -> float:
        """How long these runs usually take, with an allowance where few run."""
        mean_work = sum(job.work for job in running) / len(running)
        return max(run_limit.average_time, mean_work * run_limit.average_ratio) * (1 + 2 / len(running))

    def is_overdue(self, now: float, usual_run_time: float) -> bool:
        """Whether no run has made progress for so long that it looks like a hang."""
        return now - self.last_progress_at > HANG_RUN_TIMES * usual_run_time
