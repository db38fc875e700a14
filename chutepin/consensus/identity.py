"""As whom a node takes part: a voter whose store was lost must never vote as the one that it was. Pure.

Each store is born with a number of chance. A voter that the operator's file names votes under its plain name, but only
once *all* other voters of the file have met this very store: whoever met an earlier one under that name says so, and
the node is `lost`. All others, and lost ones, are known as name~number; as such an operator may let them vote."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

import msgpack

IDENTITY_KEY = b"agree/who"  # of the store, for a `StoredIdentity`
MET_KEY = b"agree/met"  # for the numbers of the other voters' stores, by name


class StoreAnnouncement(NamedTuple):
    """A voter with a new store: know me by this number. `born`: of the sender's store."""

    name: str
    born: str


class StoreAcknowledgement(NamedTuple):
    """The answer: the sender knows that voter by the number `known`."""

    name: str
    known: str


class StoreStatus(Enum):
    """How far a node's store is known."""

    FORMING = "forming"  # not all other voters of the file have met it yet
    CONFIRMED = "settled"  # it votes under its plain name
    LOST = "lost"  # another store was known under this name
    OBSERVER = "follows"  # the file does not name it


class StoredIdentity(NamedTuple):
    """Whose replicated log a store holds, and the number with which that store was born."""

    cluster: str
    node: str
    born: str
    standing: StoreStatus

    def pack(self) -> bytes:
        """Encode for the store."""
        return bytes(msgpack.packb([self.cluster, self.node, self.born, self.standing.value]))

    @classmethod
    def unpack(cls, data: bytes) -> StoredIdentity:
        """Decode what `pack` gave."""
        cluster, node, born, standing = msgpack.unpackb(data)
        return cls(cluster, node, born, StoreStatus(standing))


class Identity:
    """Of one node. `standing`, `born` and `met` are durable; the edge keeps them where `changed` says so."""

    def __init__(
        self, name: str, voters: tuple[str, ...], born: str, standing: StoreStatus | None, met: dict[str, str]
    ) -> None:
        """`standing`: as it was kept, None of a new store. `met`: other voters' numbers."""
        self._name, self._voters, self.born, self.met = name, voters, born, met
        if standing is None:
            standing = StoreStatus.FORMING if name in voters else StoreStatus.OBSERVER
        if standing is StoreStatus.FORMING and len(voters) == 1:
            standing = StoreStatus.CONFIRMED
        self.standing = standing
        self._said: set[str] = set()  # who has met this store

    @property
    def identity(self) -> str:
        """Under which name this node speaks."""
        node_name = self.standing in (StoreStatus.CONFIRMED, StoreStatus.FORMING)
        return self._name if node_name else f"{self._name}~{self.born}"

    @property
    def others(self) -> tuple[str, ...]:
        """Voters that have yet to meet this store."""
        return tuple(name for name in self._voters if name != self._name and name not in self._said)

    def meet(self, sender: str, word: StoreAnnouncement) -> StoreAcknowledgement | None:
        """Another voter's store. What comes out may be said once `met` is durable."""
        if word.name != sender or word.name not in self._voters or self._name not in self._voters:
            return None
        return StoreAcknowledgement(word.name, self.met.setdefault(word.name, word.born))

    def answered(self, sender: str, word: StoreAcknowledgement) -> bool:
        """What another voter knows; whether the standing has changed, and must be durable before a word is said."""
        if self.standing is not StoreStatus.FORMING or word.name != self._name or sender not in self._voters:
            return False
        if word.known != self.born:
            self.standing = StoreStatus.LOST
            return True
        self._said.add(sender)
        if self.others:
            return False
        self.standing = StoreStatus.CONFIRMED
        return True


def node_name(identity: str) -> str:
    """The node's name."""
    return identity.partition("~")[0]
