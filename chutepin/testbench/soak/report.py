"""Reports of a soak: a summary for each seed, and the last steps and ends of logs for a failed one."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from .books import Observations
from .checks import Violation, violations
from .schedule import Schedule

MAX_SHOWN_VIOLATIONS = 20
MAX_SHOWN_EVENTS = 15
MAX_SHOWN_LOG_LINES = 12  # last lines of the log of each process


@dataclass(frozen=True, slots=True)
class Report:
    """The outcome of one seed."""

    seed: int
    has_crowd: bool
    counts: dict[str, int]
    by_check: dict[str, int]  # number of violations by check
    text: str  # description of the failure; empty if there is no violation

    @property
    def has_failed(self) -> bool:
        """Return whether there is any violation."""
        return bool(self.by_check)

    def as_dict(self) -> dict[str, Any]:
        """Return the fields for JSON."""
        return asdict(self)


def make_report(schedule: Schedule, observations: Observations) -> Report:
    """Check the observations of a schedule and return the report."""
    found = violations(observations)
    by_check = dict(Counter(violation.check for violation in found))
    text = _describe(schedule, observations, found) if found else ""
    return Report(schedule.seed, schedule.has_crowd, observations.counts(), by_check, text)


def _describe(schedule: Schedule, observations: Observations, found: list[Violation]) -> str:
    start = observations.processes[0].spawned_at
    lines = [f"seed {schedule.seed}, {'a crowd' if schedule.has_crowd else 'no crowd'}: {len(found)} violations"]
    lines += [f"  {violation.at - start:8.3f} s  {violation.check}: {violation.description}" for violation in found][
        :MAX_SHOWN_VIOLATIONS
    ]
    first_at = found[0].at
    lines.append(f"last steps before {first_at - start:.3f} s:")
    steps = [event for event in observations.events if event.at <= first_at + 1.0]
    lines += [f"  {event.at - start:8.3f} s  {event.description}" for event in steps[-MAX_SHOWN_EVENTS:]]
    for process in observations.processes:
        lines.append(
            f"{process.name} (chain {process.chain}): spawned {process.spawned_at - start:.3f}, ready "
            f"{process.ready_at - start:.3f}, SIGTERM {process.sigterm_at - start:.3f}, killed "
            f"{process.killed_at - start:.3f}, ended {process.ended_at - start:.3f} with {process.exit_code}"
        )
        lines += [f"    {line[:300]}" for line in process.log.splitlines()[-MAX_SHOWN_LOG_LINES:]]
    return "\n".join(lines)


def write_report(directory: Path, report: Report, schedule: Schedule, observations: Observations) -> None:
    """Write the report, schedule and logs of a seed into a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    name = f"seed-{report.seed}{'-crowd' if report.has_crowd else ''}"
    (directory / f"{name}.txt").write_text(report.text or "no violations\n")
    (directory / f"{name}.json").write_text(json.dumps(report.as_dict() | {"schedule": repr(schedule)}, indent=1))
    for process in observations.processes:
        (directory / f"{name}-{process.name.replace(' ', '-')}.log").write_text(process.log)
