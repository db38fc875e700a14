"""Concurrency limit by additive increase and multiplicative decrease.

After "RFC 1858 - Automatically Adjust Request Limits" of Vector: a run that is slower than the average by more than a
threshold, or back pressure, halves the limit; otherwise it grows to one above what is in use. Run times are taken
relative to the expected work, so that classes of different length share one average.
"""

from __future__ import annotations

AVERAGE_WEIGHT = 0.1  # of a new run in the averages
THRESHOLD_DEVIATIONS = 0.5  # a slow run exceeds the average by this many mean deviations ...
MIN_THRESHOLD_SHARE = 0.1  # ... and by at least this share of the average


class AimdLimit:
    """How many may run concurrently, between a floor and a ceiling."""

    def __init__(self, floor: int, ceiling: int, average_ratio: float, average_time: float) -> None:
        self.floor = floor
        self.ceiling = max(floor, ceiling)
        self.limit = floor
        self.average_ratio = average_ratio  # run time for each unit of expected work
        self.deviation = average_ratio * 0.5
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
        """Take in a run that succeeded: the limit moves at most once in an average run time, then the averages do.

        While the cores are full no run can be added without slowing the others: the limit does not grow. While cores
        idle no run was slowed by the others, however long it took: it does not shrink."""
        ratio = run_time / work
        if now >= self.next_update_at:
            threshold = max(THRESHOLD_DEVIATIONS * self.deviation, MIN_THRESHOLD_SHARE * self.average_ratio)
            slow = ratio > self.average_ratio + threshold
            if (slow or back_pressure) and not cores_idle:
                self._halve()
            elif self.limit < self.ceiling and ratio <= self.average_ratio and not cores_full:
                self.limit = max(self.floor, min(in_use, self.limit) + 1)
            self.next_update_at = now + self.average_time
        self.deviation += AVERAGE_WEIGHT * (abs(ratio - self.average_ratio) - self.deviation)
        self.average_ratio += AVERAGE_WEIGHT * (ratio - self.average_ratio)
        self.average_time += AVERAGE_WEIGHT * (run_time - self.average_time)

    def record_back_pressure(self, now: float) -> None:
        """Halve the limit for back pressure that comes without a run time, at most once in an average run time."""
        if now >= self.next_update_at:
            self._halve()
            self.next_update_at = now + self.average_time

    def raise_by(self, step: int) -> None:
        """Raise the limit, up to the ceiling."""
        self.limit = min(self.ceiling, self.limit + step)

    def set_ceiling(self, ceiling: int) -> None:
        """Move the ceiling, and the limit under it."""
        self.ceiling = max(self.floor, ceiling)
        self.limit = min(self.limit, self.ceiling)

    def _halve(self) -> None:
        self.limit = max(self.floor, (self.limit + 1) // 2)
