"""The states of the process and the transitions between them, as one table without I/O.

Health checks, the operators' calls, the hand-over and SIGTERM read or drive it."""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """What the process is doing."""

    STARTING = "starting"  # the executor is not up, or a predecessor has not handed over
    SERVING = "serving"
    DRAINED = "drained"  # by an operator's call: health checks fail, requests are served
    HANDING_OVER = "handing over"  # a successor serves; what is open here is finished
    LEAVING = "leaving"  # told to end


class Transition(Enum):
    """What may change the state."""

    CAN_SERVE = "can serve"
    DRAIN = "drain"
    RESUME = "resume"
    SUCCESSOR_READY = "successor ready"  # a successor can serve
    SUCCESSOR_LOST = "successor lost"  # the successor has gone
    LEAVE = "leave"


# Every legal transition; any other changes nothing.
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
    """The present state of the process."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self.handed_over = False  # a successor was serving when the process was told to leave

    def apply(self, transition: Transition) -> bool:
        """Make a transition; false, and no change, where the present state does not allow it."""
        next_state = TRANSITIONS[self.state].get(transition)
        if next_state is None:
            return False
        if transition is Transition.LEAVE and self.state is State.HANDING_OVER:
            self.handed_over = True
        self.state = next_state
        return True

    @property
    def can_serve(self) -> bool:
        """Requests that come are decided and answered."""
        return self.state in (State.SERVING, State.DRAINED)

    @property
    def healthy(self) -> bool:
        """Health checks may pass, as far as the process's state goes.

        Leaving does not fail them by itself: without a successor the decision module is notified of the drain and
        fails them; with one the node goes on."""
        return self.state is not State.DRAINED
