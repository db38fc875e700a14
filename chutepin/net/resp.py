"""The platform's front: balancers' requests as RESP arrays of bulk strings. All rules are the core's."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..admission import (
    CLOSING_AT_ONCE,
    Acceptor,
    Deadlines,
    DescriptorBudget,
    ProxyError,
    ProxyHead,
    Reason,
    Rules,
    Share,
    Table,
    Use,
    Welcome,
)
from ..broker import Answer, Broker, Request, Verdict
from ..clock import Clock
from ..config import Address
from ..counters import Counters
from ..lifecycle import Lifecycle
from ..logs import Log
from .lines import ProtocolError

MAX_ITEMS = 8  # bulk strings in an array
MAX_BULK = 4096  # bytes in a bulk string
MAX_BODY = 2048
MAX_OPEN = 64  # requests open on one connection; balancers keep to 32
MAX_UNSENT = 192 * 1024  # bytes that a balancer may leave unread: 32 answers of the greatest size fit
MAX_UNSENT_ALL = 24 * 2**20  # the same for all connections together
SWEEP = 0.25  # seconds between looks at idle connections
FIRST_BY = 2.0  # seconds in which a connection must have sent its first whole message
WHOLE_BY = 5.0  # seconds in which any later message that has begun must be whole
PART = "front"  # in the descriptors of descriptors
FLUSH_BY = 5.0  # seconds in which a balancer that sends no more must have read its last answers
LINGER = 1.0  # seconds in which what a connection still sends after its last words is read and thrown away
READ = 4096  # bytes that one connection may have taken in before others have their turn
CHECKS_IDLE = 60.0  # seconds that a connection for health checks may be silent
BYE_GRACE = 2.0  # seconds that a balancer has to close an idle connection once told
_WORDS = {Verdict.SERVED: b"OK", Verdict.REJECTED: b"BUSY", Verdict.FAILED: b"FAILED"}


class RespParser:
    """Feed it bytes, take whole arrays. Sans-I/O; holds one bounded array and what was fed."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._items: list[bytes] = []
        self._missing = 0  # items of the present array that are yet to come
        self._length = -1  # of the present item, once its head was read

    def feed(self, data: bytes) -> None:
        """Add what was read."""
        self._buffer += data

    @property
    def partial(self) -> bool:
        """An array has begun and is not whole."""
        return bool(self._buffer or self._missing)

    def next(self) -> list[bytes] | None:
        """The next whole array, or None until more is fed."""
        while True:
            if not self._missing:
                count = self._head(b"*", MAX_ITEMS)
                if count is None:
                    return None
                if count == 0:
                    raise ProtocolError("an empty array")
                self._missing, self._items = count, []
            if self._length < 0:
                length = self._head(b"$", MAX_BULK)
                if length is None:
                    return None
                self._length = length
            if len(self._buffer) < self._length + 2:
                return None
            item = bytes(self._buffer[: self._length + 2])
            del self._buffer[: self._length + 2]
            if not item.endswith(b"\r\n"):
                raise ProtocolError("a bulk string does not end where its length says")
            self._items.append(item[:-2])
            self._length = -1
            self._missing -= 1
            if not self._missing:
                return self._items

    def _head(self, mark: bytes, most: int) -> int | None:
        if self._buffer and self._buffer[:1] != mark:
            raise ProtocolError("not an array of bulk strings")
        end = self._buffer.find(b"\r\n", 0, 10)
        if end < 0:
            if len(self._buffer) >= 10:
                raise ProtocolError("a length is too long")
            return None
        digits = bytes(self._buffer[1:end])
        if not digits.isdigit() or int(digits) > most:
            raise ProtocolError("a length is no number or too large")
        del self._buffer[: end + 2]
        return int(digits)


