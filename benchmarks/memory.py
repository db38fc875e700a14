"""Memory of an idle node: VmRSS in KiB between simulated services, one second after the start.

`python -m benchmarks.memory [OPTION …]`: the options are passed to the node, which runs with `-O`."""

from __future__ import annotations

import asyncio
import os
import sys
from contextlib import AsyncExitStack
from pathlib import Path

from chutepin.testbench.standins.platform import EXAMPLE, Standins


async def idle_memory_kib(*options: str) -> int:
    """Start a node and return its resident memory in KiB."""
    async with AsyncExitStack() as stack:
        standins = Standins(EXAMPLE["settings"])
        await standins.start(stack, *options, environ={"PYTHONOPTIMIZE": "1"})
        await asyncio.sleep(1.0)
        assert standins.process is not None
        status = Path(f"/proc/{standins.process.pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])


if __name__ == "__main__":
    print(
        f"python {'.'.join(map(str, sys.version_info[:3]))}, {os.cpu_count()} cores:",
        *(asyncio.run(idle_memory_kib(*sys.argv[1:])) for _ in range(3)),
        "KiB",
    )
