"""The protocol between a node and the subsystems that the operator's file switches on.

It knows no subsystem by name; `registry` builds them."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

Order = Callable[[list[str]], Awaitable[str]]


class Subsystem(Protocol):
    """What a node asks of each."""

    def adopt(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Take from a predecessor's sockets those that are this one's; the rest."""

    def sockets(self) -> list[socket.socket]:
        """What a successor is to be given."""

    def start(self) -> None:
        """The process serves from now on. Raises ConfigError."""

    async def run(self) -> None:
        """Work until cancelled."""

    def calls(self) -> dict[str, Callable[[], str]]:
        """What operators may call, each with its whole answer."""

    def orders(self) -> dict[str, Order]:
        """What operators may call with words behind it, and what may take a moment."""

    def figures(self) -> dict[str, int]:
        """Counts for operators, their names with the subsystem's."""

    def yields(self) -> None:
        """A successor of this process serves."""

    def takes_back(self) -> None:
        """It has gone."""

    def leave(self) -> None:
        """The process is told to end and will soon."""