def array(*items: bytes) -> bytes:
    """A RESP array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


BYE = array(b"0", b"BYE")


def number(raw: str, most: float = 2.0**53) -> float:
    """A plain decimal number of 0 or more."""
    if not raw.replace(".", "", 1).isdigit() or not raw.isascii() or len(raw) > 24 or float(raw) > most:
        raise ProtocolError("a field is no number")
    return float(raw)


def parse_call(items: list[bytes]) -> Request:
    """`RPC.CALL TAG CLASS FIELDS BODY`."""
    if len(items) not in (4, 5):
        raise ProtocolError("a call has five parts")
    try:
        cls, head = items[2].decode(), items[3].decode()  # names are the settings', in whatever letters
    except UnicodeDecodeError:
        raise ProtocolError("a call's head is not UTF-8") from None
    fields = dict(part.partition("=")[::2] for part in head.split(","))
    id = fields.get("i", "")
    if len(id) != 16 or not set(id) <= set("0123456789abcdef"):
        raise ProtocolError("a call without a sound id")
    body = items[4] if len(items) == 5 else b""
    if len(body) > MAX_BODY:
        raise ProtocolError("a body is too long")
    arrived = number(fields.get("s", "")) / 1000
    wait = number(fields["d"]) / 1000 if "d" in fields else math.inf  # callers need not pass their deadline
    key = fields.get("k")
    if key is not None and len(key) > 64:
        raise ProtocolError("a key is too long")
    return Request(
        id=id,
        cls=cls,
        body=body,
        arrived=arrived,
        due=arrived + wait,
        size=number(fields.get("m", "0"), 2000),
        tenant=fields.get("t"),
        subject=fields.get("o"),
        key=key,
        rank=number(fields.get("p", "0"), 1),
        caller=int(number(fields.get("f", "0"))),
        is_retry=fields.get("r") == "1",
    )


def format_answer(tag: bytes, answer: Answer) -> bytes:
    """`TAG WORD FIELDS BODY`."""
    fields = []
    if answer.value is not None:
        fields.append(f"v={answer.value:.6g}")
    if answer.verdict is Verdict.REJECTED:
        if answer.retry_after > 0:
            fields.append(f"w={max(1, round(answer.retry_after * 1000))}")
        if answer.no_other_node:
            fields.append("l=1")
    return array(tag, _WORDS[answer.verdict], ",".join(fields).encode(), answer.body)


@dataclass(slots=True)
class Connection:
    """One balancer's connection: the protocol's state, and how to write. No socket in here."""

    front: Front
    write: Callable[[bytes], None]
    parser: RespParser = field(default_factory=RespParser)
    open: dict[bytes, str] = field(default_factory=dict)  # tag: request
    last_used: float = 0.0
    answered: float = 0.0  # when the last answer was written
    checks: bool = False  # it carries health checks
    bye_at: float | None = None
    closing: bool = False  # takes no more; closes once nothing is open
    gone_by: float = math.inf  # when it is closed though its peer has not, after its last words
    whole_by: float = math.inf  # when the message that is awaited, or has begun, must be whole
    sound: bool = False  # it has sent a request that could be taken, or a health check
    shift: float = 0.0  # seconds by which the times in its requests are moved
    key: int = 0  # in the front's tables; 0 has no socket
    proxy: ProxyHead | None = None  # what a relay sends first

    def received(self, data: bytes) -> None:
        """Take in bytes; what is malformed ends the reading, and what was read before is failed at once."""
        self.front.passed(self, False, data)
        if self.proxy is not None:
            try:
                self.proxy.feed(data)
            except ProxyError as error:
                self._misunderstood(str(error))
                return
            if not self.proxy.done:
                return
            data, address, self.proxy = self.proxy.rest, self.proxy.address, None
            if address is not None and not self.front.relayed(self, address):
                self.give_up()
                return
        self.parser.feed(data)
        whole = False
        try:
            while not self.closing and (items := self.parser.next()) is not None:
                whole = True
                self.front.message(self, items)
        except ProtocolError as error:
            self._misunderstood(str(error))
        if whole or self.whole_by == math.inf:
            # Guards the table of connections against messages that begin and never end, however they trickle.
            self.whole_by = self.front.clock.now() + WHOLE_BY if self.parser.partial else math.inf
        self.front.arm(self)

    def _misunderstood(self, why: str) -> None:
        self.front.counters.add("balancers.malformed")
        self.front.log.event("balancers.malformed", why=why)
        self.front.table.malformed(self.key, self.front.clock.now())
        self.give_up()

    def give_up(self) -> None:
        """Its peer cannot be understood any more: fail what is open, say goodbye and read no more."""
        self.closing = True
        for tag, id in list(self.open.items()):
            self.front.broker.caller_disconnected(id)
            self.answer(tag, Answer(Verdict.FAILED, value=self.front.broker.value))
        self.bye(self.front.clock.now())

    def answer(self, tag: bytes, answer: Answer) -> None:
        """Write the one answer to a tag, unless the caller has gone."""
        if self.open.pop(tag, None) is not None:
            self.write(format_answer(tag, answer))
            self.answered = self.front.clock.now()
            if not self.open:
                self.front.table.answered(self.key)
                self.front.arm(self)

    def bye(self, now: float) -> None:
        """Ask the balancer to send nothing more here and to close."""
        if self.bye_at is None:
            self.bye_at = now
            self.write(BYE)
            self.front.arm(self)


class Reader(asyncio.StreamReader):
    """Knows whether all that has come was also taken."""

    pending = 0  # bytes that were read from the system and that nobody has looked at

    def feed_data(self, data: Any) -> None:
        """Bytes from the transport."""
        self.pending += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Take up to so many bytes."""
        data = await super().read(n)
        self.pending -= len(data)
        return data


