"""The machines of a simulated consensus group: their disks, and what runs on them."""

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
    """The store's promise: after a crash what was acknowledged is there, and a prefix of the other writes."""

    def __init__(self) -> None:
        self.durable: dict[bytes, bytes] = {}
        self.pending: list[Operation] = []

    def get(self, key: bytes) -> bytes | None:
        """Return a durable value."""
        return self.durable.get(key)

    def write(self, operations: list[Operation]) -> None:
        """Write; not durable before `sync`."""
        self.pending += operations

    def sync(self, count: int) -> None:
        """Make the oldest pending writes durable."""
        for key, value in self.pending[:count]:
            if value is None:
                self.durable.pop(key, None)
            else:
                self.durable[key] = value
        del self.pending[:count]

    def crash(self, rng: random.Random) -> None:
        """End the process or the power: a random prefix of the pending writes survives."""
        self.sync(rng.randint(0, len(self.pending)))
        self.pending.clear()


class SimulatedHost:
    """One machine: its disk stays, all else is of one incarnation of the process."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.disk = Disk()
        self.participant: Participant | None = None
        self.identity: Identity | None = None
        self.journal = Journal()
        self.machine = KeyValueMachine()
        self.queue: list[Effect] = []
        self.busy = False
        self.incarnation = 0
        self.timer = 0
        self.waiting: list[tuple[str, WireMessage]] = []  # messages that came while it was stopped
        self.tickets: dict[int, Callable[[Outcome], None]] = {}


@dataclass(frozen=True, slots=True)
class Parts:
    """The types that a run is made of; a mutation takes the place of one."""

    raft: type[RaftNode] = RaftNode
    participant: type[Participant] = Participant
    journal: type[Journal] = Journal
    identity: type[Identity] = Identity
    acknowledges_early: bool = False  # effects behind a write are carried out before it is durable


PRODUCT_PARTS = Parts()
