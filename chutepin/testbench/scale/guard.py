"""Limits of a real run on a shared machine: number of processes, and their total memory."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

MAX_PROCESSES = 300
MAX_MEMORY_SHARE = 0.5  # share of the machine's memory
MEGABYTE = 2**20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class MemoryExceededError(RuntimeError):
    """The processes of the run exceed their memory limit; the message names the usage and the limit."""


def machine_memory_bytes() -> int:
    """Return the memory of the machine in bytes."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes, or 0 if the process has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def cpu_ns(pid: int) -> int:
    """Return the CPU time of a process in nanoseconds, or 0 if the process has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return (int(fields[11]) + int(fields[12])) * 1_000_000_000 // os.sysconf("SC_CLK_TCK")


class MemoryGuard:
    """Memory limit of the processes of a run; records their peak usage."""

    def __init__(self, max_memory_bytes: int | None = None) -> None:
        """Initialize the guard. `max_memory_bytes`: the limit, by default half of the machine's memory."""
        self._max_bytes = (
            int(MAX_MEMORY_SHARE * machine_memory_bytes()) if max_memory_bytes is None else max_memory_bytes
        )
        self.peak = 0

    def check(self, pids: Iterable[int]) -> None:
        """Record the total memory of the processes. Raises MemoryExceededError if it exceeds the limit."""
        used = sum(map(resident_bytes, pids))
        self.peak = max(self.peak, used)
        if used > self._max_bytes:
            raise MemoryExceededError(
                f"the run's processes use {used / MEGABYTE:.0f} MB of memory, "
                f"{self._max_bytes / MEGABYTE:.0f} are allowed"
            )