@dataclass(slots=True)
class Link:
    """The socket side of a connection."""

    sock: socket.socket
    transport: asyncio.WriteTransport
    reader: Reader

    def holds(self) -> bool:
        """Something has come that nobody has looked at; what lies in the system is taken from there.

        Guards a request that came before its connection was closed: a close over it would reset the connection, and
        after a turn of the loop that took long its balancer would not send it again."""
        if not self.reader.pending and not self.transport.is_closing():
            with contextlib.suppress(OSError):  # nothing lies there, or the peer has reset
                if data := self.sock.recv(READ):
                    self.reader.feed_data(data)
        return self.reader.pending > 0

    def close(self) -> None:
        """Close once what was written is out of the process's hands, or its peer has had its time to read it. Guards
        descriptors against a peer that never reads."""
        self.transport.close()
        if self.transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_at(loop.time() + FLUSH_BY, self.transport.abort)


class Tap(Protocol):
    """Who records what passes on the connections, each known by a number."""

    def opened(self, key: int) -> None: ...
    def passed(self, key: int, sent: bool, data: bytes) -> None: ...
    def closed(self, key: int) -> None: ...


@dataclass(frozen=True, slots=True)
class Reply:
    """Who gets a request's answer: a tag on a connection."""

    connection: Connection
    tag: bytes

    def answer(self, answer: Answer) -> None:
        """Pass it on."""
        self.connection.answer(self.tag, answer)


