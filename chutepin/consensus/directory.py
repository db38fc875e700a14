"""The cluster's nodes as known to a participant: liveness, identity and supported entry version."""

from __future__ import annotations

import random
from typing import NamedTuple

from .identity import node_name
from .messages import Membership
from .outbox import Outbox
from .protocol import Greeting

MAX_GREETINGS_PER_ROUND = 4
GREETING_INTERVAL_S = 1.0


class KnownNode(NamedTuple):
    """The identity and entry version that a node has announced."""

    identity: str
    version: int  # the highest version of entries that the node can read


class NodeDirectory:
    """The nodes of the cluster by name; the caller keeps `alive` up to date."""

    def __init__(self, name: str, now: float) -> None:
        self._name = node_name(name)
        self._greet_at = now
        self.alive: tuple[str, ...] = ()
        self.known: dict[str, KnownNode] = {}

    def record(self, identity: str, version: int) -> None:
        """Record the identity and entry version announced by a node, if the node is alive or known."""
        name = node_name(identity)
        if name in self.alive or name in self.known:
            self.known[name] = KnownNode(identity, version)

    def remove_departed(self, membership: Membership) -> None:
        """Remove the nodes that are neither alive nor members."""
        present = {*self.alive, *map(node_name, membership.all_members)}
        for name in self.known.keys() - present:
            del self.known[name]

    def outdated(self, version: int) -> list[str]:
        """Return the sorted names of the nodes that cannot read entries of a version."""
        return sorted(name for name, node in self.known.items() if node.version < version)

    def request_unknown_identities(self, now: float, rng: random.Random, outbox: Outbox) -> None:
        """Send greetings to some nodes of unknown identity, on the leader.

        The leader needs the identity of a node to add it, and the entry versions of all nodes to accept proposals."""
        if now < self._greet_at:
            return
        self._greet_at = now + GREETING_INTERVAL_S
        unknown = [name for name in self.alive if name not in self.known and name != self._name]
        for name in rng.sample(unknown, min(MAX_GREETINGS_PER_ROUND, len(unknown))):
            outbox.send(name, Greeting(True))
