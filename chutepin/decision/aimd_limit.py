"""Concurrency limit by additive increase and multiplicative decrease (AIMD).

Follows "RFC 1858 - Automatically Adjust Request Limits" of Vector: a run that is slower than the average by more than a
threshold, or back pressure, halves the limit; otherwise the limit grows to one above the runs in use. Run times are
divided by the expected work, so that classes with short and long runs share one average.
"""

from __future__ import annotations

AVERAGE_WEIGHT = 0.1  # weight of a new run in the moving averages
THRESHOLD_DEVIATIONS = 0.5  # a slow run exceeds the average by more than this many mean deviations
MIN_THRESHOLD_SHARE = 0.1  # a slow run exceeds the average by more than this share of the average


class AimdLimit:
    """Concurrency limit between a floor and a ceiling."""

    def __init__(self, floor: int, ceiling: int, average_time_per_work: float, average_time: float) -> None:
        self.floor = floor
        self.ceiling = max(floor, ceiling)
        self.limit = floor
        self.average_time_per_work = average_time_per_work  # run time per unit of expected work
        self.deviation = average_time_per_work * 0.5
        self.average_time = average_time  # seconds
        self.next_update_at = 0.0

    def record_success(
        self,
        now: float,
        run_time: float,
        work: float,
        in_use: int,
        back_pressure: bool,
        cores_full: bool = False,
        cores_idle: bool = False,
    ) -> None:
        """Update the limit, at most once per average run time, and then the averages from a successful run.

        The limit does not grow while the cores are full, because one more run would slow the others. The limit does
        not shrink while cores are idle, because a long run was then not slowed by the other runs."""
        time_per_work = run_time / work
        if now >= self.next_update_at:
            threshold = max(THRESHOLD_DEVIATIONS * self.deviation, MIN_THRESHOLD_SHARE * self.average_time_per_work)
            slow = time_per_work > self.average_time_per_work + threshold
            if (slow or back_pressure) and not cores_idle:
                self._halve()
            elif self.limit < self.ceiling and time_per_work <= self.average_time_per_work and not cores_full:
                self.limit = max(self.floor, min(in_use, self.limit) + 1)
            self.next_update_at = now + self.average_time
        self.deviation += AVERAGE_WEIGHT * (abs(time_per_work - self.average_time_per_work) - self.deviation)
        self.average_time_per_work += AVERAGE_WEIGHT * (time_per_work - self.average_time_per_work)
        self.average_time += AVERAGE_WEIGHT * (run_time - self.average_time)

    def record_back_pressure(self, now: float) -> None:
        """Halve the limit, at most once per average run time, for back pressure that comes without a run time."""
        if now >= self.next_update_at:
            self._halve()
            self.next_update_at = now + self.average_time

    def raise_by(self, step: int) -> None:
        """Raise the limit by `step`, at most to the ceiling."""
        self.limit = min(self.ceiling, self.limit + step)

    def set_ceiling(self, ceiling: int) -> None:
        """Set the ceiling, and lower the limit to the ceiling where the limit is above it."""
        self.ceiling = max(self.floor, ceiling)
        self.limit = min(self.limit, self.ceiling)

    def _halve(self) -> None:
        self.limit = max(self.floor, (self.limit + 1) // 2)
