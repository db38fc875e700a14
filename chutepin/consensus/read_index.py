"""Linearizable reads: a leader names the index up to which a reader must have applied.

A read waits for a heartbeat round that began after it; once a majority has answered that round, no other node can have
led before the read (the ReadIndex procedure of Raft)."""

from __future__ import annotations

import copy
from typing import NamedTuple

from .messages import READ_ELSEWHERE, ReadReady
from .state import NodeState


class PendingRead(NamedTuple):
    """A read that waits for its heartbeat round."""

    read_id: int
    commit_index: int
    heartbeat_round: int


class ReadIndexQueue:
    """Reads of a leader that wait for a majority."""

    def __init__(self) -> None:
        self.pending: list[PendingRead] = []

    def copy(self) -> ReadIndexQueue:
        """Return an independent copy."""
        other = copy.copy(self)
        other.pending = self.pending[:]
        return other

    def add(self, read: PendingRead) -> None:
        """Have a read wait."""
        self.pending.append(read)

    def answer(self, state: NodeState, confirmed_round: int) -> None:
        """Answer the reads of all rounds up to the one that a majority has answered."""
        for read in self.pending:
            if read.heartbeat_round <= confirmed_round:
                state.effects.append(ReadReady(read.read_id, read.commit_index))
        self.pending = [read for read in self.pending if read.heartbeat_round > confirmed_round]

    def fail(self, state: NodeState) -> None:
        """Send all readers elsewhere: this node leads no longer."""
        for read in self.pending:
            state.effects.append(ReadReady(read.read_id, READ_ELSEWHERE))
        self.pending.clear()
