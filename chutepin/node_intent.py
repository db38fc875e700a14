"""Holds what the node as a whole was told, in a form that its processes can merge. Pure."""

from __future__ import annotations

from typing import NamedTuple


class NodeIntent(NamedTuple):
    """What the node was told, as far as one of its processes knows.

    Processes exchange and merge their copies. The merge does not depend on order or repetition, so that all processes
    that have exchanged their copies agree."""

    sequence: int = 0  # number of the last drain or resume; a higher number is newer
    is_drained: bool = False
    left_at: float | None = None  # Unix time of the first notice to leave, which nothing undoes

    def drained(self) -> NodeIntent:
        """Return the intent after an operator's drain."""
        return self._replace(sequence=self.sequence + 1, is_drained=True)

    def resumed(self) -> NodeIntent:
        """Return the intent after an operator's resume."""
        return self._replace(sequence=self.sequence + 1, is_drained=False)

    def leaving(self, at: float) -> NodeIntent:
        """Return the intent after a notice to leave at this Unix time."""
        return self.merged_with(NodeIntent(left_at=at))

    def merged_with(self, other: NodeIntent) -> NodeIntent:
        """Return the newer drain or resume of both, and the earlier notice to leave.

        Of a drain and a resume with the same number, given to two processes at once, the drain applies: a node that is
        kept out of service harms no client."""
        sequence, is_drained = max(self[:2], other[:2])
        notices = [intent.left_at for intent in (self, other) if intent.left_at is not None]
        return NodeIntent(sequence, is_drained, min(notices, default=None))
