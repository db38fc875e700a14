"""Measures routine operation of the program between simulated services: `python -m benchmarks.operation [PART …]`.

Parts: `answers` (latency of operator commands when idle, under load, during a flood; CPU of a scrape), `link`
(throughput of the hand-over link), `upgrades` (consecutive, under load, with counts), `kills` (the old process is
killed at a random time of the hand-over), `memory` (idle, of one process and of two). Uses only loopback; each part is
bounded in time."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path

from chutepin.handover.frames import FrameReader, encode_record
from chutepin.idempotency import IdempotencyRecord
from chutepin.testbench.signals import send_signal
from chutepin.testbench.standins.known_client import KnownClient
from chutepin.testbench.standins.platform import EXAMPLE, Balancer, Standins

CALLS_PER_ROW = 300  # operator commands
UPGRADES, KILLS = 8, 20
REQUEST_NUMBERS = itertools.count()  # each request has a distinct key
RELEASE = {"PYTHONOPTIMIZE": "1"}


async def call_operator(standins: Standins, line: bytes) -> tuple[float, str]:
    """Send one operator command and return its latency in seconds and the answer."""
    started = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", standins.ops_port)
    writer.write(line)
    answer = (await reader.read()).decode()
    writer.close()
    return time.perf_counter() - started, answer


async def wait_ready(standins: Standins) -> None:
    """Wait until the process reports that it is ready. Raises TimeoutError after 30 s."""
    async with asyncio.timeout_at(asyncio.get_running_loop().time() + 30):
        while True:
            try:
                if (await call_operator(standins, b"ready\n"))[1].startswith("SUCCESS"):
                    return
            except OSError:
                pass
            await asyncio.sleep(0.01)


def cpu(standins: Standins) -> float:
    """Return the CPU time of the program in seconds."""
    assert standins.process is not None
    fields = Path(f"/proc/{standins.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kib(standins: Standins) -> int:
    """Return the resident memory of the program in KiB."""
    assert standins.process is not None
    return int(Path(f"/proc/{standins.process.pid}/status").read_text().split("VmRSS:")[1].split()[0])


async def print_latencies(standins: Standins, name: str) -> None:
    """Print the latencies of the commands `ready` and `show-stat`."""
    for line in (b"ready\n", b"show-stat\n"):
        times_ms = []
        for _ in range(CALLS_PER_ROW):
            seconds, answer = await call_operator(standins, line)
            assert answer.startswith("SUCCESS"), answer
            times_ms.append(1000 * seconds)
            await asyncio.sleep(0.005)
        times_ms.sort()
        print(
            f"{name:8} {line.decode().strip():10} {len(answer):5} bytes  median {statistics.median(times_ms):6.2f} ms  "
            f"p99 {times_ms[int(0.99 * CALLS_PER_ROW)]:6.2f} ms  max {times_ms[-1]:6.2f} ms",
            flush=True,
        )


async def measure_answers(stack: AsyncExitStack) -> None:
    """Measure operator commands when idle, under load and during a flood."""
    standins = Standins(EXAMPLE["settings"])
    await standins.start(stack, ops=True, environ=RELEASE)
    await wait_ready(standins)
    await print_latencies(standins, "rest")
    before = cpu(standins)
    for _ in range(1000):
        await call_operator(standins, b"show-stat\n")
    print(f"CPU of one scrape: {cpu(standins) - before:.3f} ms", flush=True)
    load = [asyncio.ensure_future(KnownClient(standins.port, requests_per_s=60).run(30)) for _ in range(8)]
    await asyncio.sleep(1)
    started, before = time.monotonic(), cpu(standins)
    await print_latencies(standins, "load")
    print(f"(load: {(cpu(standins) - before) / (time.monotonic() - started):.2f} of a core)")
    flood = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "chutepin.testbench.standins.flood",
        "storm",
        str(standins.port),
        "8",
        stdout=asyncio.subprocess.DEVNULL,
    )
    await asyncio.sleep(1)
    await print_latencies(standins, "flood")
    await flood.wait()
    for task in load:
        task.cancel()
    await asyncio.gather(*load, return_exceptions=True)


async def measure_link(stack: AsyncExitStack) -> None:
    """Measure the throughput of key frames through a Unix socket, written in the same way as by a session."""
    count, received = 20_000, 0
    path = stack.enter_context(tempfile.TemporaryDirectory()) + "/link"

    async def receive(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal received
        frames = FrameReader()
        while data := await reader.read(65536):
            frames.feed(data)
            while frames.next() is not None:
                received += 1
        writer.close()

    server = await asyncio.start_unix_server(receive, path)
    _, writer = await asyncio.open_unix_connection(path)
    started, writing_s = time.perf_counter(), 0.0
    for number in range(count):
        entry = IdempotencyRecord(f"{number:032x}", f"{number:016x}", 1e9, bytes(16), f"{number:016x}")
        start = time.perf_counter()
        writer.write(encode_record(entry))
        writing_s += time.perf_counter() - start
        if writer.transport.get_write_buffer_size():
            await writer.drain()
    while received < count:
        await asyncio.sleep(0.001)
    print(
        f"link: {count / (time.perf_counter() - started):.0f} keys a second both ends on one core; a claim adds "
        f"{1e6 * writing_s / count:.0f} microseconds before its run"
    )
    writer.close()
    server.close()


class Traffic:
    """A client that sends keyed and unkeyed requests to the process behind the listening address."""

    def __init__(self, port: int, rng: random.Random) -> None:
        self._port, self._rng = port, rng
        self.outcomes: Counter[str] = Counter()
        self.running = True

    async def run(self) -> None:
        """Send requests until stopped. Reconnect if the node closes or announces that it will close the connection."""
        balancer: Balancer | None = None
        retry_number: int | None = None
        while self.running:
            try:
                if balancer is None or balancer.ended or 0 in balancer.answers:
                    if balancer is not None:
                        await balancer.close()
                    balancer = Balancer(*await asyncio.open_connection("127.0.0.1", self._port))
            except OSError:
                self.outcomes["not connected"] += 1
                await asyncio.sleep(0.02)
                continue
            if retry_number is not None:  # a request lost with its connection may have run: send it again
                number, keyed, retry_number = retry_number, True, None
            else:
                number, keyed = next(REQUEST_NUMBERS), self._rng.random() < 0.4
            tag = balancer.call(
                "work-order" if keyed else "position-push",
                b"order %d" % number,
                f"{number:032x}" if keyed else None,
                wait=3000,
            )
            deadline = time.monotonic() + 4
            while tag not in balancer.answers and not balancer.ended and time.monotonic() < deadline:
                await asyncio.sleep(0.002)
            outcome = balancer.answers[tag][0][0].decode() if tag in balancer.answers else "LOST"
            self.outcomes[outcome] += 1
            retry_number = number if keyed and outcome == "LOST" else None
        if balancer is not None:
            await balancer.close()


async def run_upgrades(
    stack: AsyncExitStack, upgrades: int, during_upgrade: Callable[[Standins, Standins], object], rng: random.Random
) -> tuple[Counter[str], int, list[float], str]:
    """Run consecutive upgrades under load.

    Return the request outcomes, the keys run twice, the seconds until `ready` and the log of the last process."""
    directory = stack.enter_context(tempfile.TemporaryDirectory())
    generations, ready_s = [Standins(EXAMPLE["settings"])], []
    generations[0].environ = {"TMPDIR": directory, **RELEASE}
    await generations[0].start(stack, ops=True)
    await wait_ready(generations[0])
    traffic = [Traffic(generations[0].port, rng) for _ in range(12)]
    tasks = [asyncio.ensure_future(t.run()) for t in traffic]
    for _ in range(upgrades):
        old, new = generations[-1], Standins(EXAMPLE["settings"])
        new.environ, new.listen_port = old.environ, old.port
        started = time.monotonic()
        starts = asyncio.ensure_future(new.start(stack, ops=True))
        during_upgrade(old, new)
        await starts
        await wait_ready(new)
        ready_s.append(time.monotonic() - started)
        assert old.process is not None
        send_signal(old.process, signal.SIGTERM)
        await old.process.wait()
        generations.append(new)
        await asyncio.sleep(0.3)
    for client in traffic:
        client.running = False
    await asyncio.gather(*tasks)
    executions = Counter(body for standins in generations for _, cls, body in standins.runs if cls == "work-order")
    log = await generations[-1].leave()
    return (
        sum((client.outcomes for client in traffic), Counter()),
        sum(n - 1 for n in executions.values()),
        ready_s,
        log,
    )


async def measure_upgrades(stack: AsyncExitStack) -> None:
    """Measure planned upgrades, in which the old process stops in an orderly way."""
    counts, repeats, times, _ = await run_upgrades(stack, UPGRADES, lambda old, new: None, random.Random(1))
    print(
        f"{UPGRADES} upgrades: {dict(counts)}, keys run twice {repeats}, ready after {statistics.median(times):.2f} s "
        f"(most {max(times):.2f})"
    )


async def measure_kills(stack: AsyncExitStack) -> None:
    """Measure hand-overs in which the old process is killed at a random time, drawn from the seed."""
    total: Counter[str] = Counter()
    doubled, crashed, handovers = 0, 0, 0
    for seed in range(KILLS):
        rng = random.Random(seed)

        def kill(old: Standins, new: Standins, rng: random.Random = rng) -> None:
            def end() -> None:
                if old.process is not None and old.process.returncode is None:
                    send_signal(old.process, signal.SIGKILL)

            asyncio.get_running_loop().call_later(0.15 + rng.random() * 0.35, end)

        async with AsyncExitStack() as inner:
            outcomes, repeated, _, log = await run_upgrades(inner, 1, kill, rng)
        total += outcomes
        # A kill before the processes connect is an ordinary crash: the new process cannot know which requests ran.
        connected = "handover.predecessor_lost" in log or "handover.connect_failed" in log
        handovers, doubled, crashed = (
            handovers + connected,
            doubled + repeated * connected,
            crashed + repeated * (not connected),
        )
    print(
        f"{KILLS} kills, {handovers} after both processes had connected: {dict(total)}, keys run twice {doubled}; "
        f"keys run twice after earlier kills {crashed}"
    )


async def measure_memory(stack: AsyncExitStack) -> None:
    """Measure the memory of one idle process, and of both processes during an upgrade."""
    directory = stack.enter_context(tempfile.TemporaryDirectory())
    old, new = Standins(EXAMPLE["settings"]), Standins(EXAMPLE["settings"])
    old.environ = new.environ = {"TMPDIR": directory, **RELEASE}
    await old.start(stack, ops=True)
    await wait_ready(old)
    await asyncio.sleep(1)
    print(f"memory of one process: {resident_kib(old)} KiB")
    new.listen_port = old.port
    await new.start(stack, ops=True)
    await wait_ready(new)
    await asyncio.sleep(1)
    print(f"memory of two processes: {resident_kib(old)} + {resident_kib(new)} KiB")


PARTS = {
    "answers": measure_answers,
    "link": measure_link,
    "upgrades": measure_upgrades,
    "kills": measure_kills,
    "memory": measure_memory,
}


async def main(names: list[str]) -> None:
    """Run the named parts, or all parts, one after the other."""
    for name in names or list(PARTS):
        async with AsyncExitStack() as stack:
            await PARTS[name](stack)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
