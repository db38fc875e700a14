"""The player of soak schedules: node processes, their stand-ins, clients and a crowd. All I/O, no checks."""

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

from .books import Event, Observations, ObservedLag, ObservedProcess
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

START_TIMEOUT_S = 12.0  # after which a process that is not ready is killed
POLL_INTERVAL_S = 0.01
MIN_LAG_S = 0.02  # shorter delays of the soak's own event loop are not recorded
IDLE_S = 1.0  # without clients, before the resources of the last process are read
UPGRADE_STOP_S = 3.7  # after SIGTERM: the longest deadline, taken as 3 s, plus 0.7 s
CALL_TIMEOUT_S = 1.0  # for the answer to an operator's call
CROWD_KINDS = (FloodKind.ONE, FloodKind.SPREAD, FloodKind.SOUND)
CROWD_MARGIN_S = 60.0  # added to the serving time, for starts and exits of processes
# The start command of a deployment: the traps keep signals from ending the process while the interpreter starts.
SHELL_COMMAND = f"trap '' HUP USR1; exec '{sys.executable}' -O -m chutepin"


class StartError(Exception):
    """A process of the node was not ready in time; the message and the observations name it."""


class Process:
    """A process of the node with its stand-ins."""

    def __init__(
        self, observed: ObservedProcess, standins: SoakStandins, stack: AsyncExitStack, log_path: Path
    ) -> None:
        """`stack` owns the stand-ins and is closed when the process has ended."""
        self.observed = observed
        self.standins = standins
        self._stack = stack
        self._log_path = log_path

    async def start(self, signals: tuple[TimedSignal, ...]) -> None:
        """Start the process, send signals from its spawn on, and wait until it is ready. Raises StartError."""
        self.observed.spawned_at = time.time()
        start_task = asyncio.create_task(self.standins.start(self._stack, ops=True))
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while self.standins.process is None and not start_task.done():
                    await asyncio.sleep(0.001)
                await self.send_signals(signals)
                await start_task
                while not (await self.call("ready")).startswith("SUCCESS"):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise StartError(f"{self.observed.name} was not ready in {START_TIMEOUT_S} s") from None
        finally:
            start_task.cancel()
            await asyncio.gather(start_task, return_exceptions=True)
        self.observed.ready_at = time.time()

    async def send_signals(self, signals: tuple[TimedSignal, ...]) -> None:
        """Send signals in order until the process has ended; record the time of the first SIGTERM."""
        process = self.standins.process
        assert process is not None
        for timed_signal in signals:
            if timed_signal.after_s:
                await asyncio.sleep(timed_signal.after_s)
            if process.returncode is not None:
                return
            if timed_signal.name == SIGTERM and self.observed.sigterm_at == math.inf:
                self.observed.sigterm_at = time.time()
            send_signal(process, signal.Signals[timed_signal.name])

    async def reload(self) -> None:
        """Move the stand-ins to new addresses and send SIGHUP to reload the configuration."""
        await self.standins.configure(self._stack)
        await self.send_signals((TimedSignal(0.0, SIGHUP),))

    async def call(self, line: str) -> str:
        """Return the answer to an operator's call; empty if the call fails or times out."""
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
        """Send the stop signals and kill the process if it still runs `stop_s` after the first SIGTERM."""
        signal_task = asyncio.create_task(self.send_signals(signals))
        while self.observed.sigterm_at == math.inf and not signal_task.done():
            await asyncio.sleep(0.001)
        await self._await_end(self.observed.sigterm_at + stop_s)
        signal_task.cancel()
        await asyncio.gather(signal_task, return_exceptions=True)

    async def end_now(self) -> None:
        """Kill the process if it still runs, and release its stand-ins."""
        if self.standins.process is None:
            await self._stack.aclose()
        elif self.observed.ended_at == math.inf:
            await self._await_end(math.inf)

    async def _await_end(self, kill_at: float) -> None:
        """Wait until the process ends or kill it at `kill_at`; `math.inf` kills it now. Record its end."""
        process = self.standins.process
        assert process is not None
        wait_s = 0.0 if kill_at == math.inf else max(0.0, kill_at - time.time())
        try:
            async with asyncio.timeout(wait_s):
                await process.wait()
        except TimeoutError:
            if kill(process):
                self.observed.killed_at = time.time()
            await process.wait()
        self.observed.ended_at = time.time()
        self.observed.exit_code = process.returncode
        self.observed.log = self._log_path.read_text(errors="replace")
        await self._stack.aclose()

    def descriptors(self) -> int:
        """Return the number of open descriptors, without those to the records service, which idle for a while."""
        assert self.standins.process is not None
        open_descriptors = len(list(Path(f"/proc/{self.standins.process.pid}/fd").iterdir()))
        return open_descriptors - self.standins.open_records_connections

    def memory_kb(self) -> int:
        """Return the resident memory in KB."""
        assert self.standins.process is not None
        status = Path(f"/proc/{self.standins.process.pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])


class Player:
    """The player of one schedule; `observations` grow while it plays."""

    def __init__(self, schedule: Schedule, directory: Path) -> None:
        """`directory` holds the logs of the processes and is their `TMPDIR`."""
        self.observations = Observations()
        self._schedule = schedule
        self._directory = directory
        self._rng = random.Random(schedule.seed)
        self._port = 0
        self._chain = 0
        self._leave_task: asyncio.Task[None] | None = None  # ends the process that has handed over
        self._processes: list[Process] = []

    async def play(self) -> None:
        """Play the lifetimes of all processes, and end them all however the play ends. Raises StartError."""
        try:
            await self._play()
        finally:
            for process in self._processes:
                await process.end_now()

    async def _play(self) -> None:
        self._port = await free_port()
        process = self._new_process()
        await process.start(self._schedule.lives[0].start_signals)
        first_descriptors, first_memory_kb = process.descriptors(), process.memory_kb()
        clients = [SoakClient(plan, self._port, self.observations) for plan in self._schedule.clients]
        client_tasks = [asyncio.create_task(client.run()) for client in clients]
        lag_task = asyncio.create_task(self._watch_lag())
        crowd = await self._start_crowd()
        try:
            for index, life in enumerate(self._schedule.lives):
                await self._serve(process, life)
                if index + 1 < len(self._schedule.lives):
                    process = await self._next_process(process, life, self._schedule.lives[index + 1])
            await self._await_leaving()
            for client in clients:
                client.stop()
            await asyncio.gather(*client_tasks)
            if crowd is not None:
                await crowd.stop()
            await asyncio.sleep(IDLE_S)
            process.observed.idle_descriptors = first_descriptors, process.descriptors()
            process.observed.idle_memory_kb = first_memory_kb, process.memory_kb()
            process.observed.idle_requests_in_progress = _requests_in_progress(await process.call("show-stat"))
            self._record_event(f"{process.observed.name} leaves")
            await process.leave(self._schedule.lives[-1].stop_signals, self._schedule.stop_ms / 1000)
        finally:
            for task in (lag_task, *client_tasks, *([self._leave_task] if self._leave_task is not None else [])):
                task.cancel()
            await asyncio.gather(*client_tasks, return_exceptions=True)
            if crowd is not None:
                await crowd.stop()
            self._record_event("end of the schedule")

    def _record_event(self, description: str) -> None:
        self.observations.events.append(Event(time.time(), description))

    async def _watch_lag(self) -> None:
        """Record delays of the event loop of this process."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + POLL_INTERVAL_S
            await asyncio.sleep(POLL_INTERVAL_S)
            if (lag_s := loop.time() - due_at) > MIN_LAG_S:
                self.observations.lags.append(ObservedLag(time.time(), lag_s))

    def _new_process(self) -> Process:
        """Return a new process of the current chain, not started yet."""
        number = len(self.observations.processes) + 1
        observed = ObservedProcess(f"process {number}", self._chain, time.time())
        self.observations.processes.append(observed)
        log_path = self._directory / f"process-{number}.log"
        standins = SoakStandins(observed.name, self._rng.getrandbits(32), self.observations.runs)
        standins.listen_port = self._port
        standins.stop_ms = self._schedule.stop_ms
        standins.descriptors = self._schedule.descriptors
        standins.environ = {"TMPDIR": str(self._directory)}
        standins.shell_command = SHELL_COMMAND
        standins.program = ROOT
        stack = AsyncExitStack()
        standins.log = stack.enter_context(log_path.open("wb"))
        process = Process(observed, standins, stack, log_path)
        self._processes.append(process)
        return process

    async def _start_crowd(self) -> FloodProcess | None:
        if not self._schedule.has_crowd:
            return None
        kind = self._rng.choice(CROWD_KINDS)
        self._record_event(f"a crowd of kind {kind}")
        serves_s = sum(life.serves_s for life in self._schedule.lives)
        crowd = FloodProcess(kind, self._port, serves_s + CROWD_MARGIN_S, held=CROWD_CONNECTIONS)
        await crowd.start()
        return crowd

    async def _serve(self, process: Process, life: Life) -> None:
        """Let a process serve for its lifetime and inject the faults of its lifetime."""
        started_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for timed_fault in life.faults:
                group.create_task(self._inject(process, timed_fault))
            group.create_task(asyncio.sleep(max(0.0, started_at + life.serves_s - asyncio.get_running_loop().time())))

    async def _inject(self, process: Process, timed_fault: TimedFault) -> None:
        await asyncio.sleep(timed_fault.at_s)
        self._record_event(f"{process.observed.name}: {timed_fault.fault.value}")
        standins = process.standins
        match timed_fault.fault:
            case Fault.CONTROL_REFUSED:
                if standins.refuse_control_once():
                    await asyncio.sleep(timed_fault.lasts_s)
                    await standins.restore_control()
            case Fault.CONTROL_SILENT:
                standins.control_silent = True
                await asyncio.sleep(timed_fault.lasts_s)
                standins.control_silent = False
            case Fault.EXECUTOR_CUT:
                standins.cut_if_linked()
            case Fault.RECORDS_CUT | Fault.RECORDS_MUTE:
                standins.record_word = "cut" if timed_fault.fault is Fault.RECORDS_CUT else "mute"
                await asyncio.sleep(timed_fault.lasts_s)
                standins.record_word = "DONE"
            case Fault.RELOAD:
                await process.reload()
            case Fault.RELOAD_SAME:
                await process.send_signals((TimedSignal(0.0, SIGHUP),))
            case Fault.STATE:
                await process.send_signals((TimedSignal(0.0, SIGUSR1),))

    async def _next_process(self, process: Process, life: Life, next_life: Life) -> Process:
        """End the lifetime of a process; return the next process once it is ready."""
        await self._await_leaving()
        self._record_event(f"{process.observed.name}: {life.ending.value}")
        if life.ending is Ending.RESTART:
            await process.leave(life.stop_signals, self._schedule.stop_ms / 1000)
            self._chain += 1
            successor = self._new_process()
            await successor.start(next_life.start_signals)
            return successor
        successor = self._new_process()
        signal_task = asyncio.create_task(process.send_signals(life.handover_signals))
        await successor.start(next_life.start_signals)
        await signal_task
        self._record_event(f"{successor.observed.name} is ready beside {process.observed.name}")
        self._leave_task = asyncio.create_task(process.leave(life.stop_signals, UPGRADE_STOP_S))
        return successor

    async def _await_leaving(self) -> None:
        if self._leave_task is not None:
            await self._leave_task
            self._leave_task = None


def _requests_in_progress(statistics: str) -> int | None:
    """Return the number of requests in progress from an answer to `show-stat`; None if it is missing."""
    for line in statistics.splitlines():
        if line.startswith("node_current "):
            return int(float(line.split()[1]))
    return None


async def play(schedule: Schedule) -> Observations:
    """Play a schedule and return the observations. A process that is not ready in time ends the play early."""
    with tempfile.TemporaryDirectory(prefix="soak-") as directory:
        player = Player(schedule, Path(directory))
        with contextlib.suppress(StartError):
            await player.play()
        return player.observations
