"""The link to the executor: commands out, numbered notices in, both kept whole over a lost link.

A command that was written to a link is confirmed once a `METERS` answers a later `METER` of the same link:
the executor reads in order. What was not confirmed when the link broke may or may not have been read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..clock import Clock
from ..config import Address
from ..counters import Counters
from ..facade import End
from ..logs import Log
from .lines import LineParser, ProtocolError, line, number, word

MAX_BODY = 64 * 1024
MAX_REMARK = 16 * 1024  # a LOG may be longer than any line with a meaning; refused, it would come again on each link
MAX_BACKLOG = 8 * 2**20  # bytes that a link may owe the executor before it is given up
AGAIN_AFTER = 0.02  # seconds between attempts to connect, doubled up to ...
AGAIN_AT_MOST = 0.5
CONNECT_BY = 2.0  # seconds in which a link must stand: a host that says nothing would hold it for minutes
MOVED_AFTER = 0.3  # seconds after which a link to an old address is left, read or not
_ENDS = {"complete": End.OK, "error": End.ERROR, "cancelled": End.CANCELLED, "unknown": End.NEVER}


class Notices(Protocol):
    """Who hears the executor."""

    def executor_started(self, cold: bool, born: float) -> None: ...
    def run_ended(self, id: str, end: End, elapsed: float, result: bytes) -> None: ...
    def call_wanted(self, id: str, notice: int, body: bytes) -> None: ...
    def command_not_carried_out(self, command: str, id: str) -> None: ...
    def gauges_received(self, values: tuple[float, ...]) -> None: ...


@dataclass(slots=True)
class Command:
    """A command that is not confirmed."""

    id: str
    data: bytes
    again: bool  # may be written twice
    written: bool = False
    mark: int = 0  # the METER that confirms it


class Session:
    """The protocol without the socket: what to write for each command and what each notice means.

    Guards against notices lost or taken twice (by number) and against commands lost with a link."""

    def __init__(self, clock: Clock, counters: Counters, log: Log, pauses: bool) -> None:
        self._clock, self._counters, self._log = clock, counters, log
        self._pauses = pauses  # what is stopped can go on
        self.notices: Notices | None = None
        self._parser = self._new_parser()
        self._last = 0
        self._meters = 0
        self._commands: list[Command] = []
        self._welcomed = False
        self._doubtful: dict[str, Command] = {}  # EXECs that may or may not have been read
        self._asked: dict[str, int] = {}  # of those, stopped to see: shown until this METER
        self._paused: dict[str, int] = {}  # the METER until whose answer a stop may be that of our asking
        self._sync = -1  # the METER whose answer shows that all missed notices were read
        self._quiet = -1  # the METER whose answer shows that all commands of a link to be left were read
        self.quiet: Callable[[], None] = lambda: None  # told then
        self.send: Callable[[bytes], None] | None = None

    @staticmethod
    def _new_parser() -> LineParser:
        return LineParser(lambda words: words[0] in ("EXIT", "CALLOUT"), MAX_BODY, MAX_REMARK)

    @property
    def synced(self) -> bool:
        """Commands go out at once."""
        return self.send is not None and self._welcomed and self._sync < 0 and self._quiet < 0

    def quiesce(self) -> None:
        """This link will be left: hold commands back, and tell once those written are known to be read.

        Guards against doubt: a link left with commands in flight is like one that broke."""
        if not self.synced:  # it carried nothing yet
            self.quiet()
            return
        self._quiet = self._meters + 1
        self.meter()

    def connected(self, send: Callable[[bytes], None]) -> None:
        """A new link: join where the last one ended."""
        self.send, self._welcomed, self._sync, self._quiet = send, False, -1, -1
        self._parser = self._new_parser()
        send(line("JOIN", self._last))

    def lost(self) -> None:
        """The link is gone. What may have been read and must not be read twice is not written again."""
        self.send, self._welcomed, self._sync, self._quiet = None, False, -1, -1
        self._asked.clear()
        self._doubtful |= {c.id: c for c in self._commands if c.written and not c.again}
        self._commands = [command for command in self._commands if command.again or not command.written]
        for command in self._commands:  # a METER on the next link says nothing of what this one carried
            command.written = False

    def command(self, id: str, data: bytes, again: bool) -> None:
        """Write a command, now or once the link is back."""
        command = Command(id, data, again)
        self._commands.append(command)
        if self.synced:
            self._write(command)

    def meter(self) -> bool:
        """Ask for the gauges; false where nobody can answer now."""
        if self.send is None or not self._welcomed:
            return False
        self._meters += 1
        self.send(line("METER", self._meters))
        return True

    def resolve(self, id: str) -> None:
        """Write a doubtful EXEC once more. Only for a request that is over: then a run that goes on is left
        alone, and where there is none the executor starts nothing and says so."""
        if id in self._doubtful and self.synced:
            self._counters.add("executor.resolved")
            self.command(id, self._doubtful.pop(id).data, False)

    def _ask(self) -> None:
        """Stop the doubtful runs, which pauses them. One that was begun says so and is woken; of one that is
        silent nothing was read, and its EXEC is written again.

        Guards against a run that nobody began keeping its place until its request is over. An EXEC written
        again without asking could follow the end of the run and begin it a second time."""
        stopped = {command.id for command in self._commands if command.data.startswith(b"KILL ")}
        for id in self._doubtful if self._pauses else ():
            assert self.send is not None
            self._asked[id] = self._meters + 1
            if id not in stopped:  # else the stop is meant, and was just written
                self.send(line("KILL", id))
                self._paused[id] = self._meters + 1
        if self._asked:
            self.meter()

    def _answered(self, mark: int) -> None:
        """What was silent until this METER was answered."""
        self._paused = {id: until for id, until in self._paused.items() if until > mark or id in self._asked}
        for id in [id for id, until in self._asked.items() if until <= mark]:
            del self._asked[id]
            self._paused[id] = self._meters + 2  # should the stop show a little late
            self.resolve(id)

    def forget_pause(self, id: str) -> None:
        """A stop of this run is now meant."""
        self._paused.pop(id, None)

    def _write(self, command: Command) -> None:
        assert self.send is not None
        command.written, command.mark = True, self._meters + 1
        self.send(command.data)

    def received(self, data: bytes) -> None:
        """Take in what the executor wrote."""
        self._parser.feed(data)
        while (message := self._parser.next()) is not None:
            self._message(*message)

    def _message(self, words: list[str], body: bytes) -> None:
        assert self.notices is not None
        match words[0]:
            case "WELCOME":
                born = self._clock.now() - number(words, 2) / 1000
                self._welcomed, self._sync = True, self._meters + 1
                self.notices.executor_started(word(words, 1) == "chilly", born)
                self.meter()
            case "EXIT":
                end, elapsed = _ENDS.get(word(words, 3), End.ERROR), number(words, 4) / 1000
                if self._new(int(number(words, 1))):
                    self._ended(words[2], end, elapsed, body)
            case "CALLOUT":
                notice = int(number(words, 1))
                if self._new(notice):
                    self._settled(word(words, 2))
                    self._paused.pop(words[2], None)
                    self.notices.call_wanted(words[2], notice, body)
            case "METERS":
                self._metered(int(number(words, 1)), tuple(number(words, i) for i in range(2, len(words))))
            case "BAD":
                self.notices.command_not_carried_out(word(words, 1), words[2] if len(words) > 2 else "")
            case "LOG":
                if self._new(int(number(words, 1))):
                    self._log.event("executor.says", text=" ".join(words[2:]))
            case _:
                raise ProtocolError(f"unknown notice {words[0][:20]}")

    def _ended(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        assert self.notices is not None
        self._settled(id)
        if end is End.CANCELLED and self._paused.pop(id, None) is not None:
            self._counters.add("executor.woken")
            self.command(id, line("WAKE", id), True)
        else:
            self.notices.run_ended(id, end, elapsed, result)

    def _settled(self, id: str) -> None:
        """A notice shows that earlier commands for this run were read, or no longer matter."""
        self._commands = [command for command in self._commands if command.id != id]
        self._doubtful.pop(id, None)
        self._asked.pop(id, None)

    def _new(self, number: int) -> bool:
        """Each notice is taken once; a gap is counted (the executor keeps only the last 4,000)."""
        if number <= self._last:
            self._counters.add("executor.notices_again")
            return False
        if number > self._last + 1:
            self._counters.add("executor.notices_missed", number - self._last - 1)
        self._last = number
        self._counters.add("executor.notices")
        return True

    def _metered(self, mark: int, values: tuple[float, ...]) -> None:
        assert self.notices is not None
        self._commands = [c for c in self._commands if not c.written or c.mark > mark]
        if mark >= self._sync >= 0:
            self._sync = -1
            for command in self._commands:
                self._write(command)
            self._ask()
        self._answered(mark)
        if mark >= self._quiet >= 0:
            self.quiet()
        self.notices.gauges_received(values)


class ExecutorLink:
    """Keeps one link to the executor open for the life of the node."""

    def __init__(self, address: Address, session: Session, counters: Counters, log: Log) -> None:
        self._address, self._session, self._counters, self._log = address, session, counters, log
        self._link: asyncio.WriteTransport | None = None
        self._moving = False
        session.quiet = self._leave

    def move(self, address: Address) -> None:
        """From now on the executor is met at this address. Runs and notice numbers carry on."""
        if address == self._address:
            return
        self._address, self._moving = address, True
        if self._link is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(loop.time() + MOVED_AFTER, self._leave, self._link)
            self._session.quiesce()

    def _leave(self, link: asyncio.WriteTransport | None = None) -> None:
        """Leave this link, or the present one, for the new address."""
        if self._link is not None and link in (None, self._link):
            self._link.abort()

    def exec(self, id: str, cls: str, body: bytes, repeatable: bool) -> None:
        """Run a request. What must not run twice is not written twice: its end or due time decides."""
        self._session.command(id, line("EXEC", id, cls, body=body), repeatable)

    def kill(self, id: str) -> None:
        """Stop a run."""
        self._session.forget_pause(id)
        self._session.command(id, line("KILL", id), True)

    def give_back(self, id: str, reply: bytes) -> None:
        """The reply to the call that a run waits for."""
        self._session.command(id, line("RETURN", id, body=reply), True)

    def bypass(self, id: str, notice: int) -> None:
        """Go on without the call."""
        self._session.command(id, line("BYPASS", id, notice), True)

    def resolve(self, id: str) -> None:
        """A request is over: have the executor say what became of its run, should that be in doubt."""
        self._session.resolve(id)

    def meter(self) -> bool:
        """Ask for the gauges."""
        return self._session.meter()

    async def run(self) -> None:
        """Connect, and again whenever the link is lost, until cancelled."""
        pause, loop = AGAIN_AFTER, asyncio.get_running_loop()
        while True:
            address = self._address
            try:
                async with asyncio.timeout_at(loop.time() + CONNECT_BY):
                    reader, writer = await asyncio.open_connection(address.host, address.port)
            except OSError:
                self._counters.add("executor.refused")
            else:
                if address != self._address:  # moved while it was met: nobody would leave this link
                    writer.transport.abort()
                    continue
                pause, self._link, self._moving = AGAIN_AFTER, writer.transport, False
                try:
                    await self._serve(reader, writer)
                finally:
                    self._link = None
                    self._session.lost()
                    writer.transport.abort()
                self._counters.add("executor.moved" if self._moving else "executor.lost")
                if self._moving:
                    continue
                self._log.event("executor.lost")
            await asyncio.sleep(pause)
            pause = min(2 * pause, AGAIN_AT_MOST)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        def send(data: bytes) -> None:
            writer.write(data)
            if writer.transport.get_write_buffer_size() > MAX_BACKLOG:
                self._counters.add("executor.stuck")
                writer.transport.abort()

        self._session.connected(send)
        try:
            while data := await reader.read(65536):
                self._session.received(data)
        except OSError as error:
            self._log.event("executor.broken", why=str(error))
        except ProtocolError as error:
            self._counters.add("executor.malformed")
            self._log.event("executor.malformed", why=str(error))
        except Exception as error:  # guards the link's life: a fault of ours costs one notice, not the node
            self._counters.add("errors")
            self._log.event("executor.error", error=repr(error))
