"""Defines the states of the process and the transitions between them, as one table without I/O.

Health checks read the state; operators' commands, the hand-over and SIGTERM change it."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class State(Enum):
    """The state of the process."""

    STARTING = "starting"  # the executor has not started, or a predecessor has not handed over
    SERVING = "serving"
    DRAINED = "drained"  # by an operator's command: health checks fail, requests are still served
    HANDING_OVER = "handing over"  # a successor serves; this process finishes its open requests
    LEAVING = "leaving"  # shutting down


class Transition(Enum):
    """An event that may change the state."""

    CAN_SERVE = "can serve"
    DRAIN = "drain"
    RESUME = "resume"
    SUCCESSOR_READY = "successor ready"  # a successor is ready to serve
    SUCCESSOR_LOST = "successor lost"  # the successor has ended
    LEAVE = "leave"


# All valid transitions; any other leaves the state unchanged.
TRANSITIONS: dict[State, dict[Transition, State]] = {
    State.STARTING: {Transition.CAN_SERVE: State.SERVING, Transition.LEAVE: State.LEAVING},
    State.SERVING: {
        Transition.CAN_SERVE: State.SERVING,
        Transition.DRAIN: State.DRAINED,
        Transition.RESUME: State.SERVING,
        Transition.SUCCESSOR_READY: State.HANDING_OVER,
        Transition.LEAVE: State.LEAVING,
    },
    State.DRAINED: {
        Transition.DRAIN: State.DRAINED,
        Transition.RESUME: State.SERVING,
        Transition.SUCCESSOR_READY: State.HANDING_OVER,
        Transition.LEAVE: State.LEAVING,
    },
    State.HANDING_OVER: {Transition.SUCCESSOR_LOST: State.SERVING, Transition.LEAVE: State.LEAVING},
    State.LEAVING: {Transition.LEAVE: State.LEAVING},
}


class Lifecycle:
    """The current state of the process."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self.handed_over = False  # whether a successor was serving when the shutdown was requested
        # Called after each transition with its cause and the previous state.
        self.on_transition: Callable[[Transition, State], None] = lambda cause, previous: None

    def apply(self, transition: Transition) -> bool:
        """Make a transition; return False, without a change, if the current state does not allow it."""
        next_state = TRANSITIONS[self.state].get(transition)
        if next_state is None:
            return False
        if transition is Transition.LEAVE and self.state is State.HANDING_OVER:
            self.handed_over = True
        previous = self.state
        self.state = next_state
        self.on_transition(transition, previous)
        return True

    @property
    def can_serve(self) -> bool:
        """Return whether the process decides and answers new requests."""
        return self.state in (State.SERVING, State.DRAINED)

    @property
    def healthy(self) -> bool:
        """Return whether the state of the process allows health checks to pass.

        A shutdown does not fail them here: without a successor the decision module, notified of the drain, fails them;
        with a successor the node keeps serving."""
        return self.state is not State.DRAINED
