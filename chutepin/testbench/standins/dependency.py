"""Stand-ins for dependencies that several nodes call and that start cold.

`ColdDependency` is a dependency that all nodes share; `ColdServer` is a node of the next tier with its executor, called
through `RecordsProxy`. Both measure their load as the overload rule does: as a mean over a window."""

from __future__ import annotations

import asyncio
import contextlib
import time
from bisect import bisect_left
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from chutepin.net.lines import LineParser, line
from chutepin.testbench.standins.platform import Balancer, Standins

MAX_BODY_BYTES = 65536
READ_BYTES = 65536
WORK_INTERVAL_S = 0.005  # between updates of the work done by the cores
ANSWER_POLL_INTERVAL_S = 0.02  # between checks for the answer to a forwarded call
_REPLY_BY_ANSWER = {b"OK": "DONE", b"BUSY": "WAIT"}


class OpenCalls:
    """The number of open calls (or runs) over time, and its mean over any window. No I/O."""

    def __init__(self) -> None:
        self.count = 0  # of calls open now
        self.started = 0  # total of calls started
        self._changed_at: list[float] = []
        self._integrals: list[float] = []  # integral of the open calls up to each change
        self._counts: list[int] = []  # open calls after each change

    def start(self, now: float) -> None:
        """Count a call that starts."""
        self.started += 1
        self._change(now, 1)

    def end(self, now: float) -> None:
        """Count a call that ends."""
        self._change(now, -1)

    def _change(self, now: float, delta: int) -> None:
        integral = self._integral(now)
        self.count += delta
        self._changed_at.append(now)
        self._integrals.append(integral)
        self._counts.append(self.count)

    def _integral(self, at: float) -> float:
        """Return the integral of the open calls up to a time, in call seconds."""
        index = bisect_left(self._changed_at, at) - 1
        if index < 0:
            return 0.0
        return self._integrals[index] + self._counts[index] * (at - self._changed_at[index])

    def window_means(self, window_s: float) -> list[tuple[float, float]]:
        """Return the end and the mean of each window of this length that begins or ends with a change."""
        if not self._changed_at:
            return []
        last = self._changed_at[-1]
        ends = [*self._changed_at, *(at + window_s for at in self._changed_at if at + window_s <= last)]
        return [(end, (self._integral(end) - self._integral(end - window_s)) / window_s) for end in ends]

    def highest_mean(self, window_s: float) -> float:
        """Return the greatest mean over a window of this length; 0 if no call was started."""
        return max((mean for _, mean in self.window_means(window_s)), default=0.0)


@dataclass(frozen=True, slots=True)
class WarmUp:
    """The warm-up of a server or dependency: its speed grows linearly from `cold_share` to the full speed."""

    cold_share: float  # share of the full speed at age 0
    duration_s: float

    def speed(self, age_s: float) -> float:
        """Return the share of the full speed at this age."""
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, age_s) / self.duration_s)


class ColdDependency:
    """A dependency that answers every call with DONE, after `call_time_s` at full speed.

    Its warm-up starts at the first call. An abandoned call stays open for `abandoned_call_s`."""

    def __init__(self, call_time_s: float, warm_up: WarmUp, abandoned_call_s: float) -> None:
        self._call_time_s = call_time_s
        self._warm_up = warm_up
        self._abandoned_call_s = abandoned_call_s
        self._first_call_at: float | None = None
        self.calls = OpenCalls()

    async def listen(self, stack: contextlib.AsyncExitStack) -> str:
        """Serve until the stack ends; return the address."""
        return await _listen(stack, self._serve)

    def _speed(self, now: float) -> float:
        if self._first_call_at is None:
            self._first_call_at = now
        return self._warm_up.speed(now - self._first_call_at)

    def _end_call(self) -> None:
        self.calls.end(time.monotonic())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        open_calls: dict[str, asyncio.TimerHandle] = {}

        def reply(id: str) -> None:
            del open_calls[id]
            self._end_call()
            writer.write(line(id, "DONE", body=b"row"))

        def abandon(id: str) -> None:
            if (timer := open_calls.pop(id, None)) is not None:
                timer.cancel()
                loop.call_later(self._abandoned_call_s, self._end_call)

        parser = LineParser(lambda words: words[0] == "OP", MAX_BODY_BYTES)
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    verb, id = message[0][:2]
                    abandon(id)
                    if verb == "OP":
                        now = time.monotonic()
                        self.calls.start(now)
                        open_calls[id] = loop.call_later(self._call_time_s / self._speed(now), reply, id)
        for id in list(open_calls):
            abandon(id)
        writer.transport.abort()


