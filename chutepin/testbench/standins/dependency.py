"""Stand-ins for what several nodes call together, cold at first.

They count what they bear as the rule on overload does: a dependency that all share, and a node of the next tier with
its executor, behind a proxy that forwards calls."""

from __future__ import annotations

import asyncio
import contextlib
import time
from bisect import bisect_left
from dataclasses import dataclass
from typing import Any

from chutepin.net.lines import LineParser, line
from chutepin.testbench.standins.platform import Balancer, Standins


class CallLoad:
    """How many calls were in hand over time, and their mean over any window. Pure."""

    def __init__(self) -> None:
        self.in_hand = self.begun = 0
        self._times: list[float] = []  # of each change
        self._seconds: list[float] = []  # call seconds until then
        self._counts: list[int] = []  # in hand from then on

    def change(self, now: float, by: int) -> None:
        """So many more are in hand, or fewer."""
        seconds = self._integral(now)
        self.in_hand += by
        self.begun += max(0, by)
        self._times.append(now)
        self._seconds.append(seconds)
        self._counts.append(self.in_hand)

    def _integral(self, at: float) -> float:
        """Call seconds until a time."""
        index = bisect_left(self._times, at) - 1
        if index < 0:
            return 0.0
        return self._seconds[index] + self._counts[index] * (at - self._times[index])

    def means(self, over: float) -> list[tuple[float, float]]:
        """The end and the mean of each window of this length that begins or ends with a change."""
        ends = [*self._times, *(at + over for at in self._times if at + over <= self._times[-1])]
        return [(end, (self._integral(end) - self._integral(end - over)) / over) for end in ends]

    def most(self, over: float) -> float:
        """The greatest of these means."""
        return max((mean for _, mean in self.means(over)), default=0.0)


@dataclass(frozen=True, slots=True)
class WarmUp:
    """How a cold server or dependency gains speed: evenly from a share of it to the whole."""

    cold_from: float
    warm_after: float  # seconds

    def speed(self, age: float) -> float:
        """The share of the full speed at this age, in seconds."""
        return min(1.0, self.cold_from + (1 - self.cold_from) * max(0.0, age) / self.warm_after)


