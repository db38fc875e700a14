"""Defines the states of one process of a node, the events that change them, and what a process does in each. Pure.

During an upgrade a node has two processes. A state says what this process was told and what the node was told; the
tables decide what health checks answer, whether new clients are accepted and whether operators' commands are taken.
`docs/operation.md` prints both tables, and a test compares the two."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from .node_intent import NodeIntent


class State(Enum):
    """The state of a process, and after a comma what the node was told."""

    STANDBY = "starting beside a predecessor"
    STANDBY_DRAINED = "starting beside a predecessor, drained"
    STARTING = "starting"  # accepts clients; the executor has not started
    STARTING_DRAINED = "starting, drained"
    SERVING = "serving"
    DRAINED = "drained"
    HANDED_OVER = "handing over"  # a successor serves; this process finishes its open requests
    HANDED_OVER_DRAINED = "handing over, drained"
    ENDING = "leaving beside another process"  # told to end while another process serves
    ENDING_DRAINED = "leaving beside another process, drained"
    LEAVING = "leaving"  # the node was told to leave


class Event(Enum):
    """An event that may change the state."""

    PREDECESSOR_FOUND = "predecessor found"
    ACCEPTING = "accepts clients"  # the predecessor has handed over, has ended or does not answer
    CAN_SERVE = "can serve"
    SUCCESSOR_SERVES = "successor serves"
    SUCCESSOR_LOST = "successor lost"
    DRAIN = "drain"  # an operator's command at either process
    RESUME = "resume"
    SIGTERM = "SIGTERM"


class NewClients(Enum):
    """Whether a process accepts new clients."""

    ACCEPTED = "accepted"
    ACCEPTED_IN_GRACE = "accepted until the grace ends"
    NOT_ACCEPTED = "not accepted"


class Commands(Enum):
    """Whether a process takes an operator's `drain` and `resume`."""

    TAKEN = "taken"
    PASSED_ON = "taken if the successor receives them"
    REFUSED = "refused"


class Behaviour(NamedTuple):
    """What a process does in a state."""

    is_healthy: bool  # whether health checks and reports to the control plane may be good
    new_clients: NewClients
    commands: Commands


# All transitions; an event that is not listed for a state has no effect.
TRANSITIONS: dict[State, dict[Event, State]] = {
    State.STANDBY: {
        Event.ACCEPTING: State.STARTING,
        Event.DRAIN: State.STANDBY_DRAINED,
        Event.RESUME: State.STANDBY,
        Event.SIGTERM: State.ENDING,
    },
    State.STANDBY_DRAINED: {
        Event.ACCEPTING: State.STARTING_DRAINED,
        Event.DRAIN: State.STANDBY_DRAINED,
        Event.RESUME: State.STANDBY,
        Event.SIGTERM: State.ENDING_DRAINED,
    },
    State.STARTING: {
        Event.PREDECESSOR_FOUND: State.STANDBY,
        Event.CAN_SERVE: State.SERVING,
        Event.SUCCESSOR_SERVES: State.HANDED_OVER,
        Event.DRAIN: State.STARTING_DRAINED,
        Event.RESUME: State.STARTING,
        Event.SIGTERM: State.LEAVING,
    },
    State.STARTING_DRAINED: {
        Event.CAN_SERVE: State.DRAINED,
        Event.SUCCESSOR_SERVES: State.HANDED_OVER_DRAINED,
        Event.DRAIN: State.STARTING_DRAINED,
        Event.RESUME: State.STARTING,
        Event.SIGTERM: State.LEAVING,
    },
    State.SERVING: {
        Event.SUCCESSOR_SERVES: State.HANDED_OVER,
        Event.DRAIN: State.DRAINED,
        Event.RESUME: State.SERVING,
        Event.SIGTERM: State.LEAVING,
    },
    State.DRAINED: {
        Event.SUCCESSOR_SERVES: State.HANDED_OVER_DRAINED,
        Event.DRAIN: State.DRAINED,
        Event.RESUME: State.SERVING,
        Event.SIGTERM: State.LEAVING,
    },
    State.HANDED_OVER: {
        Event.SUCCESSOR_LOST: State.STARTING,
        Event.DRAIN: State.HANDED_OVER_DRAINED,
        Event.RESUME: State.HANDED_OVER,
        Event.SIGTERM: State.ENDING,
    },
    State.HANDED_OVER_DRAINED: {
        Event.SUCCESSOR_LOST: State.STARTING_DRAINED,
        Event.DRAIN: State.HANDED_OVER_DRAINED,
        Event.RESUME: State.HANDED_OVER,
        Event.SIGTERM: State.ENDING_DRAINED,
    },
    State.ENDING: {
        Event.SUCCESSOR_LOST: State.ENDING,
        Event.DRAIN: State.ENDING_DRAINED,
        Event.RESUME: State.ENDING,
        Event.SIGTERM: State.ENDING,
    },
    State.ENDING_DRAINED: {
        Event.SUCCESSOR_LOST: State.ENDING_DRAINED,
        Event.DRAIN: State.ENDING_DRAINED,
        Event.RESUME: State.ENDING,
        Event.SIGTERM: State.ENDING_DRAINED,
    },
    State.LEAVING: {Event.SIGTERM: State.LEAVING},
}

