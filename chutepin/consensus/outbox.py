"""What a participant asks for: Raft's effects, and messages, answers and log events of its own."""

from __future__ import annotations

from typing import NamedTuple

from .messages import Apply, Persist, ReadReady, Restore
from .protocol import ParticipantMessage
from .replicated_state import Outcome


class Send(NamedTuple):
    """Send a message to another member."""

    to: str
    message: ParticipantMessage


class RequestCompleted(NamedTuple):
    """The request with this ticket has an outcome."""

    ticket: int
    outcome: Outcome


class LogEvent(NamedTuple):
    """Write an event to the node's log."""

    name: str
    fields: dict[str, object]


Effect = Persist | Apply | Restore | ReadReady | Send | RequestCompleted | LogEvent


class Outbox:
    """Effects that are yet to be carried out, in order."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []
        self._last_ticket = 0

    def new_ticket(self) -> int:
        """Return a ticket for a request that will be completed."""
        self._last_ticket += 1
        return self._last_ticket

    def add(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def send(self, to: str, message: ParticipantMessage) -> None:
        """Have a message sent."""
        self.add(Send(to, message))

    def complete(self, ticket: int, outcome: Outcome) -> None:
        """Have a request answered."""
        self.add(RequestCompleted(ticket, outcome))

    def log(self, name: str, fields: dict[str, object]) -> None:
        """Have an event logged."""
        self.add(LogEvent(name, fields))

    def drain(self) -> list[Effect]:
        """Return all effects since the last call."""
        effects = self._effects
        self._effects = []
        return effects
