"""The states of the process as one table, free of I/O. Health, the operators' calls, the hand-over and SIGTERM read or
drive it. It knows neither the module nor a socket."""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """What the process is doing."""

    STARTING = "starting"  # the executor has not welcomed, or a predecessor has not told all
    SERVING = "serving"
    DRAINED = "drained"  # by an operator's call: checks are bad, all else is as ever
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


# Every legal move; what is not here changes nothing and is told to be refused.
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
    """The present state, and the moves that it allows."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self.handed_over = False  # a successor was serving when the process was told to leave

    def apply(self, transition: Transition) -> bool:
        """Make a move; false, and no change, where the present state does not allow it."""
        after = TRANSITIONS[self.state].get(transition)
        if after is None:
            return False
        if transition is Transition.LEAVE and self.state is State.HANDING_OVER:
            self.handed_over = True
        self.state = after
        return True

    @property
    def can_serve(self) -> bool:
        """Requests that come are decided and answered."""
        return self.state in (State.SERVING, State.DRAINED)

    @property
    def healthy(self) -> bool:
        """Checks may be answered as good, as far as the process's state goes. Leaving is not bad by itself: without a
        successor the module hears of it and says so; with one the node stays."""
        return self.state is not State.DRAINED
