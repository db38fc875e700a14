"""CPU time of a node and the latency that the node adds to requests, at open-loop rates.

At each rate the same generator sends requests to the simulated executor directly, then through the node. The generator
and the simulated services share one process and one event loop in both cases."""

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

from .tools import Measurement, SchedulerTimes, Table, pid, scheduler_times, start_node

RATES = (50, 100, 200, 400, 800)  # requests a second
SECONDS = 6.0
ROUNDS = 4
SEED = 1
CLASS = "position-push"  # this class makes no calls to other services
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


class ClientConnection:
    """A connection whose requests are identified by tags; records the latency of each answer."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.start_times: dict[str, float] = {}
        self.latencies_ms: list[float] = []
        self.sent_count = self.served = 0
        self._task = asyncio.ensure_future(self._read())

    def send(self) -> None:
        """Send one request and record its start time."""
        self.sent_count += 1
        tag = str(self.sent_count)
        self.start_times[tag] = time.perf_counter()
        self.writer.write(self.request(tag))

    def request(self, tag: str) -> bytes:
        """Return the encoded request with the given tag."""
        raise NotImplementedError

    def answers(self, data: bytes) -> list[tuple[str, bool]]:
        """Return the tags answered in `data`, each with whether the request was served."""
        raise NotImplementedError

    async def _read(self) -> None:
        while data := await self.reader.read(READ_BYTES):
            now = time.perf_counter()
            for tag, served in self.answers(data):
                started = self.start_times.pop(tag, None)
                if started is not None and served:
                    self.served += 1
                    self.latencies_ms.append(1000 * (now - started))

    async def close(self) -> None:
        """Stop reading and close the connection."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.writer.close()


class NodeConnection(ClientConnection):
    """A caller's connection to the node under test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._parser = RespParser()
        super().__init__(reader, writer)

    def request(self, tag: str) -> bytes:
        """Return a request in the form that a balancer sends."""
        fields = f"i={os.urandom(8).hex()},s={int(time.time() * 1000)},f=1,t={TEAM},m=24.5,p=0.5,d={WAIT_MS}"
        return array(b"RPC.CALL", tag.encode(), CLASS.encode(), fields.encode(), BODY)

    def answers(self, data: bytes) -> list[tuple[str, bool]]:
        """Return the tags in the answers of a node, each with whether the request was served."""
        self._parser.feed(data)
        answered = []
        while (items := self._parser.next()) is not None:
            answered.append((items[0].decode(), items[1] == b"OK"))
        return answered


class DirectConnection(ClientConnection):
    """A direct connection to the simulated executor that uses the protocol of a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._parser = LineParser(lambda fields: fields[0] in ("EXIT", "CALLOUT"), READ_BYTES)
        super().__init__(reader, writer)
        writer.write(line("JOIN", 0))

    def request(self, tag: str) -> bytes:
        """Return an attempt in the form that a node sends to the executor."""
        return line("EXEC", tag, CLASS, body=BODY)

    def answers(self, data: bytes) -> list[tuple[str, bool]]:
        """Return the tags of the lines `EXIT NUMBER ID OUTCOME CODE`, each with whether the outcome is `complete`."""
        self._parser.feed(data)
        answered = []
        while (message := self._parser.next()) is not None:
            fields, _ = message
            if fields[0] == "EXIT":
                answered.append((fields[2], fields[3] == "complete"))
        return answered


def quantile(values: list[float], part: float) -> float:
    """Return the value below which the given fraction of the values lies, or nan for an empty list."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else float("nan")


async def send_at_rate(send: Callable[[], None], rate: float, seconds: float, rng: random.Random) -> None:
    """Send requests at random times, independent of the answers to earlier requests (open loop)."""
    started = time.perf_counter()
    due = started
    while due < started + seconds:
        due += rng.expovariate(rate)
        if (ahead := due - time.perf_counter()) > 0:
            await asyncio.sleep(ahead)
        send()
    await asyncio.sleep(0.3)  # wait for the last answers


async def measure_direct(rate: float, rng: random.Random) -> list[float]:
    """Return the latencies of the simulated executor without the node, in milliseconds."""
    async with AsyncExitStack() as stack:
        standins = Standins({})
        server = await asyncio.start_server(standins._executor_side, "127.0.0.1", 0)
        stack.callback(server.close)
        connection = DirectConnection(*await asyncio.open_connection(*server.sockets[0].getsockname()))
        await send_at_rate(connection.send, rate, SECONDS, rng)
        await connection.close()
        return connection.latencies_ms


async def measure_through_node(rate: float, rng: random.Random) -> tuple[SchedulerTimes, NodeConnection]:
    """Return the processor time of the node a second, and the connection with its latencies."""
    async with AsyncExitStack() as stack:
        standins = await start_node(stack)
        connection = NodeConnection(*await asyncio.open_connection("127.0.0.1", standins.port))
        await send_at_rate(connection.send, rate, 1.0, rng)  # warm-up
        connection.latencies_ms.clear()
        connection.sent_count = connection.served = 0
        before, started = scheduler_times(pid(standins)), time.perf_counter()
        await send_at_rate(connection.send, rate, SECONDS, rng)
        after, elapsed_s = scheduler_times(pid(standins)), time.perf_counter() - started
        await connection.close()
        return SchedulerTimes(
            (after.cpu_ms - before.cpu_ms) / elapsed_s, (after.waited_ms - before.waited_ms) / elapsed_s
        ), connection


async def measure_rates() -> Measurement:
    """Measure all rates in turn, for several rounds."""
    table = Table("requests a second", UNITS)
    for round_number in range(ROUNDS):
        rng = random.Random(SEED + round_number)
        for rate in RATES:
            direct = await measure_direct(rate, rng)
            used, connection = await measure_through_node(rate, rng)
            direct_p99, node_p99 = quantile(direct, 0.99), quantile(connection.latencies_ms, 0.99)
            table.add(
                rate,
                cpu_ms_per_s=used.cpu_ms,
                waited_ms_per_s=used.waited_ms,
                direct_p99_ms=direct_p99,
                node_p99_ms=node_p99,
                added_p99_ms=node_p99 - direct_p99,
                not_served=100 * (1 - connection.served / connection.sent_count),
            )
    return Measurement(
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


def run() -> Measurement:
    """Measure the part and return its series."""
    return asyncio.run(measure_rates())
