"""The ports of the broker: what it needs of the outside."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from ..clock import Clock
from ..counters import Counters
from ..logs import Log
from .requests import Answer


class Caller(Protocol):
    """Who waits for an answer."""

    def answer(self, answer: Answer) -> None:
        """Take the one final answer."""


class Executor(Protocol):
    """The executor, which runs requests."""

    def exec(self, id: str, cls: str, body: bytes, repeatable: bool) -> None:
        """Start a run. `repeatable`: it may be sent again where it is unknown whether it arrived."""

    def kill(self, id: str) -> None:
        """Stop a run."""

    def give_back(self, id: str, reply: bytes) -> None:
        """Let a run go on with the reply to its call."""

    def bypass(self, id: str, notice: int) -> None:
        """Let a run go on without its call."""

    def resolve(self, id: str) -> None:
        """Find out whether a run in doubt goes on."""

    def meter(self) -> bool:
        """Request fresh gauges; false where nobody can answer now."""


class Records(Protocol):
    """The records service, which runs depend on."""

    def call(self, id: str, deadline: float, body: bytes, repeatable: bool) -> None:
        """Make a call. It ends in one `Broker.call_ended`, unless it is given up before."""

    def give_up(self, id: str) -> None:
        """Abandon a call."""


class Timer(Protocol):
    """The one timer of a broker."""

    def set(self, at: float) -> None:
        """Have `Broker.tick` called once at this time or soon after; a new time replaces the old one."""


class Environment(NamedTuple):
    """What the parts of one broker share of the outside."""

    clock: Clock
    counters: Counters
    log: Log
    executor: Executor
    records: Records
    timer: Timer
