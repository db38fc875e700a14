"""A stand-in flood: peers on loopback addresses that take connections and give nothing, for a bounded time.

    python -m chutepin.testbench.standins.flood KIND PORT SECONDS

`one` keeps 600 connections from one address, `block` three each from 200 addresses of one block, `spread` the same
from 200 blocks, `sound` sends one sound request on each of these, and `storm` connects and closes 2,000 times a second.
It prints what became of its connections as JSON, at its end or at SIGTERM. Addresses are of 127.0.0.0/8 alone.
`FloodProcess` runs it beside a test, so that the flood takes no turns of the test's event loop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import click

from chutepin.net.resp import array
from chutepin.testbench.signals import send_signal

HELD = 600  # connections at a time
STORM = 2000  # a second
STARTED = "flooding"  # the first line that it prints
REFUSED = 0.45  # seconds: who is closed later was let in, and made room later


def sources(kind: str) -> Iterator[str]:
    """Addresses by turns, for ever."""
    while True:
        for number in range(200):
            yield {"one": "127.0.9.9", "storm": "127.0.9.9", "block": f"127.0.1.{number + 1}"}.get(
                kind, f"127.1.{number}.1"
            )


class Flood:
    """One run against a port of this machine."""

    def __init__(self, kind: str, port: int, seconds: float, held: int = HELD, announce_after: int = 0) -> None:
        self._kind, self._port, self._held = kind, port, held
        self._end = time.monotonic() + seconds
        self._sources = sources(kind)
        self.counts: Counter[str] = Counter()
        self.refusals: list[float] = []  # seconds from the connection to its close
        self.is_flooding = asyncio.Event()  # the first `announce_after` connections were made
        self._announce_after = announce_after
        self._holding: list[asyncio.Task[None]] = []

    def stop(self) -> None:
        """End the flood now, before its time."""
        self._end = min(self._end, time.monotonic())
        for task in self._holding:
            task.cancel()

    async def run(self) -> dict[str, object]:
        """Flood until the end."""
        self._announce_if_flooding()
        if self._kind == "storm":
            await self._storm()
        else:
            self._holding = [asyncio.create_task(self._hold()) for _ in range(self._held)]
            await asyncio.gather(*self._holding, return_exceptions=True)
        times = sorted(self.refusals)
        return {
            **self.counts,
            "refused": len(times),
            "refused_p99_ms": round(1000 * times[int(0.99 * len(times))], 1) if times else None,
            "refused_max_ms": round(1000 * times[-1], 1) if times else None,
        }

    async def _hold(self) -> None:
        """One peer: connect, wait until closed, again."""
        while time.monotonic() < self._end:
            source = next(self._sources)
            try:
                async with asyncio.timeout(3):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._port, local_addr=(source, 0))
            except (OSError, TimeoutError):
                self.counts["unconnected"] += 1
                await asyncio.sleep(0.05)
                continue
            self._count_connection()
            begun = time.monotonic()
            if self._kind == "sound":
                fields = f"i={os.urandom(8).hex()},s={int(time.time() * 1000)},f=1,t=bernard-lodge,d=1000,m=10"
                writer.write(array(b"RPC.CALL", b"1", b"position-push", fields.encode(), b"x"))
            try:
                await self._read_until_closed(reader, begun)
            finally:
                writer.transport.abort()
            await asyncio.sleep(0.02)

    async def _read_until_closed(self, reader: asyncio.StreamReader, begun: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.01, self._end - begun)):
                with contextlib.suppress(OSError):  # a reset ends it as well
                    while await reader.read(4096):
                        pass
                if time.monotonic() - begun < REFUSED:
                    self.refusals.append(time.monotonic() - begun)

    async def _storm(self) -> None:
        """Connect and close, at a rate of its own."""
        begun, number = time.monotonic(), 0
        tasks: set[asyncio.Task[None]] = set()
        while time.monotonic() < self._end:
            while number < (time.monotonic() - begun) * STORM and len(tasks) < 2000:
                number += 1
                task = asyncio.ensure_future(self._touch())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.002)
        await asyncio.gather(*tasks)

    async def _touch(self) -> None:
        try:
            async with asyncio.timeout(2):
                _, writer = await asyncio.open_connection("127.0.0.1", self._port, local_addr=(next(self._sources), 0))
        except (OSError, TimeoutError):
            self.counts["unconnected"] += 1
            return
        self._count_connection()
        writer.transport.abort()

    def _count_connection(self) -> None:
        self.counts["connected"] += 1
        self._announce_if_flooding()

    def _announce_if_flooding(self) -> None:
        if self.counts["connected"] >= self._announce_after:
            self.is_flooding.set()


@click.command()
@click.argument("kind", type=click.Choice(["one", "block", "spread", "sound", "storm"]))
@click.argument("port", type=click.IntRange(1, 65535))
@click.argument("seconds", type=click.FloatRange(0.1, 120))
@click.option("--held", type=click.IntRange(1, 2000), default=HELD, show_default=True, help="Connections at a time.")
@click.option("--announce-after", type=click.IntRange(0), default=0, help="Connections made before the first line.")
def main(kind: str, port: int, seconds: float, held: int, announce_after: int) -> None:
    """Flood a port of this machine."""

    async def announce(flood: Flood) -> None:
        await flood.is_flooding.wait()
        click.echo(STARTED)

    async def run() -> dict[str, object]:
        flood = Flood(kind, port, seconds, held, announce_after)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, flood.stop)
        announcing = asyncio.create_task(announce(flood))
        report = await flood.run()
        announcing.cancel()
        return report

    click.echo(json.dumps(asyncio.run(run())))


class FloodProcess:
    """A flood in a process of its own."""

    def __init__(self, kind: str, port: int, seconds: float, held: int = HELD, announce_after: int = 0) -> None:
        self._arguments = (kind, str(port), str(seconds), "--held", str(held), "--announce-after", str(announce_after))
        self._process: asyncio.subprocess.Process | None = None
        self.report: dict[str, object] = {}  # once it has ended

    async def start(self) -> None:
        """Start it, and wait until it floods: until the first `announce_after` connections were made."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chutepin.testbench.standins.flood",
            *self._arguments,
            cwd=Path(__file__).parents[3],
            stdout=asyncio.subprocess.PIPE,
        )
        assert self._process.stdout is not None
        await self._process.stdout.readline()

    @property
    def has_ended(self) -> bool:
        """Whether its time is over."""
        return self._process is not None and self._process.returncode is not None

    async def stop(self) -> dict[str, object]:
        """End it; return what became of its connections."""
        if self._process is None or self._process.stdout is None or self.report:
            return self.report
        send_signal(self._process, signal.SIGTERM)
        lines = (await self._process.stdout.read()).splitlines()
        await self._process.wait()
        self.report = json.loads(lines[-1])
        return self.report


if __name__ == "__main__":
    main()
