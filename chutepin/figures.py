"""Counts of requests by class and outcome, taken where the core decides the outcome. No I/O, and bounded: one row for
each class of the settings, made at the start.

What is open is counted apart from what has ended, so that the books can be checked against each other."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class Row:
    """One class, from the start of the process."""

    taken: int = 0
    answered: int = 0  # served
    deferred: int = 0  # refused: it never ran
    errored: int = 0  # failed
    withdrawn: int = 0  # the caller had gone, so that no answer was due


class Figures:
    """The books of one process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.rows = {name: Row() for name in classes}
        self.current = 0  # requests taken that are owed an answer
        self.sends = 0  # runs handed to the executor

    def taken(self, cls: str) -> None:
        """A request came in. A class that the settings do not name has no row and is not counted."""
        if (row := self.rows.get(cls)) is not None:
            row.taken += 1
            self.current += 1

    def ended(self, cls: str, state: str) -> None:
        """A request that was taken has its outcome; `state` names a column of `Row`."""
        if (row := self.rows.get(cls)) is not None:
            setattr(row, state, getattr(row, state) + 1)
            self.current -= 1

    def balanced(self, owed: int) -> bool:
        """All that was taken is accounted for, and what the core owes is what is open here."""
        ended = sum(row.answered + row.deferred + row.errored + row.withdrawn for row in self.rows.values())
        return sum(row.taken for row in self.rows.values()) == ended + self.current and self.current == owed
