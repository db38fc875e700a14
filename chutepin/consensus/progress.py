"""What a leader knows of each follower."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import NamedTuple


class Batch(NamedTuple):
    """Entries that were sent and not yet acknowledged."""

    last_index: int
    size_bytes: int


@dataclass(slots=True)
class Progress:
    """How far one follower is, and what is on its way to it."""

    next_index: int
    match_index: int = 0
    probing: bool = True  # where its log ends is not known: one message at a time
    in_flight: list[Batch] = field(default_factory=list)
    last_contact: float = -math.inf
    heartbeat_round: int = 0  # the latest that it has answered
    snapshot_index: int = 0  # of the snapshot that it is being sent
    snapshot_offset: int = 0  # bytes of it that have arrived
    chunk_in_flight: bool = False
    announced_commit: int = 0  # the commit index that it was last sent

    def copy(self) -> Progress:
        """Return an independent copy."""
        return replace(self, in_flight=self.in_flight[:])

    def record_contact(self, now: float, heartbeat_round: int) -> None:
        """Note a reply."""
        self.last_contact = now
        self.heartbeat_round = max(self.heartbeat_round, heartbeat_round)

    def accept(self, match_index: int) -> None:
        """The follower's log matches up to an index."""
        self.probing = False
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.in_flight = [batch for batch in self.in_flight if batch.last_index > self.match_index]

    def back_up(self, hint: int, last_index: int) -> None:
        """The follower's log does not match; `hint` is where to try next, `last_index` the end of the leader's log."""
        self.probing = True
        self.next_index = min(max(self.match_index, hint) + 1, last_index + 1)
        self.in_flight.clear()
