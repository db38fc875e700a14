"""The fault rig: many real processes of the program on loopback, with a relay for each directed link between them.

The rig plays a schedule of faults and records what the processes report on their operators' sockets. All waits are
bounded, and the rig signals only processes that it started, by process id."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import struct
import tempfile
import time
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from chutepin.testbench.checks.history import History, Seen, Shown, Truth
from chutepin.testbench.faults.relay import Relay
from chutepin.testbench.faults.schedule import Fault, Schedule
from chutepin.testbench.signals import send_signal
from chutepin.testbench.standins.platform import EXAMPLE, Standins, free_port

OBSERVE_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 5.0  # for the answer to an operator's call
JOIN_TIMEOUT_S = 60.0  # for all members to join before the schedule starts
SLOW_CYCLE_S = 1.0  # a slow process is stopped for a share of each cycle
CLOCK = Path(__file__).with_name("setclock")


class Process:
    """One member: a process of the program with its own stand-ins."""

    def __init__(self, name: str, address: str, ops: int, label: str = "") -> None:
        """`label` is the stem of the names of its files, for when two processes have one member name."""
        self.name, self.address, self.ops, self.label = name, address, ops, label or name
        self.world = Standins(EXAMPLE["settings"])
        self.world.name = name
        self.number = 0  # of the last recorded change
        self.clock: Path | None = None
        self.refusals = 0

    @property
    def running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.world.process is not None and self.world.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.running:
            assert self.world.process is not None
            send_signal(self.world.process, number)

    async def ask(self, call: str) -> list[str]:
        """Return the lines of the answer to an operator's call; empty if the call fails or times out."""
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ops)
                writer.write(call.encode() + b"\n")
                lines = (await reader.read()).decode().splitlines()
                writer.close()
        except (OSError, TimeoutError):
            return []
        return lines

    def set_clock(self, offset: float) -> None:
        """Set the offset in seconds of the system clock of this process."""
        assert self.clock is not None
        self.clock.write_bytes(struct.pack("d", offset))


