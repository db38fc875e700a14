"""The exchange of store ids with the other voters, which a node must complete before it votes."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from ..logs import Log
from ..store import StoreError
from .codec import Hello, WireMessage
from .identity import Identity, StoreAcknowledgement, StoreAnnouncement
from .identity_store import identity_operations
from .store_writer import StoreWriter

ANNOUNCE_INTERVAL_S = 0.5


class IdentityExchange:
    """The announcement of this node's store and the acknowledgement of other voters' stores.

    An id or acknowledgement is durable before it is sent."""

    def __init__(
        self, cluster: str, identity: Identity, writer: StoreWriter, send: Callable[[str, WireMessage], None], log: Log
    ) -> None:
        self.identity = identity
        self._cluster = cluster
        self._writer = writer
        self._send = send
        self._log = log
        self._status_changed = asyncio.Event()
        self._replies: set[asyncio.Task[None]] = set()

    async def write(self) -> None:
        """Make the identity durable. Raises StoreError."""
        await self._writer.write(identity_operations(self._cluster, self.identity))

    async def announce(self) -> None:
        """Announce the store to the voters that have not acknowledged it, then wait for a change of status.

        The wait ends after ANNOUNCE_INTERVAL_S."""
        for name in self.identity.awaited:
            self._send(name, StoreAnnouncement(self.identity.name, self.identity.store_id))
        self._status_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + ANNOUNCE_INTERVAL_S):
                await self._status_changed.wait()

    def receive_announcement(self, hello: Hello, message: StoreAnnouncement) -> None:
        """Process another voter's announcement and acknowledge its store."""
        is_new = hello.name not in self.identity.known_stores
        reply = self.identity.acknowledge(hello.name, message)
        if reply is not None:
            task = asyncio.get_running_loop().create_task(self._acknowledge(hello.name, reply, is_new))
            self._replies.add(task)
            task.add_done_callback(self._replies.discard)

    async def _acknowledge(self, to: str, reply: StoreAcknowledgement, is_new: bool) -> None:
        """Send the reply once the store id is durable on this node, because it is never replaced."""
        try:
            if is_new:
                await self.write()
            else:
                await self._writer.committed()
        except StoreError:
            return
        self._send(to, reply)

    def receive_acknowledgement(self, hello: Hello, message: StoreAcknowledgement) -> None:
        """Process another voter's reply to the announcement; log a change of status."""
        if self.identity.receive_acknowledgement(hello.name, message):
            status = self.identity.status.value
            self._log.event("consensus.store_status", status=status, identity=self.identity.identity)
            self._status_changed.set()
