"""Scale runs in real time: hollow nodes, many per process, together with real programs, on loopback.

A run has limits on processes and memory (see `guard`), and a deadline that each worker process also enforces."""

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
from chutepin.testbench.scale.guard import MAX_PROCESSES, MemoryGuard
from chutepin.testbench.scale.hollow import TRAFFIC_COUNTERS, Death, ViewSummary
from chutepin.testbench.scale.messages import Action, Command, Job, Sample, encode_command, encode_job, parse_sample
from chutepin.testbench.scale.places import Place, place_members, spread_evenly
from chutepin.testbench.scale.program import Program
from chutepin.testbench.scale.report import RunResult, ScaleReport, current_commit, report
from chutepin.testbench.scale.traffic import TrafficMeter
from chutepin.testbench.scale.virtual import STABLE_VIEWS_S, Progress
from chutepin.testbench.scale.worker import MAX_LINE_BYTES
from chutepin.testbench.scale.workload import Load, Scenario, plan
from chutepin.testbench.signals import kill
from chutepin.testbench.standins.platform import ROOT, free_port

HOLLOW_PER_WORKER = 64
JOIN_TIMEOUT_S = 120.0  # time within which all members must have joined
DEADLINE_MARGIN_S = 60.0  # added to the join timeout and the schedule for the deadline of the run
VIEW_CHECK_INTERVAL_S = 0.5  # between comparisons of the views
MAX_CONCURRENT_STARTS = 4  # of real programs
DEATHS_POLL_INTERVAL_S = 10.0  # between requests to real programs for the deaths they report
EXIT_TIMEOUT_S = 5.0  # time for a worker process to end


class ScaleRunError(RuntimeError):
    """The run could not be completed; the message names the cause."""


