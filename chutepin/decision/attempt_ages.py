"""How much of its deadline a request has already spent on earlier attempts.

No caller says so. Where callers pass a deadline, first attempts wait one of few shares of the class's deadline, by
habit of their callers, while what earlier attempts left of it is hardly seen twice.
"""

from __future__ import annotations

from .events import Request
from .settings import RequestClass

RETRY_SHARE_WEIGHT = 0.05  # of a new request in the share of retries
MAX_WAIT_SHARES = 300  # remembered
WAIT_SHARE_STEP = 0.002  # waits this close, as shares of the deadline, count as the same
MIN_FIRST_ATTEMPT_SHARE = 0.05  # a wait that this share of the attempts has is a first attempt's


class AttemptAges:
    """Learns which waits are those of first attempts."""

    def __init__(self, retries_are_marked: bool) -> None:
        self.retries_are_marked = retries_are_marked
        self.wait_counts: dict[int, float] = {}  # by share of the deadline in steps: how often of late
        self.attempts = 0.0  # sum of the counts
        self.retry_share = 0.0  # of all requests, below 1

    def record_request(self, is_retry: bool) -> None:
        """Take in whether a request is marked as a retry."""
        self.retry_share += RETRY_SHARE_WEIGHT * (is_retry - self.retry_share)

    def earlier_attempts_time(
        self, request: Request, arrived_at: float, request_class: RequestClass, time_to_rejection: float
    ) -> float:
        """Seconds spent on earlier attempts; 0 for what looks like a first one."""
        if request.due is None:
            if not request.is_retry:
                return 0.0
            # As many rejections, each as long as here, as there are retries for one first attempt.
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
            self._forget_rare_waits()
        if similar >= MIN_FIRST_ATTEMPT_SHARE * self.attempts:
            return 0.0
        return max(0.0, 1 - wait_share) * request_class.deadline

    def _forget_rare_waits(self) -> None:
        self.wait_counts = {step: count / 2 for step, count in self.wait_counts.items() if count > 1}
        self.attempts = sum(self.wait_counts.values())
