"""The protocol between a node and the subsystems that the operator's file switches on.

It knows no subsystem by name; `registry` builds them."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

# A command of the operators' socket with arguments: the words behind its name, to its whole answer.
CommandHandler = Callable[[list[str]], Awaitable[str]]


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

    def commands(self) -> dict[str, Callable[[], str]]:
        """Return the commands without arguments, by name; each returns its whole answer."""

    def commands_with_arguments(self) -> dict[str, CommandHandler]:
        """Return the commands with arguments, by name; each may take a moment."""

    def metrics(self) -> dict[str, int]:
        """Return counters for operators, their names prefixed with the subsystem's."""

    def yield_ownership(self) -> None:
        """Stop acting for the node: a successor process serves."""

    def resume_ownership(self) -> None:
        """Act for the node again: the successor process has ended."""

    def leave(self) -> None:
        """Announce to other nodes that this one leaves: the process was told to end."""
