"""Helpers of the measured parts: tables of series, CPU time and memory of a process, new processes."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from collections import defaultdict
from collections.abc import Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from chutepin.testbench.standins.platform import EXAMPLE, Standins

from ..results import ROOT, Point, Series

RELEASE = {"PYTHONOPTIMIZE": "1"}
SETTLE_S = 0.5  # wait between a start and the first measurement
PROBE_TIMEOUT_S = 120.0  # for a measured process


@dataclass(frozen=True, slots=True)
class Measurement:
    """The series that a part measured, with their seeds and notes."""

    series: tuple[Series, ...]
    seeds: tuple[int, ...] = ()
    notes: tuple[str, ...] = ()


@dataclass(slots=True)
class Table:
    """A builder of series that share one varied size; each quantity has its own unit."""

    size: str
    units: Mapping[str, str]
    _points: dict[str, list[Point]] = field(default_factory=lambda: defaultdict(list))

    def add(self, size: float, **values: float) -> None:
        """Print and add the values measured at one size."""
        print(
            f"  {self.size} {size:g}: " + ", ".join(f"{name} {value:.4g}" for name, value in values.items()), flush=True
        )
        for name, value in values.items():
            self._points[name].append(Point(size, value))

    def series(self) -> tuple[Series, ...]:
        """Return one series for each quantity."""
        return tuple(Series(name, self.size, self.units[name], tuple(points)) for name, points in self._points.items())


@dataclass(frozen=True, slots=True)
class SchedulerTimes:
    """Processor and waiting time of a process since its start, as counted by the kernel's scheduler."""

    cpu_ms: float  # running on a processor
    waited_ms: float  # runnable, but waiting for a processor


def scheduler_times(pid: int) -> SchedulerTimes:
    """Return the scheduler times summed over all threads of a process."""
    columns = [(task / "schedstat").read_text().split() for task in Path(f"/proc/{pid}/task").iterdir()]
    return SchedulerTimes(
        sum(int(column[0]) for column in columns) / 1e6, sum(int(column[1]) for column in columns) / 1e6
    )


def resident_bytes(pid: int) -> int:
    """Return the resident memory (VmRSS) of a process in bytes."""
    return int(Path(f"/proc/{pid}/status").read_text().split("VmRSS:")[1].split()[0]) * 1024


def run_in_new_process(module: str, *arguments: str) -> dict[str, float]:
    """Run a module in a new process and return the JSON object of numbers that the module prints."""
    completed = subprocess.run(
        [sys.executable, "-O", "-m", module, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=PROBE_TIMEOUT_S,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": "0"},
    )
    values: dict[str, float] = json.loads(completed.stdout)
    return values


async def start_node(
    stack: AsyncExitStack, changes: Mapping[str, Any] | None = None, *, sockets: int = 1024
) -> Standins:
    """Start the program with `-O` between simulated services, with the example settings updated by `changes`."""
    standins = Standins(_merged(EXAMPLE["settings"], changes or {}))
    standins.sockets = sockets
    standins.calling = False
    await standins.start(stack, environ=RELEASE)
    await asyncio.sleep(SETTLE_S)
    return standins


def pid(standins: Standins) -> int:
    """Return the process id of the program."""
    assert standins.process is not None
    return standins.process.pid


def _merged(settings: Mapping[str, Any], changes: Mapping[str, Any]) -> dict[str, Any]:
    merged = dict(settings)
    for name, value in changes.items():
        merged[name] = _merged(merged[name], value) if isinstance(value, Mapping) else value
    return merged
