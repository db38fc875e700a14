"""The budget of file descriptors: how many each part of the process may hold, so that none takes what another needs.

Pure: it counts what it is told, and compares that with what the process is found to hold."""

from __future__ import annotations

from dataclasses import dataclass

MARGIN_DESCRIPTORS = 4  # never granted: whatever opens a file for a moment finds one


@dataclass(slots=True)
class DescriptorShare:
    """The share of one part of the process."""

    reserved: int  # its own, whether it uses them or not
    maximum: int
    in_use: int = 0
    refused: int = 0  # times that none was granted


class DescriptorBudget:
    """`limit` descriptors of the process, shared out over its parts."""

    def __init__(self, limit: int, parts: dict[str, tuple[int, int]], in_use: int = 0) -> None:
        """`parts`: a name to (reserved, maximum). `in_use`: what the process has open before any part begins."""
        self.limit = limit
        self.parts = {name: DescriptorShare(reserved, max(reserved, most)) for name, (reserved, most) in parts.items()}
        self.unattributed = in_use  # open, but held by no part that is known here

    @property
    def in_use(self) -> int:
        """Descriptors that the parts hold."""
        return sum(part.in_use for part in self.parts.values())

    def available(self, name: str) -> int:
        """How many more a part may open now: neither past its own maximum nor into what others have reserved."""
        part = self.parts[name]
        reserved = sum(max(0, other.reserved - other.in_use) for key, other in self.parts.items() if key != name)
        left = self.limit - MARGIN_DESCRIPTORS - self.unattributed - self.in_use - reserved
        return max(0, min(part.maximum - part.in_use, left))

    def acquire(self, name: str) -> bool:
        """A part opens a descriptor; false if it may not."""
        part = self.parts[name]
        if self.available(name) < 1:
            part.refused += 1
            return False
        part.in_use += 1
        return True

    def release(self, name: str) -> None:
        """A part has closed a descriptor."""
        part = self.parts[name]
        assert part.in_use > 0, name
        part.in_use -= 1

    def reconcile(self, really: int) -> int:
        """Compare with the number that the process really holds; what no part accounts for is nobody's to grant.

        Returns by how many the parts together claim more than there are, which should be none."""
        self.unattributed = max(0, really - self.in_use)
        return max(0, self.in_use - really)

    def metrics(self) -> dict[str, int]:
        """Counters for an operator. The names are those of the log."""
        metrics = {"limit": self.limit, "other": self.unattributed}
        for name, part in self.parts.items():
            metrics |= {f"{name}.held": part.in_use, f"{name}.refused": part.refused}
        return metrics
