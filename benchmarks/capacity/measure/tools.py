"""What the measuring parts share: series under construction, a process's CPU time and memory, fresh processes."""

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
SETTLE_S = 0.5  # after a start, before anything is measured
PATIENCE_S = 120.0  # for a process that is measured


@dataclass(frozen=True, slots=True)
class Measured:
    """What a part gives."""

    series: tuple[Series, ...]
    seeds: tuple[int, ...] = ()
    notes: tuple[str, ...] = ()


@dataclass(slots=True)
class Table:
    """Series under construction: one size, several quantities each with its unit."""

    size: str
    units: Mapping[str, str]
    _points: dict[str, list[Point]] = field(default_factory=lambda: defaultdict(list))

    def add(self, size: float, **values: float) -> None:
        """Values at one size."""
        print(
            f"  {self.size} {size:g}: " + ", ".join(f"{name} {value:.4g}" for name, value in values.items()), flush=True
        )
        for name, value in values.items():
            self._points[name].append(Point(size, value))

    def series(self) -> tuple[Series, ...]:
        """All of them."""
        return tuple(Series(name, self.size, self.units[name], tuple(points)) for name, points in self._points.items())


@dataclass(frozen=True, slots=True)
class Scheduled:
    """What the kernel's scheduler gave to a process since its start."""

    cpu_ms: float  # on a processor
    waited_ms: float  # ready to run, while other work had the processors


def scheduled(pid: int) -> Scheduled:
    """All threads of a process."""
    words = [(task / "schedstat").read_text().split() for task in Path(f"/proc/{pid}/task").iterdir()]
    return Scheduled(sum(int(word[0]) for word in words) / 1e6, sum(int(word[1]) for word in words) / 1e6)


def resident_bytes(pid: int) -> int:
    """VmRSS of a process."""
    return int(Path(f"/proc/{pid}/status").read_text().split("VmRSS:")[1].split()[0]) * 1024


def in_fresh_process(module: str, *arguments: str) -> dict[str, float]:
    """Run a module that prints one JSON object of numbers; the object."""
    ran = subprocess.run(
        [sys.executable, "-O", "-m", module, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": "0"},
    )
    values: dict[str, float] = json.loads(ran.stdout)
    return values


async def node(stack: AsyncExitStack, changes: Mapping[str, Any] | None = None, *, sockets: int = 1024) -> Standins:
    """The real program, a release build, between stand-ins with the example's settings, changed where asked."""
    world = Standins(_merged(EXAMPLE["settings"], changes or {}))
    world.sockets = sockets
    world.calling = False
    await world.start(stack, environ=RELEASE)
    await asyncio.sleep(SETTLE_S)
    return world


def pid(world: Standins) -> int:
    """Of the program."""
    assert world.process is not None
    return world.process.pid


def _merged(settings: Mapping[str, Any], changes: Mapping[str, Any]) -> dict[str, Any]:
    merged = dict(settings)
    for name, value in changes.items():
        merged[name] = _merged(merged[name], value) if isinstance(value, Mapping) else value
    return merged
