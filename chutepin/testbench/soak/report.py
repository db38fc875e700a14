"""What a soak found: a summary for each seed, and for one that failed the steps and the ends of the logs."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from .books import Books
from .checks import Violation, violations
from .schedule import Schedule

MAX_SHOWN_VIOLATIONS = 20
MAX_SHOWN_EVENTS = 15
MAX_SHOWN_LOG_LINES = 12  # of each process


@dataclass(frozen=True, slots=True)
class Report:
    """The outcome of one seed."""

    seed: int
    has_crowd: bool
    counts: dict[str, int]
    by_check: dict[str, int]  # violations
    text: str  # what a reader needs of a seed that failed; empty where nothing is violated

    @property
    def has_failed(self) -> bool:
        """Whether anything is violated."""
        return bool(self.by_check)

    def as_dict(self) -> dict[str, Any]:
        """The fields, for JSON."""
        return asdict(self)


def make_report(schedule: Schedule, books: Books) -> Report:
    """Judge the books of a schedule."""
    found = violations(books)
    by_check = dict(Counter(violation.check for violation in found))
    text = _describe(schedule, books, found) if found else ""
    return Report(schedule.seed, schedule.has_crowd, books.counts(), by_check, text)


def _describe(schedule: Schedule, books: Books, found: list[Violation]) -> str:
    start = books.processes[0].spawned_at
    lines = [f"seed {schedule.seed}, {'a crowd' if schedule.has_crowd else 'no crowd'}: {len(found)} violations"]
    lines += [f"  {violation.at - start:8.3f} s  {violation.check}: {violation.what}" for violation in found][
        :MAX_SHOWN_VIOLATIONS
    ]
    first_at = found[0].at
    lines.append(f"the last steps before {first_at - start:.3f} s:")
    steps = [event for event in books.events if event.at <= first_at + 1.0]
    lines += [f"  {event.at - start:8.3f} s  {event.what}" for event in steps[-MAX_SHOWN_EVENTS:]]
    for process in books.processes:
        lines.append(
            f"{process.name} (chain {process.chain}): spawned {process.spawned_at - start:.3f}, ready "
            f"{process.ready_at - start:.3f}, notice {process.notice_at - start:.3f}, killed "
            f"{process.killed_at - start:.3f}, ended {process.ended_at - start:.3f} with {process.exit_code}"
        )
        lines += [f"    {line[:300]}" for line in process.log.splitlines()[-MAX_SHOWN_LOG_LINES:]]
    return "\n".join(lines)


def write_report(directory: Path, report: Report, schedule: Schedule, books: Books) -> None:
    """Write a seed's report, schedule and logs into a folder."""
    directory.mkdir(parents=True, exist_ok=True)
    name = f"seed-{report.seed}{'-crowd' if report.has_crowd else ''}"
    (directory / f"{name}.txt").write_text(report.text or "nothing is violated\n")
    (directory / f"{name}.json").write_text(json.dumps(report.as_dict() | {"schedule": repr(schedule)}, indent=1))
    for process in books.processes:
        (directory / f"{name}-{process.name.replace(' ', '-')}.log").write_text(process.log)