class Front:
    """All balancers' connections and what their messages mean."""

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
        self.table = Table(rules or Rules(), self.max_connections)
        self.descriptors = descriptors or DescriptorBudget(2 * sockets, {PART: (0, sockets)})
        self.connections: dict[int, Connection] = {}
        self._acceptor: Acceptor | None = None
        self._links: dict[int, Link] = {}
        self._making_room: set[int] = set()  # keys of connections that are being closed for newcomers
        self._keys = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._deadlines = Deadlines()
        self._idle_after = math.inf  # the module's, when it was last looked at
        self._unsent: dict[int, int] = {}  # of connections that leave much unread, by key; as it was last seen
        self.tap: Tap | None = None
        self._ending: list[Connection] = []  # from a file that has no more for them

    def message(self, connection: Connection, items: list[bytes]) -> None:
        """One array from a balancer."""
        if len(items) < 2 or not items[1].isdigit() or len(items[1]) > 19:
            raise ProtocolError("no tag")
        verb, tag = items[0], items[1]
        connection.last_used = self.clock.now()
        if verb == b"RPC.CALL":
            if tag in connection.open or len(connection.open) >= MAX_OPEN:
                raise ProtocolError("a tag that is open, or too many")
            request = parse_call(items)
            connection.sound = True
            request.arrived += connection.shift
            request.due += connection.shift
            connection.open[tag] = request.id
            self.table.spoke(connection.key, connection.last_used, Use.REQUESTS, True)
            self.broker.pick(request, Reply(connection, tag))
        elif verb == b"RPC.CANCEL":
            self.counters.add("cancels")
            if (id := connection.open.pop(tag, None)) is not None:
                self.broker.caller_disconnected(id)
            self.table.spoke(connection.key, connection.last_used, None, bool(connection.open))
        elif verb == b"RPC.HEALTH":
            self.counters.add("checks")
            connection.checks = connection.sound = True
            self.table.spoke(connection.key, connection.last_used, Use.CHECKS, bool(connection.open))
            value = self.broker.value
            fields = b"" if value is None else f"v={value:.6g}".encode()
            connection.write(array(tag, b"UP" if self.healthy else b"DOWN", fields))
        else:
            raise ProtocolError("an unknown verb")

    @property
    def healthy(self) -> bool:
        """How health checks are answered: by the module's view and the process's state."""
        return self.broker.status.is_healthy and self._lifecycle.healthy

    def passed(self, connection: Connection, sent: bool, data: bytes) -> None:
        """Let a record be kept."""
        if self.tap is not None:
            self.tap.passed(id(connection), sent, data)

    def replayed(self, shift: float) -> Connection:
        """A connection that comes from a file: read and answered like any other, but without a socket."""
        connection = Connection(self, lambda data: self.passed(connection, True, data), shift=shift)
        if self.tap is not None:
            self.tap.opened(id(connection))
        self.counters.add("replay.connections")
        return connection

    def replay_ended(self, connection: Connection) -> None:
        """Nothing more comes on it; what is open is still answered."""
        connection.closing = True
        self._ending.append(connection)
        self.close_replayed()

    def close_replayed(self) -> None:
        """Close ended connections on which all is answered."""
        for connection in [c for c in self._ending if not c.open]:
            self._ending.remove(connection)
            if self.tap is not None:
                self.tap.closed(id(connection))

    # --- sockets ---

    async def listen(self, address: Address, share: Share = Share.NONE) -> None:
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
            self._acceptor.halt()
        for connection in self.connections.values():
            connection.bye(self.clock.now())

    def resume_ownership(self) -> None:
        """Accept again."""
        if self._acceptor is not None:
            self._acceptor.go_on()

    def _has_descriptor(self, dropped: int) -> bool:
        """One is free, or few are about to be: connections that made room hold theirs for some turns of the loop.

        Guards what others have reserved: under a flood the many that are being closed would take it, and a report, the
        executor's link or a call that has to connect just then would find no descriptor."""
        return self.descriptors.available(PART) > dropped or len(self._making_room) + dropped < CLOSING_AT_ONCE

    def admits(self, address: bytes, short: bool) -> Welcome:
        """The table and the descriptors have room for a newcomer, or some is made.

        Who breaks a rule is told. Where the table is merely full the newcomer is dropped without a word: an honest
        balancer may have a request on its way, which a close in order would lose."""
        now = self.clock.now()
        self.table.limit = max(
            1, min(self.max_connections, self.descriptors.parts[PART].in_use + self.descriptors.available(PART))
        )
        verdict = self.table.admit(now, address)
        evict = verdict.evict
        if verdict.refused is None and short and evict is None:
            # The process has no descriptor left, whatever the table says: who is known may have that of another.
            evict = self.table.least_below(now, address)
            if evict is None:
                self.table.refused[Reason.DESCRIPTORS] += 1
                self.counters.add("balancers.too_many")
                return Welcome.TELL
        if verdict.refused is not None:
            self.counters.add("balancers.too_many")
            full = verdict.refused is Reason.FULL or (verdict.refused is Reason.NEW and self.table.rules.new_share == 1)
            return Welcome.DROP if full else Welcome.TELL
        if evict is not None and not self._evict(evict, now):
            self.counters.add("balancers.too_many")
            return Welcome.DROP
        return Welcome.SERVE

    def _evict(self, key: int, now: float) -> bool:
        """Close a connection to make room for another; false for one on which something has just come. One that never
        sent anything sound gains nothing so: it would keep its place by trickling."""
        link = self._links.get(key)
        if link is not None and self.connections[key].sound and link.holds():
            return False
        self.counters.add("balancers.made_room")
        self.table.closed(key)
        connection = self.connections.pop(key)
        self._links.pop(key, None)
        self._deadlines.cancel(key)
        connection.bye(now)
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
            last_used=now,
            whole_by=now + FIRST_BY,
            key=key,
            proxy=ProxyHead() if relay else None,
        )
        self.table.opened(key, now, address)
        self.descriptors.parts[PART].in_use += 1
        self.connections[key] = connection
        self.arm(connection)
        loop = asyncio.get_running_loop()
        reader = Reader(limit=65536, loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        task = loop.create_task(self._live(connection, sock, reader, protocol))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _live(
        self, connection: Connection, sock: socket.socket, reader: Reader, protocol: asyncio.StreamReaderProtocol
    ) -> None:
        """A connection's life, from its socket to its end."""
        transport: asyncio.Transport | None = None
        try:
            transport, _ = await asyncio.get_running_loop().connect_accepted_socket(lambda: protocol, sock)
            writer = asyncio.StreamWriter(transport, protocol, reader, asyncio.get_running_loop())
            await self._accepted(connection, Link(sock, transport, reader), writer)
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
            self.descriptors.release(PART)
            if self._acceptor is not None:
                self._acceptor.room()

    async def _accepted(self, connection: Connection, link: Link, writer: asyncio.StreamWriter) -> None:
        transport, key = link.transport, connection.key
        if key not in self.connections:  # it made room before it was begun
            writer.write(BYE)
            writer.close()
            return
        connection.write = lambda data: self._write(connection, transport, data)
        self._links[key] = link
        if connection.bye_at is not None:  # said before there was anything to write to
            connection.write(BYE)
        if self.tap is not None:
            self.tap.opened(id(connection))
        self.counters.add("balancers.connections")
        try:
            await self._read(connection, link)
            # An end of what the balancer sends is no end of its waiting: what was read is still answered.
            while connection.open and not transport.is_closing():
                await asyncio.sleep(0.05)
            await self._flushed(writer)
        finally:
            self._links.pop(key, None)
            self._unsent.pop(key, None)
            for request in connection.open.values():
                self.broker.caller_disconnected(request)
            connection.open.clear()
            if self.tap is not None:
                self.tap.closed(id(connection))
            writer.close()

    async def _read(self, connection: Connection, link: Link) -> None:
        """Take in what comes until the peer's end or ours."""
        while data := await link.reader.read(READ):
            if not connection.closing:
                connection.received(data)
                if connection.closing:  # it is not understood
                    self._end(connection, link)
            if len(data) == READ:  # more is there: a reader that never waits gives others no turn
                await asyncio.sleep(0)
        connection.closing = True

    def relayed(self, connection: Connection, address: bytes) -> bool:
        """A relay told the true address: judge that one as a newcomer, in place of the relay's."""
        now, key = self.clock.now(), connection.key
        self.table.closed(key)
        verdict = self.table.admit(now, address)
        if verdict.refused is not None:
            self.counters.add("balancers.too_many")
            return False
        if verdict.evict is not None and not self._evict(verdict.evict, now):
            self.counters.add("balancers.too_many")
            return False
        self.table.opened(key, now, address)
        return True

    def metrics(self) -> dict[str, int]:
        """What was refused and why, for an operator."""
        return {f"admission.refused.{reason.value}": count for reason, count in self.table.refused.items()}

    def apply(self, rules: Rules) -> None:
        """Go by other rules from now on; open connections stay."""
        self.table.apply(rules)

    def _end(self, connection: Connection, link: Link) -> None:
        """Say no more, and for a while read on and throw it away: a close over unread input resets the last words
        away."""
        connection.closing, connection.gone_by = True, self.clock.now() + LINGER
        if not link.transport.is_closing():
            link.transport.write_eof()
        self.arm(connection)

    async def _flushed(self, writer: asyncio.StreamWriter) -> None:
        """Close once what was written is out of the process's hands. Guards answers that a balancer reads slowly."""
        writer.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + FLUSH_BY):
                await writer.wait_closed()

    def _write(self, connection: Connection, transport: asyncio.WriteTransport, data: bytes) -> None:
        """Guards memory against balancers that do not read: past the bounds their connection is dropped."""
        if transport.is_closing():
            return
        transport.write(data)
        self.passed(connection, True, data)
        unsent = transport.get_write_buffer_size()
        if unsent <= 16384:
            self._unsent.pop(connection.key, None)
            return
        self._unsent[connection.key] = unsent
        if unsent > MAX_UNSENT or self._unsent_in_all() > MAX_UNSENT_ALL:
            self.counters.add("balancers.stuck")
            transport.abort()

    def _unsent_in_all(self) -> int:
        """What all leave unread. Only those that were seen to leave much are looked at; who has read since goes."""
        if len(self._unsent) * MAX_UNSENT <= MAX_UNSENT_ALL:
            return 0
        for key in list(self._unsent):
            link = self._links.get(key)
            unsent = link.transport.get_write_buffer_size() if link is not None else 0
            if unsent > 16384:
                self._unsent[key] = unsent
            else:
                del self._unsent[key]
        return sum(self._unsent.values())

    # --- deadlines ---

    def arm(self, connection: Connection) -> None:
        """Look at a connection again when it may have become slow or idle."""
        if not connection.key or connection.key not in self.connections:
            return
        at = connection.gone_by if connection.closing else connection.whole_by
        if not connection.open and not connection.closing:
            at = min(
                at,
                self._closed_at(connection)
                if connection.bye_at is not None
                else connection.last_used + self._idle_limit(connection),
            )
        self._deadlines.set(connection.key, at)

    @staticmethod
    def _closed_at(connection: Connection) -> float:
        """When one is closed that stays though it was told goodbye: not in the middle of a message, nor while its last
        answer may be on its way, which a reset would take back."""
        if connection.parser.partial:
            return connection.whole_by
        return max(connection.bye_at or 0.0, connection.answered) + BYE_GRACE

    def _idle_limit(self, connection: Connection) -> float:
        return CHECKS_IDLE if connection.checks else max(self.broker.status.idle_timeout_s, SWEEP)

    def close_idle(self) -> None:
        """Say goodbye on connections that were idle as long as the module allows; close those that stay, and those
        whose message takes too long. What has no deadline now costs nothing."""
        now = self.clock.now()
        if self.broker.status.idle_timeout_s < self._idle_after:  # deadlines may have been set by a longer time
            for connection in self.connections.values():
                self.arm(connection)
        self._idle_after = self.broker.status.idle_timeout_s
        for key in self._deadlines.due(now):
            self._look(self.connections[key], now)
        self.table.forget(now)

    def _look(self, connection: Connection, now: float) -> None:
        link = self._links.get(connection.key)
        if connection.closing:
            if link is not None and now > connection.gone_by:
                link.close()
                return
        elif now > connection.whole_by:
            # The rest may lie there unread; one that trickles gains no more than this.
            if link is not None and (now > connection.whole_by + LINGER or not link.holds()):
                self.counters.add("balancers.slow")
                connection.give_up()
                self._end(connection, link)
                return
        elif not connection.open and connection.bye_at is not None:
            if link is not None and now > self._closed_at(connection) and not link.holds():
                connection.closing = True
                link.close()
                return
        elif not connection.open and now - connection.last_used > self._idle_limit(connection):
            self.counters.add("balancers.idle")
            connection.bye(now)
            return
        self.arm(connection)

    def leave(self) -> None:
        """Take no new connections and ask that nothing more be sent on the open ones."""
        if self._acceptor is not None:
            self._acceptor.take_rest()
            self._acceptor.close()
            self._acceptor = None
        for connection in self.connections.values():
            connection.bye(self.clock.now())
