"""The protocol with the executor without a socket: commands out, numbered notices in.

A command that was written to a link is confirmed once a `METERS` answers a later `METER` of the same link:
the executor reads in order. What was not confirmed when the link broke may or may not have been read.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ...clock import Clock
from ...counters import Counters
from ...facade import End
from ...logs import Log
from ..lines import LineParser, ProtocolError, line, number, word
from .repeated_returns import CallState, RepeatedReturns

MAX_BODY_BYTES = 64 * 1024
MAX_LINE_BYTES = 16 * 1024  # a LOG may be longer than any other line; refused, it would come again on each link
_ENDS = {"complete": End.OK, "error": End.ERROR, "cancelled": End.CANCELLED, "unknown": End.NEVER}


class NoticeHandler(Protocol):
    """Handles the notices of the executor."""

    def executor_started(self, cold: bool, born: float) -> None:
        """The executor is up since `born`, warming up or not."""

    def run_ended(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        """A run is over after `elapsed` seconds."""

    def call_wanted(self, id: str, notice: int, body: bytes) -> None:
        """A run needs a call with this body; `notice` is the number to bypass it by."""

    def command_not_carried_out(self, command: str, id: str) -> None:
        """The executor did not carry out a command."""

    def gauges_received(self, values: tuple[float, ...]) -> None:
        """The gauges, in the order of the settings."""


@dataclass(slots=True)
class Command:
    """A command that is not confirmed."""

    id: str
    data: bytes
    repeatable: bool  # may be written twice
    answers_call: bool = False  # a RETURN
    written: bool = False
    in_doubt: bool = False  # written on a link that was lost, perhaps read
    confirmed_by: int = 0  # the number of the METER whose answer confirms it


class Session:
    """The protocol without a socket: what to write for each command, and what each notice means.

    Guards against notices lost or taken twice (by number) and against commands lost with a link."""

    def __init__(self, clock: Clock, counters: Counters, log: Log, stopped_runs_can_resume: bool) -> None:
        self._clock, self._counters, self._log = clock, counters, log
        self._stopped_runs_can_resume = stopped_runs_can_resume
        self.notices: NoticeHandler | None = None
        self._parser = self._new_parser()
        self._last_notice = 0
        self._last_meter = 0
        self._commands: list[Command] = []
        self._welcomed = False
        self._unconfirmed_runs: dict[str, Command] = {}  # EXECs that may or may not have been read, by id
        self._probed_until: dict[str, int] = {}  # of those, stopped to find out: the METER by which a run shows
        self._probe_stops_until: dict[str, int] = {}  # the METER until whose answer a stop may be that of a probe
        self._repeated_returns = RepeatedReturns()
        self._sync_meter = -1  # the METER whose answer shows that all missed notices were read
        self._quiesce_meter = -1  # the METER whose answer shows that all commands of a link to be left were read
        self.on_quiesced: Callable[[], None] = lambda: None
        self.send: Callable[[bytes], None] | None = None

    @staticmethod
    def _new_parser() -> LineParser:
        return LineParser(lambda words: words[0] in ("EXIT", "CALLOUT"), MAX_BODY_BYTES, MAX_LINE_BYTES)

    @property
    def synced(self) -> bool:
        """Commands go out at once."""
        return self.send is not None and self._welcomed and self._sync_meter < 0 and self._quiesce_meter < 0

    def quiesce(self) -> None:
        """The link will be left: hold commands back, and tell once those written are known to be read.

        Guards against doubt: a link left with commands in flight is like one that broke."""
        if not self.synced:  # it carried nothing yet
            self.on_quiesced()
            return
        self._quiesce_meter = self._last_meter + 1
        self.meter()

    def connected(self, send: Callable[[bytes], None]) -> None:
        """A new link: join where the last one ended."""
        self.send, self._welcomed, self._sync_meter, self._quiesce_meter = send, False, -1, -1
        self._parser = self._new_parser()
        send(line("JOIN", self._last_notice))

    def lost(self) -> None:
        """The link is gone. What may have been read and must not be read twice is not written again."""
        self.send, self._welcomed, self._sync_meter, self._quiesce_meter = None, False, -1, -1
        self._probed_until.clear()
        self._repeated_returns.link_lost()
        self._unconfirmed_runs |= {c.id: c for c in self._commands if c.written and not c.repeatable}
        self._commands = [command for command in self._commands if command.repeatable or not command.written]
        for command in self._commands:  # a METER on the next link says nothing of what this one carried
            command.in_doubt |= command.written
            command.written = False

    def command(self, id: str, data: bytes, repeatable: bool) -> None:
        """Write a command, now or once the link is back."""
        self._add(Command(id, data, repeatable))

    def answer_call(self, id: str, reply: bytes) -> None:
        """Write the reply to the call that a run waits for."""
        self._add(Command(id, line("RETURN", id, body=reply), True, answers_call=True))

    def _add(self, command: Command) -> None:
        self._commands.append(command)
        if self.synced:
            self._write(command)

    def meter(self) -> bool:
        """Request the gauges; false while no executor is connected."""
        if self.send is None or not self._welcomed:
            return False
        self._last_meter += 1
        self.send(line("METER", self._last_meter))
        return True

    def resolve(self, id: str) -> None:
        """Write an unconfirmed EXEC once more, only for a request that is over.

        The executor leaves a run alone, and where there is none it starts nothing and reports that."""
        if id in self._unconfirmed_runs and self.synced:
            self._counters.add("executor.resolved")
            self.command(id, self._unconfirmed_runs.pop(id).data, False)

    def _probe_unconfirmed_runs(self) -> None:
        """Stop the unconfirmed runs, which pauses them.

        One that had begun is reported and resumed; of one that is not reported nothing was read, and its EXEC is
        written again.

        Guards against a run that nobody began keeping its place until its request is over. An EXEC written
        again without asking could follow the end of the run and begin it a second time."""
        stopped = {command.id for command in self._commands if command.data.startswith(b"KILL ")}
        for id in self._unconfirmed_runs if self._stopped_runs_can_resume else ():
            assert self.send is not None
            self._probed_until[id] = self._last_meter + 1
            if id not in stopped:  # else the stop is meant, and was just written
                self.send(line("KILL", id))
                self._probe_stops_until[id] = self._last_meter + 1
        if self._probed_until:
            self.meter()

    def _expire_probes(self, mark: int) -> None:
        """Give up probes that were not answered by this METER: their EXEC was not read."""
        self._probe_stops_until = {
            id: until for id, until in self._probe_stops_until.items() if until > mark or id in self._probed_until
        }
        for id in [id for id, until in self._probed_until.items() if until <= mark]:
            del self._probed_until[id]
            self._probe_stops_until[id] = self._last_meter + 2  # should the stop show a little late
            self.resolve(id)

    def forget_probe(self, id: str) -> None:
        """From now on a stop of this run is intended."""
        self._probe_stops_until.pop(id, None)

    def _write(self, command: Command) -> None:
        assert self.send is not None
        data = command.data
        if command.answers_call and command.in_doubt:
            self._last_meter += 1
            self._repeated_returns.written(command.id, self._last_meter)
            data = line("METER", self._last_meter) + data  # in one piece: little can come between the two
        command.written, command.confirmed_by = True, self._last_meter + 1
        self.send(data)

    def received(self, data: bytes) -> None:
        """Take in bytes from the executor. Raises ProtocolError."""
        self._parser.feed(data)
        while (message := self._parser.next()) is not None:
            self._handle_notice(*message)

    def _handle_notice(self, words: list[str], body: bytes) -> None:
        assert self.notices is not None
        match words[0]:
            case "WELCOME":
                born = self._clock.now() - number(words, 2) / 1000
                self._welcomed, self._sync_meter = True, self._last_meter + 1
                self.notices.executor_started(word(words, 1) == "chilly", born)
                self.meter()
            case "EXIT":
                end, elapsed = _ENDS.get(word(words, 3), End.ERROR), number(words, 4) / 1000
                if self._is_new_notice(int(number(words, 1))):
                    self._end_run(words[2], end, elapsed, body)
            case "CALLOUT":
                notice = int(number(words, 1))
                if self._is_new_notice(notice):
                    self._want_call(word(words, 2), notice, body)
            case "METERS":
                self._handle_meters(int(number(words, 1)), tuple(number(words, i) for i in range(2, len(words))))
            case "BAD":
                self.notices.command_not_carried_out(word(words, 1), words[2] if len(words) > 2 else "")
            case "LOG":
                if self._is_new_notice(int(number(words, 1))):
                    self._log.event("executor.log", text=" ".join(words[2:]))
            case _:
                raise ProtocolError(f"unknown notice {words[0][:20]}")

    def _want_call(self, id: str, notice: int, body: bytes) -> None:
        assert self.notices is not None
        state = self._repeated_returns.call_wanted(id)
        if state is not CallState.OPEN:
            self._log.event("executor.return_crossed", id=id, call=state.name.lower())
        if state is CallState.ANSWERED:
            self._counters.add("executor.returns_crossed")
            return  # the RETURN stays a command until it is confirmed: the link may be lost before it is read
        if state is CallState.IN_DOUBT:
            self._counters.add("executor.returns_in_doubt")
        self._confirm_run(id)
        self._probe_stops_until.pop(id, None)
        self.notices.call_wanted(id, notice, body)

    def _end_run(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        assert self.notices is not None
        self._confirm_run(id)
        if end is End.CANCELLED and self._probe_stops_until.pop(id, None) is not None:
            self._counters.add("executor.woken")
            self.command(id, line("WAKE", id), True)
            return
        if end is End.CANCELLED and self._stopped_runs_can_resume:
            self.notices.run_ended(id, end, elapsed, result)  # it may go on, with what it was told
        elif self._repeated_returns.run_ended(id):
            self.notices.run_ended(id, End.ERROR, elapsed, b"")
        else:
            self.notices.run_ended(id, end, elapsed, result)

    def _confirm_run(self, id: str) -> None:
        """A notice shows that earlier commands for this run were read, or no longer matter."""
        self._commands = [command for command in self._commands if command.id != id]
        self._unconfirmed_runs.pop(id, None)
        self._probed_until.pop(id, None)

    def _is_new_notice(self, number: int) -> bool:
        """Each notice is taken once; a gap is counted (the executor keeps only the last 4,000)."""
        if number <= self._last_notice:
            self._counters.add("executor.notices_again")
            return False
        if number > self._last_notice + 1:
            self._counters.add("executor.notices_missed", number - self._last_notice - 1)
        self._last_notice = number
        self._counters.add("executor.notices")
        return True

    def _handle_meters(self, mark: int, values: tuple[float, ...]) -> None:
        assert self.notices is not None
        self._commands = [c for c in self._commands if not c.written or c.confirmed_by > mark]
        if mark >= self._sync_meter >= 0:
            self._sync_meter = -1
            self._repeated_returns.link_synced()
            for command in self._commands:
                self._write(command)
            self._probe_unconfirmed_runs()
        self._repeated_returns.meter_answered(mark)
        self._expire_probes(mark)
        if mark >= self._quiesce_meter >= 0:
            self.on_quiesced()
        self.notices.gauges_received(values)
