"""What a participant knows of the cluster's nodes: which are alive, under which identity, which entries they read."""

from __future__ import annotations

import random
from typing import NamedTuple

from .identity import node_name
from .messages import Membership
from .outbox import Outbox
from .protocol import Greeting

GREETINGS_AT_ONCE = 4
GREETING_INTERVAL_S = 1.0


class KnownNode(NamedTuple):
    """What a node has said of itself."""

    identity: str
    version: int  # the highest version of entries that it reads


class NodeDirectory:
    """The nodes of the cluster, by name. The caller keeps `alive` up to date."""

    def __init__(self, name: str, now: float) -> None:
        self._name = node_name(name)
        self._greet_at = now
        self.alive: tuple[str, ...] = ()
        self.known: dict[str, KnownNode] = {}

    def learn(self, identity: str, version: int) -> None:
        """Note what a node says of itself."""
        name = node_name(identity)
        if name in self.alive or name in self.known:
            self.known[name] = KnownNode(identity, version)

    def forget_departed(self, membership: Membership) -> None:
        """Forget the nodes that are neither alive nor take part."""
        present = {*self.alive, *map(node_name, membership.everybody)}
        for name in self.known.keys() - present:
            del self.known[name]

    def outdated(self, version: int) -> list[str]:
        """Return the names of the nodes that do not read entries of a version, sorted."""
        return sorted(name for name, node in self.known.items() if node.version < version)

    def greet_unknown(self, now: float, rng: random.Random, outbox: Outbox) -> None:
        """Have a leader ask some nodes for their identity: it must know all nodes to add one, and what they read."""
        if now < self._greet_at:
            return
        self._greet_at = now + GREETING_INTERVAL_S
        unknown = [name for name in self.alive if name not in self.known and name != self._name]
        for name in rng.sample(unknown, min(GREETINGS_AT_ONCE, len(unknown))):
            outbox.send(name, Greeting(True))