class Fleet:
    """A set of processes and the schedule of faults that is played on them."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        *,
        seeds: int = 2,
        look: float = OBSERVE_INTERVAL_S,
        environ: dict[str, str] | None = None,
        note: Callable[[str], None] = lambda _: None,
    ) -> None:
        """The first `seeds` members are the seeds for joining. `note` receives a line for each injected fault."""
        self.schedule, self._seed, self._seeds, self._interval_s, self._log_line = schedule, seed, seeds, look, note
        self._environ = environ or {}
        self.truth, self.history = Truth(schedule), History(schedule)
        self.processes: dict[str, Process] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_at = 0.0
        self._leaving: set[str] = set()  # members that received SIGTERM and may still be running
        self.extra = ""  # further lines of each `cluster` block
        self.voters: list[str] = []  # of the replicated log; empty: no replicated log
        self.late: list[str] = []  # members that are started only by a `restart` of the schedule

    @property
    def now(self) -> float:
        """Return the seconds since the schedule started."""
        return time.monotonic() - self._started_at

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the relays, write the files and start all processes except the late ones."""
        self._directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        stack.push_async_callback(self._close)
        rng = random.Random(self._seed)
        for name in self.schedule.names():
            self.processes[name] = Process(name, f"127.0.0.1:{await free_port()}", await free_port())
        for source in self.processes:
            for target, process in self.processes.items():
                if source != target:
                    host, _, port = process.address.rpartition(":")
                    relay = Relay(source, target, (host, int(port)), self.truth, random.Random(rng.random()))
                    await relay.open()
                    self.relays[source, target] = relay
        for process in self.processes.values():
            await self._write_files(stack, process)
        await asyncio.gather(
            *(self._start(stack, self.processes[name]) for name in self.processes if name not in self.late)
        )

    async def _write_files(self, stack: AsyncExitStack, process: Process) -> None:
        process.clock = self._directory / f"{process.label}.clock"
        process.set_clock(0.0)
        self.setup(process).write_text(self.block(process))
        process.world.log = stack.enter_context(open(self._directory / f"{process.label}.log", "wb"))
        process.world.environ = {
            **self._environ,
            "LB_OPS": f"127.0.0.1:{process.ops}",
            "LAB_CLOCK": str(process.clock),
            "PYTHONPATH": str(CLOCK),
            "TMPDIR": str(self._directory),
        }

    def setup(self, process: Process) -> Path:
        """Return the path of the setup file of a process."""
        return self._directory / f"{process.label}.kdl"

    def log(self, name: str) -> str:
        """Return the log of a process so far."""
        return (self._directory / f"{name}.log").read_text(errors="replace")

    def block(self, process: Process) -> str:
        """Return the content of the setup file of a process: the `cluster` block and the blocks for consensus."""
        seeds = list(self.processes)[: self._seeds]
        reach = " ".join(
            f'"{target}=127.0.0.1:{relay.port}"'
            for (source, target), relay in self.relays.items()
            if source == process.name
        )
        region, zone = self.schedule.region(process.name), self.schedule.zone(process.name)
        return (
            f'cluster {{\n name "fleet"\n region "{region}"\n zone "{zone}"\n'
            f' listen "{process.address}"\n'
            f" seeds {' '.join(f'{chr(34)}{seed}={self.processes[seed].address}{chr(34)}' for seed in seeds)}\n"
            f" reach {reach}\n{self.extra}}}\n" + self._consensus_blocks(process)
        )

    def _consensus_blocks(self, process: Process) -> str:
        if not self.voters:
            return ""
        return (
            f'store {{ directory "{self.store(process)}"; segment (KiB)512; max (MiB)16; }}\n'
            f"agree {{ voters {' '.join(f'{chr(34)}{name}{chr(34)}' for name in self.voters)}; log (KiB)64; }}\n"
        )

    def store(self, process: Process) -> Path:
        """Return the directory of the persistent store of a process."""
        return self._directory / f"{process.label}.store"

    async def _start(self, stack: AsyncExitStack, process: Process) -> None:
        await process.world.start(stack, "--setup", str(self.setup(process)))

    async def beside(self, stack: AsyncExitStack, name: str, address: str = "", port: int = 0) -> Process:
        """Start another process under the name of a member.

        With the address and client `port` of the member, the process is its successor; otherwise it claims the name at
        another address."""
        process = Process(name, address or f"127.0.0.1:{await free_port()}", await free_port(), f"{name}b")
        process.world.listen_port = port
        await self._write_files(stack, process)
        await self._start(stack, process)
        stack.callback(process.signal, signal.SIGKILL)
        return process

    async def joined(self, names: list[str] | None = None) -> None:
        """Wait until all running members show each other alive. Raises AssertionError after JOIN_TIMEOUT_S."""
        deadline = time.monotonic() + JOIN_TIMEOUT_S
        names = names or [name for name, process in self.processes.items() if process.running]
        while True:
            shown = await asyncio.gather(*(self.members(name) for name in names))
            if all(sorted(name for name, state, _ in states if state == "alive") == sorted(names) for states in shown):
                return
            assert time.monotonic() < deadline, f"members have not joined: {shown}"
            await asyncio.sleep(OBSERVE_INTERVAL_S)

    async def run(self, stack: AsyncExitStack, joined: bool = True) -> History:
        """Start the members, play the schedule and return the history. `joined`: wait for all members to join first."""
        await self.open(stack)
        if joined:
            await self.joined()
        await self.play(stack)
        return self.history

    async def play(self, stack: AsyncExitStack) -> None:
        """Play the schedule and record observations until its end."""
        for process in self.processes.values():
            await self._record_changes(process, keep=False)  # skips the changes before the schedule
        before = {link: (relay.packets, relay.bytes) for link, relay in self.relays.items()}
        self._started_at = time.monotonic()
        observers = [self._spawn(self._observe(process)) for process in self.processes.values()]
        for fault in sorted(self.schedule.faults, key=lambda fault: fault.at):
            await asyncio.sleep(max(0.0, fault.at - self.now))
            self._log_line(f"{self.now:7.2f} {fault.what} {' '.join(fault.members)} {fault.value or ''}".rstrip())
            await self._inject(stack, fault)
        await asyncio.sleep(max(0.0, self.schedule.seconds - self.now))
        for observer in observers:
            observer.cancel()
        await asyncio.gather(*observers, return_exceptions=True)
        for link, relay in self.relays.items():
            self.history.packets += relay.packets - before[link][0]
            self.history.bytes += relay.bytes - before[link][1]
            self.history.longest = max(self.history.longest, relay.longest)
        self.history.seen.sort(key=lambda seen: seen.at)
        self.history.shown.sort(key=lambda shown: shown.at)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for relay in self.relays.values():
            relay.close()
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            await process.world.kill()

    async def _inject(self, stack: AsyncExitStack, fault: Fault) -> None:
        for name in fault.members:
            await self._to_process(stack, self.processes[name], fault)
        injected = Fault(self.now, fault.what, fault.members, fault.value, fault.groups)
        self.truth.apply(injected)
        self.history.done.append(injected)

    async def _to_process(self, stack: AsyncExitStack, process: Process, fault: Fault) -> None:
        match fault.what:
            case "crash":
                process.signal(signal.SIGKILL)
                assert process.world.process is not None
                await process.world.process.wait()
            case "wipe":
                process.signal(signal.SIGKILL)
                assert process.world.process is not None
                await process.world.process.wait()
                shutil.rmtree(self.store(process))
            case "leave":
                process.signal(signal.SIGTERM)
                self._leaving.add(process.name)
            case "stop":
                process.signal(signal.SIGSTOP)
            case "wake":
                process.signal(signal.SIGCONT)
            case "slow" if fault.value:
                self._spawn(self._slow_down(process, fault.value))
            case "restart" if not process.running or process.name in self._leaving:
                self._leaving.discard(process.name)
                await self.restart(stack, process.name)
            case "clock":
                process.set_clock(fault.value)
            case _:
                pass

    async def restart(self, stack: AsyncExitStack, name: str) -> None:
        """Start a process that has never run, or start it again once it has ended."""
        process = self.processes[name]
        process.number = 0
        if process.world.process is None:
            await self._start(stack, process)
        else:
            await process.world.process.wait()
            await process.world.spawn()

    async def _slow_down(self, process: Process, share: float) -> None:
        """Stop a process for a share of each SLOW_CYCLE_S until the schedule ends the fault."""
        await asyncio.sleep(0)
        try:
            while process.running and (self.truth.slow.get(process.name) or self.now < 0.5):
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(SLOW_CYCLE_S * share)
                process.signal(signal.SIGCONT)
                await asyncio.sleep(SLOW_CYCLE_S * (1 - share))
        finally:
            process.signal(signal.SIGCONT)

    async def _observe(self, process: Process) -> None:
        while True:
            if process.running and process.name not in self.truth.stopped:
                asked_at = self.now
                states = await self.members(process.name)
                links = await process.ask("links")
                if states and links and self.now < asked_at + 1.0:  # a slow answer does not describe one moment
                    self.history.shown.append(
                        Shown(
                            self.now,
                            process.name,
                            tuple(states),
                            tuple((line.split()[0], line.split()[1]) for line in links[1:-1]),
                        )
                    )
                await self._record_changes(process)
            await asyncio.sleep(self._interval_s)

    async def members(self, name: str) -> list[tuple[str, str, int]]:
        """Return (name, state, incarnation) of each member as a process shows them; empty if it does not answer."""
        process = self.processes[name]
        lines = await process.ask("members")
        if not lines or not lines[0].startswith("SUCCESS"):
            process.refusals += bool(lines) and "refused" in lines[0]
            return []
        rows = [line.split() for line in lines[1:-1]]
        return sorted((row[0], row[1], int(row[2])) for row in rows)

    async def _record_changes(self, process: Process, keep: bool = True) -> None:
        lines = await process.ask("changes")
        now = self.now
        for line in lines[1:-1]:
            number, age, what, subject, incarnation, *fields = line.split()
            if int(number) <= process.number:
                continue
            process.number = int(number)
            by = next((field[3:] for field in fields if field.startswith("by=")), "")
            if keep:
                self.history.seen.append(Seen(now - int(age) / 1000, process.name, what, subject, by, int(incarnation)))


async def play(
    schedule: Schedule,
    seed: int,
    seeds: int = 2,
    note: Callable[[str], None] = lambda _: None,
    look: float = OBSERVE_INTERVAL_S,
) -> History:
    """Play a schedule on real processes and return the history. The processes inherit PYTHONOPTIMIZE."""
    async with AsyncExitStack() as stack:
        fleet = Fleet(
            schedule,
            seed,
            seeds=seeds,
            note=note,
            look=look,
            environ={"PYTHONOPTIMIZE": os.environ.get("PYTHONOPTIMIZE", "")},
        )
        return await fleet.run(stack)
