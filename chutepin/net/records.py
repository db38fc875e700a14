"""Calls to the records service, each on its own connection while the descriptors allow."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field
from typing import Protocol

from ..admission import DescriptorBudget
from ..clock import Clock
from ..config import Address
from ..counters import Counters
from ..facade import End
from ..logs import Log
from ..memory_budget import DEFAULT_BUDGET
from .byte_limit import ByteLimit
from .lines import LineParser, ProtocolError, line
from .streams import open_connection

MAX_BODY_BYTES = 64 * 1024
MAX_CALLS_PER_CONNECTION = 256  # after which the connection is closed; bounds its finished ids
RECENT_REPLY_S = 0.1  # after a reply, in which the service cannot have closed the connection as idle
MAX_HELD_BYTES = 2 * 2**20  # of one connection: its partly received reply and its unsent calls
MIN_COUNTED_HELD_BYTES = 4096
IDLE_TIMEOUT_S = 8.0  # the service closes after 10 s; the outcome of a call sent during the close is unknown
CONNECT_TIMEOUT_S = 2.0  # calls of a connection that was not established have not run
DEADLINE_GRACE_S = 0.03  # after a call's deadline, to receive the service's PAST reply
READ_BYTES = 4096
_ENDS = {"DONE": End.OK, "WAIT": End.REFUSED, "ERROR": End.ERROR, "PAST": End.TIMED_OUT, "EMPTY": End.UNREACHABLE}


class CallHandler(Protocol):
    """The receiver of the results of calls."""

    def call_ended(self, id: str, end: End, reply: bytes) -> None:
        """Handle the end of a call."""


@dataclass(slots=True)
class Connection:
    """One connection, its open calls, and the ids of earlier calls, whose replies may arrive late or twice."""

    calls: dict[str, Call] = field(default_factory=dict)
    finished_ids: set[str] = field(default_factory=set)
    writer: asyncio.StreamWriter | None = None
    parser: LineParser = field(default_factory=lambda: LineParser(_has_body, MAX_BODY_BYTES))
    number: int = 0
    last_used_at: float = 0.0
    retired: bool = False  # carries no further calls and closes after its last one

    @property
    def held_bytes(self) -> int:
        """The bytes that are held for a partly received reply and for calls that the service has not read."""
        unsent = self.writer.transport.get_write_buffer_size() if self.writer is not None else 0
        return self.parser.held_bytes + unsent

    def can_carry(self, call: Call, now: float) -> bool:
        """Return whether this connection may carry a call.

        A call id must not be reused on a connection, as a late reply to the earlier call would be taken for the new
        one's. A call that is not repeatable needs a new or recently used connection: the service may have closed an
        idle one, and a reset there does not show whether the call ran."""
        reusable = not self.finished_ids or now - self.last_used_at < RECENT_REPLY_S or call.repeatable
        return not self.retired and call.id not in self.finished_ids and reusable


@dataclass(slots=True)
class Call:
    """A call that has not ended."""

    id: str
    deadline: float
    body: bytes
    repeatable: bool
    written: bool = False
    connection_proven: bool = True  # the connection was new, or received data after the call was written


def _has_body(words: list[str]) -> bool:
    return len(words) > 2 or words[1:2] == ["DONE"]


DESCRIPTOR_PART = "records"  # this module's name in the descriptor budget


def _default_budget(max_connections: int) -> DescriptorBudget:
    """Return a budget for connections alone, with room for old ones that close beside their successors."""
    return DescriptorBudget(2 * max_connections + 8, {DESCRIPTOR_PART: (0, 2 * max_connections)})


class RecordsService:
    """Makes calls, each on its own connection while the descriptors allow, so that a bad reply fails no other call.

    A node of the last tier has no records service: its calls end as unreachable."""

    def __init__(
        self,
        address: Address | None,
        clock: Clock,
        counters: Counters,
        log: Log,
        max_connections: int,
        descriptors: DescriptorBudget | None = None,
        max_held_bytes: int = DEFAULT_BUDGET.records,
    ) -> None:
        """Create the service. `max_held_bytes`: of all connections, over which the one that holds most is closed."""
        self._address, self._clock, self._counters, self._log = address, clock, counters, log
        self._max_connections = max_connections
        self._descriptors = descriptors or _default_budget(max_connections)
        self.listener: CallHandler | None = None
        self._connections: list[Connection] = []  # least recently used first
        self._numbers = itertools.count(1)
        self._by_number: dict[int, Connection] = {}
        self._held = ByteLimit(MAX_HELD_BYTES, max_held_bytes, MIN_COUNTED_HELD_BYTES, self._held_bytes)
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def call(self, id: str, deadline: float, body: bytes, repeatable: bool) -> None:
        """Make a call for a request. It ends in one `call_ended`, shortly after its deadline at the latest."""
        loop = asyncio.get_running_loop()
        self._timers[id] = loop.call_at(
            loop.time() + deadline + DEADLINE_GRACE_S - self._clock.now(), self._time_out, id
        )
        self._assign(Call(id, deadline, body, repeatable))

    def _assign(self, call: Call) -> None:
        connection = self._connection_for(call)
        if connection is None:
            asyncio.get_running_loop().call_soon(self._end, call.id, End.UNREACHABLE)
            return
        connection.calls[call.id] = call
        if connection.writer is not None:
            self._write(connection, call)

    def move(self, address: Address | None) -> None:
        """Send further calls to this address; calls in flight may finish on the old connections."""
        if address == self._address:
            return
        self._address = address
        for connection in self._connections:
            connection.retired = True
        self.close_idle()

    def cancel_call(self, id: str) -> None:
        """Cancel a call.

        Its connection is closed, or the call is withdrawn by UNOP if other calls share the connection."""
        if (timer := self._timers.pop(id, None)) is not None:
            timer.cancel()
        for connection in self._connections:
            call = connection.calls.pop(id, None)
            if call is None or not call.written or connection.writer is None:
                continue
            connection.finished_ids.add(id)
            if connection.calls:
                connection.writer.write(line("UNOP", id))
            else:
                connection.retired = True
                connection.writer.transport.abort()

    def _time_out(self, id: str) -> None:
        """End a call as timed out and retire its connection, which may have stopped responding."""
        for connection in self._connections:
            connection.retired = connection.retired or id in connection.calls
        self.cancel_call(id)
        self._end(id, End.TIMED_OUT)

    def _connection_for(self, call: Call) -> Connection | None:
        """Return the most recently used idle connection, else a new one, else the one with the fewest calls.

        At the connection limit, an idle connection that may not carry the call is closed in favour of a new one.
        Otherwise calls would share a connection, or end as unreachable, while connections were idle."""
        now = self._clock.now()
        usable = [connection for connection in self._connections if connection.can_carry(call, now)]
        idle = [connection for connection in usable if not connection.calls]
        if idle:
            return idle[-1]
        if sum(not c.retired for c in self._connections) >= self._max_connections:
            unusable = next((c for c in self._connections if not (c.calls or c.retired) and c.writer is not None), None)
            if unusable is not None:
                self._close(unusable)
            else:
                return min(usable, key=lambda connection: len(connection.calls), default=None)
        if self._address is None:
            return None
        if not self._descriptors.acquire(DESCRIPTOR_PART):  # the call shares a connection or ends as unreachable
            self._counters.add("records.no_descriptor")
            return min(usable, key=lambda connection: len(connection.calls), default=None)
        connection = Connection(last_used_at=now, number=next(self._numbers))
        self._connections.append(connection)
        self._by_number[connection.number] = connection
        task = asyncio.get_running_loop().create_task(self._serve(connection, self._address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    def _write(self, connection: Connection, call: Call) -> None:
        assert connection.writer is not None
        wait = max(1, round((call.deadline - self._clock.now()) * 1000))
        call.written, call.connection_proven = True, not connection.finished_ids
        connection.writer.write(line("OP", call.id, wait, body=call.body))
        self._limit_held(connection)

    def _held_bytes(self, number: int) -> int:
        connection = self._by_number.get(number)
        return connection.held_bytes if connection is not None else 0

    def _limit_held(self, connection: Connection) -> None:
        """Close a connection that holds too much, or the one that holds most if all together do."""
        excess = self._held.record(connection.number, connection.held_bytes)
        if excess is None:
            return
        self._counters.add("records.stuck")
        self._held.forget(excess)
        dropped = self._by_number[excess]
        dropped.retired = True
        if dropped.writer is not None:
            dropped.writer.transport.abort()

    async def _serve(self, connection: Connection, address: Address) -> None:
        connected = False  # calls have not run before the connection is established
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S):
                reader, connection.writer = await open_connection(address.host, address.port, READ_BYTES)
            connected = True
            self._counters.add("records.connections")
            for call in connection.calls.values():
                self._write(connection, call)
            while data := await reader.read(READ_BYTES):
                for call in connection.calls.values():
                    call.connection_proven = True
                connection.parser.feed(data)
                while (message := connection.parser.next()) is not None:
                    self._reply(connection, *message)
                self._limit_held(connection)
        except OSError:
            self._counters.add("records.lost" if connected else "records.refused")
        except ProtocolError as error:
            self._counters.add("records.malformed")
            self._log.event("records.malformed", why=str(error))
        finally:
            self._connections.remove(connection)
            del self._by_number[connection.number]
            self._held.forget(connection.number)
            self._descriptors.release(DESCRIPTOR_PART)
            if connection.writer is not None:
                connection.writer.transport.abort()
        for call in connection.calls.values():
            if not call.connection_proven and call.repeatable:
                # The service had closed the idle connection. Even if the call has run, it may be repeated.
                self._counters.add("records.again")
                self._assign(call)
            else:  # a call that was not written has not run; the outcome of a written one is unknown
                self._end(call.id, End.CONNECTION_LOST if call.written else End.UNREACHABLE)

    def _reply(self, connection: Connection, words: list[str], body: bytes) -> None:
        end = _ENDS.get(words[1]) if len(words) > 1 else None
        if end is None:
            raise ProtocolError("unknown reply to a call")
        id = words[0]
        if connection.calls.pop(id, None) is None:
            self._counters.add("records.unasked")
        else:
            connection.finished_ids.add(id)
            connection.last_used_at = self._clock.now()
            self._connections.remove(connection)
            self._connections.append(connection)
            connection.retired = connection.retired or len(connection.finished_ids) >= MAX_CALLS_PER_CONNECTION
            self._end(id, end, body)
        if connection.retired:
            self.close_idle()

    def _end(self, id: str, end: End, body: bytes = b"") -> None:
        if (timer := self._timers.pop(id, None)) is not None:
            timer.cancel()
        assert self.listener is not None
        self.listener.call_ended(id, end, body)

    def close_idle(self) -> None:
        """Close retired connections without calls, and idle ones before the service closes them."""
        now = self._clock.now()
        for connection in list(self._connections):
            idle = not connection.calls and (connection.retired or now - connection.last_used_at > IDLE_TIMEOUT_S)
            if idle:
                self._close(connection)

    @staticmethod
    def _close(connection: Connection) -> None:
        """Close an idle connection.

        It stays in the list until its task has run, and is retired so that it carries no further call."""
        if connection.writer is not None:
            connection.retired = True
            connection.writer.transport.abort()  # unsent bytes belong to no open call, and `close` would wait for them