class WorkerProcess:
    """The coordinator's handle of a worker process."""

    def __init__(self, places: list[Place], log: Path) -> None:
        self.places = places
        self._log = log
        self.latest: Sample | None = None

    async def start(
        self, stack: AsyncExitStack, seconds: float, on_sample: Callable[[WorkerProcess, Sample], None]
    ) -> None:
        """Start the process; each of its samples is passed to `on_sample`."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "chutepin.testbench.scale.worker",
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=stack.enter_context(open(self._log, "wb")),
            limit=MAX_LINE_BYTES,
        )
        stack.push_async_callback(self._close)
        assert self.process.stdin is not None
        self.process.stdin.write(encode_job(Job(tuple(self.places), seconds)).encode())
        self._reader_task = asyncio.ensure_future(self._read(on_sample))

    async def _read(self, on_sample: Callable[[WorkerProcess, Sample], None]) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            sample = parse_sample(line.decode())
            on_sample(self, sample)
            self.latest = sample

    def send_command(self, action: Action, member: str) -> None:
        """Send the worker a command for one of its members."""
        assert self.process.stdin is not None
        self.process.stdin.write(encode_command(Command(action, member)).encode())

    async def _close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            kill(self.process)
            await self.process.wait()
        self._reader_task.cancel()


class RealRun:
    """One scale run in real time."""

    def __init__(self, load: Load, real: int, guard: MemoryGuard, progress: Progress) -> None:
        self._load, self._guard, self._progress = load, guard, progress
        self.schedule = plan(load)
        self.history = History(self.schedule)
        self.meter = TrafficMeter()
        self.real_names = spread_evenly(self.schedule.names(), real) if real else set()
        self._workers: list[WorkerProcess] = []
        self._worker_of: dict[str, WorkerProcess] = {}
        self._programs: dict[str, Program] = {}
        self._program_views: dict[str, ViewSummary | None] = {}
        self._last_bytes: dict[str, list[int]] = {}  # last total by member
        self._last_cpu_ns: dict[str, int] = {}  # last total by the first member of a process
        self._tasks: set[asyncio.Task[None]] = set()
        self._failures: list[BaseException] = []
        self.lags: list[float] = []  # delays of the workers' event loops in seconds
        self._schedule_started_at = math.inf  # start of the schedule on the machine-wide monotonic clock
        self.epoch = 0
        self._equal_since = math.inf
        self._last_fault = math.inf

    @property
    def _now(self) -> float:
        return time.monotonic() - self._schedule_started_at

    @property
    def views_equal_s(self) -> float:
        """Return the seconds from the last fault until the views became and stayed equal, or NaN."""
        return self._equal_since - self._last_fault if self._equal_since < math.inf else math.nan

    async def run(self) -> None:
        """Start all members, run the schedule and record the results. Raises ScaleRunError, MemoryExceededError."""
        deadline_s = JOIN_TIMEOUT_S + self.schedule.seconds + DEADLINE_MARGIN_S
        try:
            async with asyncio.timeout(deadline_s), AsyncExitStack() as stack:
                stack.push_async_callback(self._stop_tasks)
                await self._start(stack, deadline_s)
                await self._wait_until_joined()
                await self._play()
        except TimeoutError:
            raise ScaleRunError(f"the run did not end within {deadline_s:.0f} s") from None

    # --- start ---

    async def _start(self, stack: AsyncExitStack, deadline_s: float) -> None:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        all_places = place_members(self.schedule, [await free_port() for _ in self.schedule.names()])
        hollow = [place for place in all_places if place.name not in self.real_names]
        count = math.ceil(len(hollow) / HOLLOW_PER_WORKER)
        self._spawn(self._watch_memory())
        for number in range(count):
            worker = WorkerProcess(hollow[number::count], directory / f"worker{number}.log")
            self._workers.append(worker)
            self._worker_of |= dict.fromkeys((place.name for place in worker.places), worker)
            await worker.start(stack, deadline_s, self._on_sample)
        start_limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        real = [place for place in all_places if place.name in self.real_names]
        await asyncio.gather(*(self._start_program(stack, place, directory, start_limit) for place in real))
        self._spawn(self._watch_programs())

    async def _start_program(
        self, stack: AsyncExitStack, place: Place, directory: Path, start_limit: asyncio.Semaphore
    ) -> None:
        async with start_limit:
            program = Program(place, directory)
            await program.start(stack)
            self._programs[place.name] = program

    async def _wait_until_joined(self) -> None:
        """Wait until the view of every member holds all members."""
        until = time.monotonic() + JOIN_TIMEOUT_S
        while not self._views_equal(len(self.schedule.names())):
            if time.monotonic() > until:
                raise ScaleRunError(f"the members did not join within {JOIN_TIMEOUT_S:.0f} s")
            await self._sleep_and_check()

    async def _sleep_and_check(self) -> None:
        """Sleep for a moment. Raises the error of a failed task, ScaleRunError if a process has ended."""
        await asyncio.sleep(VIEW_CHECK_INTERVAL_S / 2)
        if self._failures:
            raise self._failures[0]
        for worker in self._workers:
            if worker.process.returncode is not None:
                raise ScaleRunError(f"a worker process ended with exit code {worker.process.returncode}")
        for name, program in self._programs.items():
            if program.ended_unexpectedly:
                raise ScaleRunError(f"the program of {name} ended unexpectedly")

    # --- play ---

    async def _play(self) -> None:
        self._schedule_started_at, self.epoch = time.monotonic(), time.time_ns() // 1_000_000
        for fault in self.schedule.faults:
            while self._now < fault.at:
                await self._sleep_and_check()
                self._progress(self._now / self.schedule.seconds)
                await asyncio.sleep(max(0.0, min(VIEW_CHECK_INTERVAL_S / 2, fault.at - self._now)))
            self._inject_fault(fault)
        self._last_fault = self._now
        end = self.schedule.seconds
        while self._now < min(end, self._equal_since + STABLE_VIEWS_S):
            await self._sleep_and_check()
            self._progress(self._now / end)
            self._update_equal_since()
        for program in self._programs.values():
            self._record_deaths(await program.deaths())
        self.history.seen.sort(key=lambda seen: seen.at)
        self._progress(1.0)

    def _update_equal_since(self) -> None:
        """Update the time since which all views are equal."""
        if not self._views_equal(sum(name in self._running_members() for name in self.schedule.names())):
            self._equal_since = math.inf
        elif self._equal_since == math.inf:
            self._equal_since = self._now

    def _running_members(self) -> set[str]:
        """Return the members that run according to the injected faults."""
        up = set(self.schedule.names())
        for fault in self.history.done:
            up = up | set(fault.members) if fault.what == "restart" else up - set(fault.members)
        return up

    def _views_equal(self, members: int) -> bool:
        """Return whether all running members have recent and equal views of exactly `members` members."""
        samples = [worker.latest for worker in self._workers]
        if any(sample is None or sample.at < time.monotonic() - 4 * VIEW_CHECK_INTERVAL_S for sample in samples):
            return False
        running = sum(sample.running for sample in samples if sample is not None)
        running += sum(program.running for program in self._programs.values())
        views = {view for sample in samples if sample is not None for view in sample.views}
        shown = [self._program_views.get(name) for name, program in self._programs.items() if program.running]
        if None in shown or running != members:
            return False
        views |= {view for view in shown if view is not None}
        return len(views) == 1 and views.pop().members == members

    def _inject_fault(self, fault: Fault) -> None:
        self.history.done.append(Fault(self._now, fault.what, fault.members))
        for name in fault.members:
            if (worker := self._worker_of.get(name)) is not None:
                worker.send_command(
                    {"restart": Action.START, "leave": Action.LEAVE, "crash": Action.CRASH}[fault.what], name
                )
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

    def _on_sample(self, worker: WorkerProcess, sample: Sample) -> None:
        """Record a worker's sample."""
        names = [place.name for place in worker.places]
        cpu_used_ns = sample.cpu_ns - self._last_cpu_ns.get(names[0], sample.cpu_ns)
        self._last_cpu_ns[names[0]] = sample.cpu_ns
        at = sample.at - self._schedule_started_at
        if at >= 0:
            self.lags.append(sample.lag)
        for name in names:
            self._count_bytes(name, at, sample.traffic[name])
            if at >= 0:
                self.meter.count_cpu(name, at, cpu_used_ns // len(names))
        self._record_deaths(list(sample.deaths))

    def _count_bytes(self, name: str, at: float, now: list[int]) -> None:
        """Record the total bytes of a member."""
        before = self._last_bytes.get(name, now)
        self._last_bytes[name] = now
        if at >= 0:
            for (direction, kind), old, new in zip(TRAFFIC_COUNTERS, before, now, strict=True):
                self.meter.count(name, at, direction, kind, new - old)

    def _record_deaths(self, deaths: list[Death]) -> None:
        for death in deaths:
            if death.at >= self._schedule_started_at:
                self.history.seen.append(
                    Seen(
                        death.at - self._schedule_started_at,
                        death.member,
                        "dead",
                        death.subject,
                        death.by,
                        death.incarnation,
                    )
                )

    async def _watch_programs(self) -> None:
        """Poll the real programs: views every 0.5 s, counters every second, deaths every ten seconds."""
        round_number = 0
        while True:
            await asyncio.gather(*(self._watch_program(program, round_number) for program in self._programs.values()))
            round_number += 1
            await asyncio.sleep(VIEW_CHECK_INTERVAL_S)

    async def _watch_program(self, program: Program, round_number: int) -> None:
        name, at = program.place.name, self._now
        if round_number % 2 == 0:
            program.request_counters()
            self._count_bytes(name, at, program.traffic())
            cpu_used_ns = program.cpu_ns()
            if at >= 0:
                self.meter.count_cpu(name, at, cpu_used_ns - self._last_cpu_ns.get(name, cpu_used_ns))
            self._last_cpu_ns[name] = cpu_used_ns
        if not program.running:
            return
        if at < 0 or at > self._last_fault:  # views are compared before the schedule and after its last fault only
            self._program_views[name] = await program.view()
        if round_number % int(DEATHS_POLL_INTERVAL_S / VIEW_CHECK_INTERVAL_S) == 0:
            self._record_deaths(await program.deaths())

    async def _watch_memory(self) -> None:
        """Check the memory of all processes of the run every second."""
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
    """Validate the arguments of a run in real time. Raises ValueError."""
    if hollow + real != load.members:
        raise ValueError(f"--hollow {hollow} and --real {real} do not give --members {load.members} in total")
    if load.scenario is Scenario.REGION_APART:
        raise ValueError(f"--scenario {load.scenario.value}: links can be cut in the simulator only")
    if real + math.ceil(hollow / HOLLOW_PER_WORKER) > MAX_PROCESSES:
        raise ValueError(f"--real {real}: at most {MAX_PROCESSES} processes are allowed")


def play(
    load: Load, hollow: int, real: int, progress: Progress = lambda _: None, max_memory_bytes: int | None = None
) -> tuple[ScaleReport, RealRun]:
    """Run a load in real time; return its report and the run in its final state.

    `max_memory_bytes`: memory limit, by default half of the machine's memory.

    Raises ValueError, ScaleRunError, MemoryExceededError."""
    check(load, hollow, real)
    started_at, commit_id = time.monotonic(), current_commit()
    guard = MemoryGuard(max_memory_bytes)
    run = RealRun(load, real, guard, progress)
    asyncio.run(run.run())
    result = RunResult(
        load,
        run.history,
        run.meter,
        run.epoch,
        run.views_equal_s,
        guard.peak / 2**20,
        time.monotonic() - started_at,
        commit_id,
        run.lags,
    )
    return report(result, "real", run.real_names, set(run.schedule.names()) - run.real_names), run
