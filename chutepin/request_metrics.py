"""Counts requests by class and outcome, where the broker decides the outcome.

The module does no I/O and its memory is bounded: one row for each class of the settings, created at the start. Open
requests are counted apart from ended ones, so that the two counts can be checked against each other."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class ClassCounts:
    """The counts of one class since the start of the process."""

    received: int = 0
    answered: int = 0  # served
    deferred: int = 0  # refused without a run
    errored: int = 0  # failed
    withdrawn: int = 0  # ended without an answer because the caller had disconnected or cancelled


class RequestMetrics:
    """The request counts of one process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.rows = {name: ClassCounts() for name in classes}
        self.current = 0  # open requests: received and not ended
        self.runs_sent = 0  # runs sent to the executor

    def request_received(self, cls: str) -> None:
        """Count a received request. A class that the settings do not contain has no row and is not counted."""
        if (row := self.rows.get(cls)) is not None:
            row.received += 1
            self.current += 1

    def request_ended(self, cls: str, state: str) -> None:
        """Count the outcome of a received request; `state` is a field of `ClassCounts`."""
        if (row := self.rows.get(cls)) is not None:
            setattr(row, state, getattr(row, state) + 1)
            self.current -= 1

    def is_consistent(self, awaiting_response: int) -> bool:
        """Return whether each received request is open or ended, and the broker counts as many open requests."""
        ended = sum(row.answered + row.deferred + row.errored + row.withdrawn for row in self.rows.values())
        return (
            sum(row.received for row in self.rows.values()) == ended + self.current
            and self.current == awaiting_response
        )
