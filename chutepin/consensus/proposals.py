"""Pending proposals of this node: retries, deadlines and completion."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .outbox import Outbox
from .protocol import ForwardProposal, ProposalRejected
from .replicated_state import MAX_PROPOSAL_BYTES, PROPOSAL_ID_BYTES, Outcome, OutcomeState, ReplicatedState
from .retry import PendingRequest, RetrySchedule


@dataclass(slots=True)
class PendingProposal(PendingRequest):
    """A proposal that has no outcome yet."""

    message: ForwardProposal
    repeated: bool  # whether an earlier attempt may still be committed


class ProposalTracker:
    """The pending proposals of one node, by id."""

    def __init__(self, outbox: Outbox, retries: RetrySchedule) -> None:
        self._outbox = outbox
        self._retries = retries
        self._pending: dict[bytes, PendingProposal] = {}

    def __len__(self) -> int:
        """Return the number of pending proposals."""
        return len(self._pending)

    def __contains__(self, proposal_id: bytes) -> bool:
        """Return whether a proposal with this id is pending."""
        return proposal_id in self._pending

    def rejection_reason(self, proposal_id: bytes, data: bytes) -> str | None:
        """Return the reason to reject a proposal before it is sent; None if it is acceptable."""
        if len(proposal_id) != PROPOSAL_ID_BYTES or len(data) > MAX_PROPOSAL_BYTES:
            return f"an id has {PROPOSAL_ID_BYTES} bytes, a proposal up to {MAX_PROPOSAL_BYTES}"
        return "under way" if proposal_id in self._pending else None

    def deadlines(self) -> Iterator[float]:
        """Iterate over the times at which `retry` is due."""
        return (pending.due_at for pending in self._pending.values())

    def add(self, now: float, ticket: int, message: ForwardProposal, deadline: float, *, repeated: bool) -> None:
        """Add a pending proposal; the caller sends the message."""
        next_attempt = self._retries.next_attempt(now)
        self._pending[message.proposal_id] = PendingProposal(ticket, deadline, next_attempt, message, repeated)

    def complete(self, proposal_id: bytes, outcome: Outcome) -> None:
        """Complete a proposal decided by an applied entry, if it is pending on this node."""
        pending = self._pending.pop(proposal_id, None)
        if pending is not None:
            self._outbox.complete(pending.ticket, outcome)

    def complete_decided(self, state: ReplicatedState) -> None:
        """Complete all pending proposals whose outcome is in `state`, after a snapshot replaced their entries."""
        for proposal_id in list(self._pending):
            outcome = state.outcome(proposal_id)
            if outcome is not None:
                self.complete(proposal_id, outcome)

    def receive_rejection(self, now: float, message: ProposalRejected) -> None:
        """Schedule a retry, or complete the proposal if the rejection is final.

        The outcome of a final rejection is UNKNOWN if an earlier attempt may still be committed."""
        pending = self._pending.get(message.proposal_id)
        if pending is None:
            return
        if message.final:
            del self._pending[message.proposal_id]
            state = OutcomeState.UNKNOWN if pending.repeated else OutcomeState.REJECTED
            self._outbox.complete(pending.ticket, Outcome(state, reason=message.reason))
        else:
            pending.next_attempt = min(pending.next_attempt, self._retries.after_rejection(now))

    def schedule_retries(self, now: float) -> None:
        """Schedule a retry of all pending proposals at `now`; a former leader may never reply to them."""
        for pending in self._pending.values():
            pending.next_attempt = now

    def retry(self, now: float, submit: Callable[[float, ForwardProposal], None]) -> None:
        """Submit the proposals that are due for a retry again; complete those past their deadline as UNKNOWN."""
        for proposal_id, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[proposal_id]
                self._outbox.complete(pending.ticket, Outcome(OutcomeState.UNKNOWN, reason="not decided in time"))
            elif now >= pending.next_attempt:
                pending.next_attempt = self._retries.next_attempt(now)
                pending.repeated = True
                submit(now, pending.message)
