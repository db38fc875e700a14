"""The shape of a subsystem that the operator's file switches on, and the list of those that a node holds.

The node knows none of them by name. Each is loaded only where its block is there."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .admission import Ledger
    from .config import Config, Setup
    from .ops import Counters, Log
    from .store import Store


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


def subsystems(
    config: Config, setup: Setup, ledger: Ledger, counters: Counters, log: Log, store: Store | None
) -> list[Subsystem]:
    """Those that the operator's file asks for."""
    found: list[Subsystem] = []
    if setup.cluster is not None:
        from .cluster.subsystem import Cluster

        cluster = Cluster(setup.cluster, config.name, config.seed, ledger, counters, log, store)
        found.append(cluster)
        if setup.agree is not None and store is not None:
            from .agree.subsystem import Agreement

            found.append(Agreement(setup.agree, config.name, cluster, store, ledger, counters, log))
    return found
