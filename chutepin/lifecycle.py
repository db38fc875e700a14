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


class Move(Enum):
    """What may change the state."""

    CAN_SERVE = "can serve"
    DRAIN = "drain"
    RESUME = "resume"
    SUCCEEDED = "succeeded"  # a successor can serve
    ALONE = "alone"  # the successor has gone
    LEAVE = "leave"


# Every legal move; what is not here changes nothing and is told to be refused.
TABLE: dict[State, dict[Move, State]] = {
    State.STARTING: {Move.CAN_SERVE: State.SERVING, Move.LEAVE: State.LEAVING},
    State.SERVING: {
        Move.CAN_SERVE: State.SERVING,
        Move.DRAIN: State.DRAINED,
        Move.RESUME: State.SERVING,
        Move.SUCCEEDED: State.HANDING_OVER,
        Move.LEAVE: State.LEAVING,
    },
    State.DRAINED: {
        Move.DRAIN: State.DRAINED,
        Move.RESUME: State.SERVING,
        Move.SUCCEEDED: State.HANDING_OVER,
        Move.LEAVE: State.LEAVING,
    },
    State.HANDING_OVER: {Move.ALONE: State.SERVING, Move.LEAVE: State.LEAVING},
    State.LEAVING: {Move.LEAVE: State.LEAVING},
}


class Lifecycle:
    """The present state, and the moves that it allows."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self.handed_over = False  # a successor was serving when the process was told to leave

    def move(self, move: Move) -> bool:
        """Make a move; false, and no change, where the present state does not allow it."""
        after = TABLE[self.state].get(move)
        if after is None:
            return False
        if move is Move.LEAVE and self.state is State.HANDING_OVER:
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
