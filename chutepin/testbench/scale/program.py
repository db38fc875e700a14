"""A real program in a real run: started as an operator starts it, and seen through what it shows to operators."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from contextlib import AsyncExitStack
from pathlib import Path

from chutepin.testbench.faults.fleet import Process
from chutepin.testbench.scale.guard import cpu_ns
from chutepin.testbench.scale.hollow import COUNTERS, Death, ViewSummary, digest_shown
from chutepin.testbench.scale.places import Place
from chutepin.testbench.signals import kill
from chutepin.testbench.standins.platform import eventually, free_port

END_BY = 5.0  # seconds after the notice to leave


class Program:
    """One member. Bytes are read from the counters in its log, which it writes on SIGUSR1 and at its end."""

    def __init__(self, place: Place, directory: Path) -> None:
        self.place = place
        self._directory = directory
        self._read_up_to = 0  # bytes of its log
        self._ended = [0] * len(COUNTERS)  # bytes of earlier lives
        self._present = [0] * len(COUNTERS)
        self._changes_seen = 0
        self._cpu_ended = 0
        self._serves = False  # it has begun to work, so that signals find their handlers

    async def start(self, stack: AsyncExitStack) -> None:
        """Start the program and what it speaks to."""
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
        self._serves = True

    @property
    def _log(self) -> Path:
        return self._directory / f"{self.place.name}.log"

    @property
    def pid(self) -> int:
        """Of its process; 0 if it does not run."""
        process = self._process.world.process
        return process.pid if process is not None and process.returncode is None else 0

    @property
    def running(self) -> bool:
        """It runs and was not told to leave."""
        return bool(self.pid) and self._serves

    @property
    def ended_unasked(self) -> bool:
        """It has ended, and nobody had told it to."""
        return self._serves and not self.pid

    # --- what is done to it ---

    def leave(self) -> None:
        """SIGTERM."""
        self._serves = False
        self._process.signal(signal.SIGTERM)

    def crash(self) -> None:
        """SIGKILL."""
        self._serves = False
        self._process.signal(signal.SIGKILL)

    async def restart(self) -> None:
        """Start it once more; a process that does not end when told to is killed."""
        process = self._process.world.process
        assert process is not None
        try:
            async with asyncio.timeout(END_BY):
                await process.wait()
        except TimeoutError:
            kill(process)
            await process.wait()
        self._cpu_ended += self._cpu
        self._cpu = 0
        self.traffic()  # what it wrote at its end
        self._ended = [old + new for old, new in zip(self._ended, self._present, strict=True)]
        self._present, self._changes_seen = [0] * len(COUNTERS), 0
        world = self._process.world
        joins = len(world.joins)
        await world.spawn()
        await eventually(lambda: len(world.joins) > joins)
        self._serves = True

    # --- what is seen of it ---

    _cpu = 0  # nanoseconds of the present life, when it was last looked at

    def cpu_ns(self) -> int:
        """CPU time of all its lives."""
        self._cpu = max(self._cpu, cpu_ns(self.pid) if self.pid else 0)
        return self._cpu_ended + self._cpu

    def ask_for_counters(self) -> None:
        """It writes them to its log. One that has not begun to work would be ended by the signal."""
        if self._serves:
            self._process.signal(signal.SIGUSR1)

    def traffic(self) -> list[int]:
        """Bytes of all its lives as it last wrote them, in the order of `COUNTERS`."""
        with open(self._log, "rb") as log:
            log.seek(self._read_up_to)
            text = log.read()
        whole, newline, _ = text.rpartition(b"\n")
        self._read_up_to += len(whole) + len(newline)
        for line in whole.decode(errors="replace").splitlines():
            if line.startswith("chutepin: counters "):
                values = dict(field.partition("=")[::2] for field in line.split()[2:])
                self._present = [int(values.get(name, 0)) for name in COUNTERS.values()]
        return [old + new for old, new in zip(self._ended, self._present, strict=True)]

    async def view(self) -> ViewSummary | None:
        """What it shows of its view; None where it shows nothing."""
        digest = digest_shown("\n".join(await self._process.ask("view")))
        members = await self._process.ask("members")
        if not digest or not members or not members[0].startswith("SUCCESS total"):
            return None
        live = sum(line.split()[1] in ("alive", "suspect") for line in members[1:-1])
        return ViewSummary(digest, live)

    async def deaths(self) -> list[Death]:
        """The deaths that it has told of since it was last asked."""
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
        """End it."""
        with contextlib.suppress(ProcessLookupError):
            await self._process.world.kill()
