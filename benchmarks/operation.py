"""Measures day-to-day operation of the real program between stand-ins: `python -m benchmarks.operation [PART …]`.

Parts: `answers` (times of operators' calls at rest, under load, under a flood; CPU of a scrape), `link` (what the peer
link carries), `upgrades` (in a row under load, with counts), `kills` (the old process killed at a random moment of the
hand-over), `memory` (at rest, of one process and of two). Loopback alone; each part is bounded in time."""

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

CALLS = 300  # of operators, for each row
UPGRADES, KILLS = 8, 20
NUMBERS = itertools.count()  # of requests: each has a key of its own
RELEASE = {"PYTHONOPTIMIZE": "1"}


async def called(world: Standins, line: bytes) -> tuple[float, str]:
    """One operator's call: seconds and the answer."""
    begun = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", world.ops_port)
    writer.write(line)
    answer = (await reader.read()).decode()
    writer.close()
    return time.perf_counter() - begun, answer


async def ready(world: Standins) -> None:
    """Wait until the process can serve."""
    async with asyncio.timeout_at(asyncio.get_running_loop().time() + 30):
        while True:
            try:
                if (await called(world, b"ready\n"))[1].startswith("SUCCESS"):
                    return
            except OSError:
                pass
            await asyncio.sleep(0.01)


def cpu(world: Standins) -> float:
    """Seconds of CPU that the program has used."""
    assert world.process is not None
    fields = Path(f"/proc/{world.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory(world: Standins) -> int:
    """KiB that the program holds."""
    assert world.process is not None
    return int(Path(f"/proc/{world.process.pid}/status").read_text().split("VmRSS:")[1].split()[0])


async def row(world: Standins, name: str) -> None:
    """Times of both calls."""
    for line in (b"ready\n", b"show-stat\n"):
        took = []
        for _ in range(CALLS):
            seconds, answer = await called(world, line)
            assert answer.startswith("SUCCESS"), answer
            took.append(1000 * seconds)
            await asyncio.sleep(0.005)
        took.sort()
        print(
            f"{name:8} {line.decode().strip():10} {len(answer):5} bytes  median {statistics.median(took):6.2f} ms  "
            f"p99 {took[int(0.99 * CALLS)]:6.2f} ms  max {took[-1]:6.2f} ms",
            flush=True,
        )


async def answers(stack: AsyncExitStack) -> None:
    """Operators' calls at rest, under load and under a flood."""
    world = Standins(EXAMPLE["settings"])
    await world.start(stack, ops=True, environ=RELEASE)
    await ready(world)
    await row(world, "rest")
    before = cpu(world)
    for _ in range(1000):
        await called(world, b"show-stat\n")
    print(f"CPU of one scrape: {cpu(world) - before:.3f} ms", flush=True)
    load = [asyncio.ensure_future(KnownClient(world.port, requests_per_s=60).run(30)) for _ in range(8)]
    await asyncio.sleep(1)
    begun, before = time.monotonic(), cpu(world)
    await row(world, "load")
    print(f"(load: {(cpu(world) - before) / (time.monotonic() - begun):.2f} of a core)")
    flood = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "chutepin.testbench.standins.flood",
        "storm",
        str(world.port),
        "8",
        stdout=asyncio.subprocess.DEVNULL,
    )
    await asyncio.sleep(1)
    await row(world, "flood")
    await flood.wait()
    for task in load:
        task.cancel()
    await asyncio.gather(*load, return_exceptions=True)


