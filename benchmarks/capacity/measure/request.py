"""A node's way of a request: CPU of the real program and the time it adds, at open-loop rates.

At each rate the same generator first asks the executor's stand-in directly, then through the node. Generator and
stand-ins share one process and one event loop, in both cases."""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections.abc import Callable
from contextlib import AsyncExitStack

from chutepin.net.lines import LineParser, line
from chutepin.net.resp import RespParser, array
from chutepin.testbench.standins.platform import Standins

from .tools import Measured, Scheduled, Table, node, pid, scheduled

RATES = (50, 100, 200, 400, 800)  # requests a second
SECONDS = 6.0
ROUNDS = 4
SEED = 1
CLASS = "position-push"  # it makes no call below
TEAM = "bernard-lodge"
BODY = b"x" * 32  # bytes
WAIT_MS = 5000
READ_BYTES = 65_536
UNITS = {
    "cpu_ms_per_s": "ms of a core a second",
    "waited_ms_per_s": "ms a second",
    "direct_p99_ms": "ms",
    "node_p99_ms": "ms",
    "added_p99_ms": "ms",
    "not_served": "requests in 100",
}


class Link:
    """One connection on which requests are told apart by a tag; it keeps the time that each answer took."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.sent: dict[str, float] = {}
        self.took: list[float] = []
        self.asked = self.served = 0
        self._task = asyncio.ensure_future(self._read())

    def ask(self) -> None:
        """Send one request."""
        self.asked += 1
        tag = str(self.asked)
        self.sent[tag] = time.perf_counter()
        self.writer.write(self.request(tag))

    def request(self, tag: str) -> bytes:
        """The bytes of a request."""
        raise NotImplementedError

    def answers(self, data: bytes) -> list[tuple[str, bool]]:
        """Tags that have their answer, and whether they were served."""
        raise NotImplementedError

    async def _read(self) -> None:
        while data := await self.reader.read(READ_BYTES):
            now = time.perf_counter()
            for tag, served in self.answers(data):
                begun = self.sent.pop(tag, None)
                if begun is not None and served:
                    self.served += 1
                    self.took.append(1000 * (now - begun))

    async def close(self) -> None:
        """End it."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.writer.close()


class ThroughNode(Link):
    """A caller's connection to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._parser = RespParser()
        super().__init__(reader, writer)

    def request(self, tag: str) -> bytes:
        """As a balancer asks."""
        fields = f"i={os.urandom(8).hex()},s={int(time.time() * 1000)},f=1,t={TEAM},m=24.5,p=0.5,d={WAIT_MS}"
        return array(b"RPC.CALL", tag.encode(), CLASS.encode(), fields.encode(), BODY)

    def answers(self, data: bytes) -> list[tuple[str, bool]]:
        """As a node answers."""
        self._parser.feed(data)
        found = []
        while (items := self._parser.next()) is not None:
            found.append((items[0].decode(), items[1] == b"OK"))
        return found


class Direct(Link):
    """A node's connection to the executor, without the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._parser = LineParser(lambda words: words[0] in ("EXIT", "CALLOUT"), READ_BYTES)
        super().__init__(reader, writer)
        writer.write(line("JOIN", 0))

    def request(self, tag: str) -> bytes:
        """As a node gives work to the executor."""
        return line("EXEC", tag, CLASS, body=BODY)

    def answers(self, data: bytes) -> list[tuple[str, bool]]:
        """EXIT NUMBER ID OUTCOME CODE."""
        self._parser.feed(data)
        found = []
        while (message := self._parser.next()) is not None:
            words, _ = message
            if words[0] == "EXIT":
                found.append((words[2], words[3] == "complete"))
        return found


def quantile(values: list[float], part: float) -> float:
    """The value below which this part lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else float("nan")


async def offer(ask: Callable[[], None], rate: float, seconds: float, rng: random.Random) -> None:
    """Requests at random moments, whatever becomes of those before."""
    begun = time.perf_counter()
    due = begun
    while due < begun + seconds:
        due += rng.expovariate(rate)
        if (ahead := due - time.perf_counter()) > 0:
            await asyncio.sleep(ahead)
        ask()
    await asyncio.sleep(0.3)  # the last answers


async def directly(rate: float, rng: random.Random) -> list[float]:
    """Milliseconds of answers of the executor's stand-in."""
    async with AsyncExitStack() as stack:
        world = Standins({})
        server = await asyncio.start_server(world._executor_side, "127.0.0.1", 0)
        stack.callback(server.close)
        link = Direct(*await asyncio.open_connection(*server.sockets[0].getsockname()))
        await offer(link.ask, rate, SECONDS, rng)
        await link.close()
        return link.took


async def through_node(rate: float, rng: random.Random) -> tuple[Scheduled, ThroughNode]:
    """What the node had of the processors in each second, and the link with its times."""
    async with AsyncExitStack() as stack:
        world = await node(stack)
        link = ThroughNode(*await asyncio.open_connection("127.0.0.1", world.port))
        await offer(link.ask, rate, 1.0, rng)  # warm
        link.took.clear()
        link.asked = link.served = 0
        before, begun = scheduled(pid(world)), time.perf_counter()
        await offer(link.ask, rate, SECONDS, rng)
        after, took = scheduled(pid(world)), time.perf_counter() - begun
        await link.close()
        return Scheduled((after.cpu_ms - before.cpu_ms) / took, (after.waited_ms - before.waited_ms) / took), link


async def measured() -> Measured:
    """All rates, in turn, several rounds."""
    table = Table("requests a second", UNITS)
    for round_number in range(ROUNDS):
        rng = random.Random(SEED + round_number)
        for rate in RATES:
            direct = await directly(rate, rng)
            used, link = await through_node(rate, rng)
            direct_p99, node_p99 = quantile(direct, 0.99), quantile(link.took, 0.99)
            table.add(
                rate,
                cpu_ms_per_s=used.cpu_ms,
                waited_ms_per_s=used.waited_ms,
                direct_p99_ms=direct_p99,
                node_p99_ms=node_p99,
                added_p99_ms=node_p99 - direct_p99,
                not_served=100 * (1 - link.served / link.asked),
            )
    return Measured(
        table.series(),
        tuple(SEED + number for number in range(ROUNDS)),
        (
            f"one class without keys or calls below, bodies of {len(BODY)} bytes, one caller's connection",
            "the executor's stand-in answers at once and shares a process and an event loop with the generator",
            "the added time is the difference of two 99th parts, not the 99th part of differences",
            "on a shared machine the 99th part holds what the node waited for a processor (`waited_ms_per_s`)",
            "the block `cluster`, `agree` and `store` are off",
        ),
    )


def run() -> Measured:
    """The part."""
    return asyncio.run(measured())
