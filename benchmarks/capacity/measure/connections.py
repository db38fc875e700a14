"""Memory of a node by number of idle connections from callers."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from .tools import SETTLE_S, Measurement, Table, pid, resident_bytes, start_node

SIZES = (50, 100, 200, 400, 800)
ROUNDS = 2
SOCKETS = 4096
FIRST_ADDRESS = 2  # callers use addresses from 127.0.1.2 upwards: the node limits connections per address
UNITS = {"memory_bytes": "bytes"}


async def measure_connections() -> Measurement:
    """Open connections to one process in steps, keep them open and measure its memory after each step."""
    table = Table("connections", UNITS)
    for _ in range(ROUNDS):
        async with AsyncExitStack() as stack:
            standins = await start_node(stack, sockets=SOCKETS)
            before = resident_bytes(pid(standins))
            readers: list[asyncio.StreamReader] = []
            for size in SIZES:
                while len(readers) < size:
                    readers.append(await _open(stack, standins.port, len(readers)))
                await asyncio.sleep(SETTLE_S)
                if any(reader.at_eof() for reader in readers):
                    raise RuntimeError("the node closed an idle connection")
                table.add(size, memory_bytes=resident_bytes(pid(standins)) - before)
    return Measurement(
        table.series(),
        notes=(
            "idle connections without a request; what stands in the program's memory, not in the kernel's buffers",
            "above what the process held before the first",
        ),
    )


async def _open(stack: AsyncExitStack, port: int, number: int) -> asyncio.StreamReader:
    source = f"127.0.{1 + number // 250}.{FIRST_ADDRESS + number % 250}"
    reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(source, 0))
    stack.callback(writer.close)
    await asyncio.sleep(0.002)
    return reader


def run() -> Measurement:
    """Measure the part and return its series."""
    return asyncio.run(measure_connections())
