"""The ports of the broker: callers, the executor, the records service and a timer."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from ..clock import Clock
from ..counters import Counters
from ..logs import Log
from .requests import Answer


class Caller(Protocol):
    """The sender of a request, which waits for the answer."""

    def answer(self, answer: Answer) -> None:
        """Send the caller its final answer; called at most once."""


class Executor(Protocol):
    """The executor, which runs requests."""

    def exec(self, id: str, cls: str, body: bytes, repeatable: bool) -> None:
        """Start a run. `repeatable`: the command may be sent again if its delivery is unknown."""

    def kill(self, id: str) -> None:
        """Stop a run."""

    def return_reply(self, id: str, reply: bytes) -> None:
        """Resume a run with the reply to its call."""

    def bypass(self, id: str, notice: int) -> None:
        """Resume a run without its call."""

    def resolve(self, id: str, executor_detects_end: bool) -> None:
        """Find out the end of a run in doubt whose request is over."""

    def terminate(self, id: str) -> None:
        """Stop a run whose request is over; its end is reported even if the executor reports none."""

    def meter(self) -> bool:
        """Request fresh gauges; return false if the executor cannot answer now."""


class Records(Protocol):
    """The records service, which runs depend on."""

    def call(self, id: str, deadline: float, body: bytes, repeatable: bool) -> None:
        """Make a call. Its end is reported once to `Broker.call_ended`, unless the call is cancelled before."""

    def cancel_call(self, id: str) -> None:
        """Cancel a call, whose end is then not reported."""


class Timer(Protocol):
    """The only timer of a broker."""

    def set(self, at: float) -> None:
        """Schedule one call of `Broker.tick` at this time or soon after; replace the previous schedule."""


class Environment(NamedTuple):
    """The ports and services that the components of one broker share."""

    clock: Clock
    counters: Counters
    log: Log
    executor: Executor
    records: Records
    timer: Timer
