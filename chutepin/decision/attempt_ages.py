"""Estimate of the time that a request has already spent on earlier attempts.

Callers do not send this time. Where callers pass a deadline, the remaining time of a first attempt is one of a few
shares of the class's deadline, which each caller configures, while the remaining time of a retry is nearly unique.
"""

from __future__ import annotations

from .events import Request
from .settings import RequestClass

RETRY_SHARE_WEIGHT = 0.05  # weight of a new request in the share of retries
MAX_WAIT_SHARES = 300  # distinct waits kept
WAIT_SHARE_STEP = 0.002  # waits are counted in steps of this share of the deadline
MIN_FIRST_ATTEMPT_SHARE = 0.05  # a wait is a first attempt's if at least this share of the attempts has it


class AttemptAges:
    """Statistics that tell first attempts from retries by the time that their callers wait."""

    def __init__(self, retries_are_marked: bool) -> None:
        self.retries_are_marked = retries_are_marked
        self.wait_counts: dict[int, float] = {}  # recent count by wait, in steps of a share of the deadline
        self.attempts = 0.0  # sum of `wait_counts`
        self.retry_share = 0.0  # recent share of retries among all requests, below 1

    def record_request(self, is_retry: bool) -> None:
        """Update the share of retries from a request's retry mark."""
        self.retry_share += RETRY_SHARE_WEIGHT * (is_retry - self.retry_share)

    def earlier_attempts_time(
        self, request: Request, arrived_at: float, request_class: RequestClass, time_to_rejection: float
    ) -> float:
        """Return the seconds spent on earlier attempts; 0 for a request that looks like a first attempt."""
        if request.due is None:
            if not request.is_retry:
                return 0.0
            # The mean number of retries per first attempt, each as long as a rejection takes on this server.
            return time_to_rejection * self.retry_share / (1 - self.retry_share)
        wait_share = (request.due - arrived_at) / request_class.deadline
        step = round(wait_share / WAIT_SHARE_STEP)
        counts = self.wait_counts
        is_marked_first = self.retries_are_marked and not request.is_retry
        if is_marked_first or not self.retries_are_marked:
            counts[step] = counts.get(step, 0.0) + 1
            self.attempts += 1
        if is_marked_first:
            return 0.0
        similar = sum(counts.get(near, 0.0) for near in (step - 1, step, step + 1))
        if len(counts) > MAX_WAIT_SHARES:
            self._evict_rare_waits()
        if similar >= MIN_FIRST_ATTEMPT_SHARE * self.attempts:
            return 0.0
        return max(0.0, 1 - wait_share) * request_class.deadline

    def _evict_rare_waits(self) -> None:
        self.wait_counts = {step: count / 2 for step, count in self.wait_counts.items() if count > 1}
        self.attempts = sum(self.wait_counts.values())
