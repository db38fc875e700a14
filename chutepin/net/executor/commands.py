"""Commands to the executor, from their request until they are confirmed."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(slots=True)
class Command:
    """A command that is not yet confirmed."""

    id: str
    data: bytes
    repeatable: bool  # may be written again on a new link
    answers_call: bool = False  # the command is a RETURN
    ends_run: bool = False  # the command is a KILL, and its confirmation ends the run even without a notice
    written: bool = False
    in_doubt: bool = False  # written on a lost link, so it may have been read
    confirmed_by: int = 0  # the number of the METER whose answer confirms it

    @property
    def is_exec(self) -> bool:
        """Return whether the command starts a run."""
        return self.data.startswith(b"EXEC ")

    def is_confirmed(self, meter: int) -> bool:
        """Return whether the answer to this METER shows that the command was read."""
        return self.written and self.confirmed_by <= meter


class PendingCommands:
    """The commands of a session in their order, queued or written, that are not confirmed."""

    def __init__(self) -> None:
        self._commands: list[Command] = []

    def __iter__(self) -> Iterator[Command]:
        return iter(self._commands)

    def add(self, command: Command) -> None:
        """Add a command behind the others."""
        self._commands.append(command)

    def is_terminating(self, id: str) -> bool:
        """Return whether the end of a run is reported once a pending KILL is confirmed."""
        return any(command.ends_run and command.id == id for command in self._commands)

    def remove_run(self, id: str) -> None:
        """Remove all commands of a run."""
        self._commands = [command for command in self._commands if command.id != id]

    def unwritten_execs(self) -> list[str]:
        """Return the runs whose EXEC was never written, so that they certainly did not start."""
        return [c.id for c in self._commands if c.is_exec and not c.written and not c.in_doubt]

    def remove_execs(self, id: str) -> list[Command]:
        """Remove and return the EXECs of a run."""
        execs = [command for command in self._commands if command.id == id and command.is_exec]
        self._commands = [command for command in self._commands if command not in execs]
        return execs

    def confirm(self, meter: int) -> list[str]:
        """Remove the commands that the answer to a METER confirms; return the runs that a confirmed KILL ends."""
        ended_ids = [command.id for command in self._commands if command.ends_run and command.is_confirmed(meter)]
        self._commands = [command for command in self._commands if not command.is_confirmed(meter)]
        return ended_ids

    def link_lost(self) -> dict[str, bytes]:
        """Prepare the commands for the next link; remove and return the EXECs that may not be written twice, by run."""
        unconfirmed_execs = {c.id: c.data for c in self._commands if c.written and not c.repeatable}
        self._commands = [command for command in self._commands if command.repeatable or not command.written]
        for command in self._commands:  # a METER on the next link does not confirm commands of this one
            command.in_doubt |= command.written
            command.written = False
        return unconfirmed_execs
