"""The queue of reports to the decision module, which processes them one at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..clock import Clock
from ..facade import CallerDisconnected, Facade, Report, RunEnded
from .attempts import NOT_STARTED, OpenAttempts


class DecisionQueue:
    """The only caller of the decision module.

    The module is never re-entered: reports that its actions cause are queued until the current step is done."""

    def __init__(self, facade: Facade, reports: deque[Report], attempts: OpenAttempts, clock: Clock) -> None:
        self.facade = facade
        self._reports = reports
        self._attempts = attempts
        self._clock = clock
        self._is_running_step = False

    def report(self, report: Report) -> None:
        """Report to the decision module, at once or after its current step."""
        self._reports.append(report)
        self.run()

    def run(self, step: Callable[[], None] | None = None) -> None:
        """Run a step of the decision module, then pass on queued reports in order; do nothing if a step is running."""
        if self._is_running_step:
            return
        self._is_running_step = True
        try:
            if step is not None:
                step()
            while self._reports:
                report = self._reports.popleft()
                self.facade.report(self._clock.now(), report)
                self._remove_if_over(report)
        finally:
            self._is_running_step = False

    def _remove_if_over(self, report: Report) -> None:
        if isinstance(report, RunEnded):
            self._attempts.remove(report.id)
        elif isinstance(report, CallerDisconnected):
            attempt = self._attempts.by_id.get(report.id)
            if attempt is not None and attempt.phase in NOT_STARTED:
                self._attempts.remove(report.id)
