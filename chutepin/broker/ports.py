"""What the broker needs of the outside."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from ..clock import Clock
from ..counters import Counters
from ..logs import Log
from .requests import Answer


class Caller(Protocol):
    """Who waits for an answer."""

    def answer(self, answer: Answer) -> None: ...


class Executor(Protocol):
    """Who does the work."""

    def exec(self, id: str, cls: str, body: bytes, repeatable: bool) -> None: ...
    def kill(self, id: str) -> None: ...
    def give_back(self, id: str, reply: bytes) -> None: ...
    def bypass(self, id: str, notice: int) -> None: ...
    def resolve(self, id: str) -> None: ...
    def meter(self) -> bool: ...


class Records(Protocol):
    """The service below. `call` ends in one `Broker.called`, unless it is given up before."""

    def call(self, id: str, deadline: float, body: bytes, repeatable: bool) -> None: ...
    def give_up(self, id: str) -> None: ...


class Timer(Protocol):
    """Has `Broker.tick` called once at this time or soon after; a new time replaces the old one."""

    def set(self, at: float) -> None: ...


class Environment(NamedTuple):
    """What the parts of one broker share of the outside."""

    clock: Clock
    counters: Counters
    log: Log
    executor: Executor
    records: Records
    timer: Timer
