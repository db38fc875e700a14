"""Loads a node's identity from its store, and says what the store is to hold of it."""

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
    """Read the identity from the store, or draw one for a new store. Raises ConfigError for another node's store."""
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
            f"store.directory: the log in it is that of {stored.node} in cluster {stored.cluster}, not of "
            f"{name} in {cluster}"
        )
    return Identity(name, voters, stored.store_id, stored.status, known_stores)


def identity_operations(cluster: str, identity: Identity) -> list[Operation]:
    """Return the writes after which the store holds the identity."""
    stored = StoredIdentity(cluster, identity.name, identity.store_id, identity.status)
    return [(IDENTITY_KEY, stored.pack()), (KNOWN_STORES_KEY, bytes(msgpack.packb(identity.known_stores)))]
