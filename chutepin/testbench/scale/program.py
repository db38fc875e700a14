"""Real programs in a real run: started as by an operator, and observed through the operator's interface."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from contextlib import AsyncExitStack
from pathlib import Path

from chutepin.testbench.faults.fleet import Process
from chutepin.testbench.scale.guard import cpu_ns
from chutepin.testbench.scale.hollow import TRAFFIC_COUNTERS, Death, ViewSummary, parse_view_digest
from chutepin.testbench.scale.places import Place
from chutepin.testbench.signals import kill
from chutepin.testbench.standins.platform import eventually, free_port

EXIT_TIMEOUT_S = 5.0  # time for a process to end after SIGTERM


class Program:
    """A member that is a process. Its bytes are read from the counters that it logs on SIGUSR1 and at its end."""

    def __init__(self, place: Place, directory: Path) -> None:
        self.place = place
        self._directory = directory
        self._read_up_to = 0  # offset in the log
        self._earlier_bytes = [0] * len(TRAFFIC_COUNTERS)  # bytes of earlier processes
        self._current_bytes = [0] * len(TRAFFIC_COUNTERS)
        self._changes_seen = 0
        self._earlier_cpu_ns = 0
        self._is_serving = False  # the process has started and has installed its signal handlers

    async def start(self, stack: AsyncExitStack) -> None:
        """Start the program and the stand-ins that it connects to."""
        self._process = Process(self.place.name, self.place.address, await free_port())
        setup = self._directory / f"{self.place.name}.kdl"
        setup.write_text(self.place.setup)
        world = self._process.world
        world.log = stack.enter_context(open(self._log, "wb"))
        world.environ = {
            "LB_OPS": f"127.0.0.1:{self._process.ops}",
            "TMPDIR": str(self._directory),
            "PYTHONOPTIMIZE": "1",
        }
        await world.start(stack, "--setup", str(setup))
        self._is_serving = True

    @property
    def _log(self) -> Path:
        return self._directory / f"{self.place.name}.log"

    @property
    def pid(self) -> int:
        """Return the process id, or 0 if the process does not run."""
        process = self._process.world.process
        return process.pid if process is not None and process.returncode is None else 0

    @property
    def running(self) -> bool:
        """Return whether the process runs and was not ordered to end."""
        return bool(self.pid) and self._is_serving

    @property
    def ended_unexpectedly(self) -> bool:
        """Return whether the process has ended without an order."""
        return self._is_serving and not self.pid

    # --- actions ---

    def leave(self) -> None:
        """Send SIGTERM."""
        self._is_serving = False
        self._process.signal(signal.SIGTERM)

    def crash(self) -> None:
        """Send SIGKILL."""
        self._is_serving = False
        self._process.signal(signal.SIGKILL)

    async def restart(self) -> None:
        """Start the program again; the previous process is killed if it does not end in time."""
        process = self._process.world.process
        assert process is not None
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            kill(process)
            await process.wait()
        self._earlier_cpu_ns += self._current_cpu_ns
        self._current_cpu_ns = 0
        self.traffic()  # reads the counters logged at the end of the process
        self._earlier_bytes = [old + new for old, new in zip(self._earlier_bytes, self._current_bytes, strict=True)]
        self._current_bytes, self._changes_seen = [0] * len(TRAFFIC_COUNTERS), 0
        world = self._process.world
        joins = len(world.joins)
        await world.spawn()
        await eventually(lambda: len(world.joins) > joins)
        self._is_serving = True

    # --- observations ---

    _current_cpu_ns = 0  # nanoseconds of the current process at the last measurement

    def cpu_ns(self) -> int:
        """Return the CPU time of all processes of this member in nanoseconds."""
        self._current_cpu_ns = max(self._current_cpu_ns, cpu_ns(self.pid) if self.pid else 0)
        return self._earlier_cpu_ns + self._current_cpu_ns

    def request_counters(self) -> None:
        """Make the process log its counters. Before its handlers are installed, SIGUSR1 would end the process."""
        if self._is_serving:
            self._process.signal(signal.SIGUSR1)

    def traffic(self) -> list[int]:
        """Return the last logged bytes of all processes of this member, in the order of `TRAFFIC_COUNTERS`."""
        with open(self._log, "rb") as log:
            log.seek(self._read_up_to)
            text = log.read()
        complete_lines, newline, _ = text.rpartition(b"\n")
        self._read_up_to += len(complete_lines) + len(newline)
        for line in complete_lines.decode(errors="replace").splitlines():
            if line.startswith("chutepin: counters "):
                values = dict(field.partition("=")[::2] for field in line.split()[2:])
                self._current_bytes = [int(values.get(name, 0)) for name in TRAFFIC_COUNTERS.values()]
        return [old + new for old, new in zip(self._earlier_bytes, self._current_bytes, strict=True)]

    async def view(self) -> ViewSummary | None:
        """Return the summary of the program's view, or None if the program does not answer."""
        digest = parse_view_digest("\n".join(await self._process.ask("view")))
        members = await self._process.ask("members")
        if not digest or not members or not members[0].startswith("SUCCESS total"):
            return None
        live = sum(line.split()[1] in ("alive", "suspect") for line in members[1:-1])
        return ViewSummary(digest, live)

    async def deaths(self) -> list[Death]:
        """Return the deaths that the program reported since the last call."""
        found = []
        for line in (await self._process.ask("changes"))[1:-1]:
            number, age, what, subject, incarnation, *fields = line.split()
            if int(number) <= self._changes_seen:
                continue
            self._changes_seen = int(number)
            if what == "dead":
                by = next((field[3:] for field in fields if field.startswith("by=")), "")
                found.append(Death(time.monotonic() - int(age) / 1000, self.place.name, subject, by, int(incarnation)))
        return found

    async def close(self) -> None:
        """Kill the process."""
        with contextlib.suppress(ProcessLookupError):
            await self._process.world.kill()
