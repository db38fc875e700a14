"""Reads: those of this node that wait for an index or for its state, and those of others that a leader serves."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from .errors import RejectedError
from .messages import READ_ELSEWHERE, ReadReady
from .outbox import Outbox
from .protocol import ReadIndexReply
from .raft import RaftNode
from .replicated_state import Outcome, OutcomeState
from .retry import PendingRequest, RetrySchedule

MAX_SERVED_READS = 1024  # of all members, waiting for their heartbeat round


@dataclass(slots=True)
class PendingRead(PendingRequest):
    """A read of this node; `index` is what its state must show, None until the leader has named it."""

    index: int | None = None


class ServedRead(NamedTuple):
    """A read that the leader has begun: who asked for it, under which number."""

    member: str
    number: int


class ReadTracker:
    """The reads of one node."""

    def __init__(self, name: str, outbox: Outbox, retries: RetrySchedule) -> None:
        self._name = name
        self._outbox = outbox
        self._retries = retries
        self._pending: dict[int, PendingRead] = {}
        self._served: dict[int, ServedRead] = {}  # by Raft's read id
        self._last_number = 0

    def __len__(self) -> int:
        """Return how many reads of this node have no outcome yet."""
        return len(self._pending)

    def deadlines(self) -> Iterator[float]:
        """Iterate over the times at which `retry` is due."""
        return (pending.wakes_at for pending in self._pending.values())

    def new_number(self) -> int:
        """Return a number for a read, of this node or served for another."""
        self._last_number += 1
        return self._last_number

    def add(self, now: float, number: int, ticket: int, deadline: float) -> None:
        """Wait for the outcome of a read that is about to be sent."""
        self._pending[number] = PendingRead(ticket, deadline, self._retries.next_attempt(now))

    def receive_index(self, now: float, reply: ReadIndexReply, applied_index: int) -> None:
        """Take the leader's index for a read."""
        pending = self._pending.get(reply.number)
        if pending is None:
            return
        if reply.commit_index == READ_ELSEWHERE:
            pending.next_attempt = min(pending.next_attempt, self._retries.after_rejection(now))
        elif pending.index is None:
            pending.index = reply.commit_index
            self.complete(applied_index)

    def complete(self, applied_index: int) -> None:
        """Answer the reads whose index is applied."""
        for number, pending in list(self._pending.items()):
            if pending.index is not None and pending.index <= applied_index:
                del self._pending[number]
                self._outbox.complete(pending.ticket, Outcome(OutcomeState.COMMITTED, applied_index))

    def retry_at(self, now: float) -> None:
        """Have all reads sent again: what was sent to the former leader may never be answered."""
        for pending in self._pending.values():
            pending.next_attempt = now

    def retry(self, now: float, submit: Callable[[float, int], None], retry_after_s: float) -> None:
        """Send what is due again; answer what has run out of time."""
        for number, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[number]
                outcome = Outcome(
                    OutcomeState.REJECTED, reason="no leader answered in time", retry_after_s=retry_after_s
                )
                self._outbox.complete(pending.ticket, outcome)
            elif now >= pending.next_attempt:
                pending.next_attempt = self._retries.next_attempt(now)
                if pending.index is None:
                    submit(now, number)

    def serve(self, raft: RaftNode, member: str, number: int) -> None:
        """Begin a member's read at the leader. Over the limit it is dropped; the member tries again."""
        if len(self._served) >= MAX_SERVED_READS:
            return
        read_id = self.new_number()
        self._served[read_id] = ServedRead(member, number)
        try:
            raft.read(read_id)
        except RejectedError:
            del self._served[read_id]
            if member != self._name:
                self._outbox.send(member, ReadIndexReply(number, READ_ELSEWHERE))

    def finish(self, now: float, ready: ReadReady, applied_index: int) -> None:
        """Tell the member that asked for a read its index."""
        served = self._served.pop(ready.read_id, None)
        if served is None:
            return
        reply = ReadIndexReply(served.number, ready.index)
        if served.member == self._name:
            self.receive_index(now, reply, applied_index)
        else:
            self._outbox.send(served.member, reply)
