"""Defines the states of one process of a node, the events that change them, and what a process does in each. Pure.

During an upgrade a node has two processes. A state says what this process was told and what the node was told; the
tables decide what health checks answer, whether new clients are accepted, what may still run, and when a process ends.
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
    HANDED_OVER_LEAVING = "handing over, leaving"
    ENDING = "leaving beside another process"  # told to end while another process serves
    ENDING_DRAINED = "leaving beside another process, drained"
    ENDING_LEAVING = "leaving beside another process, leaving"
    LEAVING = "leaving"  # the node was told to leave; this process accepts what comes within the grace


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
    PREDECESSOR_LEAVES = "predecessor told to leave"
    SUCCESSOR_LEAVES = "successor told to leave"


class NewClients(Enum):
    """Whether a process accepts new clients."""

    ACCEPTED = "accepted"
    ACCEPTED_IN_GRACE = "accepted until the grace ends"
    NOT_ACCEPTED = "not accepted"


class Runs(Enum):
    """Which of the requests that a process has read may run."""

    ALL = "all"
    ARRIVED_IN_GRACE = "those that arrived within the grace"


class Commands(Enum):
    """Whether a process takes an operator's `drain` and `resume`."""

    TAKEN = "taken"
    PASSED_ON = "taken if the successor receives them"
    REFUSED = "refused"


class Behaviour(NamedTuple):
    """What a process does in a state."""

    is_healthy: bool  # whether health checks and reports to the control plane may be good
    new_clients: NewClients
    runs: Runs
    commands: Commands
    is_ending: bool  # whether the process ends once its open requests are finished


# All transitions; an event that is not listed for a state has no effect.
TRANSITIONS: dict[State, dict[Event, State]] = {
    State.STANDBY: {
        Event.ACCEPTING: State.STARTING,
        Event.DRAIN: State.STANDBY_DRAINED,
        Event.RESUME: State.STANDBY,
        Event.SIGTERM: State.ENDING,
        Event.PREDECESSOR_LEAVES: State.ENDING_LEAVING,
    },
    State.STANDBY_DRAINED: {
        Event.ACCEPTING: State.STARTING_DRAINED,
        Event.DRAIN: State.STANDBY_DRAINED,
        Event.RESUME: State.STANDBY,
        Event.SIGTERM: State.ENDING_DRAINED,
        Event.PREDECESSOR_LEAVES: State.ENDING_LEAVING,
    },
    State.STARTING: {
        Event.PREDECESSOR_FOUND: State.STANDBY,
        Event.CAN_SERVE: State.SERVING,
        Event.SUCCESSOR_SERVES: State.HANDED_OVER,
        Event.DRAIN: State.STARTING_DRAINED,
        Event.RESUME: State.STARTING,
        Event.SIGTERM: State.LEAVING,
        Event.SUCCESSOR_LEAVES: State.LEAVING,
    },
    State.STARTING_DRAINED: {
        Event.CAN_SERVE: State.DRAINED,
        Event.SUCCESSOR_SERVES: State.HANDED_OVER_DRAINED,
        Event.DRAIN: State.STARTING_DRAINED,
        Event.RESUME: State.STARTING,
        Event.SIGTERM: State.LEAVING,
        Event.SUCCESSOR_LEAVES: State.LEAVING,
    },
    State.SERVING: {
        Event.SUCCESSOR_SERVES: State.HANDED_OVER,
        Event.DRAIN: State.DRAINED,
        Event.RESUME: State.SERVING,
        Event.SIGTERM: State.LEAVING,
        Event.SUCCESSOR_LEAVES: State.LEAVING,
    },
    State.DRAINED: {
        Event.SUCCESSOR_SERVES: State.HANDED_OVER_DRAINED,
        Event.DRAIN: State.DRAINED,
        Event.RESUME: State.SERVING,
        Event.SIGTERM: State.LEAVING,
        Event.SUCCESSOR_LEAVES: State.LEAVING,
    },
    State.HANDED_OVER: {
        Event.SUCCESSOR_LOST: State.STARTING,
        Event.DRAIN: State.HANDED_OVER_DRAINED,
        Event.RESUME: State.HANDED_OVER,
        Event.SIGTERM: State.ENDING,
        Event.SUCCESSOR_LEAVES: State.HANDED_OVER_LEAVING,
    },
    State.HANDED_OVER_DRAINED: {
        Event.SUCCESSOR_LOST: State.STARTING_DRAINED,
        Event.DRAIN: State.HANDED_OVER_DRAINED,
        Event.RESUME: State.HANDED_OVER,
        Event.SIGTERM: State.ENDING_DRAINED,
        Event.SUCCESSOR_LEAVES: State.HANDED_OVER_LEAVING,
    },
    State.HANDED_OVER_LEAVING: {
        Event.SUCCESSOR_LOST: State.HANDED_OVER_LEAVING,
        Event.SIGTERM: State.ENDING_LEAVING,
        Event.SUCCESSOR_LEAVES: State.HANDED_OVER_LEAVING,
    },
    State.ENDING: {
        Event.SUCCESSOR_LOST: State.ENDING,
        Event.DRAIN: State.ENDING_DRAINED,
        Event.RESUME: State.ENDING,
        Event.SIGTERM: State.ENDING,
        Event.PREDECESSOR_LEAVES: State.ENDING_LEAVING,
        Event.SUCCESSOR_LEAVES: State.ENDING_LEAVING,
    },
    State.ENDING_DRAINED: {
        Event.SUCCESSOR_LOST: State.ENDING_DRAINED,
        Event.DRAIN: State.ENDING_DRAINED,
        Event.RESUME: State.ENDING,
        Event.SIGTERM: State.ENDING_DRAINED,
        Event.PREDECESSOR_LEAVES: State.ENDING_LEAVING,
        Event.SUCCESSOR_LEAVES: State.ENDING_LEAVING,
    },
    State.ENDING_LEAVING: {
        Event.SUCCESSOR_LOST: State.ENDING_LEAVING,
        Event.SIGTERM: State.ENDING_LEAVING,
        Event.PREDECESSOR_LEAVES: State.ENDING_LEAVING,
        Event.SUCCESSOR_LEAVES: State.ENDING_LEAVING,
    },
    State.LEAVING: {
        Event.SUCCESSOR_SERVES: State.HANDED_OVER_LEAVING,
        Event.SIGTERM: State.LEAVING,
        Event.SUCCESSOR_LEAVES: State.LEAVING,
    },
}

