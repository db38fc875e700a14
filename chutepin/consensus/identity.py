"""The identity of a node in the group: a voter that has lost its store must not vote under its former identity.

Each store is created with a random id. A voter named in the configuration votes under its plain node name, but only
after *all* other configured voters have acknowledged the id of its store. If a voter has recorded an earlier store for
that name, its reply contains the earlier id and the node's store becomes LOST. Nodes with a lost store and nodes not
named in the configuration use the identity name~id, under which an operator can add them as voters. The module
performs no I/O."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgpack

IDENTITY_KEY = b"agree/who"  # store key of the `StoredIdentity`
KNOWN_STORES_KEY = b"agree/met"  # store key of the other voters' store ids by node name
SEPARATOR = "~"


class StoreAnnouncement(NamedTuple):
    """The id of a voter's new store, sent to the other voters."""

    name: str
    store_id: str


class StoreAcknowledgement(NamedTuple):
    """The reply to a StoreAnnouncement: the id that the sender has recorded for that voter's store."""

    name: str
    known_store_id: str


class StoreStatus(Enum):
    """The acknowledgement of a node's store by the other voters."""

    FORMING = "forming"  # some of the other configured voters have not acknowledged the store
    CONFIRMED = "settled"  # the node votes under its plain name
    LOST = "lost"  # another voter has recorded an earlier store for this node name
    OBSERVER = "follows"  # the node is not a configured voter


class StoredIdentity(NamedTuple):
    """The node and cluster to which a store's replicated log belongs, the store's id and its status."""

    cluster: str
    node: str
    store_id: str
    status: StoreStatus

    def pack(self) -> bytes:
        """Encode the record for the store."""
        return bytes(msgpack.packb([self.cluster, self.node, self.store_id, self.status.value]))

    @classmethod
    def unpack(cls, data: bytes) -> StoredIdentity:
        """Decode a record encoded by `pack`."""
        cluster, node, store_id, status = msgpack.unpackb(data)
        return cls(cluster, node, store_id, StoreStatus(status))


class Identity:
    """The identity of one node; the caller persists `status`, `store_id` and `known_stores`."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        store_id: str,
        status: StoreStatus | None,
        known_stores: dict[str, str],
    ) -> None:
        """Restore an identity; `status` is None for a new store, `known_stores` maps other voters to store ids."""
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
        """The name under which this node is a member."""
        if self.status in (StoreStatus.CONFIRMED, StoreStatus.FORMING):
            return self.name
        return f"{self.name}{SEPARATOR}{self.store_id}"

    @property
    def awaited(self) -> tuple[str, ...]:
        """The voters that have not acknowledged this store yet."""
        return tuple(name for name in self._voters if name != self.name and name not in self._acknowledged_by)

    def acknowledge(self, sender: str, message: StoreAnnouncement) -> StoreAcknowledgement | None:
        """Record another voter's store id; return the reply, to be sent once `known_stores` is durable.

        Return None if the announcement is not from a configured voter about itself."""
        if message.name != sender or message.name not in self._voters or self.name not in self._voters:
            return None
        known_store_id = self.known_stores.setdefault(message.name, message.store_id)
        return StoreAcknowledgement(message.name, known_store_id)

    def receive_acknowledgement(self, sender: str, message: StoreAcknowledgement) -> bool:
        """Process another voter's reply; return whether the status has changed.

        A changed status must be durable before it takes effect."""
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
    """Return the node name that is part of an identity."""
    return identity.partition(SEPARATOR)[0]
