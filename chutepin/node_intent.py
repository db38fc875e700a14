"""Holds what operators have told the node as a whole, in a form that its processes can merge. Pure."""

from __future__ import annotations

from typing import NamedTuple


class NodeIntent(NamedTuple):
    """What the node was told, as far as one of its processes knows.

    Processes exchange and merge their copies. The merge does not depend on order or repetition, so that all processes
    that have exchanged their copies agree."""

    sequence: int = 0  # number of the last drain or resume; a higher number is newer
    is_drained: bool = False

    def drained(self) -> NodeIntent:
        """Return the intent after an operator's drain."""
        return NodeIntent(self.sequence + 1, is_drained=True)

    def resumed(self) -> NodeIntent:
        """Return the intent after an operator's resume."""
        return NodeIntent(self.sequence + 1, is_drained=False)

    def merged_with(self, other: NodeIntent) -> NodeIntent:
        """Return the newer of both.

        Of a drain and a resume with the same number, given to two processes at once, the drain applies: a node that is
        kept out of service harms no client."""
        return max(self, other)
