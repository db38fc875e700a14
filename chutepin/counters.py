"""Named counters of what is received, sent and answered, and of invariants that did not hold."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counts of what is taken in, sent and answered, and of invariants that did not hold."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Count an occurrence."""
        self.counts[name] += by

    def check_invariant(self, condition: bool, name: str) -> bool:
        """Check an invariant: asserted in debug builds, counted in release builds (`python -O`)."""
        if not condition:
            self.add(f"invariant.{name}")
        assert condition, name
        return condition

    def as_line(self) -> str:
        """All counts on one line."""
        return " ".join(f"{name}={count}" for name, count in sorted(self.counts.items()))
