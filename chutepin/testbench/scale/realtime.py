"""A scale run in real time: hollow nodes, many to a process, and real programs among them, on loopback.

Bounded in processes and memory (`guard`) and in time: a deadline for the whole, which each worker keeps too."""

from __future__ import annotations

import asyncio
import math
import os
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from chutepin.testbench.checks.history import History, Seen
from chutepin.testbench.faults.schedule import Fault
from chutepin.testbench.scale.guard import MOST_PROCESSES, MemoryGuard
from chutepin.testbench.scale.hollow import COUNTERS, Death, ViewSummary
from chutepin.testbench.scale.messages import Action, Command, Job, Sample, command_line, job_line, read_sample
from chutepin.testbench.scale.places import Place, places, spread
from chutepin.testbench.scale.program import Program
from chutepin.testbench.scale.report import Observed, ScaleReport, commit, report
from chutepin.testbench.scale.traffic import TrafficMeter
from chutepin.testbench.scale.virtual import STABLE, Progress
from chutepin.testbench.scale.worker import LINE
from chutepin.testbench.scale.workload import Load, Scenario, plan
from chutepin.testbench.signals import kill
from chutepin.testbench.standins.platform import ROOT, free_port

HOLLOW_PER_WORKER = 64
JOIN_BY = 120.0  # seconds in which all must have found each other
SPARE = 60.0  # seconds beyond joining and schedule after which the run is over whatever happens
LOOK = 0.5  # seconds between looks at the views
STARTS_AT_ONCE = 4  # real programs
CHANGES_EVERY = 10.0  # seconds between looks at what real programs tell of
END_BY = 5.0  # seconds that a worker may take to end


class ScaleRunError(RuntimeError):
    """The run could not be played to its end; the message says why."""


