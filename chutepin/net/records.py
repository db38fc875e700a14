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

MAX_BODY = 64 * 1024
MAX_CALLS = 256  # on one connection, after which it is closed; bounds the ids that it remembers
YOUNG = 0.1  # seconds after a reply in which a connection cannot have been forgotten by the service
MAX_BACKLOG = 2 * 2**20
IDLE = 8.0  # seconds; the service closes at 10, and a call that crosses the close would end unknown
CONNECT_BY = 2.0  # seconds in which a connection must stand; until then its calls have not run
GRACE = 0.03  # seconds after a call's deadline in which the service's own PAST is awaited
_ENDS = {"DONE": End.OK, "WAIT": End.REFUSED, "ERROR": End.ERROR, "PAST": End.LATE, "EMPTY": End.UNREACHABLE}


class Called(Protocol):
    """Who hears how calls ended."""

    def call_ended(self, id: str, end: End, reply: bytes) -> None: ...


@dataclass(slots=True)
class Connection:
    """One connection, its open calls, and the ids of earlier ones, whose replies may come late or twice."""

    calls: dict[str, Call] = field(default_factory=dict)
    past: set[str] = field(default_factory=set)
    writer: asyncio.StreamWriter | None = None
    last_used: float = 0.0
    retired: bool = False  # takes no further call and ends with its last one

    def takes(self, call: Call, now: float) -> bool:
        """Guards a call against the replies to earlier ones for its id, and one that may not be repeated
        against a connection that the service may have forgotten: a reset there proves nothing."""
        fresh = not self.past or now - self.last_used < YOUNG or call.repeatable
        return not self.retired and call.id not in self.past and fresh


@dataclass(slots=True)
class Call:
    """One call until it ends."""

    id: str
    deadline: float
    body: bytes
    repeatable: bool
    written: bool = False
    heard: bool = True  # something came on its connection after it was written, or nothing had come before


def _has_body(words: list[str]) -> bool:
    return len(words) > 2 or words[1:2] == ["DONE"]


PART = "records"  # in the descriptors of descriptors


class RecordsService:
    """Opens connections as calls come, one for each call in hand while the descriptors allow: what spoils one
    reply then costs no other call. At a node of the last tier, which has no such address, calls end
    unreachable."""

    def __init__(
        self,
        address: Address | None,
        clock: Clock,
        counters: Counters,
        log: Log,
        most: int,
        descriptors: DescriptorBudget | None = None,
    ) -> None:
        self._address, self._clock, self._counters, self._log = address, clock, counters, log
        self._most = most  # connections
        # Old connections stand beside those that take their places until they have gone.
        self._descriptors = descriptors or DescriptorBudget(2 * most + 8, {PART: (0, 2 * most)})
        self.listener: Called | None = None
        self._connections: list[Connection] = []  # the last used one last
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def call(self, id: str, deadline: float, body: bytes, repeatable: bool) -> None:
        """Make a call for a request; it ends in one `called`, at the latest just after its deadline."""
        loop = asyncio.get_running_loop()
        self._timers[id] = loop.call_at(loop.time() + deadline + GRACE - self._clock.now(), self._late, id)
        self._place(Call(id, deadline, body, repeatable))

    def _place(self, call: Call) -> None:
        connection = self._connection(call)
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
        """Nobody needs this call any more: its connection is closed, which gives it up, or it is taken back
        where others share the connection."""
        if (timer := self._timers.pop(id, None)) is not None:
            timer.cancel()
        for connection in self._connections:
            call = connection.calls.pop(id, None)
            if call is None or not call.written or connection.writer is None:
                continue
            connection.past.add(id)
            if connection.calls:
                connection.writer.write(line("UNOP", id))
            else:
                connection.retired = True
                connection.writer.transport.abort()

    def _late(self, id: str) -> None:
        """Guards against a connection that has gone silent: it gets no further calls."""
        for connection in self._connections:
            connection.retired = connection.retired or id in connection.calls
        self.give_up(id)
        self._end(id, End.LATE)

    def _connection(self, call: Call) -> Connection | None:
        """The idle connection that was used last, else a new one, else that with the fewest calls.

        An idle one that does not take the call gives its place to a new one: else calls shared a connection, or ended
        unreachable, while places stood idle."""
        now = self._clock.now()
        fit = [connection for connection in self._connections if connection.takes(call, now)]
        idle = [connection for connection in fit if not connection.calls]
        if idle:
            return idle[-1]
        if sum(not c.retired for c in self._connections) >= self._most:
            unfit = next((c for c in self._connections if not (c.calls or c.retired) and c.writer is not None), None)
            if unfit is not None:
                self._close(unfit)
            else:
                return min(fit, key=lambda connection: len(connection.calls), default=None)
        if self._address is None:
            return None
        if not self._descriptors.acquire(PART):  # shared, or ended unreachable: it has not run then
            self._counters.add("records.no_descriptor")
            return min(fit, key=lambda connection: len(connection.calls), default=None)
        connection = Connection(last_used=now)
        self._connections.append(connection)
        task = asyncio.get_running_loop().create_task(self._serve(connection, self._address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    def _write(self, connection: Connection, call: Call) -> None:
        assert connection.writer is not None
        wait = max(1, round((call.deadline - self._clock.now()) * 1000))
        call.written, call.heard = True, not connection.past
        connection.writer.write(line("OP", call.id, wait, body=call.body))
        if connection.writer.transport.get_write_buffer_size() > MAX_BACKLOG:
            self._counters.add("records.stuck")
            connection.retired = True
            connection.writer.transport.abort()

    async def _serve(self, connection: Connection, address: Address) -> None:
        stood = False  # until a connection stands no call can have run
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + CONNECT_BY):
                reader, connection.writer = await asyncio.open_connection(address.host, address.port)
            stood = True
            self._counters.add("records.connections")
            for call in connection.calls.values():
                self._write(connection, call)
            parser = LineParser(_has_body, MAX_BODY)
            while data := await reader.read(65536):
                for call in connection.calls.values():
                    call.heard = True
                parser.feed(data)
                while (message := parser.next()) is not None:
                    self._reply(connection, *message)
        except OSError:
            self._counters.add("records.lost" if stood else "records.refused")
        except ProtocolError as error:
            self._counters.add("records.malformed")
            self._log.event("records.malformed", why=str(error))
        finally:
            self._connections.remove(connection)
            self._descriptors.release(PART)
            if connection.writer is not None:
                connection.writer.transport.abort()
        for call in connection.calls.values():
            if not call.heard and call.repeatable:
                # The service had forgotten the idle connection; and should the call have run, it may again.
                self._counters.add("records.again")
                self._place(call)
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
            connection.past.add(id)
            connection.last_used = self._clock.now()
            self._connections.remove(connection)
            self._connections.append(connection)
            connection.retired = connection.retired or len(connection.past) >= MAX_CALLS
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
            idle = not connection.calls and (connection.retired or now - connection.last_used > IDLE)
            if idle:
                self._close(connection)

    @staticmethod
    def _close(connection: Connection) -> None:
        """Close an idle one. It is in the list until the loop has its turn, and takes no call any more."""
        if connection.writer is not None:
            connection.retired = True
            connection.writer.transport.abort()  # what is unsent is wanted by no call; a close would wait for it