@dataclass(slots=True)
class _Run:
    """A run on the cores of a cold server."""

    work_left_s: float
    body: bytes


class ColdServer(Standins):
    """A node of the next tier whose executor has just started.

    All runs share its cores evenly; each run takes `work_s` seconds of one warm core."""

    def __init__(self, env: dict[str, Any], work_s: float) -> None:
        super().__init__(env)
        self.warmth, self.age_ms = "chilly", 0
        info, safety = self.env["familyInfo"], self.env["safety"]
        self._cores = int(info["cpus"])
        self._fall_multiple = float(safety["fallMultiple"])
        self._overload_window_s = float(safety["overloadFor"])
        self._warm_up = WarmUp(safety["coldFrom"], safety["warmAfter"])
        self._work_s = work_s
        self._started_at = 0.0
        self._active_runs: dict[str, _Run] = {}
        self.load = OpenCalls()  # open runs on the cores
        self.served = 0

    async def run(self) -> None:
        """Advance the runs on the cores until cancelled."""
        last_update_at = time.monotonic()
        while True:
            await asyncio.sleep(WORK_INTERVAL_S)
            now = time.monotonic()
            speed = min(1.0, self._cores / max(1, len(self._active_runs))) * self._warm_up.speed(now - self._started_at)
            done_s = (now - last_update_at) * speed
            last_update_at = now
            for id, run in list(self._active_runs.items()):
                run.work_left_s -= done_s
                if run.work_left_s <= 0:
                    self._end_run(id)
                    self.served += 1
                    self.finish(id, b"done " + run.body)

    def _end_run(self, id: str) -> None:
        if self._active_runs.pop(id, None) is not None:
            self.load.end(time.monotonic())

    def _command(self, writer: asyncio.StreamWriter, words: list[str], body: bytes) -> None:
        match words[0]:
            case "JOIN":
                self._started_at = self._started_at or time.monotonic()
                super()._command(writer, words, body)
            case "EXEC":
                self._active_runs[words[1]] = _Run(self._work_s, body)
                self.load.start(time.monotonic())
            case "METER":
                core_use = min(1.0, len(self._active_runs) / self._cores)
                writer.write(line("METERS", words[1], f"{core_use:.3f}", len(self._active_runs)))
            case _:
                self._end_run(words[1])
                super()._command(writer, words, body)

    def budget(self, at: float) -> float:
        """Return the mean number of runs on the cores that the settings allow at a time."""
        return (1 + (self._fall_multiple - 1) * self._warm_up.speed(at - self._started_at)) * self._cores

    def highest_budget_share(self) -> float:
        """Return the greatest mean of runs on the cores, as a share of the budget at the end of its window."""
        means = self.load.window_means(self._overload_window_s)
        return max((mean / self.budget(end) for end, mean in means), default=0.0)


class RecordsProxy:
    """The local proxy of the records service: forwards each call to one node and ignores back-off advice."""

    def __init__(self, server: Standins, cls: str) -> None:
        self._server, self._cls = server, cls
        self.calls = 0

    async def listen(self, stack: contextlib.AsyncExitStack) -> str:
        """Serve until the stack ends; return the address."""
        return await _listen(stack, self._serve)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = LineParser(lambda words: words[0] == "OP", MAX_BODY_BYTES)
        tasks: set[asyncio.Task[None]] = set()
        upstream: Balancer | None = None
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    words, body = message
                    if words[0] != "OP":
                        continue
                    if upstream is None or upstream.ended:
                        upstream = await self._server.connect()
                    self.calls += 1
                    task = asyncio.ensure_future(self._forward(writer, upstream, words, body))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
        for task in tasks:
            task.cancel()
        if upstream is not None:
            await upstream.close()
        writer.transport.abort()

    async def _forward(self, writer: asyncio.StreamWriter, upstream: Balancer, words: list[str], body: bytes) -> None:
        id, wait_ms = words[1], int(words[2])
        tag = upstream.call(self._cls, body, wait=wait_ms)
        deadline = time.monotonic() + wait_ms / 1000
        while tag not in upstream.answers and not upstream.ended and time.monotonic() < deadline:
            await asyncio.sleep(ANSWER_POLL_INTERVAL_S)
        answer = upstream.answers.get(tag, [[b"", b"", b""]])[0]
        verdict = _REPLY_BY_ANSWER.get(answer[0], "ERROR")
        writer.write(line(id, verdict, body=answer[2] if verdict == "DONE" else None))


async def _listen(
    stack: contextlib.AsyncExitStack, serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
) -> str:
    """Serve on a free port of this machine until the stack ends; return the address."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    stack.callback(server.close)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
