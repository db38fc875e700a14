"""Bounds of a real run on the machine it shares: how many processes, and how much memory they may use together."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

MOST_PROCESSES = 300
SHARE = 0.5  # of the machine's memory
MEGABYTE = 2**20
PAGE = os.sysconf("SC_PAGE_SIZE")


class MemoryExceededError(RuntimeError):
    """The run's processes use more memory than they may; the message says how much."""


def machine_bytes() -> int:
    """The machine's memory."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE


def resident_bytes(pid: int) -> int:
    """The resident memory of a process; 0 for one that has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
    except (OSError, IndexError):
        return 0


def cpu_ns(pid: int) -> int:
    """The CPU time of a process so far; 0 for one that has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return (int(fields[11]) + int(fields[12])) * 1_000_000_000 // os.sysconf("SC_CLK_TCK")


class MemoryGuard:
    """Compares the memory of a run's processes with what they may use."""

    def __init__(self, most_bytes: int | None = None) -> None:
        """`most_bytes`: by default half of the machine's memory."""
        self._most = int(SHARE * machine_bytes()) if most_bytes is None else most_bytes
        self.peak = 0

    def check(self, pids: Iterable[int]) -> None:
        """Raises MemoryExceededError."""
        used = sum(map(resident_bytes, pids))
        self.peak = max(self.peak, used)
        if used > self._most:
            raise MemoryExceededError(
                f"the run's processes use {used / MEGABYTE:.0f} MB of memory, {self._most / MEGABYTE:.0f} are allowed"
            )
