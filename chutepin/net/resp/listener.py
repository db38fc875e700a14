"""The listener for balancers: accepts their connections, bounds them, and ends them in order."""

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
    ConnectionUsage,
    Deadlines,
    DescriptorBudget,
    ProxyHead,
    RejectionReason,
    Rules,
)
from ...broker import Broker
from ...clock import Clock
from ...config import Address
from ...counters import Counters
from ...lifecycle import Lifecycle
from ...logs import Log
from ..lines import ProtocolError
from .connection import Connection, Reply
from .messages import BYE, CALL, CANCEL, HEALTH, format_health, parse_call
from .sockets import FLUSH_TIMEOUT_S, READ_BYTES, CountingReader, SocketLink
from .timeouts import DRAIN_READ_S, Expired, expired, next_deadline
from .unsent import UnsentLimit

MAX_OPEN_REQUESTS = 64  # on one connection; balancers keep to 32
READER_LIMIT_BYTES = 65536
SWEEP_INTERVAL_S = 0.25  # between looks at idle connections
FIRST_MESSAGE_TIMEOUT_S = 2.0  # in which a new connection must have sent a complete message
DESCRIPTOR_PART = "front"  # the listener's name in the descriptor budget


class Recorder(Protocol):
    """Records all bytes of the connections, each known by a number."""

    def opened(self, key: int) -> None:
        """A connection was opened."""

    def passed(self, key: int, sent: bool, data: bytes) -> None:
        """The node sent or received these bytes."""

    def closed(self, key: int) -> None:
        """The connection was closed."""


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
    ) -> None:
        self._lifecycle = lifecycle or Lifecycle()
        self.broker, self.clock, self.counters, self.log = broker, clock, counters, log
        self.max_connections = max(8, sockets // 2)
        self.table = ConnectionTable(rules or Rules(), self.max_connections)
        self.descriptors = descriptors or DescriptorBudget(2 * sockets, {DESCRIPTOR_PART: (0, sockets)})
        self.connections: dict[int, Connection] = {}
        self._acceptor: Acceptor | None = None
        self._links: dict[int, SocketLink] = {}
        self._making_room: set[int] = set()  # keys of connections that are being closed for newcomers
        self._keys = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._deadlines = Deadlines()
        self._idle_after = math.inf  # the module's, when it was last looked at
        self._unsent = UnsentLimit(self._unsent_bytes)
        self.recorder: Recorder | None = None
        self._replays_ending: list[Connection] = []  # from a file that has no more for them

    def handle_message(self, connection: Connection, items: list[bytes]) -> None:
        """Handle one message from a balancer. Raises ProtocolError."""
        if len(items) < 2 or not items[1].isdigit() or len(items[1]) > 19:
            raise ProtocolError("no tag")
        verb, tag = items[0], items[1]
        connection.last_used_at = self.clock.now()
        if verb == CALL:
            if tag in connection.open or len(connection.open) >= MAX_OPEN_REQUESTS:
                raise ProtocolError("a tag that is open, or too many")
            request = parse_call(items)
            connection.has_valid_message = True
            request.arrived += connection.time_shift_s
            request.due += connection.time_shift_s
            connection.open[tag] = request.id
            self.table.message_received(connection.key, connection.last_used_at, ConnectionUsage.REQUESTS, True)
            self.broker.submit(request, Reply(connection, tag))
        elif verb == CANCEL:
            self.counters.add("cancels")
            if (id := connection.open.pop(tag, None)) is not None:
                self.broker.caller_disconnected(id)
            self.table.message_received(connection.key, connection.last_used_at, None, bool(connection.open))
        elif verb == HEALTH:
            self.counters.add("checks")
            connection.carries_health_checks = connection.has_valid_message = True
            self.table.message_received(
                connection.key, connection.last_used_at, ConnectionUsage.CHECKS, bool(connection.open)
            )
            connection.write(format_health(tag, self.healthy, self.broker.value))
        else:
            raise ProtocolError("an unknown verb")

    @property
    def healthy(self) -> bool:
        """How health checks are answered: by the module's view and the process's state."""
        return self.broker.status.is_healthy and self._lifecycle.healthy

    def record(self, connection: Connection, sent: bool, data: bytes) -> None:
        """Pass bytes to the recorder, if there is one."""
        if self.recorder is not None:
            self.recorder.passed(id(connection), sent, data)

    def replayed(self, shift: float) -> Connection:
        """A connection that comes from a file: read and answered like any other, but without a socket."""
        connection = Connection(self, lambda data: self.record(connection, True, data), time_shift_s=shift)
        if self.recorder is not None:
            self.recorder.opened(id(connection))
        self.counters.add("replay.connections")
        return connection

    def replay_ended(self, connection: Connection) -> None:
        """Nothing more comes on it; what is open is still answered."""
        connection.closing = True
        self._replays_ending.append(connection)
        self.close_replayed()

    def close_replayed(self) -> None:
        """Close ended connections on which all is answered."""
        for connection in [c for c in self._replays_ending if not c.open]:
            self._replays_ending.remove(connection)
            if self.recorder is not None:
                self.recorder.closed(id(connection))

    async def listen(self, address: Address, share: AddressSharing = AddressSharing.NONE) -> None:
        """Accept balancers on this address. Raises OSError."""
        acceptor = Acceptor(self, BYE, self.counters, self.log, self._has_descriptor)
        await acceptor.listen(address.host, address.port, share)
        self._acceptor = acceptor

    def adopt(self, sockets: list[socket.socket]) -> None:
        """Accept balancers on sockets that another process of this node listened on."""
        if self._acceptor is None:
            self._acceptor = Acceptor(self, BYE, self.counters, self.log, self._has_descriptor)
        self._acceptor.adopt(sockets)

    @property
    def listeners(self) -> list[socket.socket]:
        """The sockets that are listened on."""
        return self._acceptor.sockets if self._acceptor is not None else []

    def yield_ownership(self) -> None:
        """Another process accepts from now on: ask that nothing more be sent on the open connections."""
        if self._acceptor is not None:
            self._acceptor.pause()
        for connection in self.connections.values():
            connection.send_bye(self.clock.now())

    def resume_ownership(self) -> None:
        """Accept again."""
        if self._acceptor is not None:
            self._acceptor.resume()

    def _has_descriptor(self, dropped: int) -> bool:
        """One is free, or few are about to be: connections that made room hold theirs for some turns of the loop.

        Guards what others have reserved: under a flood the many that are being closed would take it, and a report, the
        executor's link or a call that has to connect just then would find no descriptor."""
        return self.descriptors.available(DESCRIPTOR_PART) > dropped or len(self._making_room) + dropped < MAX_CLOSING

    def decide(self, address: bytes, short: bool) -> AcceptDecision:
        """The table and the descriptors have room for a newcomer, or some is made.

        Who breaks a rule is told. Where the table is merely full the newcomer is dropped without a word: an honest
        balancer may have a request on its way, which a close in order would lose."""
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
        if verdict.rejection is None and short and evict is None:
            # The process has no descriptor left, whatever the table says: who is known may have that of another.
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
        """Close a connection to make room for another; false for one on which something has just come.

        One that never sent anything sound gains nothing so: it would keep its place by trickling."""
        link = self._links.get(key)
        if link is not None and self.connections[key].has_valid_message and link.has_unread_input():
            return False
        self.counters.add("balancers.made_room")
        self.table.closed(key)
        connection = self.connections.pop(key)
        self._links.pop(key, None)
        self._deadlines.cancel(key)
        connection.send_bye(now)
        connection.closing = True  # what still comes is as unread: no answer could be written
        if link is not None:
            link.close()
        if link is None or not link.transport.get_write_buffer_size():  # else its peer decides when it ends
            self._making_room.add(key)
        return True

    def serve(self, sock: socket.socket, address: bytes) -> None:
        """Take over a connection that was admitted."""
        now, key = self.clock.now(), next(self._keys)
        relay = address in self.table.rules.relays
        connection = Connection(
            self,
            lambda data: None,
            last_used_at=now,
            message_deadline=now + FIRST_MESSAGE_TIMEOUT_S,
            key=key,
            proxy=ProxyHead() if relay else None,
        )
        self.table.opened(key, now, address)
        self.descriptors.parts[DESCRIPTOR_PART].in_use += 1
        self.connections[key] = connection
        self.update_deadline(connection)
        loop = asyncio.get_running_loop()
        reader = CountingReader(limit=READER_LIMIT_BYTES, loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        task = loop.create_task(self._serve_connection(connection, sock, reader, protocol))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(
        self,
        connection: Connection,
        sock: socket.socket,
        reader: CountingReader,
        protocol: asyncio.StreamReaderProtocol,
    ) -> None:
        """A connection's life, from its socket to its end."""
        transport: asyncio.Transport | None = None
        try:
            transport, _ = await asyncio.get_running_loop().connect_accepted_socket(lambda: protocol, sock)
            writer = asyncio.StreamWriter(transport, protocol, reader, asyncio.get_running_loop())
            await self._run_connection(connection, SocketLink(sock, transport, reader), writer)
        except OSError:
            self.counters.add("balancers.reset")
        finally:
            if transport is not None:
                # What its peer did not read in time is lost. Closed under a transport that still waits to write, the
                # descriptor would stay known to the loop, and the next connection of that number would fail.
                transport.abort()
            sock.close()
            self.table.closed(connection.key)
            self.connections.pop(connection.key, None)
            self._deadlines.cancel(connection.key)
            self._making_room.discard(connection.key)
            self.descriptors.release(DESCRIPTOR_PART)
            if self._acceptor is not None:
                self._acceptor.descriptor_freed()

    async def _run_connection(self, connection: Connection, link: SocketLink, writer: asyncio.StreamWriter) -> None:
        transport, key = link.transport, connection.key
        if key not in self.connections:  # it made room before it was begun
            writer.write(BYE)
            writer.close()
            return
        connection.write = lambda data: self._write(connection, transport, data)
        self._links[key] = link
        if connection.bye_sent_at is not None:  # said before there was anything to write to
            connection.write(BYE)
        if self.recorder is not None:
            self.recorder.opened(id(connection))
        self.counters.add("balancers.connections")
        try:
            await self._read(connection, link)
            # An end of what the balancer sends is no end of its waiting: what was read is still answered.
            while connection.open and not transport.is_closing():
                await asyncio.sleep(0.05)
            await self._flush(writer)
        finally:
            self._links.pop(key, None)
            self._unsent.forget(key)
            for request in connection.open.values():
                self.broker.caller_disconnected(request)
            connection.open.clear()
            if self.recorder is not None:
                self.recorder.closed(id(connection))
            writer.close()

    async def _read(self, connection: Connection, link: SocketLink) -> None:
        """Take in what comes until the peer's end or ours."""
        while data := await link.reader.read(READ_BYTES):
            if not connection.closing:
                connection.received(data)
                if connection.closing:  # it is not understood
                    self._finish_writing(connection, link)
            if len(data) == READ_BYTES:  # more is there: a reader that never waits gives others no turn
                await asyncio.sleep(0)
        connection.closing = True

    def accept_proxied(self, connection: Connection, address: bytes) -> bool:
        """A relay told the true address: judge that one as a newcomer, in place of the relay's."""
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
        """What was refused and why, for an operator."""
        return {f"admission.refused.{reason.value}": count for reason, count in self.table.rejections.items()}

    def apply(self, rules: Rules) -> None:
        """Go by other rules from now on; open connections stay."""
        self.table.apply(rules)

    def _finish_writing(self, connection: Connection, link: SocketLink) -> None:
        """Send no more, and for a while read and discard.

        A close over unread input resets the connection and loses the last answers."""
        connection.closing, connection.close_at = True, self.clock.now() + DRAIN_READ_S
        if not link.transport.is_closing():
            link.transport.write_eof()
        self.update_deadline(connection)

    async def _flush(self, writer: asyncio.StreamWriter) -> None:
        """Close once what was written is out of the process's hands. Guards answers that a balancer reads slowly."""
        writer.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + FLUSH_TIMEOUT_S):
                await writer.wait_closed()

    def _write(self, connection: Connection, transport: asyncio.WriteTransport, data: bytes) -> None:
        """Write, and drop a connection whose balancer leaves too much unread."""
        if transport.is_closing():
            return
        transport.write(data)
        self.record(connection, True, data)
        if self._unsent.is_exceeded(connection.key, transport.get_write_buffer_size()):
            self.counters.add("balancers.stuck")
            transport.abort()

    def _unsent_bytes(self, key: int) -> int:
        link = self._links.get(key)
        return link.transport.get_write_buffer_size() if link is not None else 0

    def update_deadline(self, connection: Connection) -> None:
        """Look at a connection again when it may have become slow or idle."""
        if connection.key and connection.key in self.connections:
            self._deadlines.set(connection.key, next_deadline(connection, self.broker.status.idle_timeout_s))

    def close_idle(self) -> None:
        """Ask balancers to close connections that are idle, and close those that stay or whose message takes too long.

        A connection without a deadline costs nothing here."""
        now = self.clock.now()
        if self.broker.status.idle_timeout_s < self._idle_after:  # deadlines may have been set by a longer time
            for connection in self.connections.values():
                self.update_deadline(connection)
        self._idle_after = self.broker.status.idle_timeout_s
        for key in self._deadlines.due(now):
            connection = self.connections[key]
            if not self._enforce_deadline(connection, self._links.get(key), now):
                self.update_deadline(connection)
        self.table.forget(now)

    def _enforce_deadline(self, connection: Connection, link: SocketLink | None, now: float) -> bool:
        """Act on a deadline that is over; false where the connection is to be looked at again."""
        match expired(connection, now, self.broker.status.idle_timeout_s):
            case Expired.CLOSE if link is not None:
                link.close()
            case Expired.MESSAGE if link is not None and self._has_sent_too_little(connection, link, now):
                self.counters.add("balancers.slow")
                connection.abort()
                self._finish_writing(connection, link)
            case Expired.BYE if link is not None and not link.has_unread_input():
                connection.closing = True
                link.close()
            case Expired.IDLE:
                self.counters.add("balancers.idle")
                connection.send_bye(now)
            case _:
                return False
        return True

    @staticmethod
    def _has_sent_too_little(connection: Connection, link: SocketLink, now: float) -> bool:
        """The rest of the message may lie unread; a peer that trickles gains no more than that time."""
        return now > connection.message_deadline + DRAIN_READ_S or not link.has_unread_input()

    def leave(self) -> None:
        """Take no new connections and ask that nothing more be sent on the open ones."""
        if self._acceptor is not None:
            self._acceptor.accept_backlog()
            self._acceptor.close()
            self._acceptor = None
        for connection in self.connections.values():
            connection.send_bye(self.clock.now())
