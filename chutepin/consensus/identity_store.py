"""Loading and saving of a node's identity in its store."""

from __future__ import annotations

import random

import msgpack

from ..config import ConfigError
from ..store import Store, StoreError
from .identity import IDENTITY_KEY, KNOWN_STORES_KEY, Identity, StoredIdentity
from .journal import Operation

STORE_ID_BITS = 48
NO_KNOWN_STORES = bytes(msgpack.packb({}))


def load_identity(store: Store, cluster: str, name: str, voters: tuple[str, ...]) -> Identity:
    """Read the identity from the store, or generate one for a new store.

    Raises ConfigError if the store belongs to another node or cluster."""
    try:
        raw = store.get(IDENTITY_KEY)
        known_stores = msgpack.unpackb(store.get(KNOWN_STORES_KEY) or NO_KNOWN_STORES)
    except StoreError as error:
        raise ConfigError(f"store.directory: {error}") from None
    if raw is None:
        store_id = f"{random.SystemRandom().getrandbits(STORE_ID_BITS):012x}"
        return Identity(name, voters, store_id, None, known_stores)
    stored = StoredIdentity.unpack(raw)
    if (stored.cluster, stored.node) != (cluster, name):
        raise ConfigError(
            f"store.directory: the log belongs to {stored.node} in cluster {stored.cluster}, not to {name} in {cluster}"
        )
    return Identity(name, voters, stored.store_id, stored.status, known_stores)


def identity_operations(cluster: str, identity: Identity) -> list[Operation]:
    """Return the writes that save the identity in the store."""
    stored = StoredIdentity(cluster, identity.name, identity.store_id, identity.status)
    return [(IDENTITY_KEY, stored.pack()), (KNOWN_STORES_KEY, bytes(msgpack.packb(identity.known_stores)))]
