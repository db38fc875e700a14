"""Defines the protocol between a node and the subsystems that the operator's file enables.

`registry` builds the subsystems; this module refers to none of them."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

# A command of the operators' socket: maps the arguments after its name to the complete answer.
CommandHandler = Callable[[list[str]], Awaitable[str]]


class Subsystem(Protocol):
    """The operations that a node calls on each subsystem."""

    def adopt(self, sockets: list[socket.socket]) -> list[socket.socket]:
        """Take over this subsystem's sockets among those of a predecessor process; return the others."""

    def sockets(self) -> list[socket.socket]:
        """Return the listening sockets to pass to a successor process."""

    def start(self) -> None:
        """Start the subsystem: the process serves from now on. Raises ConfigError."""

    async def run(self) -> None:
        """Run the subsystem until cancelled."""

    def commands(self) -> dict[str, Callable[[], str]]:
        """Return the commands without arguments, by name; each returns its complete answer."""

    def commands_with_arguments(self) -> dict[str, CommandHandler]:
        """Return the commands with arguments, by name; each is a coroutine function."""

    def metrics(self) -> dict[str, int]:
        """Return counters for operators; each name starts with the subsystem's name."""

    def yield_ownership(self) -> None:
        """Stop acting as the node: a successor process serves."""

    def resume_ownership(self) -> None:
        """Act as the node again: the successor process has ended."""

    def leave(self) -> None:
        """Announce to other nodes that this node leaves: the process is shutting down."""
