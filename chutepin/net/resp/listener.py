"""The listener for balancers: accepts connections, limits their number and resources, and closes them in order."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import socket
from typing import Protocol

from ...admission import (
    MAX_CLOSING,
    AcceptDecision,
    Acceptor,
    AddressSharing,
    ConnectionTable,
    Deadlines,
    DescriptorBudget,
    ProxyHeaderParser,
    RejectionReason,
    Rules,
)
from ...broker import Broker
from ...clock import Clock
from ...config import Address
from ...counters import Counters
from ...lifecycle import Lifecycle
from ...logs import Log
from ...memory_budget import DEFAULT_BUDGET, MemoryBudget
from ..byte_limit import ByteLimit
from ..streams import BoundedStreamProtocol, PeerState
from .connection import MAX_MESSAGES_PER_TURN, Connection
from .departure import has_left, wait_for_answers
from .message_handler import MessageHandler
from .messages import BYE
from .sockets import FLUSH_TIMEOUT_S, READ_BYTES, CountingReader, SocketLink
from .timeouts import DRAIN_READ_S, Expired, expired, next_deadline
from .turns import MessageTurns

MAX_UNSENT_BYTES = 192 * 1024  # for one connection: 32 answers of the maximum size fit
MIN_COUNTED_UNSENT_BYTES = 16384
MAX_RECEIVED_BYTES = 2**16  # for one connection; its reader and parser hold less
MIN_COUNTED_RECEIVED_BYTES = 1024
SWEEP_INTERVAL_S = 0.25  # between checks for idle connections
FIRST_MESSAGE_TIMEOUT_S = 2.0  # for a new connection to send its first complete message
DESCRIPTOR_PART = "front"  # the listener's name in the descriptor budget


def max_balancer_connections(sockets: int) -> int:
    """Return how many connections of balancers a process may hold that may open this many descriptors."""
    return max(8, sockets // 2)


class Recorder(Protocol):
    """Records the bytes of connections; a connection is identified by a number."""

    def opened(self, key: int) -> None:
        """Record that a connection was opened."""

    def passed(self, key: int, sent: bool, data: bytes) -> None:
        """Record bytes that the node sent or received."""

    def closed(self, key: int) -> None:
        """Record that a connection was closed."""


class RespListener:
    """Accepts balancers, owns their connections and passes their requests to the broker."""

    def __init__(
        self,
        broker: Broker,
        clock: Clock,
        counters: Counters,
        log: Log,
        sockets: int,
        rules: Rules | None = None,
        descriptors: DescriptorBudget | None = None,
        lifecycle: Lifecycle | None = None,
        memory: MemoryBudget = DEFAULT_BUDGET,
    ) -> None:
        self._lifecycle = lifecycle or Lifecycle()
        self.broker, self.clock, self.counters, self.log = broker, clock, counters, log
        self.max_connections = max_balancer_connections(sockets)
        self.table = ConnectionTable(rules or Rules(), self.max_connections)
        self.descriptors = descriptors or DescriptorBudget(2 * sockets, {DESCRIPTOR_PART: (0, sockets)})
        self.connections: dict[int, Connection] = {}
        self._acceptor: Acceptor | None = None
        self._links: dict[int, SocketLink] = {}
        self._evicted: set[int] = set()  # evicted connections that still hold a descriptor
        self._keys = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._deadlines = Deadlines()
        self._swept_idle_timeout_s = math.inf  # idle timeout of the decision module at the last sweep
        self._unsent = ByteLimit(MAX_UNSENT_BYTES, memory.unsent, MIN_COUNTED_UNSENT_BYTES, self._unsent_bytes)
        self._received = ByteLimit(
            MAX_RECEIVED_BYTES, memory.received, MIN_COUNTED_RECEIVED_BYTES, self._received_bytes
        )
        self._turns = MessageTurns()
        self._messages = MessageHandler(broker, clock, counters, self.table, lambda: self.healthy)
        self.recorder: Recorder | None = None
        self._finished_replays: list[Connection] = []  # replayed connections whose input has ended

    def handle_message(self, connection: Connection, items: list[bytes]) -> None:
        """Handle one message from a balancer. Raises ProtocolError."""
        self._messages.handle(connection, items)

    @property
    def healthy(self) -> bool:
        """The answer to health checks: the decision module and the process both report healthy."""
        return self.broker.status.is_healthy and self._lifecycle.healthy

    def record(self, connection: Connection, sent: bool, data: bytes) -> None:
        """Pass the bytes to the recorder, if one is set."""
        if self.recorder is not None:
            self.recorder.passed(id(connection), sent, data)

    def open_replay(self, shift: float) -> Connection:
        """Open a connection whose input is replayed from a file: served like any other, but without a socket."""
        connection = Connection(self, lambda data: self.record(connection, True, data), time_shift_s=shift)
        if self.recorder is not None:
            self.recorder.opened(id(connection))
        self.counters.add("replay.connections")
        return connection

    def finish_replay(self, connection: Connection) -> None:
        """Mark a replayed connection as finished; its open requests are still answered."""
        connection.closing = True
        self._finished_replays.append(connection)
        self.close_finished_replays()

    def close_finished_replays(self) -> None:
        """Close finished replayed connections that have no open requests."""
        for connection in [c for c in self._finished_replays if not c.open_requests]:
            self._finished_replays.remove(connection)
            if self.recorder is not None:
                self.recorder.closed(id(connection))

    async def listen(self, address: Address, share: AddressSharing = AddressSharing.NONE) -> None:
        """Accept balancers on this address. Raises OSError."""
        acceptor = Acceptor(self, BYE, self.counters, self.log, self._has_descriptor)
        await acceptor.listen(address.host, address.port, share)
        self._acceptor = acceptor

    def adopt(self, sockets: list[socket.socket]) -> None:
        """Accept balancers on listening sockets inherited from another process of this node."""
        if self._acceptor is None:
            self._acceptor = Acceptor(self, BYE, self.counters, self.log, self._has_descriptor)
        self._acceptor.adopt(sockets)

    @property
    def listeners(self) -> list[socket.socket]:
        """The listening sockets."""
        return self._acceptor.sockets if self._acceptor is not None else []

    def yield_ownership(self) -> None:
        """Stop accepting, as another process of this node takes over, and send BYE on the open connections."""
        if self._acceptor is not None:
            self._acceptor.pause()
        for connection in self.connections.values():
            connection.send_bye(self.clock.now())

    def resume_ownership(self) -> None:
        """Accept connections again."""
        if self._acceptor is not None:
            self._acceptor.resume()

    def _has_descriptor(self, dropped: int) -> bool:
        """Return whether a descriptor is free, or few evicted connections still hold theirs.

        An evicted connection keeps its descriptor for some iterations of the event loop. Under a flood the many
        evicted connections would otherwise use up the descriptors that others have reserved, and a report, the
        executor link or a call to the records service could not connect."""
        return self.descriptors.available(DESCRIPTOR_PART) > dropped or len(self._evicted) + dropped < MAX_CLOSING

    def decide(self, address: bytes, only_spare_left: bool) -> AcceptDecision:
        """Decide whether a new connection fits the table and the descriptors, evicting another one if needed.

        A peer that breaks a rule is sent BYE. If the table is merely full, the connection is dropped without an
        answer: an honest balancer may have a request in flight, which an orderly close would lose."""
        now = self.clock.now()
        self.table.limit = max(
            1,
            min(
                self.max_connections,
                self.descriptors.parts[DESCRIPTOR_PART].in_use + self.descriptors.available(DESCRIPTOR_PART),
            ),
        )
        verdict = self.table.admit(now, address)
        evict = verdict.evict
        if verdict.rejection is None and only_spare_left and evict is None:
            # The process has no free descriptor, although the table has room: a known address may evict a connection.
            evict = self.table.evictable_below(now, address)
            if evict is None:
                self.table.rejections[RejectionReason.DESCRIPTORS] += 1
                self.counters.add("balancers.too_many")
                return AcceptDecision.REJECT
        if verdict.rejection is not None:
            self.counters.add("balancers.too_many")
            full = verdict.rejection is RejectionReason.FULL or (
                verdict.rejection is RejectionReason.NEW and self.table.rules.new_share == 1
            )
            return AcceptDecision.DROP if full else AcceptDecision.REJECT
        if evict is not None and not self._evict(evict, now):
            self.counters.add("balancers.too_many")
            return AcceptDecision.DROP
        return AcceptDecision.SERVE

    def _evict(self, key: int, now: float) -> bool:
        """Close a connection to make room for a new one; return False if the connection has unread input.

        Unread input does not protect a connection without a valid message, which could otherwise keep its place by
        sending a byte at a time."""
        link = self._links.get(key)
        connection = self.connections[key]
        if link is not None and connection.has_valid_message and self._has_unread_input(connection, link):
            return False
        self.counters.add("balancers.made_room")
        self.table.closed(key)
        del self.connections[key]
        self._links.pop(key, None)
        self._deadlines.cancel(key)
        connection.send_bye(now)
        connection.closing = True  # further input is discarded: its answers could not be written
        if link is not None:
            link.close()
        if link is None or not link.transport.get_write_buffer_size():  # otherwise the close waits for the peer to read
            self._evicted.add(key)
        return True

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Serve a socket whose connection was admitted."""
        now, key = self.clock.now(), next(self._keys)
        relay = address in self.table.rules.relays
        connection = Connection(
            self,
            lambda data: None,
            last_used_at=now,
            message_deadline=now + FIRST_MESSAGE_TIMEOUT_S,
            key=key,
            proxy=ProxyHeaderParser() if relay else None,
        )
        self.table.opened(key, now, address)
        self.descriptors.parts[DESCRIPTOR_PART].in_use += 1
        self.connections[key] = connection
        self.update_deadline(connection)
        loop = asyncio.get_running_loop()
        reader = CountingReader()
        protocol = BoundedStreamProtocol(reader, READ_BYTES)
        task = loop.create_task(self._serve_connection(connection, sock, reader, protocol))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(
        self,
        connection: Connection,
        sock: socket.socket,
        reader: CountingReader,
        protocol: BoundedStreamProtocol,
    ) -> None:
        """Run one connection from its accepted socket to the release of its resources."""
        transport: asyncio.Transport | None = None
        try:
            transport, _ = await asyncio.get_running_loop().connect_accepted_socket(lambda: protocol, sock)
            writer = asyncio.StreamWriter(transport, protocol, reader, asyncio.get_running_loop())
            await self._run_connection(connection, SocketLink(sock, transport, reader, protocol), writer)
        except OSError:
            self.counters.add("balancers.reset")
        finally:
            if transport is not None:
                # Discards bytes that the peer did not read in time. If the socket were closed while its transport waits
                # to write, the event loop would keep the descriptor registered, and the next connection with the same
                # descriptor number would fail.
                transport.abort()
            sock.close()
            self.table.closed(connection.key)
            self.connections.pop(connection.key, None)
            self._deadlines.cancel(connection.key)
            self._evicted.discard(connection.key)
            self.descriptors.release(DESCRIPTOR_PART)
            if self._acceptor is not None:
                self._acceptor.descriptor_freed()

    async def _run_connection(self, connection: Connection, link: SocketLink, writer: asyncio.StreamWriter) -> None:
        transport, key = link.transport, connection.key
        if key not in self.connections:  # the connection was evicted before this task ran
            writer.write(BYE)
            writer.close()
            return
        connection.write = lambda data: self._write(connection, transport, data)
        self._links[key] = link
        if connection.bye_sent_at is not None:  # BYE was sent before the transport existed
            connection.write(BYE)
        if self.recorder is not None:
            self.recorder.opened(id(connection))
        self.counters.add("balancers.connections")
        try:
            await self._read(connection, link)
            await wait_for_answers(connection, link, self.clock.now())
            await self._flush(writer)
        finally:
            self._links.pop(key, None)
            self._unsent.forget(key)
            self._received.forget(key)
            for request in connection.open_requests.values():
                self.broker.caller_disconnected(request)
            connection.open_requests.clear()
            connection.release()
            if self.recorder is not None:
                self.recorder.closed(id(connection))
            writer.close()

    async def _read(self, connection: Connection, link: SocketLink) -> None:
        """Process input until the peer or the node ends the connection.

        What a balancer that has left sent before is not processed: no one reads the answers."""
        while data := await link.reader.read(READ_BYTES):
            connection.is_behind = len(data) == READ_BYTES
            if not connection.closing:
                connection.feed(data)
                del data  # not held while the connection waits for its turns
                await self._handle_messages(connection, link)
                self._limit_received(connection, link)
                if connection.closing:  # the input was malformed
                    self._finish_writing(connection, link)
            if connection.is_behind:  # more may be buffered: `read` would not yield to the event loop
                await asyncio.sleep(0)
        connection.closing = True

    async def _handle_messages(self, connection: Connection, link: SocketLink) -> None:
        """Process the received messages of a connection, in as many turns as they need."""
        while connection.has_unhandled_messages:
            if not self._turns.take():
                await self._turns.wait()
            if link.peer_state is not PeerState.OPEN and await has_left(connection, link, self.clock.now()):
                self.counters.add("balancers.left")
                connection.closing = True
                connection.has_unhandled_messages = False
                link.transport.abort()
                return
            connection.handle_messages(MAX_MESSAGES_PER_TURN)
            if connection.has_unhandled_messages:
                await asyncio.sleep(0)

    def accept_proxied(self, connection: Connection, address: bytes) -> bool:
        """Admit the client address that a relay sent, in place of the relay's own; return False if rejected."""
        now, key = self.clock.now(), connection.key
        self.table.closed(key)
        verdict = self.table.admit(now, address)
        if verdict.rejection is not None:
            self.counters.add("balancers.too_many")
            return False
        if verdict.evict is not None and not self._evict(verdict.evict, now):
            self.counters.add("balancers.too_many")
            return False
        self.table.opened(key, now, address)
        return True

    def metrics(self) -> dict[str, int]:
        """Return the number of rejected connections by reason."""
        return {f"admission.refused.{reason.value}": count for reason, count in self.table.rejections.items()}

    def apply(self, rules: Rules) -> None:
        """Apply new admission rules; open connections stay."""
        self.table.apply(rules)

    def _finish_writing(self, connection: Connection, link: SocketLink) -> None:
        """Half-close the connection, then read and discard input for DRAIN_READ_S.

        Closing a socket with unread input resets the connection and loses the last answers."""
        connection.closing, connection.close_at = True, self.clock.now() + DRAIN_READ_S
        link.protocol.discard_input()
        if not link.transport.is_closing():
            link.transport.write_eof()
        self.update_deadline(connection)

    async def _flush(self, writer: asyncio.StreamWriter) -> None:
        """Close once all written bytes are sent or FLUSH_TIMEOUT_S is over, for balancers that read slowly."""
        writer.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + FLUSH_TIMEOUT_S):
                await writer.wait_closed()

    def _write(self, connection: Connection, transport: asyncio.WriteTransport, data: bytes) -> None:
        """Write to a connection, and drop it if its balancer leaves too many bytes unread."""
        if transport.is_closing():
            return
        transport.write(data)
        self.record(connection, True, data)
        stuck = self._unsent.record(connection.key, transport.get_write_buffer_size())
        if stuck is not None:
            self.counters.add("balancers.stuck")
            self._unsent.forget(stuck)
            dropped = transport if stuck == connection.key else self._links[stuck].transport
            dropped.abort()

    def _limit_received(self, connection: Connection, link: SocketLink) -> None:
        """Close the connection that holds most input if all connections together hold too much."""
        excess = self._received.record(connection.key, connection.parser.held_bytes + link.reader.unread_bytes)
        if excess is not None:
            self.counters.add("balancers.input_limit")
            self._received.forget(excess)
            self.connections[excess].abort()
            self._finish_writing(self.connections[excess], self._links[excess])

    def _received_bytes(self, key: int) -> int:
        """Return the bytes that were received on a connection and not processed yet."""
        connection, link = self.connections.get(key), self._links.get(key)
        if connection is None or link is None:
            return 0
        return connection.parser.held_bytes + link.reader.unread_bytes

    def _unsent_bytes(self, key: int) -> int:
        link = self._links.get(key)
        return link.transport.get_write_buffer_size() if link is not None else 0

    def update_deadline(self, connection: Connection) -> None:
        """Schedule the next timeout check of a connection."""
        if connection.key and connection.key in self.connections:
            self._deadlines.set(connection.key, next_deadline(connection, self.broker.status.idle_timeout_s))

    def close_idle(self) -> None:
        """Send BYE on idle connections; close those that outstay BYE or whose message is overdue.

        Only connections whose deadline is due are visited."""
        now = self.clock.now()
        if self.broker.status.idle_timeout_s < self._swept_idle_timeout_s:  # deadlines were set by a longer timeout
            for connection in self.connections.values():
                self.update_deadline(connection)
        self._swept_idle_timeout_s = self.broker.status.idle_timeout_s
        for key in self._deadlines.due(now):
            connection = self.connections[key]
            if not self._enforce_deadline(connection, self._links.get(key), now):
                self.update_deadline(connection)
        self.table.forget(now)

    def _enforce_deadline(self, connection: Connection, link: SocketLink | None, now: float) -> bool:
        """Act on an expired timeout; return False if the deadline must be computed again."""
        match expired(connection, now, self.broker.status.idle_timeout_s):
            case Expired.CLOSE if link is not None:
                link.close()
            case Expired.MESSAGE if link is not None and self._is_message_overdue(connection, link, now):
                self.counters.add("balancers.slow")
                connection.abort()
                self._finish_writing(connection, link)
            case Expired.BYE if link is not None and not self._has_unread_input(connection, link):
                connection.closing = True
                link.close()
            case Expired.IDLE:
                self.counters.add("balancers.idle")
                connection.send_bye(now)
            case _:
                return False
        return True

    @staticmethod
    def _has_unread_input(connection: Connection, link: SocketLink) -> bool:
        return connection.has_unhandled_messages or link.has_unread_input()

    @staticmethod
    def _is_message_overdue(connection: Connection, link: SocketLink, now: float) -> bool:
        """Return whether the message is overdue and its rest is not waiting unread.

        Unread input extends the message deadline by DRAIN_READ_S at most, so a peer that trickles bytes gains no
        more."""
        return now > connection.message_deadline + DRAIN_READ_S or not link.has_unread_input()

    def leave(self) -> None:
        """Stop accepting, after the backlog is accepted, and send BYE on the open connections."""
        if self._acceptor is not None:
            self._acceptor.accept_backlog()
            self._acceptor.close()
            self._acceptor = None
        for connection in self.connections.values():
            connection.send_bye(self.clock.now())
