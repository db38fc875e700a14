"""The protocol between a node and the subsystems that the operator's file switches on.

It knows no subsystem by name; `registry` builds them."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

# An operators' call with arguments: the words behind its name, to its whole answer.
Order = Callable[[list[str]], Awaitable[str]]


class Subsystem(Protocol):
    """What a node calls on each subsystem."""

    def adopt(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Take over this subsystem's sockets among those of a predecessor process; return the others."""

    def sockets(self) -> list[socket.socket]:
        """Return the listening sockets to pass to a successor process."""

    def start(self) -> None:
        """Begin: the process serves from now on. Raises ConfigError."""

    async def run(self) -> None:
        """Work until cancelled."""

    def calls(self) -> dict[str, Callable[[], str]]:
        """Return the operators' calls without arguments, by name; each returns its whole answer."""

    def orders(self) -> dict[str, Order]:
        """Return the operators' calls with arguments, by name; each may take a moment."""

    def figures(self) -> dict[str, int]:
        """Return counters for operators, their names prefixed with the subsystem's."""

    def yields(self) -> None:
        """Stop speaking for the node: a successor process serves."""

    def takes_back(self) -> None:
        """Speak for the node again: the successor process has ended."""

    def leave(self) -> None:
        """Say goodbye to other nodes: the process was told to end."""
