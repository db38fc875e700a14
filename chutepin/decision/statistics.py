"""Averages learned about each class of requests, and about rejections."""

from __future__ import annotations

from collections.abc import Sequence

from .settings import RequestClass

AVERAGE_WEIGHT = 0.1  # of a new sample in an average
REJECTION_WEIGHT = 0.05  # of a request in the share that is rejected


class ClassStatistics:
    """Averages by class, in seconds."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.work = [request_class.latency_objective / 5 for request_class in classes]  # where no hint comes
        self.time_to_rejection = [0.0] * len(classes)
        self.call_wait = [0.0] * len(classes)

    def record_work(self, index: int, work: float) -> None:
        """Take in the core time of a run."""
        self.work[index] += AVERAGE_WEIGHT * (work - self.work[index])

    def record_call_wait(self, index: int, wait: float) -> None:
        """Take in the time that a run spent at calls."""
        self.call_wait[index] += AVERAGE_WEIGHT * (wait - self.call_wait[index])

    def record_rejection(self, index: int, elapsed: float) -> None:
        """Take in the time from arrival to rejection."""
        self.time_to_rejection[index] += AVERAGE_WEIGHT * (elapsed - self.time_to_rejection[index])


class RejectionStatistics:
    """Share of requests rejected of late, and counts by reason."""

    def __init__(self) -> None:
        self.share = 0.0
        self.by_reason: dict[str, int] = {}

    def record_request(self) -> None:
        """Take in an arrival."""
        self.share *= 1 - REJECTION_WEIGHT

    def record_rejection(self, reason: str) -> None:
        """Take in a rejection."""
        self.share += REJECTION_WEIGHT
        self.by_reason[reason] = self.by_reason.get(reason, 0) + 1