_LEAVES_BESIDE_ANOTHER = Behaviour(False, NewClients.NOT_ACCEPTED, Runs.ARRIVED_IN_GRACE, Commands.REFUSED, True)

BEHAVIOURS: dict[State, Behaviour] = {
    State.STANDBY: Behaviour(True, NewClients.NOT_ACCEPTED, Runs.ALL, Commands.REFUSED, False),
    State.STANDBY_DRAINED: Behaviour(False, NewClients.NOT_ACCEPTED, Runs.ALL, Commands.REFUSED, False),
    State.STARTING: Behaviour(True, NewClients.ACCEPTED, Runs.ALL, Commands.REFUSED, False),
    State.STARTING_DRAINED: Behaviour(False, NewClients.ACCEPTED, Runs.ALL, Commands.REFUSED, False),
    State.SERVING: Behaviour(True, NewClients.ACCEPTED, Runs.ALL, Commands.TAKEN, False),
    State.DRAINED: Behaviour(False, NewClients.ACCEPTED, Runs.ALL, Commands.TAKEN, False),
    State.HANDED_OVER: Behaviour(True, NewClients.NOT_ACCEPTED, Runs.ALL, Commands.PASSED_ON, False),
    State.HANDED_OVER_DRAINED: Behaviour(False, NewClients.NOT_ACCEPTED, Runs.ALL, Commands.PASSED_ON, False),
    State.HANDED_OVER_LEAVING: _LEAVES_BESIDE_ANOTHER,
    State.ENDING: Behaviour(True, NewClients.NOT_ACCEPTED, Runs.ALL, Commands.PASSED_ON, True),
    State.ENDING_DRAINED: Behaviour(False, NewClients.NOT_ACCEPTED, Runs.ALL, Commands.PASSED_ON, True),
    State.ENDING_LEAVING: _LEAVES_BESIDE_ANOTHER,
    State.LEAVING: Behaviour(False, NewClients.ACCEPTED_IN_GRACE, Runs.ARRIVED_IN_GRACE, Commands.REFUSED, True),
}


class Peer(Enum):
    """The other process of the node, seen from this one."""

    PREDECESSOR = Event.PREDECESSOR_LEAVES
    SUCCESSOR = Event.SUCCESSOR_LEAVES

    @property
    def leave_event(self) -> Event:
        """Return the event that this peer was told to leave."""
        return self.value


class Lifecycle:
    """The current state of the process, and what the node was told as far as the process knows."""

    def __init__(self, started_at: float = 0.0) -> None:
        """Begin as a process without a predecessor. `started_at`: Unix time of the start of this process."""
        self.state = State.STARTING
        self.intent = NodeIntent()
        self.started_at = started_at
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

    def terminate(self, at: float) -> None:
        """Apply SIGTERM, which came at this Unix time: a notice to the node if this process accepts clients."""
        is_notice = self.behaviour.new_clients is not NewClients.NOT_ACCEPTED
        if is_notice:
            self.intent = self.intent.leaving(at)
        self.apply(Event.SIGTERM)
        if is_notice:
            self.on_intent_changed()

    def merge(self, intent: NodeIntent, told_to: Peer, now: float) -> None:
        """Apply what the node was told at the other process, which is this one's predecessor or successor.

        `now`: Unix time; a notice to leave does not count from a later time."""
        if intent.left_at is not None:
            is_told = self._is_told(intent.left_at, told_to)
            intent = intent._replace(left_at=min(intent.left_at, now) if is_told else None)
        merged = self.intent.merged_with(intent)
        if merged == self.intent:
            return
        previous = self.intent
        self.intent = merged
        if merged.is_drained != previous.is_drained:
            self.apply(Event.DRAIN if merged.is_drained else Event.RESUME)
        if merged.left_at is not None:
            self.apply(told_to.leave_event)
        self.on_intent_changed()

    def _is_told(self, left_at: float, told_to: Peer) -> bool:
        """Return whether a notice to leave concerns this process.

        A notice from before the start of this process ended an earlier life of the node."""
        return left_at >= self.started_at and told_to.leave_event in TRANSITIONS[self.state]

    @property
    def behaviour(self) -> Behaviour:
        """Return what the process does in its current state."""
        return BEHAVIOURS[self.state]

    @property
    def can_serve(self) -> bool:
        """Return whether the process decides and answers new requests."""
        return self.state in (State.SERVING, State.DRAINED)

    @property
    def accepts_work(self) -> bool:
        """Return whether the process accepts new work without a limit of time."""
        return self.behaviour.new_clients is NewClients.ACCEPTED

    @property
    def is_leaving(self) -> bool:
        """Return whether the node was told to leave."""
        return self.behaviour.runs is Runs.ARRIVED_IN_GRACE

    @property
    def healthy(self) -> bool:
        """Return whether the state of the process allows health checks to pass."""
        return self.behaviour.is_healthy
