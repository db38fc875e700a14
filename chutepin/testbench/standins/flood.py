"""A connection flood from loopback addresses, for a bounded time: peers that hold connections or open them in a storm.

    python -m chutepin.testbench.standins.flood KIND PORT SECONDS

The program prints the counts of its connections as JSON, at its end or at SIGTERM. All addresses are in 127.0.0.0/8.
`FloodProcess` runs the flood in its own process, so that it does not delay the event loop of a test."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum
from pathlib import Path

import click

from chutepin.net.resp import array
from chutepin.testbench.signals import send_signal

HELD_CONNECTIONS = 600
STORM_CONNECTIONS_PER_S = 2000
MAX_STORM_ATTEMPTS = 2000  # connection attempts in progress at once
STORM_INTERVAL_S = 0.002
SOURCES = 200  # addresses, or blocks of addresses, used in rotation
HOLD_CONNECT_TIMEOUT_S = 3.0
STORM_CONNECT_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.05  # after a failed connection attempt
RENEW_DELAY_S = 0.02  # after a connection was closed
REFUSED_WITHIN_S = 0.45  # a connection closed later was admitted first and closed to make room
READ_BYTES = 4096
FLOODING_LINE = "flooding"  # the first line that the program prints


class FloodKind(StrEnum):
    """The kinds of floods."""

    ONE = "one"  # holds connections from one address
    BLOCK = "block"  # holds connections from addresses of one block
    SPREAD = "spread"  # holds connections from addresses that are each in another block
    SOUND = "sound"  # as SPREAD, with one valid request on each connection
    STORM = "storm"  # connects from one address and closes at once


def source_address(kind: FloodKind, number: int) -> str:
    """Return the source address with this number in the rotation of a flood."""
    match kind:
        case FloodKind.ONE | FloodKind.STORM:
            return "127.0.9.9"
        case FloodKind.BLOCK:
            return f"127.0.1.{number + 1}"
        case _:
            return f"127.1.{number}.1"


def source_addresses(kind: FloodKind) -> Iterator[str]:
    """Yield the source addresses of a flood in rotation, without end."""
    while True:
        for number in range(SOURCES):
            yield source_address(kind, number)


def valid_request() -> bytes:
    """Return the bytes of one valid request."""
    fields = f"i={os.urandom(8).hex()},s={int(time.time() * 1000)},f=1,t=bernard-lodge,d=1000,m=10"
    return array(b"RPC.CALL", b"1", b"position-push", fields.encode(), b"x")


class Flood:
    """One flood of a port on 127.0.0.1.

    `on_flooding` is called once, after the first `announce_after` connections."""

    def __init__(
        self,
        kind: FloodKind,
        port: int,
        seconds: float,
        held: int,
        announce_after: int,
        on_flooding: Callable[[], None],
    ) -> None:
        self._kind = kind
        self._port = port
        self._held = held
        self._announce_after = announce_after
        self._on_flooding = on_flooding
        self._has_announced = False
        self._ends_at = time.monotonic() + seconds
        self._sources = source_addresses(kind)
        self._counts: Counter[str] = Counter()
        self._refused_after_s: list[float] = []
        self._peer_tasks: list[asyncio.Task[None]] = []

    def stop(self) -> None:
        """End the flood before its scheduled end."""
        self._ends_at = min(self._ends_at, time.monotonic())
        for task in self._peer_tasks:
            task.cancel()

    async def run(self) -> dict[str, object]:
        """Flood until the scheduled end; return the counts of connections and the times to refusal in milliseconds."""
        self._announce_if_flooding()
        if self._kind is FloodKind.STORM:
            await self._storm()
        else:
            self._peer_tasks = [asyncio.create_task(self._hold_connections()) for _ in range(self._held)]
            await asyncio.gather(*self._peer_tasks, return_exceptions=True)
        times = sorted(self._refused_after_s)
        return {
            **self._counts,
            "refused": len(times),
            "refused_p99_ms": round(1000 * times[int(0.99 * len(times))], 1) if times else None,
            "refused_max_ms": round(1000 * times[-1], 1) if times else None,
        }

    async def _hold_connections(self) -> None:
        """Act as one peer: connect, wait until the connection is closed, connect again."""
        while time.monotonic() < self._ends_at:
            streams = await self._connect(HOLD_CONNECT_TIMEOUT_S)
            if streams is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            reader, writer = streams
            connected_at = time.monotonic()
            if self._kind is FloodKind.SOUND:
                writer.write(valid_request())
            try:
                await self._read_until_closed(reader, connected_at)
            finally:
                writer.transport.abort()
            await asyncio.sleep(RENEW_DELAY_S)

    async def _connect(self, timeout_s: float) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        source = next(self._sources)
        try:
            async with asyncio.timeout(timeout_s):
                streams = await asyncio.open_connection("127.0.0.1", self._port, local_addr=(source, 0))
        except (OSError, TimeoutError):
            self._counts["unconnected"] += 1
            return None
        self._counts["connected"] += 1
        self._announce_if_flooding()
        return streams

    async def _read_until_closed(self, reader: asyncio.StreamReader, connected_at: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.01, self._ends_at - connected_at)):
                with contextlib.suppress(OSError):  # a reset ends the connection as well
                    while await reader.read(READ_BYTES):
                        pass
                open_s = time.monotonic() - connected_at
                if open_s < REFUSED_WITHIN_S:
                    self._refused_after_s.append(open_s)

    async def _storm(self) -> None:
        """Open and close connections at a fixed rate, with a bounded number of attempts in progress."""
        started_at = time.monotonic()
        attempts = 0
        tasks: set[asyncio.Task[None]] = set()
        while time.monotonic() < self._ends_at:
            due = (time.monotonic() - started_at) * STORM_CONNECTIONS_PER_S
            while attempts < due and len(tasks) < MAX_STORM_ATTEMPTS:
                attempts += 1
                task = asyncio.ensure_future(self._connect_and_close())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(STORM_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _connect_and_close(self) -> None:
        streams = await self._connect(STORM_CONNECT_TIMEOUT_S)
        if streams is not None:
            streams[1].transport.abort()

    def _announce_if_flooding(self) -> None:
        if not self._has_announced and self._counts["connected"] >= self._announce_after:
            self._has_announced = True
            self._on_flooding()


@click.command()
@click.argument("kind", type=click.Choice([kind.value for kind in FloodKind]))
@click.argument("port", type=click.IntRange(1, 65535))
@click.argument("seconds", type=click.FloatRange(0.1, 120))
@click.option(
    "--held", type=click.IntRange(1, 2000), default=HELD_CONNECTIONS, show_default=True, help="Connections at a time."
)
@click.option("--announce-after", type=click.IntRange(0), default=0, help="Connections made before the first line.")
def main(kind: str, port: int, seconds: float, held: int, announce_after: int) -> None:
    """Flood a port of this machine."""

    async def run() -> dict[str, object]:
        flood = Flood(FloodKind(kind), port, seconds, held, announce_after, lambda: click.echo(FLOODING_LINE))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, flood.stop)
        return await flood.run()

    click.echo(json.dumps(asyncio.run(run())))


class FloodProcess:
    """A flood in its own process."""

    def __init__(
        self, kind: FloodKind, port: int, seconds: float, held: int = HELD_CONNECTIONS, announce_after: int = 0
    ) -> None:
        self._arguments = (kind, str(port), str(seconds), "--held", str(held), "--announce-after", str(announce_after))
        self._process: asyncio.subprocess.Process | None = None
        self.report: dict[str, object] = {}  # set after the process has ended

    async def start(self) -> None:
        """Start the process and wait until the first `announce_after` connections were made."""
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
        """Return whether the process has ended."""
        return self._process is not None and self._process.returncode is not None

    async def stop(self) -> dict[str, object]:
        """End the flood; return its report."""
        if self._process is None or self._process.stdout is None or self.report:
            return self.report
        send_signal(self._process, signal.SIGTERM)
        lines = (await self._process.stdout.read()).splitlines()
        await self._process.wait()
        self.report = json.loads(lines[-1])
        return self.report


if __name__ == "__main__":
    main()
