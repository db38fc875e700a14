"""Simulated hosts of a consensus group, their disks, and the product types that run on them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from chutepin.consensus.codec import WireMessage
from chutepin.consensus.identity import Identity
from chutepin.consensus.journal import Journal, Operation
from chutepin.consensus.key_value import KeyValueMachine
from chutepin.consensus.outbox import Effect
from chutepin.consensus.participant import Participant
from chutepin.consensus.raft import RaftNode
from chutepin.consensus.replicated_state import Outcome


class Disk:
    """A disk with the store's guarantee: acknowledged writes and a prefix of the pending ones survive a crash."""

    def __init__(self) -> None:
        self.durable: dict[bytes, bytes] = {}
        self.pending: list[Operation] = []

    def get(self, key: bytes) -> bytes | None:
        """Return the durable value of a key, or None."""
        return self.durable.get(key)

    def write(self, operations: list[Operation]) -> None:
        """Append operations to the pending writes, which become durable on `sync`."""
        self.pending += operations

    def sync(self, count: int) -> None:
        """Make the `count` oldest pending writes durable."""
        for key, value in self.pending[:count]:
            if value is None:
                self.durable.pop(key, None)
            else:
                self.durable[key] = value
        del self.pending[:count]

    def crash(self, rng: random.Random) -> None:
        """Simulate a process crash or power loss: a random prefix of the pending writes survives."""
        self.sync(rng.randint(0, len(self.pending)))
        self.pending.clear()


class SimulatedHost:
    """A machine: the disk survives restarts, all other state belongs to one incarnation of the process."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.disk = Disk()
        self.participant: Participant | None = None
        self.identity: Identity | None = None
        self.journal = Journal()
        self.machine = KeyValueMachine()
        self.pending_effects: list[Effect] = []
        self.is_writing = False
        self.incarnation = 0
        self.timer = 0
        self.buffered_messages: list[tuple[str, WireMessage]] = []  # messages received while the process was frozen
        self.tickets: dict[int, Callable[[Outcome], None]] = {}


@dataclass(frozen=True, slots=True)
class Parts:
    """The product types that a run uses; mutation tests replace one of them."""

    raft: type[RaftNode] = RaftNode
    participant: type[Participant] = Participant
    journal: type[Journal] = Journal
    identity: type[Identity] = Identity
    acknowledges_early: bool = False  # mutation: effects that depend on a write are executed before it is durable


PRODUCT_PARTS = Parts()
