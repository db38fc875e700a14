"""Plays a soak's schedule: node processes, their stand-ins, clients and a crowd. All I/O, no judgement."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

from chutepin.testbench.signals import kill, send_signal
from chutepin.testbench.standins.flood import FloodKind, FloodProcess
from chutepin.testbench.standins.platform import ROOT, free_port

from .books import Books, Event, LagSeen, ProcessSeen
from .client import SoakClient
from .schedule import (
    CROWD_CONNECTIONS,
    SIGHUP,
    SIGTERM,
    SIGUSR1,
    Ending,
    Fault,
    Life,
    Schedule,
    TimedFault,
    TimedSignal,
)
from .standins import SoakStandins

START_TIMEOUT_S = 12.0  # after which a process that is not ready is given up
POLL_S = 0.01
MIN_LAG_S = 0.02  # of a turn of the rig's own loop, to be entered into the books
QUIET_S = 1.0  # without clients, before the resources of the last process are looked at
UPGRADE_STOP_S = 3.7  # after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s
CALL_TIMEOUT_S = 1.0  # that an operator waits
CROWD_KINDS = (FloodKind.ONE, FloodKind.SPREAD, FloodKind.SOUND)
CROWD_MARGIN_S = 60.0  # for starts and ends, beyond the time that processes serve
# As a deployment starts a node: signals that cross the interpreter's start must not end it.
SHELL_COMMAND = f"trap '' HUP USR1; exec '{sys.executable}' -O -m chutepin"


class StartError(Exception):
    """A process of the node was not ready in time; the books tell which."""


class Process:
    """One process of the node with its stand-ins."""

    def __init__(self, seen: ProcessSeen, standins: SoakStandins, stack: AsyncExitStack, log_path: Path) -> None:
        """`stack` closes the stand-ins."""
        self.seen = seen
        self.standins = standins
        self._stack = stack
        self._log_path = log_path

    async def start(self, signals: tuple[TimedSignal, ...]) -> None:
        """Start it, with signals from its spawn on, and wait until it is ready. Raises StartError."""
        self.seen.spawned_at = time.time()
        starting = asyncio.create_task(self.standins.start(self._stack, ops=True))
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while self.standins.process is None and not starting.done():
                    await asyncio.sleep(0.001)
                await self.send_signals(signals)
                await starting
                while not (await self.call("ready")).startswith("SUCCESS"):
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)
            await self._end(math.inf)
            raise StartError(f"{self.seen.name} was not ready in {START_TIMEOUT_S} s") from None
        self.seen.ready_at = time.time()

    async def send_signals(self, signals: tuple[TimedSignal, ...]) -> None:
        """Send a series; the first SIGTERM is the notice to leave."""
        process = self.standins.process
        assert process is not None
        for step in signals:
            if step.after_s:
                await asyncio.sleep(step.after_s)
            if process.returncode is not None:
                return
            if step.name == SIGTERM and self.seen.notice_at == math.inf:
                self.seen.notice_at = time.time()
            send_signal(process, signal.Signals[step.name])

    async def reload(self) -> None:
        """Move its stand-ins to new addresses and have it read its configuration again."""
        await self.standins.configure(self._stack)
        await self.send_signals((TimedSignal(0.0, SIGHUP),))

    async def call(self, line: str) -> str:
        """Return the answer to an operator's call; empty where there is none."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.standins.ops_port)
                writer.write(line.encode() + b"\n")
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return ""
        return answer.decode()

    async def leave(self, signals: tuple[TimedSignal, ...], stop_s: float) -> None:
        """Send the series that ends it, and kill it so long after the notice, not a moment later."""
        sending = asyncio.create_task(self.send_signals(signals))
        while self.seen.notice_at == math.inf and not sending.done():
            await asyncio.sleep(0.001)
        await self._end(self.seen.notice_at + stop_s)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    async def _end(self, kill_at: float) -> None:
        """Wait for the end of the process, which is killed at this time; `math.inf` kills it now."""
        process = self.standins.process
        assert process is not None
        wait_s = 0.0 if kill_at == math.inf else max(0.0, kill_at - time.time())
        try:
            async with asyncio.timeout(wait_s):
                await process.wait()
        except TimeoutError:
            if kill(process):
                self.seen.killed_at = time.time()
            await process.wait()
        self.seen.ended_at = time.time()
        self.seen.exit_code = process.returncode
        self.seen.log = self._log_path.read_text(errors="replace")
        await self._stack.aclose()

    def descriptors(self) -> int:
        """Count its open descriptors, without those of connections to the records service, which idle for a while."""
        assert self.standins.process is not None
        held = len(list(Path(f"/proc/{self.standins.process.pid}/fd").iterdir()))
        return held - self.standins.open_records_connections

    def memory_kb(self) -> int:
        """Return its resident memory."""
        assert self.standins.process is not None
        status = Path(f"/proc/{self.standins.process.pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])


class Player:
    """Plays one schedule into the books."""

    def __init__(self, schedule: Schedule, directory: Path) -> None:
        """`directory` holds the processes' logs and is their `TMPDIR`."""
        self.books = Books()
        self._schedule = schedule
        self._directory = directory
        self._chance = random.Random(schedule.seed)
        self._port = 0
        self._chain = 0
        self._leaving: asyncio.Task[None] | None = None  # a process that has handed over

    async def play(self) -> None:
        """Play all lives. Raises StartError."""
        self._port = await free_port()
        process = self._new_process()
        await process.start(self._schedule.lives[0].start_signals)
        first_descriptors, first_memory_kb = process.descriptors(), process.memory_kb()
        clients = [SoakClient(plan, self._port, self.books) for plan in self._schedule.clients]
        asking = [asyncio.create_task(client.run()) for client in clients]
        watching = asyncio.create_task(self._watch_lag())
        crowd = await self._start_crowd()
        try:
            for index, life in enumerate(self._schedule.lives):
                await self._serve(process, life)
                if index + 1 < len(self._schedule.lives):
                    process = await self._next_process(process, life, self._schedule.lives[index + 1])
            await self._await_leaving()
            for client in clients:
                client.stop()
            await asyncio.gather(*asking)
            if crowd is not None:
                await crowd.stop()
            await asyncio.sleep(QUIET_S)
            process.seen.descriptors_when_quiet = first_descriptors, process.descriptors()
            process.seen.memory_kb_when_quiet = first_memory_kb, process.memory_kb()
            process.seen.current_when_quiet = _current(await process.call("show-stat"))
            self._note(f"{process.seen.name} leaves")
            await process.leave(self._schedule.lives[-1].stop_signals, self._schedule.stop_ms / 1000)
        finally:
            for task in (watching, *asking, *([self._leaving] if self._leaving is not None else [])):
                task.cancel()
            await asyncio.gather(*asking, return_exceptions=True)
            if crowd is not None:
                await crowd.stop()
            self._note("the end")

    def _note(self, what: str) -> None:
        self.books.events.append(Event(time.time(), what))

    async def _watch_lag(self) -> None:
        """Enter late turns of this process's event loop into the books."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + POLL_S
            await asyncio.sleep(POLL_S)
            if (lag_s := loop.time() - due) > MIN_LAG_S:
                self.books.lags.append(LagSeen(time.time(), lag_s))

    def _new_process(self) -> Process:
        """Make a process of the present chain, not started yet."""
        number = len(self.books.processes) + 1
        seen = ProcessSeen(f"process {number}", self._chain, time.time())
        self.books.processes.append(seen)
        log_path = self._directory / f"process-{number}.log"
        standins = SoakStandins(seen.name, self._chance.getrandbits(32), self.books.runs)
        standins.listen_port = self._port
        standins.stop_ms = self._schedule.stop_ms
        standins.descriptors = self._schedule.descriptors
        standins.environ = {"TMPDIR": str(self._directory)}
        standins.shell_command = SHELL_COMMAND
        standins.program = ROOT
        stack = AsyncExitStack()
        standins.log = stack.enter_context(log_path.open("wb"))
        return Process(seen, standins, stack, log_path)

    async def _start_crowd(self) -> FloodProcess | None:
        if not self._schedule.has_crowd:
            return None
        kind = self._chance.choice(CROWD_KINDS)
        self._note(f"a crowd of kind {kind}")
        serves_s = sum(life.serves_s for life in self._schedule.lives)
        crowd = FloodProcess(kind, self._port, serves_s + CROWD_MARGIN_S, held=CROWD_CONNECTIONS)
        await crowd.start()
        return crowd

    async def _serve(self, process: Process, life: Life) -> None:
        """Let a process serve, with the faults of its life."""
        started_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for timed in life.faults:
                group.create_task(self._inject(process, timed))
            group.create_task(asyncio.sleep(max(0.0, started_at + life.serves_s - asyncio.get_running_loop().time())))

    async def _inject(self, process: Process, timed: TimedFault) -> None:
        await asyncio.sleep(timed.at_s)
        self._note(f"{process.seen.name}: {timed.fault.value}")
        standins = process.standins
        match timed.fault:
            case Fault.CONTROL_REFUSED:
                if standins.refuse_control_once():
                    await asyncio.sleep(timed.lasts_s)
                    await standins.restore_control()
            case Fault.CONTROL_SILENT:
                standins.control_silent = True
                await asyncio.sleep(timed.lasts_s)
                standins.control_silent = False
            case Fault.EXECUTOR_CUT:
                standins.cut_if_linked()
            case Fault.RECORDS_CUT | Fault.RECORDS_MUTE:
                standins.record_word = "cut" if timed.fault is Fault.RECORDS_CUT else "mute"
                await asyncio.sleep(timed.lasts_s)
                standins.record_word = "DONE"
            case Fault.RELOAD:
                await process.reload()
            case Fault.RELOAD_SAME:
                await process.send_signals((TimedSignal(0.0, SIGHUP),))
            case Fault.STATE:
                await process.send_signals((TimedSignal(0.0, SIGUSR1),))

    async def _next_process(self, process: Process, life: Life, next_life: Life) -> Process:
        """End a life; return the process that serves next, ready."""
        await self._await_leaving()
        self._note(f"{process.seen.name}: {life.ending.value}")
        if life.ending is Ending.RESTART:
            await process.leave(life.stop_signals, self._schedule.stop_ms / 1000)
            self._chain += 1
            successor = self._new_process()
            await successor.start(next_life.start_signals)
            return successor
        successor = self._new_process()
        sending = asyncio.create_task(process.send_signals(life.handover_signals))
        await successor.start(next_life.start_signals)
        await sending
        self._note(f"{successor.seen.name} is ready beside {process.seen.name}")
        self._leaving = asyncio.create_task(process.leave(life.stop_signals, UPGRADE_STOP_S))
        return successor

    async def _await_leaving(self) -> None:
        if self._leaving is not None:
            await self._leaving
            self._leaving = None


def _current(statistics: str) -> int | None:
    """Return the requests in progress of an answer to `show-stat`; None where it has none."""
    for line in statistics.splitlines():
        if line.startswith("node_current "):
            return int(float(line.split()[1]))
    return None


async def play(schedule: Schedule) -> Books:
    """Play a schedule and return what was seen. A process that is not ready in time ends it early."""
    with tempfile.TemporaryDirectory(prefix="soak-") as directory:
        player = Player(schedule, Path(directory))
        with contextlib.suppress(StartError):
            await player.play()
        return player.books
