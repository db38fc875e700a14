"""Holds the named counters of the process, including those of violated invariants."""

from __future__ import annotations

from collections import Counter


class Counters:
    """A set of named counters: messages received, sent and answered, errors, and violated invariants."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Increase a counter."""
        self.counts[name] += by

    def check_invariant(self, condition: bool, name: str) -> bool:
        """Count a violated invariant, and assert it unless assertions are off (`python -O`); return `condition`."""
        if not condition:
            self.add(f"invariant.{name}")
        assert condition, name
        return condition

    def as_line(self) -> str:
        """Return all counters on one line."""
        return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