class ColdDependency:
    """Answers every call with DONE, slowly at first: a call takes `takes` seconds warm.

    It warms up from the first call on. An abandoned call stays in its hands for `linger` seconds."""

    def __init__(self, takes: float, warm_up: WarmUp, linger: float) -> None:
        self._takes, self._warm_up, self._linger = takes, warm_up, linger
        self._began: float | None = None
        self.load = CallLoad()

    async def listen(self, stack: contextlib.AsyncExitStack) -> str:
        """Serve until the stack ends; the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        stack.callback(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def _speed(self, now: float) -> float:
        if self._began is None:
            self._began = now
        return self._warm_up.speed(now - self._began)

    def _leave(self) -> None:
        self.load.change(time.monotonic(), -1)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        calls: dict[str, asyncio.TimerHandle] = {}

        def reply(id: str) -> None:
            del calls[id]
            self._leave()
            writer.write(line(id, "DONE", body=b"row"))

        def abandon(id: str) -> None:
            if (timer := calls.pop(id, None)) is not None:
                timer.cancel()
                loop.call_later(self._linger, self._leave)

        parser = LineParser(lambda words: words[0] == "OP", 65536)
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    verb, id = message[0][:2]
                    abandon(id)
                    if verb == "OP":
                        now = time.monotonic()
                        self.load.change(now, 1)
                        calls[id] = loop.call_later(self._takes / self._speed(now), reply, id)
        for id in list(calls):
            abandon(id)
        writer.transport.abort()


STEP = 0.005  # seconds between looks at what the cores have done
LOOK = 0.02  # seconds between looks at whether a call that was handed on is answered


class ColdServer(Standins):
    """A node of the next tier whose executor has just come up.

    Its cores are shared evenly by all runs, each of which has `work` seconds for one warm core."""

    def __init__(self, env: dict[str, Any], work: float) -> None:
        super().__init__(env)
        self.warmth, self.age_ms = "chilly", 0
        info, safety = self.env["familyInfo"], self.env["safety"]
        self._cores, self._fall, self._work = int(info["cpus"]), float(safety["fallMultiple"]), work
        self._over = float(safety["overloadFor"])
        self._warm_up = WarmUp(safety["coldFrom"], safety["warmAfter"])
        self._born = 0.0
        self._left: dict[str, tuple[float, bytes]] = {}  # of each run, the work that is left, and its body
        self.load = CallLoad()
        self.served = 0

    async def run(self) -> None:
        """Do the work until cancelled."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(STEP)
            now = time.monotonic()
            share = min(1.0, self._cores / max(1, len(self._left))) * self._warm_up.speed(now - self._born)
            done, last = (now - last) * share, now
            for id, (left, body) in list(self._left.items()):
                self._left[id] = (left - done, body)
                if left <= done:
                    self._end(id)
                    self.served += 1
                    self.finish(id, b"done " + body)

    def _end(self, id: str) -> None:
        if self._left.pop(id, None) is not None:
            self.load.change(time.monotonic(), -1)

    def _command(self, writer: asyncio.StreamWriter, words: list[str], body: bytes) -> None:
        match words[0]:
            case "JOIN":
                self._born = self._born or time.monotonic()
                super()._command(writer, words, body)
            case "EXEC":
                self._left[words[1]] = (self._work, body)
                self.load.change(time.monotonic(), 1)
            case "METER":
                use = min(1.0, len(self._left) / self._cores)
                writer.write(line("METERS", words[1], f"{use:.3f}", len(self._left)))
            case _:
                self._end(words[1])
                super()._command(writer, words, body)

    def budget(self, at: float) -> float:
        """Runs on the cores that the settings allow it at a time, as a mean."""
        return (1 + (self._fall - 1) * self._warm_up.speed(at - self._born)) * self._cores

    def fullest(self) -> float:
        """The greatest mean of runs on the cores, as a part of what was allowed at the end of its window."""
        return max((mean / self.budget(end) for end, mean in self.load.means(self._over)), default=0.0)


_WORDS = {b"OK": "DONE", b"BUSY": "WAIT"}


class RecordsProxy:
    """The local proxy of the records service: hands each call to one node of the next tier, and heeds no advice."""

    def __init__(self, server: Standins, cls: str) -> None:
        self._server, self._cls = server, cls
        self.calls = 0

    async def listen(self, stack: contextlib.AsyncExitStack) -> str:
        """Serve until the stack ends; the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        stack.callback(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = LineParser(lambda words: words[0] == "OP", 65536)
        tasks: set[asyncio.Task[None]] = set()
        upstream: Balancer | None = None
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                parser.feed(data)
                while (message := parser.next()) is not None:
                    words, body = message
                    if words[0] != "OP":
                        continue
                    if upstream is None or upstream.ended:
                        upstream = await self._server.connect()
                    self.calls += 1
                    task = asyncio.ensure_future(self._hand_on(writer, upstream, words, body))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
        for task in tasks:
            task.cancel()
        if upstream is not None:
            await upstream.close()
        writer.transport.abort()

    async def _hand_on(self, writer: asyncio.StreamWriter, upstream: Balancer, words: list[str], body: bytes) -> None:
        wait = int(words[2])
        tag = upstream.call(self._cls, body, wait=wait)
        until = time.monotonic() + wait / 1000
        while tag not in upstream.answers and not upstream.ended and time.monotonic() < until:
            await asyncio.sleep(LOOK)
        answer = upstream.answers.get(tag, [[b"", b"", b""]])[0]
        word = _WORDS.get(answer[0], "ERROR")
        writer.write(line(words[1], word, body=answer[2] if word == "DONE" else None))
