"""Measures service to a known client during connection floods, at a soft limit of 256 file descriptors.

    python -O -m benchmarks.admission [--program DIR] [--rules/--no-rules] [KIND …]

`--program` runs the program of another checkout between the same simulated services, to compare versions. Also measures
the cost of one decision with tables of different sizes. docs/admission.md keeps the tables of one run."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

import click

from benchmarks.store import table
from chutepin.admission import ConnectionTable, Rules
from chutepin.admission.addresses import Networks
from chutepin.testbench.standins.known_client import KnownClient
from chutepin.testbench.standins.platform import EXAMPLE, ROOT, Standins

KINDS = ("none", "one", "block", "spread", "sound", "storm")
SECONDS = 8.0
SETTINGS = """admission {
    known "127.0.0.1"
    reserve (%)25
    per-address (connections)16
    per-block (connections)32
    rate-address (per-s)10
    burst-address (connections)20
    rate-block (per-s)40
    burst-block (connections)80
    new-share (%)25
}
"""


def cpu(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_flood(kind: str, program: Path, rules: bool) -> list[object]:
    """Measure the service to known clients during one flood and return the row of the table."""
    async with AsyncExitStack() as stack:
        standins = Standins(EXAMPLE["settings"])
        standins.descriptors, standins.program, standins.calling = 256, program, False
        options: list[str] = []
        if rules:
            path = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "node.kdl"
            path.write_text(SETTINGS)
            options = ["node", "--setup", str(path)]
        await standins.start(stack, *options, environ={"PYTHONOPTIMIZE": "1"})
        assert standins.process is not None
        flood = None
        if kind != "none":
            flood = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chutepin.testbench.standins.flood",
                kind,
                str(standins.port),
                str(SECONDS + 2),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
            )
            await asyncio.sleep(1.5)
        client = KnownClient(standins.port)
        before, started = cpu(standins.process.pid), time.monotonic()
        await client.run(SECONDS - 1)
        used = (cpu(standins.process.pid) - before) / (time.monotonic() - started)
        flood_report: dict[str, object] = {}
        if flood is not None:
            flood_report = json.loads((await flood.communicate())[0])
        after = KnownClient(standins.port, source="127.0.200.1")
        await after.run(0.5)
        return [
            kind,
            100 * client.held.served_share,
            100 * client.new.served_share,
            client.held.quantile_ms(0.99),
            client.new.quantile_ms(0.99),
            100 * used,
            flood_report.get("connected", 0),
            flood_report.get("refused", 0),
            flood_report.get("refused_p99_ms") or "",
            flood_report.get("refused_max_ms") or "",
            100 * after.new.served_share,
        ]


def decisions() -> None:
    """Print the microseconds for admitting, opening and closing one connection in a full table."""
    rows: list[list[object]] = []
    for size in (100, 1000, 10_000):
        known = Networks([f"10.{number}.0.0/16" for number in range(20)])
        connections = ConnectionTable(
            Rules(
                per_address=64,
                per_block=10**6,
                rate_address=1e6,
                burst_address=10**6,
                rate_block=1e6,
                burst_block=10**6,
                reserve=0.25,
                known=known,
                earn_requests=10,
            ),
            size,
        )
        now = 0.0
        for key in range(size):
            now += 0.001
            address = (key * 2654435761 % 2**32).to_bytes(4, "big")
            if connections.admit(now, address).rejection is None:
                connections.opened(key, now, address)
        now += 10.0
        times, evicted = [], 0
        for key in range(size, size + 5000):
            address = (key * 2654435761 % 2**32).to_bytes(4, "big")
            now += 0.001
            started = time.perf_counter()
            verdict = connections.admit(now, address)
            if verdict.evict is not None:
                evicted += 1
                connections.closed(verdict.evict)
            if verdict.rejection is None:
                connections.opened(key, now, address)
            times.append(time.perf_counter() - started)
        times.sort()
        rows.append([f"{size:,}", evicted, 1e6 * times[2500], 1e6 * times[4950]])
    table(["connections in the table", "evictions in 5,000 new connections", "median, µs", "99 %, µs"], rows)


@click.command()
@click.option("--program", type=click.Path(path_type=Path), default=ROOT, help="Checkout of the program to run.")
@click.option("--rules/--no-rules", default=True, help="Use the block `admission`, or the defaults.")
@click.argument("kinds", nargs=-1, type=click.Choice(KINDS))
def main(program: Path, rules: bool, kinds: tuple[str, ...]) -> None:
    """Measure the named floods, or all floods."""
    rows = [asyncio.run(measure_flood(kind, program, rules)) for kind in kinds or KINDS]
    table(
        [
            "flood",
            "held connection served, %",
            "new connections served, %",
            "held p99, ms",
            "new p99, ms",
            "node's CPU, %",
            "flood's connections",
            "refused",
            "refused within (99 %), ms",
            "at most, ms",
            "an untrusted client after it, %",
        ],
        rows,
    )
    if rules:
        decisions()


if __name__ == "__main__":
    main()
