"""Calls to the records service, each on a connection of its own while there are enough."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from ..admission import DescriptorBudget
from ..clock import Clock
from ..config import Address
from ..counters import Counters
from ..facade import End
from ..logs import Log
from .lines import LineParser, ProtocolError, line

MAX_BODY_BYTES = 64 * 1024
MAX_CALLS_PER_CONNECTION = 256  # after which it is closed; bounds the ids that it remembers
FRESH_S = 0.1  # after a reply in which the service cannot have forgotten the connection
MAX_UNSENT_BYTES = 2 * 2**20
IDLE_TIMEOUT_S = 8.0  # the service closes at 10, and a call that crosses the close would end unknown
CONNECT_TIMEOUT_S = 2.0  # until a connection stands its calls have not run
DEADLINE_GRACE_S = 0.03  # after a call's deadline in which the service's own PAST is awaited
READ_BYTES = 65536
_ENDS = {"DONE": End.OK, "WAIT": End.REFUSED, "ERROR": End.ERROR, "PAST": End.LATE, "EMPTY": End.UNREACHABLE}


class CallHandler(Protocol):
    """Handles the ends of calls."""

    def call_ended(self, id: str, end: End, reply: bytes) -> None:
        """A call is over."""


@dataclass(slots=True)
class Connection:
    """One connection, its open calls, and the ids of earlier ones, whose replies may come late or twice."""

    calls: dict[str, Call] = field(default_factory=dict)
    finished_ids: set[str] = field(default_factory=set)
    writer: asyncio.StreamWriter | None = None
    last_used_at: float = 0.0
    retired: bool = False  # takes no further call and ends with its last one

    def can_carry(self, call: Call, now: float) -> bool:
        """Whether this connection may carry a call.

        Guards a call against the replies to earlier ones for its id, and one that may not be repeated against a
        connection that the service may have forgotten: a reset there proves nothing."""
        fresh = not self.finished_ids or now - self.last_used_at < FRESH_S or call.repeatable
        return not self.retired and call.id not in self.finished_ids and fresh


@dataclass(slots=True)
class Call:
    """One call until it ends."""

    id: str
    deadline: float
    body: bytes
    repeatable: bool
    written: bool = False
    connection_proven: bool = True  # its connection was new, or received something after it was written


def _has_body(words: list[str]) -> bool:
    return len(words) > 2 or words[1:2] == ["DONE"]


DESCRIPTOR_PART = "records"  # the name in the descriptor budget


def _default_budget(max_connections: int) -> DescriptorBudget:
    """A budget for connections alone; old ones stand beside those that take their places until they have closed."""
    return DescriptorBudget(2 * max_connections + 8, {DESCRIPTOR_PART: (0, 2 * max_connections)})


class RecordsService:
    """Makes calls, each on a connection of its own while the descriptors allow.

    What spoils one reply then costs no other call. At a node of the last tier, which has no such address, calls end
    unreachable."""

    def __init__(
        self,
        address: Address | None,
        clock: Clock,
        counters: Counters,
        log: Log,
        max_connections: int,
        descriptors: DescriptorBudget | None = None,
    ) -> None:
        self._address, self._clock, self._counters, self._log = address, clock, counters, log
        self._max_connections = max_connections
        self._descriptors = descriptors or _default_budget(max_connections)
        self.listener: CallHandler | None = None
        self._connections: list[Connection] = []  # the last used one last
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def call(self, id: str, deadline: float, body: bytes, repeatable: bool) -> None:
        """Make a call for a request; it ends in one `call_ended`, at the latest just after its deadline."""
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
        """From now on calls go to this address; those in flight may end where they are."""
        if address == self._address:
            return
        self._address = address
        for connection in self._connections:
            connection.retired = True
        self.close_idle()

    def give_up(self, id: str) -> None:
        """Give up a call that nobody needs any more.

        Its connection is closed, or the call is taken back where others share the connection."""
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
        """Guards against a connection that has gone silent: it gets no further calls."""
        for connection in self._connections:
            connection.retired = connection.retired or id in connection.calls
        self.give_up(id)
        self._end(id, End.LATE)

    def _connection_for(self, call: Call) -> Connection | None:
        """The idle connection that was used last, else a new one, else that with the fewest calls.

        An idle one that does not take the call gives its place to a new one: else calls shared a connection, or ended
        unreachable, while places were idle."""
        now = self._clock.now()
        fit = [connection for connection in self._connections if connection.can_carry(call, now)]
        idle = [connection for connection in fit if not connection.calls]
        if idle:
            return idle[-1]
        if sum(not c.retired for c in self._connections) >= self._max_connections:
            unfit = next((c for c in self._connections if not (c.calls or c.retired) and c.writer is not None), None)
            if unfit is not None:
                self._close(unfit)
            else:
                return min(fit, key=lambda connection: len(connection.calls), default=None)
        if self._address is None:
            return None
        if not self._descriptors.acquire(DESCRIPTOR_PART):  # shared, or ended unreachable: it has not run then
            self._counters.add("records.no_descriptor")
            return min(fit, key=lambda connection: len(connection.calls), default=None)
        connection = Connection(last_used_at=now)
        self._connections.append(connection)
        task = asyncio.get_running_loop().create_task(self._serve(connection, self._address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    def _write(self, connection: Connection, call: Call) -> None:
        assert connection.writer is not None
        wait = max(1, round((call.deadline - self._clock.now()) * 1000))
        call.written, call.connection_proven = True, not connection.finished_ids
        connection.writer.write(line("OP", call.id, wait, body=call.body))
        if connection.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._counters.add("records.stuck")
            connection.retired = True
            connection.writer.transport.abort()

    async def _serve(self, connection: Connection, address: Address) -> None:
        connected = False  # until then no call can have run
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S):
                reader, connection.writer = await asyncio.open_connection(address.host, address.port)
            connected = True
            self._counters.add("records.connections")
            for call in connection.calls.values():
                self._write(connection, call)
            parser = LineParser(_has_body, MAX_BODY_BYTES)
            while data := await reader.read(READ_BYTES):
                for call in connection.calls.values():
                    call.connection_proven = True
                parser.feed(data)
                while (message := parser.next()) is not None:
                    self._reply(connection, *message)
        except OSError:
            self._counters.add("records.lost" if connected else "records.refused")
        except ProtocolError as error:
            self._counters.add("records.malformed")
            self._log.event("records.malformed", why=str(error))
        finally:
            self._connections.remove(connection)
            self._descriptors.release(DESCRIPTOR_PART)
            if connection.writer is not None:
                connection.writer.transport.abort()
        for call in connection.calls.values():
            if not call.connection_proven and call.repeatable:
                # The service had forgotten the idle connection; and should the call have run, it may again.
                self._counters.add("records.again")
                self._assign(call)
            else:  # what was never written has not run; of what was, nothing is proved
                self._end(call.id, End.BROKEN if call.written else End.UNREACHABLE)

    def _reply(self, connection: Connection, words: list[str], body: bytes) -> None:
        end = _ENDS.get(words[1]) if len(words) > 1 else None
        if end is None:
            raise ProtocolError("unknown reply")
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
        """Close connections that carried nothing of late, before the service does, and retired ones."""
        now = self._clock.now()
        for connection in list(self._connections):
            idle = not connection.calls and (connection.retired or now - connection.last_used_at > IDLE_TIMEOUT_S)
            if idle:
                self._close(connection)

    @staticmethod
    def _close(connection: Connection) -> None:
        """Close an idle one. It is in the list until the loop has its turn, and takes no call any more."""
        if connection.writer is not None:
            connection.retired = True
            connection.writer.transport.abort()  # what is unsent is wanted by no call; a close would wait for it
