"""Under which identity a node takes part: a voter whose store was lost must never vote as the one that it was. Pure.

Each store is created with a random id. A voter that the operator's file names votes under its plain node name, but only
once *all* other voters of the file have acknowledged the id of its store: one that knows an earlier store under this
name says so, and the node's store counts as LOST. Nodes of a lost store, and nodes that the file does not name, take
part as name~id; under that identity an operator may let them vote."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgpack

IDENTITY_KEY = b"agree/who"  # of the store, for a `StoredIdentity`
KNOWN_STORES_KEY = b"agree/met"  # for the ids of the other voters' stores, by node name
SEPARATOR = "~"


class StoreAnnouncement(NamedTuple):
    """A voter with a new store makes its id known."""

    name: str
    store_id: str


class StoreAcknowledgement(NamedTuple):
    """The reply: the id under which the sender knows that voter's store."""

    name: str
    known_store_id: str


class StoreStatus(Enum):
    """How far the other voters know a node's store."""

    FORMING = "forming"  # not all other voters of the file have acknowledged it
    CONFIRMED = "settled"  # the node votes under its plain name
    LOST = "lost"  # another store is known under this name
    OBSERVER = "follows"  # the file does not name the node


class StoredIdentity(NamedTuple):
    """Whose replicated log a store holds, and the store's id."""

    cluster: str
    node: str
    store_id: str
    status: StoreStatus

    def pack(self) -> bytes:
        """Encode for the store."""
        return bytes(msgpack.packb([self.cluster, self.node, self.store_id, self.status.value]))

    @classmethod
    def unpack(cls, data: bytes) -> StoredIdentity:
        """Decode what `pack` gave."""
        cluster, node, store_id, status = msgpack.unpackb(data)
        return cls(cluster, node, store_id, StoreStatus(status))


class Identity:
    """The identity of one node. The caller keeps `status`, `store_id` and `known_stores` in the store."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        store_id: str,
        status: StoreStatus | None,
        known_stores: dict[str, str],
    ) -> None:
        """`status` as it was stored, None for a new store. `known_stores`: ids of other voters' stores, by name."""
        self.name = name
        self._voters = voters
        self.store_id = store_id
        self.known_stores = known_stores
        if status is None:
            status = StoreStatus.FORMING if name in voters else StoreStatus.OBSERVER
        if status is StoreStatus.FORMING and len(voters) == 1:
            status = StoreStatus.CONFIRMED
        self.status = status
        self._acknowledged_by: set[str] = set()

    @property
    def identity(self) -> str:
        """The name under which this node takes part."""
        if self.status in (StoreStatus.CONFIRMED, StoreStatus.FORMING):
            return self.name
        return f"{self.name}{SEPARATOR}{self.store_id}"

    @property
    def awaited(self) -> tuple[str, ...]:
        """The voters that have yet to acknowledge this store."""
        return tuple(name for name in self._voters if name != self.name and name not in self._acknowledged_by)

    def acknowledge(self, sender: str, message: StoreAnnouncement) -> StoreAcknowledgement | None:
        """Take another voter's announcement. The reply may be sent once `known_stores` is durable."""
        if message.name != sender or message.name not in self._voters or self.name not in self._voters:
            return None
        known_store_id = self.known_stores.setdefault(message.name, message.store_id)
        return StoreAcknowledgement(message.name, known_store_id)

    def receive_acknowledgement(self, sender: str, message: StoreAcknowledgement) -> bool:
        """Take another voter's reply; whether the status has changed, which must be durable before it has effect."""
        if self.status is not StoreStatus.FORMING or message.name != self.name or sender not in self._voters:
            return False
        if message.known_store_id != self.store_id:
            self.status = StoreStatus.LOST
            return True
        self._acknowledged_by.add(sender)
        if self.awaited:
            return False
        self.status = StoreStatus.CONFIRMED
        return True


def node_name(identity: str) -> str:
    """Return the name of the node that takes part under an identity."""
    return identity.partition(SEPARATOR)[0]
