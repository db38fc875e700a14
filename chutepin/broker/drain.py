"""The drain of a node that shuts down: the arrival time after which requests are no longer run."""

from __future__ import annotations

from .requests import Request


class DrainPlan:
    """The times of a drain, unset until the drain is requested."""

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self.last_arrival: float | None = None  # a request that arrives later is not run

    def begin(self, notified_at: float) -> None:
        """Start the grace period at the time of the first notification, which may lie in the past."""
        if self.last_arrival is None:
            self.last_arrival = notified_at + self._grace_s

    @property
    def notified_at(self) -> float | None:
        """Return when the drain was requested; None before."""
        return None if self.last_arrival is None else self.last_arrival - self._grace_s

    def is_too_late(self, request: Request) -> bool:
        """Return whether a request arrived after the grace period and must not run."""
        return self.last_arrival is not None and request.arrived > self.last_arrival
