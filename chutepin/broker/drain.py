"""The drain of a node that leaves: what arrives too late to run, and when all is answered."""

from __future__ import annotations

from .requests import Request


class DrainPlan:
    """The times of a drain, once it was asked for."""

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self.last_arrival: float | None = None  # what arrives later is not run

    def begin(self, notice: float) -> None:
        """Count the grace from the first notice, which may be noticed late."""
        if self.last_arrival is None:
            self.last_arrival = notice + self._grace_s

    @property
    def notice(self) -> float | None:
        """When the node was told to leave; None while it was not."""
        return None if self.last_arrival is None else self.last_arrival - self._grace_s

    def is_too_late(self, request: Request) -> bool:
        """The request arrived after the grace: it must not run."""
        return self.last_arrival is not None and request.arrived > self.last_arrival
