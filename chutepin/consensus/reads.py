"""Linearizable reads: pending reads of this node, and reads that a leader serves for all members."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from .errors import RejectedError
from .messages import READ_REJECTED, ReadReady
from .outbox import Outbox
from .protocol import ReadIndexReply
from .raft import RaftNode
from .replicated_state import Outcome, OutcomeState
from .retry import PendingRequest, RetrySchedule

MAX_SERVED_READS = 1024  # reads of all members that wait for their heartbeat round at the leader


@dataclass(slots=True)
class PendingRead(PendingRequest):
    """A read of this node; `index` must be applied before it completes, None until the leader has replied."""

    index: int | None = None


class ServedRead(NamedTuple):
    """A read in progress at the leader: the requesting member and that member's number for the read."""

    member: str
    number: int


class ReadTracker:
    """The pending and served reads of one node."""

    def __init__(self, name: str, outbox: Outbox, retries: RetrySchedule) -> None:
        self._name = name
        self._outbox = outbox
        self._retries = retries
        self._pending: dict[int, PendingRead] = {}
        self._served: dict[int, ServedRead] = {}  # by the read id given to `RaftNode.read`
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of pending reads of this node."""
        return len(self._pending)

    def deadlines(self) -> Iterator[float]:
        """Iterate over the times at which `retry` is due."""
        return (pending.due_at for pending in self._pending.values())

    def new_number(self) -> int:
        """Return an unused number for a read of this node or a read served for another member."""
        self._last_number += 1
        return self._last_number

    def add(self, now: float, number: int, ticket: int, deadline: float) -> None:
        """Add a pending read; the caller sends the request."""
        self._pending[number] = PendingRead(ticket, deadline, self._retries.next_attempt(now))

    def receive_index(self, now: float, reply: ReadIndexReply, applied_index: int) -> None:
        """Record the read index from the leader's reply; after a rejection, schedule a retry."""
        pending = self._pending.get(reply.number)
        if pending is None:
            return
        if reply.commit_index == READ_REJECTED:
            pending.next_attempt = min(pending.next_attempt, self._retries.after_rejection(now))
        elif pending.index is None:
            pending.index = reply.commit_index
            self.complete(applied_index)

    def complete(self, applied_index: int) -> None:
        """Complete the pending reads whose index is applied."""
        for number, pending in list(self._pending.items()):
            if pending.index is not None and pending.index <= applied_index:
                del self._pending[number]
                self._outbox.complete(pending.ticket, Outcome(OutcomeState.COMMITTED, applied_index))

    def schedule_retries(self, now: float) -> None:
        """Schedule a retry of all pending reads at `now`; a former leader may never reply to them."""
        for pending in self._pending.values():
            pending.next_attempt = now

    def retry(self, now: float, submit: Callable[[float, int], None], retry_after_s: float) -> None:
        """Submit the reads that are due for a retry again; reject those past their deadline."""
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
        """Begin a member's read at the leader; above MAX_SERVED_READS it is dropped and the member retries."""
        if len(self._served) >= MAX_SERVED_READS:
            return
        read_id = self.new_number()
        self._served[read_id] = ServedRead(member, number)
        try:
            raft.read(read_id)
        except RejectedError:
            del self._served[read_id]
            if member != self._name:
                self._outbox.send(member, ReadIndexReply(number, READ_REJECTED))

    def finish(self, now: float, ready: ReadReady, applied_index: int) -> None:
        """Send the read index to the member that requested the read."""
        served = self._served.pop(ready.read_id, None)
        if served is None:
            return
        reply = ReadIndexReply(served.number, ready.index)
        if served.member == self._name:
            self.receive_index(now, reply, applied_index)
        else:
            self._outbox.send(served.member, reply)
