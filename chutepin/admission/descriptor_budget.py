"""Budget of file descriptors, which guarantees each part of the process its reserved share.

No I/O: the parts report the descriptors they open and close; `reconcile` compares the sum with the actual number."""

from __future__ import annotations

from dataclasses import dataclass

MARGIN_DESCRIPTORS = 4  # never granted, so that code outside the budget can open a file briefly


@dataclass(slots=True)
class DescriptorShare:
    """The descriptor share of one part of the process."""

    reserved: int  # guaranteed to the part, whether used or not
    maximum: int
    in_use: int = 0
    refused: int = 0  # number of refused requests


class DescriptorBudget:
    """Divides `limit` descriptors among the parts of the process."""

    def __init__(self, limit: int, parts: dict[str, tuple[int, int]], in_use: int = 0) -> None:
        """`parts` maps names to (reserved, maximum). `in_use` is the number of descriptors already open."""
        self.limit = limit
        self.parts = {
            name: DescriptorShare(reserved, max(reserved, maximum)) for name, (reserved, maximum) in parts.items()
        }
        self.unattributed = in_use  # open descriptors that no part accounts for

    def reserve(self, name: str, descriptors: int) -> None:
        """Change the reserved share of a part; a part that is new to the budget may hold its reserve at most."""
        share = self.parts.setdefault(name, DescriptorShare(0, 0))
        share.reserved = descriptors
        share.maximum = max(share.maximum, descriptors)

    @property
    def in_use(self) -> int:
        """Number of descriptors held by all parts."""
        return sum(part.in_use for part in self.parts.values())

    def available(self, name: str) -> int:
        """Return how many more descriptors a part may open without exceeding its maximum or using others' reserves."""
        part = self.parts[name]
        reserved = sum(max(0, other.reserved - other.in_use) for key, other in self.parts.items() if key != name)
        unreserved = self.limit - MARGIN_DESCRIPTORS - self.unattributed - self.in_use - reserved
        return max(0, min(part.maximum - part.in_use, unreserved))

    def acquire(self, name: str) -> bool:
        """Count a descriptor that a part is about to open; return False if the budget refuses it."""
        part = self.parts[name]
        if self.available(name) < 1:
            part.refused += 1
            return False
        part.in_use += 1
        return True

    def release(self, name: str) -> None:
        """Count a descriptor that a part has closed."""
        part = self.parts[name]
        assert part.in_use > 0, name
        part.in_use -= 1

    def reconcile(self, open_descriptors: int) -> int:
        """Compare with the number of open descriptors of the process, and deduct unattributed ones from the budget.

        Returns by how many the sum over the parts exceeds the actual number, which should be 0."""
        self.unattributed = max(0, open_descriptors - self.in_use)
        return max(0, self.in_use - open_descriptors)

    def metrics(self) -> dict[str, int]:
        """Return the counters for the operator, under their names in the log."""
        metrics = {"limit": self.limit, "other": self.unattributed}
        for name, part in self.parts.items():
            metrics |= {f"{name}.held": part.in_use, f"{name}.refused": part.refused}
        return metrics