BEHAVIOURS: dict[State, Behaviour] = {
    State.STANDBY: Behaviour(True, NewClients.NOT_ACCEPTED, Commands.REFUSED),
    State.STANDBY_DRAINED: Behaviour(False, NewClients.NOT_ACCEPTED, Commands.REFUSED),
    State.STARTING: Behaviour(True, NewClients.ACCEPTED, Commands.REFUSED),
    State.STARTING_DRAINED: Behaviour(False, NewClients.ACCEPTED, Commands.REFUSED),
    State.SERVING: Behaviour(True, NewClients.ACCEPTED, Commands.TAKEN),
    State.DRAINED: Behaviour(False, NewClients.ACCEPTED, Commands.TAKEN),
    State.HANDED_OVER: Behaviour(True, NewClients.NOT_ACCEPTED, Commands.PASSED_ON),
    State.HANDED_OVER_DRAINED: Behaviour(False, NewClients.NOT_ACCEPTED, Commands.PASSED_ON),
    State.ENDING: Behaviour(True, NewClients.NOT_ACCEPTED, Commands.PASSED_ON),
    State.ENDING_DRAINED: Behaviour(False, NewClients.NOT_ACCEPTED, Commands.PASSED_ON),
    State.LEAVING: Behaviour(False, NewClients.ACCEPTED_IN_GRACE, Commands.REFUSED),
}


class Lifecycle:
    """The current state of the process, and what the node was told as far as the process knows."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self.intent = NodeIntent()
        # Called after each transition with its cause and the previous state.
        self.on_transition: Callable[[Event, State], None] = lambda cause, previous: None
        self.on_intent_changed: Callable[[], None] = lambda: None

    def apply(self, event: Event) -> bool:
        """Make a transition; return False, without a change, if the current state does not allow it."""
        next_state = TRANSITIONS[self.state].get(event)
        if next_state is None:
            return False
        previous = self.state
        self.state = next_state
        self.on_transition(event, previous)
        return True

    def drain(self, pass_on: Callable[[NodeIntent], bool]) -> bool:
        """Apply an operator's drain; return False, without a change, if the process cannot keep it.

        `pass_on`: sends an intent to the successor; returns whether the successor receives it."""
        return self._command(Event.DRAIN, self.intent.drained(), pass_on)

    def resume(self, pass_on: Callable[[NodeIntent], bool]) -> bool:
        """Apply an operator's resume, as `drain` does."""
        return self._command(Event.RESUME, self.intent.resumed(), pass_on)

    def _command(self, event: Event, intent: NodeIntent, pass_on: Callable[[NodeIntent], bool]) -> bool:
        commands = self.behaviour.commands
        if commands is Commands.REFUSED or (commands is Commands.PASSED_ON and not pass_on(intent)):
            return False
        self.intent = intent
        self.apply(event)
        self.on_intent_changed()
        return True

    def merge(self, intent: NodeIntent) -> None:
        """Apply what the node was told at another process."""
        merged = self.intent.merged_with(intent)
        if merged == self.intent:
            return
        was_drained = self.intent.is_drained
        self.intent = merged
        if merged.is_drained != was_drained:
            self.apply(Event.DRAIN if merged.is_drained else Event.RESUME)
        self.on_intent_changed()

    @property
    def behaviour(self) -> Behaviour:
        """Return what the process does in its current state."""
        return BEHAVIOURS[self.state]

    @property
    def can_serve(self) -> bool:
        """Return whether the process decides and answers new requests."""
        return self.state in (State.SERVING, State.DRAINED)

    @property
    def is_ending(self) -> bool:
        """Return whether this process was told to end while another process serves."""
        return self.state in (State.ENDING, State.ENDING_DRAINED)

    @property
    def healthy(self) -> bool:
        """Return whether the state of the process allows health checks to pass."""
        return self.behaviour.is_healthy
