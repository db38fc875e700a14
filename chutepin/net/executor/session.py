"""The executor protocol without a socket: commands out, numbered notices in.

The executor reads commands in order, so a command is confirmed once a `METERS` answers a later `METER` of the same
link. A command that is unconfirmed when its link is lost may or may not have been read; `unconfirmed_runs` decides
what is asked about an EXEC that may not be written twice."""

from __future__ import annotations

from collections.abc import Callable

from ...clock import Clock
from ...counters import Counters
from ...facade import End
from ...logs import Log
from ..lines import LineParser, ProtocolError, line, number_at, word_at
from .commands import Command, PendingCommands
from .notices import NoticeHandler
from .repeated_returns import CallState, RepeatedReturns
from .unconfirmed_runs import UnconfirmedRuns

MAX_BODY_BYTES = 64 * 1024
MAX_LINE_BYTES = 16 * 1024  # LOG lines are the longest; a rejected one would arrive again on each new link
NUMBERED_NOTICES = ("EXIT", "CALLOUT", "LOG")
_ENDS = {"complete": End.OK, "error": End.ERROR, "cancelled": End.CANCELLED, "unknown": End.NOT_STARTED}


class Session:
    """The state of the protocol across links: which commands are unconfirmed and which notices have been handled.

    Notice numbers prevent a notice from being lost or handled twice; unconfirmed commands survive the loss of a
    link."""

    def __init__(self, clock: Clock, counters: Counters, log: Log, stopped_runs_can_resume: bool) -> None:
        self._clock, self._counters, self._log = clock, counters, log
        self._stopped_runs_can_resume = stopped_runs_can_resume
        self.notices: NoticeHandler | None = None
        self._parser = self._new_parser()
        self._last_notice = 0
        self._last_meter = 0
        self._commands = PendingCommands()
        self._welcomed = False
        self._unconfirmed_runs = UnconfirmedRuns()
        self._repeated_returns = RepeatedReturns()
        self._sync_meter = -1  # its answer shows that all missed notices were received; -1 once answered
        self._quiesce_meter = -1  # its answer shows that all commands of a link to be closed were read
        self.on_quiesced: Callable[[], None] = lambda: None
        self.send: Callable[[bytes], None] | None = None

    @staticmethod
    def _new_parser() -> LineParser:
        return LineParser(lambda words: words[0] in ("EXIT", "CALLOUT"), MAX_BODY_BYTES, MAX_LINE_BYTES)

    @property
    def synced(self) -> bool:
        """Whether commands are written at once instead of being queued."""
        return self.send is not None and self._welcomed and self._sync_meter < 0 and self._quiesce_meter < 0

    def quiesce(self) -> None:
        """Queue further commands, and call `on_quiesced` once all written ones are confirmed.

        Used before a link is closed: unconfirmed commands would be in doubt, as after a lost link."""
        if not self.synced:  # the link has carried no commands yet
            self.on_quiesced()
            return
        self._quiesce_meter = self._last_meter + 1
        self.meter()

    def connected(self, send: Callable[[bytes], None]) -> None:
        """Start a new link: send JOIN with the number of the last notice handled."""
        self.send, self._welcomed, self._sync_meter, self._quiesce_meter = send, False, -1, -1
        self._parser = self._new_parser()
        send(line("JOIN", self._last_notice))

    def lost(self) -> None:
        """End the link. A command that may have been read and is not repeatable is not written again."""
        self.send, self._welcomed, self._sync_meter, self._quiesce_meter = None, False, -1, -1
        self._repeated_returns.link_lost()
        self._unconfirmed_runs.link_lost(self._commands.link_lost())

    def command(self, id: str, data: bytes, repeatable: bool) -> None:
        """Write a command now, or once the link is synced."""
        self._add(Command(id, data, repeatable))

    def answer_call(self, id: str, reply: bytes) -> None:
        """Write the reply to the call that a run waits for."""
        self._add(Command(id, line("RETURN", id, body=reply), True, answers_call=True))

    def _add(self, command: Command) -> None:
        self._commands.add(command)
        if self.synced:
            self._write(command)

    def meter(self) -> bool:
        """Request the gauges; return False while no executor is connected."""
        if self.send is None or not self._welcomed:
            return False
        self._last_meter += 1
        self.send(line("METER", self._last_meter))
        return True

    def resolve(self, id: str, executor_detects_end: bool) -> None:
        """Find out the end of an unconfirmed run whose request is over.

        An executor that detects the end of the request ignores the EXEC of an existing run; otherwise it starts no run
        and reports that. Any other executor would start the run, so the run is terminated."""
        if not self.synced or not self._unconfirmed_runs.is_unresolved(id):
            return
        if executor_detects_end:
            self._repeat_exec(id)
        else:
            self.terminate(id)

    def stop(self, id: str) -> None:
        """Stop a run whose request is over; the run ends with its notice, or at once if it may never have begun."""
        if self._unconfirmed_runs.is_unconfirmed(id):
            self.terminate(id)
            return
        self._unconfirmed_runs.forget(id)
        self.command(id, line("KILL", id), True)

    def terminate(self, id: str) -> None:
        """Stop a run whose request is over, and report its end once the stop is confirmed, even without a notice.

        Nothing is reported for a run that never began, and an executor may ignore a run that it has ended before."""
        if self._commands.is_terminating(id):
            return
        self._counters.add("executor.terminated")
        self._unconfirmed_runs.forget(id)
        self._add(Command(id, line("KILL", id), True, ends_run=True))
        self.meter()

    def _repeat_exec(self, id: str) -> None:
        self._counters.add("executor.resolved")
        self._add(Command(id, self._unconfirmed_runs.take_exec(id), False, in_doubt=True))

    def _probe_unconfirmed_runs(self) -> None:
        """Stop the unconfirmed runs whose requests are open, to find out which ones exist.

        A run of a request that is over is not probed: the stop would end the run, whose result a retry may need."""
        assert self.notices is not None and self.send is not None
        if not self._stopped_runs_can_resume:
            return
        probed_ids = [id for id in self._unconfirmed_runs.unresolved_ids() if self.notices.is_response_awaited(id)]
        for id in probed_ids:
            self._unconfirmed_runs.probed(id, self._last_meter + 1)
            self.send(line("KILL", id))
        if probed_ids:
            self._counters.add("executor.probed", len(probed_ids))
            self.meter()

    def _drop_unwanted_execs(self) -> None:
        """End the runs whose requests were over before their EXEC could be written."""
        assert self.notices is not None
        for id in self._commands.unwritten_execs():
            if not self.notices.is_run_wanted(id):
                self._counters.add("executor.withdrawn")
                self._commands.remove_run(id)
                self.notices.run_ended(id, End.NOT_STARTED, 0.0, b"")

    def _repeat_execs_not_found(self, meter: int) -> None:
        """Write the EXECs again whose probes found no run by this METER, unless their requests are over meanwhile."""
        assert self.notices is not None
        for id in self._unconfirmed_runs.meter_answered(meter, self._last_meter):
            if self.notices.is_response_awaited(id):
                self._repeat_exec(id)

    def _write(self, command: Command) -> None:
        assert self.send is not None
        data = command.data
        if command.answers_call and command.in_doubt:
            self._last_meter += 1
            self._repeated_returns.written(command.id, self._last_meter)
            data = line("METER", self._last_meter) + data  # one write, so that few notices can arrive between the two
        command.written, command.confirmed_by = True, self._last_meter + 1
        self.send(data)

    def received(self, data: bytes) -> None:
        """Process bytes from the executor. Raises ProtocolError."""
        self._parser.feed(data)
        while (message := self._parser.next()) is not None:
            words, body = message
            if words[0] in NUMBERED_NOTICES and not self._welcomed:
                # The notices behind WELCOME include this one, and others that must be handled before it.
                self._counters.add("executor.notices_early")
            else:
                self._handle_notice(words, body)

    def _handle_notice(self, words: list[str], body: bytes) -> None:
        assert self.notices is not None
        match words[0]:
            case "WELCOME":
                started_at = self._clock.now() - number_at(words, 2) / 1000
                self._welcomed, self._sync_meter = True, self._last_meter + 1
                self.notices.executor_started(word_at(words, 1) == "chilly", started_at)
                self.meter()
            case "EXIT":
                end, elapsed = _ENDS.get(word_at(words, 3), End.ERROR), number_at(words, 4) / 1000
                if self._is_new_notice(int(number_at(words, 1))):
                    self._handle_run_end(words[2], end, elapsed, body)
            case "CALLOUT":
                notice = int(number_at(words, 1))
                if self._is_new_notice(notice):
                    self._handle_call(word_at(words, 2), notice, body)
            case "METERS":
                self._handle_meters(int(number_at(words, 1)), tuple(number_at(words, i) for i in range(2, len(words))))
            case "BAD":
                self._handle_rejected_command(word_at(words, 1), words[2] if len(words) > 2 else "")
            case "LOG":
                if self._is_new_notice(int(number_at(words, 1))):
                    self._log.event("executor.log", text=" ".join(words[2:]))
            case _:
                raise ProtocolError(f"unknown notice {words[0][:20]}")

    def _handle_call(self, id: str, notice: int, body: bytes) -> None:
        assert self.notices is not None
        state = self._repeated_returns.call_wanted(id)
        if state is not CallState.OPEN:
            self._log.event("executor.return_crossed", id=id, call=state.name.lower())
        if state is CallState.ANSWERED:
            self._counters.add("executor.returns_crossed")
            return  # the RETURN stays unconfirmed: the link may be lost before it is read
        if state is CallState.IN_DOUBT:
            self._counters.add("executor.returns_in_doubt")
        self._confirm_run(id)
        self.notices.call_wanted(id, notice, body)

    def _handle_run_end(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        assert self.notices is not None
        was_probed = self._unconfirmed_runs.is_stopped_by_probe(id)
        self._confirm_run(id)
        if end is End.CANCELLED and was_probed and self.notices.is_response_awaited(id):
            self._counters.add("executor.woken")
            # The request may be over without this node knowing it yet: the stop has then ended the run, and the
            # executor answers the WAKE with `unknown`.
            self.notices.run_may_have_begun(id)
            self.command(id, line("WAKE", id), True)
            return
        if end is End.CANCELLED and self._stopped_runs_can_resume:
            self.notices.run_ended(id, end, elapsed, result)  # the run may resume, with the reply that it received
        elif self._repeated_returns.run_ended(id):
            self.notices.run_ended(id, End.ERROR, elapsed, b"")
        else:
            self.notices.run_ended(id, end, elapsed, result)

    def _confirm_run(self, id: str) -> None:
        """Drop the commands of a run: a notice shows that they were read or no longer matter."""
        self._commands.remove_run(id)
        self._unconfirmed_runs.forget(id)

    def _handle_rejected_command(self, word: str, id: str) -> None:
        """Pass on that a command was not carried out.

        The rejection of a repeated EXEC proves nothing about the EXEC before it."""
        assert self.notices is not None
        if word == "EXEC" and any(command.in_doubt for command in self._commands.remove_execs(id)):
            self.notices.run_may_have_begun(id)
        self.notices.command_not_carried_out(word, id)

    def _is_new_notice(self, notice: int) -> bool:
        """Return whether a notice is new; repeated and missed ones are counted (the executor keeps the last 4,000)."""
        if notice <= self._last_notice:
            self._counters.add("executor.notices_again")
            return False
        if notice > self._last_notice + 1:
            self._counters.add("executor.notices_missed", notice - self._last_notice - 1)
            self._handle_missed_notices()
        self._last_notice = notice
        self._counters.add("executor.notices")
        return True

    def _handle_missed_notices(self) -> None:
        """Write no unconfirmed EXEC again: the end of its run may be among the notices that were missed."""
        assert self.notices is not None
        for id in self._unconfirmed_runs.unresolved_ids():
            self._unconfirmed_runs.forget(id)
        self.notices.notices_missed()

    def _handle_meters(self, meter: int, values: tuple[float, ...]) -> None:
        assert self.notices is not None
        for id in self._commands.confirm(meter):
            self._confirm_run(id)
            self._repeated_returns.run_ended(id)
            self.notices.run_ended(id, End.CANCELLED, 0.0, b"")
        if meter >= self._sync_meter >= 0:
            self._drop_unwanted_execs()
            self._sync_meter = -1
            self._repeated_returns.link_synced()
            for command in self._commands:
                self._write(command)
            self._probe_unconfirmed_runs()
        self._repeated_returns.meter_answered(meter)
        self._repeat_execs_not_found(meter)
        if meter >= self._quiesce_meter >= 0:
            self.on_quiesced()
        self.notices.gauges_received(values)
