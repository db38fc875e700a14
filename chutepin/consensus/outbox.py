"""The effects requested by a participant: those of Raft, and its own messages, request outcomes and log events."""

from __future__ import annotations

from typing import NamedTuple

from .messages import Apply, Persist, ReadReady, Restore
from .protocol import ParticipantMessage
from .replicated_state import Outcome


class Send(NamedTuple):
    """An effect: send a message to another node."""

    to: str
    message: ParticipantMessage


class RequestCompleted(NamedTuple):
    """An effect: deliver the outcome of the request with this ticket."""

    ticket: int
    outcome: Outcome


class LogEvent(NamedTuple):
    """An effect: write an event to the node's log."""

    name: str
    fields: dict[str, object]


Effect = Persist | Apply | Restore | ReadReady | Send | RequestCompleted | LogEvent


class Outbox:
    """The queue of effects that have not been carried out yet."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []
        self._last_ticket = 0

    def new_ticket(self) -> int:
        """Return an unused ticket for a request."""
        self._last_ticket += 1
        return self._last_ticket

    def add(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def send(self, to: str, message: ParticipantMessage) -> None:
        """Add an effect that sends a message."""
        self.add(Send(to, message))

    def complete(self, ticket: int, outcome: Outcome) -> None:
        """Add an effect that delivers the outcome of a request."""
        self.add(RequestCompleted(ticket, outcome))

    def log(self, name: str, fields: dict[str, object]) -> None:
        """Add an effect that logs an event."""
        self.add(LogEvent(name, fields))

    def drain(self) -> list[Effect]:
        """Return and remove all queued effects, in order."""
        effects = self._effects
        self._effects = []
        return effects