async def link(stack: AsyncExitStack) -> None:
    """Frames of keys through a Unix socket between two streams of one loop, written as a session writes."""
    count, got = 20_000, 0
    path = stack.enter_context(tempfile.TemporaryDirectory()) + "/link"

    async def hear(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal got
        frames = FrameReader()
        while data := await reader.read(65536):
            frames.feed(data)
            while frames.next() is not None:
                got += 1
        writer.close()

    server = await asyncio.start_unix_server(hear, path)
    _, writer = await asyncio.open_unix_connection(path)
    begun, telling = time.perf_counter(), 0.0
    for number in range(count):
        entry = IdempotencyRecord(f"{number:032x}", f"{number:016x}", 1e9, bytes(16), f"{number:016x}")
        start = time.perf_counter()
        writer.write(encode_record(entry))
        telling += time.perf_counter() - start
        if writer.transport.get_write_buffer_size():
            await writer.drain()
    while got < count:
        await asyncio.sleep(0.001)
    print(
        f"link: {count / (time.perf_counter() - begun):.0f} keys a second both ends on one core; a claim adds "
        f"{1e6 * telling / count:.0f} microseconds before its run"
    )
    writer.close()
    server.close()


class Traffic:
    """Keyed and safe requests, tries split at random over whatever the listening address gives."""

    def __init__(self, port: int, chance: random.Random) -> None:
        self._port, self._chance = port, chance
        self.words: Counter[str] = Counter()
        self.on = True

    async def run(self) -> None:
        """Ask until switched off; on a farewell or an end, connect again."""
        balancer: Balancer | None = None
        again: int | None = None
        while self.on:
            try:
                if balancer is None or balancer.ended or 0 in balancer.answers:
                    if balancer is not None:
                        await balancer.close()
                    balancer = Balancer(*await asyncio.open_connection("127.0.0.1", self._port))
            except OSError:
                self.words["not connected"] += 1
                await asyncio.sleep(0.02)
                continue
            if again is not None:  # what was lost with its connection may have run: ask for it again
                number, keyed, again = again, True, None
            else:
                number, keyed = next(NUMBERS), self._chance.random() < 0.4
            tag = balancer.call(
                "work-order" if keyed else "position-push",
                b"order %d" % number,
                f"{number:032x}" if keyed else None,
                wait=3000,
            )
            until = time.monotonic() + 4
            while tag not in balancer.answers and not balancer.ended and time.monotonic() < until:
                await asyncio.sleep(0.002)
            word = balancer.answers[tag][0][0].decode() if tag in balancer.answers else "LOST"
            self.words[word] += 1
            again = number if keyed and word == "LOST" else None
        if balancer is not None:
            await balancer.close()


async def succession(
    stack: AsyncExitStack, upgrades: int, between: Callable[[Standins, Standins], object], chance: random.Random
) -> tuple[Counter[str], int, list[float], str]:
    """Upgrades in a row under load: what clients heard, keys run twice, seconds until `ready`, the last one's log."""
    place = stack.enter_context(tempfile.TemporaryDirectory())
    worlds, took = [Standins(EXAMPLE["settings"])], []
    worlds[0].environ = {"TMPDIR": place, **RELEASE}
    await worlds[0].start(stack, ops=True)
    await ready(worlds[0])
    traffic = [Traffic(worlds[0].port, chance) for _ in range(12)]
    tasks = [asyncio.ensure_future(t.run()) for t in traffic]
    for _ in range(upgrades):
        old, new = worlds[-1], Standins(EXAMPLE["settings"])
        new.environ, new.listen_port = old.environ, old.port
        begun = time.monotonic()
        starts = asyncio.ensure_future(new.start(stack, ops=True))
        between(old, new)
        await starts
        await ready(new)
        took.append(time.monotonic() - begun)
        assert old.process is not None
        send_signal(old.process, signal.SIGTERM)
        await old.process.wait()
        worlds.append(new)
        await asyncio.sleep(0.3)
    for one in traffic:
        one.on = False
    await asyncio.gather(*tasks)
    ran = Counter(body for world in worlds for _, cls, body in world.runs if cls == "work-order")
    log = await worlds[-1].leave()
    return sum((one.words for one in traffic), Counter()), sum(n - 1 for n in ran.values()), took, log


async def upgrades(stack: AsyncExitStack) -> None:
    """Upgrades in order."""
    words, twice, took, _ = await succession(stack, UPGRADES, lambda old, new: None, random.Random(1))
    print(
        f"{UPGRADES} upgrades: {dict(words)}, keys run twice {twice}, ready after {statistics.median(took):.2f} s "
        f"(most {max(took):.2f})"
    )


async def kills(stack: AsyncExitStack) -> None:
    """The old process killed at a random moment of the hand-over, by seed."""
    total: Counter[str] = Counter()
    doubled, crashed, met = 0, 0, 0
    for seed in range(KILLS):
        chance = random.Random(seed)

        def kill(old: Standins, new: Standins, chance: random.Random = chance) -> None:
            def end() -> None:
                if old.process is not None and old.process.returncode is None:
                    send_signal(old.process, signal.SIGKILL)

            asyncio.get_running_loop().call_later(0.15 + chance.random() * 0.35, end)

        async with AsyncExitStack() as inner:
            words, twice, _, log = await succession(inner, 1, kill, chance)
        total += words
        # Killed before the two had met it is a crash like any other: nobody knows what had run.
        knew = "handover.predecessor_lost" in log or "handover.connect_failed" in log
        met, doubled, crashed = met + knew, doubled + twice * knew, crashed + twice * (not knew)
    print(
        f"{KILLS} kills, {met} after the two had met: {dict(total)}, keys run twice {doubled}; "
        f"by the crashes before, {crashed}"
    )


async def at_rest(stack: AsyncExitStack) -> None:
    """Memory of one process that operators call, and of both during an upgrade."""
    place = stack.enter_context(tempfile.TemporaryDirectory())
    old, new = Standins(EXAMPLE["settings"]), Standins(EXAMPLE["settings"])
    old.environ = new.environ = {"TMPDIR": place, **RELEASE}
    await old.start(stack, ops=True)
    await ready(old)
    await asyncio.sleep(1)
    print(f"memory of one process: {memory(old)} KiB")
    new.listen_port = old.port
    await new.start(stack, ops=True)
    await ready(new)
    await asyncio.sleep(1)
    print(f"memory of two: {memory(old)} + {memory(new)} KiB")


PARTS = {"answers": answers, "link": link, "upgrades": upgrades, "kills": kills, "memory": at_rest}


async def main(names: list[str]) -> None:
    """Run parts one after the other."""
    for name in names or list(PARTS):
        async with AsyncExitStack() as stack:
            await PARTS[name](stack)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
