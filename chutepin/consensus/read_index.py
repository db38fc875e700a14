"""Linearizable reads by Raft's ReadIndex procedure: the leader returns the index that the reader must have applied.

A read waits for a heartbeat round that began after the read. Once a majority has acknowledged that round, it is certain
that no newer leader existed when the read began."""

from __future__ import annotations

import copy
from typing import NamedTuple

from .messages import READ_REJECTED, ReadReady
from .state import NodeState


class QueuedRead(NamedTuple):
    """A read that waits for a majority to acknowledge its heartbeat round."""

    read_id: int
    commit_index: int
    heartbeat_round: int


class ReadIndexQueue:
    """Reads at the leader that wait for their heartbeat round to be confirmed."""

    def __init__(self) -> None:
        self.pending: list[QueuedRead] = []

    def copy(self) -> ReadIndexQueue:
        """Return an independent copy."""
        other = copy.copy(self)
        other.pending = self.pending[:]
        return other

    def add(self, read: QueuedRead) -> None:
        """Add a read to the queue."""
        self.pending.append(read)

    def answer(self, state: NodeState, confirmed_round: int) -> None:
        """Complete the reads of all rounds up to `confirmed_round`, which a majority has acknowledged."""
        for read in self.pending:
            if read.heartbeat_round <= confirmed_round:
                state.effects.append(ReadReady(read.read_id, read.commit_index))
        self.pending = [read for read in self.pending if read.heartbeat_round > confirmed_round]

    def fail(self, state: NodeState) -> None:
        """Reject all pending reads when this node stops being leader."""
        for read in self.pending:
            state.effects.append(ReadReady(read.read_id, READ_REJECTED))
        self.pending.clear()
