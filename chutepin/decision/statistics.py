"""Moving averages by class of requests, of rejections and of the wait of unread requests."""

from __future__ import annotations

from collections.abc import Sequence

from .settings import RequestClass

AVERAGE_WEIGHT = 0.1  # weight of a new sample in a moving average by class
UNREAD_WEIGHT = 0.2  # weight of a new wait in the average of unread waits
REJECTION_WEIGHT = 0.05  # weight of a request in the rejected share
# Unread waits above this share of a run time are back pressure: reading and runs share the cores.
UNREAD_PRESSURE_SHARE = 0.3


class ClassStatistics:
    """Moving averages by class, in seconds."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.work = [request_class.latency_objective / 5 for request_class in classes]  # used for requests without hint
        self.time_to_rejection = [0.0] * len(classes)
        self.call_wait = [0.0] * len(classes)

    def record_work(self, index: int, work: float) -> None:
        """Update the average work by the core time of a run."""
        self.work[index] += AVERAGE_WEIGHT * (work - self.work[index])

    def record_call_wait(self, index: int, wait: float) -> None:
        """Update the average time that runs spend in calls."""
        self.call_wait[index] += AVERAGE_WEIGHT * (wait - self.call_wait[index])

    def record_rejection(self, index: int, elapsed: float) -> None:
        """Update the average time from arrival to rejection."""
        self.time_to_rejection[index] += AVERAGE_WEIGHT * (elapsed - self.time_to_rejection[index])


class RejectionStatistics:
    """Recent share of rejected requests, and rejection counts by reason."""

    def __init__(self) -> None:
        self.share = 0.0
        self.by_reason: dict[str, int] = {}

    def record_request(self) -> None:
        """Decay the rejected share by one arriving request."""
        self.share *= 1 - REJECTION_WEIGHT

    def record_rejection(self, reason: str) -> None:
        """Count a rejection."""
        self.share += REJECTION_WEIGHT
        self.by_reason[reason] = self.by_reason.get(reason, 0) + 1


class UnreadWait:
    """Average wait of requests until they are read, without pauses of the process, in seconds."""

    def __init__(self) -> None:
        self.average = 0.0

    def record(self, wait: float) -> None:
        """Update the average by the wait of a request."""
        self.average += UNREAD_WEIGHT * (wait - self.average)

    def is_long(self, run_time: float) -> bool:
        """Return whether the wait is back pressure, given the usual run time."""
        return self.average > UNREAD_PRESSURE_SHARE * run_time

    def is_short(self, run_time: float) -> bool:
        """Return whether the wait is too short for reading to occupy the cores, given the usual run time."""
        return self.average < UNREAD_PRESSURE_SHARE * run_time
