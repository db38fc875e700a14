"""A member: reads what `python -m chutepin lab scale --json` wrote, one file for each size, and keeps it as a result.

The files stand in `benchmarks/results/member/`; what they hold was measured by the commands that they name."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from benchmarks.fleet_size import MEGABYTE

from ..results import RESULTS, ResultError
from .tools import Measured, Table

FILES = RESULTS / "member"
UNITS = {
    "sent_bytes_per_s": "bytes a second",
    "received_bytes_per_s": "bytes a second",
    "cpu_ms_per_s": "ms of a core a second",
    "memory_bytes": "bytes",
    "crash_known_p99_s": "s",
    "false_deaths": "members",
}


def _number(raw: dict[str, Any], name: str, part: str = "") -> float | None:
    value = raw.get(name)
    if part and isinstance(value, dict):
        value = value.get(part)
    return None if isinstance(value, bool) or not isinstance(value, (int, float)) else float(value)


def values_of(raw: dict[str, Any]) -> dict[str, float]:
    """The quantities of one run; what it does not tell is left out."""
    memory = _number(raw, "memory_mb")
    found = {
        "sent_bytes_per_s": _number(raw, "sent_bytes_per_s", "mean"),
        "received_bytes_per_s": _number(raw, "received_bytes_per_s", "mean"),
        "cpu_ms_per_s": _number(raw, "cpu_ms_per_s", "mean"),
        "memory_bytes": None if memory is None else memory * MEGABYTE,
        "crash_known_p99_s": _number(raw, "crash_known_s", "p99"),
        "false_deaths": _number(raw, "false_deaths"),
    }
    return {name: value for name, value in found.items() if value is not None}


def read(directory: Path) -> Measured:
    """All files of a directory. Raises ResultError."""
    table = Table("members", UNITS)
    seeds: set[int] = set()
    for path in sorted(directory.glob("*.json")):
        try:
            raw = json.loads(path.read_text())
            table.add(float(raw["members"]), **values_of(raw))
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise ResultError(f"{path.name}: not a run of `lab scale`: {error}") from None
        if isinstance(raw.get("seed"), int):
            seeds.add(raw["seed"])
    series = table.series()
    if not series:
        raise ResultError("benchmarks/results/member: no runs of `lab scale`")
    return Measured(
        series,
        tuple(sorted(seeds)),
        ("the simulator: virtual time, one process; restarts at the fleet's rate for each member",),
    )


def run() -> Measured:
    """The part."""
    return read(FILES)
