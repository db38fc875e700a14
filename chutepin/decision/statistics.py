"""Averages learned about classes of requests, rejections and waits of unread requests."""

from __future__ import annotations

from collections.abc import Sequence

from .settings import RequestClass

AVERAGE_WEIGHT = 0.1  # of a new sample in an average
UNREAD_WEIGHT = 0.2  # of a new wait in the average of unread waits
REJECTION_WEIGHT = 0.05  # of a request in the share that is rejected
UNREAD_PRESSURE_SHARE = 0.3  # of a run time: unread waits above it are back pressure, as reading shares the cores


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


class UnreadWait:
    """How long requests wait until they are read, pauses of the process left out. In seconds."""

    def __init__(self) -> None:
        self.average = 0.0

    def record(self, wait: float) -> None:
        """Take in the wait of a request."""
        self.average += UNREAD_WEIGHT * (wait - self.average)

    def is_long(self, run_time: float) -> bool:
        """Whether the wait is back pressure, where a run usually takes so long."""
        return self.average > UNREAD_PRESSURE_SHARE * run_time

    def is_short(self, run_time: float) -> bool:
        """Whether the wait is too short for reading to have the cores, where a run usually takes so long."""
        return self.average < UNREAD_PRESSURE_SHARE * run_time
