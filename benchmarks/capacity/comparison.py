"""Compares kept runs of `lab scale` before and after the membership change, as rows of a table on the page."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .numbers import short, whole
from .results import RESULTS, ResultError

BEFORE = RESULTS / "member_before"
AFTER = RESULTS / "member"
HEAD = (
    "scenario",
    "members",
    "mechanism",
    "sent B/s: mean, p99",
    "received B/s: mean, p99",
    "most B/s for 10 s",
    "CPU ms/s: mean, p99",
    "crash known, s: p99",
    "views equal, s",
    "live members declared dead",
    "seed, commit",
)
_UNKNOWN = "—"


@dataclass(frozen=True, slots=True)
class MemberRun:
    """One completed run, and whether it used the membership mechanism before the change."""

    raw: dict[str, Any]
    before: bool

    @property
    def order(self) -> tuple[str, int, bool, int]:
        """Return the sort key: scenario, size, mechanism (the one before the change first) and seed."""
        return self.raw["scenario"], self.raw["members"], not self.before, self.raw["seed"]

    def cells(self) -> list[str]:
        """Return the table row of the run."""
        raw = self.raw
        peak = raw.get("peak_bytes_per_s", {}).get("10s")
        return [
            raw["scenario"],
            whole(raw["members"]),
            "before" if self.before else "now",
            self._pair("sent_bytes_per_s"),
            self._pair("received_bytes_per_s"),
            _UNKNOWN if peak is None else whole(peak),
            self._pair("cpu_ms_per_s"),
            _number(raw.get("crash_known_s", {}).get("p99")),
            _number(raw.get("views_equal_s")),
            _number(raw.get("false_deaths")),
            f"{raw['seed']}, {raw.get('commit')}",
        ]

    def _pair(self, name: str) -> str:
        statistics = self.raw.get(name, {})
        return f"{_number(statistics.get('mean'))}, {_number(statistics.get('p99'))}"


def _number(value: object) -> str:
    return short(value) if isinstance(value, (int, float)) else _UNKNOWN


def _completed_runs(directory: Path) -> Iterator[dict[str, Any]]:
    for path in sorted(directory.glob("scale-*.json")):
        try:
            runs = json.loads(path.read_text())
        except ValueError as error:
            raise ResultError(f"{path.name}: {error}") from None
        yield from runs


def comparison_rows(before: Path = BEFORE, after: Path = AFTER) -> list[list[str]]:
    """Return a row for each kept run, or no rows unless both mechanisms have runs. Raises ResultError."""
    runs = [MemberRun(raw, directory == before) for directory in (before, after) for raw in _completed_runs(directory)]
    if len({run.before for run in runs}) < 2:
        return []
    return [run.cells() for run in sorted(runs, key=lambda run: run.order)]
