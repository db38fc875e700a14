"""Counts of requests by class and outcome, taken where the broker decides the outcome.

No I/O, and bounded: one row for each class of the settings, made at the start. What is open is counted apart from what
has ended, so that the two can be checked against each other."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class ClassCounts:
    """One class, from the start of the process."""

    received: int = 0
    answered: int = 0  # served
    deferred: int = 0  # refused: it never ran
    errored: int = 0  # failed
    withdrawn: int = 0  # the caller had gone, so that no answer was due


class RequestMetrics:
    """Counts of one process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.rows = {name: ClassCounts() for name in classes}
        self.current = 0  # requests received that are owed an answer
        self.runs_sent = 0  # runs handed to the executor

    def request_received(self, cls: str) -> None:
        """A request came in. A class that the settings do not name has no row and is not counted."""
        if (row := self.rows.get(cls)) is not None:
            row.received += 1
            self.current += 1

    def request_ended(self, cls: str, state: str) -> None:
        """A request that was received has its outcome; `state` names a column of `ClassCounts`."""
        if (row := self.rows.get(cls)) is not None:
            setattr(row, state, getattr(row, state) + 1)
            self.current -= 1

    def is_consistent(self, awaiting_response: int) -> bool:
        """All that was received is accounted for, and the broker's own count of open requests agrees."""
        ended = sum(row.answered + row.deferred + row.errored + row.withdrawn for row in self.rows.values())
        return (
            sum(row.received for row in self.rows.values()) == ended + self.current
            and self.current == awaiting_response
        )
