"""The ledger of descriptors: which part of the process may hold how many, so that none takes what another needs.

Pure: it counts what it is told, and compares that with what the process is found to hold."""

from __future__ import annotations

from dataclasses import dataclass

MARGIN = 4  # descriptors that nobody gets: what opens a file for a moment finds one


@dataclass(slots=True)
class Part:
    """One part of the process."""

    reserved: int  # descriptors that are its own, whether it uses them or not
    most: int  # and how many it may hold
    held: int = 0
    refused: int = 0  # times that it got none


class Ledger:
    """`limit` descriptors of the process shared out over its parts."""

    def __init__(self, limit: int, parts: dict[str, tuple[int, int]], held: int = 0) -> None:
        """`parts`: a name to (reserved, most). `held`: what the process has open before any part begins."""
        self.limit = limit
        self.parts = {name: Part(reserved, max(reserved, most)) for name, (reserved, most) in parts.items()}
        self.other = held  # held by nobody that is known here

    @property
    def held(self) -> int:
        """Descriptors that the parts hold."""
        return sum(part.held for part in self.parts.values())

    def free(self, name: str) -> int:
        """How many more a part may take now: neither past its own bound nor into what others have reserved."""
        part = self.parts[name]
        kept = sum(max(0, other.reserved - other.held) for key, other in self.parts.items() if key != name)
        return max(0, min(part.most - part.held, self.limit - MARGIN - self.other - self.held - kept))

    def take(self, name: str) -> bool:
        """A part opens one, if it may."""
        if self.free(name) < 1:
            self.parts[name].refused += 1
            return False
        self.parts[name].held += 1
        return True

    def give(self, name: str) -> None:
        """A part has closed one."""
        part = self.parts[name]
        assert part.held > 0, name
        part.held -= 1

    def reconcile(self, really: int) -> int:
        """Compare with what the process holds: what no part accounts for is taken from the room of all. Returns by how
        many the parts together claim more than there are, which should be none."""
        self.other = max(0, really - self.held)
        return max(0, self.held - really)

    def figures(self) -> dict[str, int]:
        """For an operator."""
        figures = {"limit": self.limit, "other": self.other}
        for name, part in self.parts.items():
            figures |= {f"{name}.held": part.held, f"{name}.refused": part.refused}
        return figures