class WorkerProcess:
    """A process of hollow nodes, as the coordinator sees it."""

    def __init__(self, places: list[Place], log: Path) -> None:
        self.places = places
        self._log = log
        self.latest: Sample | None = None

    async def start(self, stack: AsyncExitStack, seconds: float, took: Callable[[WorkerProcess, Sample], None]) -> None:
        """Start it; each of its samples is given to `took`."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "chutepin.testbench.scale.worker",
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=stack.enter_context(open(self._log, "wb")),
            limit=LINE,
        )
        stack.push_async_callback(self._close)
        assert self.process.stdin is not None
        self.process.stdin.write(job_line(Job(tuple(self.places), seconds)).encode())
        self._reading = asyncio.ensure_future(self._read(took))

    async def _read(self, took: Callable[[WorkerProcess, Sample], None]) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            sample = read_sample(line.decode())
            took(self, sample)
            self.latest = sample

    def do(self, action: Action, member: str) -> None:
        """Have something done to a member."""
        assert self.process.stdin is not None
        self.process.stdin.write(command_line(Command(action, member)).encode())

    async def _close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            async with asyncio.timeout(END_BY):
                await self.process.wait()
        except TimeoutError:
            kill(self.process)
            await self.process.wait()
        self._reading.cancel()


class RealRun:
    """One run."""

    def __init__(self, load: Load, real: int, guard: MemoryGuard, progress: Progress) -> None:
        self._load, self._guard, self._progress = load, guard, progress
        self.schedule = plan(load)
        self.history = History(self.schedule)
        self.meter = TrafficMeter()
        self.real_names = spread(self.schedule.names(), real) if real else set()
        self._workers: list[WorkerProcess] = []
        self._worker_of: dict[str, WorkerProcess] = {}
        self._programs: dict[str, Program] = {}
        self._program_views: dict[str, ViewSummary | None] = {}
        self._bytes: dict[str, list[int]] = {}  # by member, as last seen
        self._cpu: dict[str, int] = {}  # by first member of a process, as last seen
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures: list[BaseException] = []
        self.lags: list[float] = []  # seconds by which the workers' event loops were late
        self._began = math.inf  # of the schedule, on the clock that all processes share
        self.epoch = 0
        self._equal_since = math.inf
        self._last_fault = math.inf

    @property
    def _now(self) -> float:
        return time.monotonic() - self._began

    @property
    def views_equal_s(self) -> float:
        """Seconds from the last fault until views were equal and stayed so; NaN if they never did."""
        return self._equal_since - self._last_fault if self._equal_since < math.inf else math.nan

    async def run(self) -> None:
        """Start all, play the schedule and watch. Raises ScaleRunError, MemoryExceededError."""
        bound = JOIN_BY + self.schedule.seconds + SPARE
        try:
            async with asyncio.timeout(bound), AsyncExitStack() as stack:
                stack.push_async_callback(self._stop_tasks)
                await self._start(stack, bound)
                await self._joined()
                await self._play()
        except TimeoutError:
            raise ScaleRunError(f"the run was not over after {bound:.0f} s") from None

    # --- start ---

    async def _start(self, stack: AsyncExitStack, bound: float) -> None:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        all_places = places(self.schedule, [await free_port() for _ in self.schedule.names()])
        hollow = [place for place in all_places if place.name not in self.real_names]
        count = math.ceil(len(hollow) / HOLLOW_PER_WORKER)
        self._spawn(self._guard_on())
        for number in range(count):
            worker = WorkerProcess(hollow[number::count], directory / f"worker{number}.log")
            self._workers.append(worker)
            self._worker_of |= dict.fromkeys((place.name for place in worker.places), worker)
            await worker.start(stack, bound, self._took)
        gate = asyncio.Semaphore(STARTS_AT_ONCE)
        real = [place for place in all_places if place.name in self.real_names]
        await asyncio.gather(*(self._start_program(stack, place, directory, gate) for place in real))
        self._spawn(self._watch_programs())

    async def _start_program(
        self, stack: AsyncExitStack, place: Place, directory: Path, gate: asyncio.Semaphore
    ) -> None:
        async with gate:
            program = Program(place, directory)
            await program.start(stack)
            self._programs[place.name] = program

    async def _joined(self) -> None:
        """Wait until all show all."""
        until = time.monotonic() + JOIN_BY
        while not self._views_equal(len(self.schedule.names())):
            if time.monotonic() > until:
                raise ScaleRunError(f"the members have not found each other within {JOIN_BY:.0f} s")
            await self._pause()

    async def _pause(self) -> None:
        """A moment. Raises what a task of the run has met."""
        await asyncio.sleep(LOOK / 2)
        if self._failures:
            raise self._failures[0]
        for worker in self._workers:
            if worker.process.returncode is not None:
                raise ScaleRunError(f"a worker process has ended with code {worker.process.returncode}")
        for name, program in self._programs.items():
            if program.ended_unasked:
                raise ScaleRunError(f"the program of {name} has ended by itself")

    # --- play ---

    async def _play(self) -> None:
        self._began, self.epoch = time.monotonic(), time.time_ns() // 1_000_000
        for fault in self.schedule.faults:
            while self._now < fault.at:
                await self._pause()
                self._progress(self._now / self.schedule.seconds)
                await asyncio.sleep(max(0.0, min(LOOK / 2, fault.at - self._now)))
            self._do(fault)
        self._last_fault = self._now
        end = self.schedule.seconds
        while self._now < min(end, self._equal_since + STABLE):
            await self._pause()
            self._progress(self._now / end)
            self._look()
        for program in self._programs.values():
            self._note_deaths(await program.deaths())
        self.history.seen.sort(key=lambda seen: seen.at)
        self._progress(1.0)

    def _look(self) -> None:
        """Note since when views are equal."""
        if not self._views_equal(sum(name in self._up() for name in self.schedule.names())):
            self._equal_since = math.inf
        elif self._equal_since == math.inf:
            self._equal_since = self._now

    def _up(self) -> set[str]:
        """Those that run by what was done to them."""
        up = set(self.schedule.names())
        for fault in self.history.done:
            up = up | set(fault.members) if fault.what == "restart" else up - set(fault.members)
        return up

    def _views_equal(self, members: int) -> bool:
        """All that run were seen lately, and show the same views of so many members."""
        samples = [worker.latest for worker in self._workers]
        if any(sample is None or sample.at < time.monotonic() - 4 * LOOK for sample in samples):
            return False
        running = sum(sample.running for sample in samples if sample is not None)
        running += sum(program.running for program in self._programs.values())
        views = {view for sample in samples if sample is not None for view in sample.views}
        shown = [self._program_views.get(name) for name, program in self._programs.items() if program.running]
        if None in shown or running != members:
            return False
        views |= {view for view in shown if view is not None}
        return len(views) == 1 and views.pop().members == members

    def _do(self, fault: Fault) -> None:
        self.history.done.append(Fault(self._now, fault.what, fault.members))
        for name in fault.members:
            if (worker := self._worker_of.get(name)) is not None:
                worker.do({"restart": Action.START, "leave": Action.LEAVE, "crash": Action.CRASH}[fault.what], name)
                continue
            program = self._programs[name]
            self._program_views.pop(name, None)
            match fault.what:
                case "restart":
                    self._spawn(program.restart())
                case "leave":
                    program.leave()
                case _:
                    program.crash()

    # --- watch ---

    def _took(self, worker: WorkerProcess, sample: Sample) -> None:
        """A worker's sample."""
        names = [place.name for place in worker.places]
        spent = sample.cpu_ns - self._cpu.get(names[0], sample.cpu_ns)
        self._cpu[names[0]] = sample.cpu_ns
        at = sample.at - self._began
        if at >= 0:
            self.lags.append(sample.lag)
        for name in names:
            self._count(name, at, sample.traffic[name])
            if at >= 0:
                self.meter.spend(name, at, spent // len(names))
        self._note_deaths(list(sample.deaths))

    def _count(self, name: str, at: float, now: list[int]) -> None:
        """Bytes of a member so far."""
        before = self._bytes.get(name, now)
        self._bytes[name] = now
        if at >= 0:
            for (direction, kind), old, new in zip(COUNTERS, before, now, strict=True):
                self.meter.count(name, at, direction, kind, new - old)

    def _note_deaths(self, deaths: list[Death]) -> None:
        for death in deaths:
            if death.at >= self._began:
                self.history.seen.append(
                    Seen(death.at - self._began, death.member, "dead", death.subject, death.by, death.incarnation)
                )

    async def _watch_programs(self) -> None:
        """Look at real programs: views twice a second, counters every second, deaths every ten."""
        turn = 0
        while True:
            await asyncio.gather(*(self._watch_program(program, turn) for program in self._programs.values()))
            turn += 1
            await asyncio.sleep(LOOK)

    async def _watch_program(self, program: Program, turn: int) -> None:
        name, at = program.place.name, self._now
        if turn % 2 == 0:
            program.ask_for_counters()
            self._count(name, at, program.traffic())
            spent = program.cpu_ns()
            if at >= 0:
                self.meter.spend(name, at, spent - self._cpu.get(name, spent))
            self._cpu[name] = spent
        if not program.running:
            return
        if at < 0 or at > self._last_fault:  # views matter before the schedule and after its last fault
            self._program_views[name] = await program.view()
        if turn % int(CHANGES_EVERY / LOOK) == 0:
            self._note_deaths(await program.deaths())

    async def _guard_on(self) -> None:
        """Compare memory with its bound, each second."""
        while True:
            pids = [os.getpid()]
            pids += [worker.process.pid for worker in self._workers if hasattr(worker, "process")]
            pids += [program.pid for program in self._programs.values() if program.pid]
            self._guard.check(pids)
            await asyncio.sleep(1.0)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

        def ended(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            if not task.cancelled() and (error := task.exception()) is not None:
                self._failures.append(error)

        task.add_done_callback(ended)

    async def _stop_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def check(load: Load, hollow: int, real: int) -> None:
    """Raises ValueError for a run that makes no sense in real time."""
    if hollow + real != load.members:
        raise ValueError(f"--hollow {hollow} and --real {real} are not --members {load.members} together")
    if load.scenario is Scenario.REGION_APART:
        raise ValueError(f"--scenario {load.scenario.value}: links are cut in the simulator only")
    if real + math.ceil(hollow / HOLLOW_PER_WORKER) > MOST_PROCESSES:
        raise ValueError(f"--real {real}: {MOST_PROCESSES} processes at the most")


def play(
    load: Load, hollow: int, real: int, progress: Progress = lambda _: None, most_bytes: int | None = None
) -> tuple[ScaleReport, RealRun]:
    """Play a load in real time; its report, and the run as it ended. `most_bytes` of memory: by default half of it.

    Raises ValueError, ScaleRunError, MemoryExceededError."""
    check(load, hollow, real)
    begun, text = time.monotonic(), commit()
    guard = MemoryGuard(most_bytes)
    run = RealRun(load, real, guard, progress)
    asyncio.run(run.run())
    observed = Observed(
        load,
        run.history,
        run.meter,
        run.epoch,
        run.views_equal_s,
        guard.peak / 2**20,
        time.monotonic() - begun,
        text,
        run.lags,
    )
    return report(observed, "real", run.real_names, set(run.schedule.names()) - run.real_names), run
