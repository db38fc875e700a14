"""The decision module's side of the broker: events go in one at a time, and what its actions cause comes after."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..clock import Clock
from ..facade import CallerDisconnected, Facade, Report, RunEnded
from .attempts import NOT_STARTED, OpenAttempts


class DecisionQueue:
    """Passes reports to the decision module. It is never entered while it acts: what a port reports then waits."""

    def __init__(self, facade: Facade, reports: deque[Report], attempts: OpenAttempts, clock: Clock) -> None:
        self.facade = facade
        self._reports = reports
        self._attempts = attempts
        self._clock = clock
        self._is_acting = False

    def report(self, report: Report) -> None:
        """Report to the module, now or once it has acted."""
        self._reports.append(report)
        self.run()

    def run(self, step: Callable[[], None] | None = None) -> None:
        """Take a step of the module, then pass on what its actions brought about, one after the other."""
        if self._is_acting:
            return
        self._is_acting = True
        try:
            if step is not None:
                step()
            while self._reports:
                report = self._reports.popleft()
                self.facade.report(self._clock.now(), report)
                self._forget_if_over(report)
        finally:
            self._is_acting = False

    def _forget_if_over(self, report: Report) -> None:
        if isinstance(report, RunEnded):
            self._attempts.forget(report.id)
        elif isinstance(report, CallerDisconnected):
            attempt = self._attempts.by_id.get(report.id)
            if attempt is not None and attempt.phase in NOT_STARTED:
                self._attempts.forget(report.id)
