"""The leader's replication progress for each follower."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import NamedTuple


class Batch(NamedTuple):
    """Entries that were sent and are not yet acknowledged."""

    last_index: int
    size_bytes: int


@dataclass(slots=True)
class Progress:
    """The replication progress of one follower and the entries in flight to it."""

    next_index: int
    match_index: int = 0
    probing: bool = True  # the match index is unknown: one message in flight at a time
    in_flight: list[Batch] = field(default_factory=list)
    last_contact: float = -math.inf
    heartbeat_round: int = 0  # the latest round acknowledged by the follower
    snapshot_index: int = 0  # index of the snapshot being transferred to the follower
    snapshot_offset: int = 0  # bytes of that snapshot received by the follower
    chunk_in_flight: bool = False
    announced_commit: int = 0  # the commit index last sent to the follower

    def copy(self) -> Progress:
        """Return an independent copy."""
        return replace(self, in_flight=self.in_flight[:])

    def record_contact(self, now: float, heartbeat_round: int) -> None:
        """Record the time and heartbeat round of a reply."""
        self.last_contact = now
        self.heartbeat_round = max(self.heartbeat_round, heartbeat_round)

    def record_match(self, match_index: int) -> None:
        """Record that the follower's log matches up to `match_index`."""
        self.probing = False
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.in_flight = [batch for batch in self.in_flight if batch.last_index > self.match_index]

    def record_mismatch(self, hint: int, last_index: int) -> None:
        """Record a log mismatch: probe again after index `hint`; `last_index` is the end of the leader's log."""
        self.probing = True
        self.next_index = min(max(self.match_index, hint) + 1, last_index + 1)
        self.in_flight.clear()
