"""Series of a member, read from the files that `python -m chutepin lab scale --out benchmarks/results/member` wrote.

There is a file for each size. Series names of a scenario other than steady restarts have the scenario as a prefix,
for example `zone_lost_sent_bytes_per_s`."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from benchmarks.fleet_size import MEGABYTE
from chutepin.testbench.scale.workload import Scenario

from ..results import RESULTS, ResultError
from .tools import Measurement, Table

FILES = RESULTS / "member"
STEADY = Scenario.CHURN.value
UNFINISHED = "unfinished_after_cpu_s"  # present in the file of a run that did not finish
REAL = "real"  # the mode whose reported memory is that of members, not of a simulator
QUANTITIES = {
    "sent_bytes_per_s": "bytes a second",
    "sent_p99_bytes_per_s": "bytes a second",
    "sent_datagram_bytes_per_s": "bytes a second",
    "sent_stream_bytes_per_s": "bytes a second",
    "received_bytes_per_s": "bytes a second",
    "cpu_ms_per_s": "ms of a core a second",
    "cpu_p99_ms_per_s": "ms of a core a second",
    "memory_bytes": "bytes",
    "crash_known_p99_s": "s",
    "views_equal_s": "s",
}


def _number(raw: dict[str, Any], name: str, part: str = "") -> float | None:
    value = raw.get(name)
    if part and isinstance(value, dict):
        value = value.get(part)
    return None if isinstance(value, bool) or not isinstance(value, (int, float)) else float(value)


def values_of(raw: dict[str, Any]) -> dict[str, float]:
    """Return the quantities that the file of one run contains."""
    memory = _number(raw, "memory_mb") if raw.get("mode") == REAL else None
    quantities = {
        "sent_bytes_per_s": _number(raw, "sent_bytes_per_s", "mean"),
        "sent_p99_bytes_per_s": _number(raw, "sent_bytes_per_s", "p99"),
        "sent_datagram_bytes_per_s": _number(raw, "sent_datagram_bytes_per_s", "mean"),
        "sent_stream_bytes_per_s": _number(raw, "sent_stream_bytes_per_s", "mean"),
        "received_bytes_per_s": _number(raw, "received_bytes_per_s", "mean"),
        "cpu_ms_per_s": _number(raw, "cpu_ms_per_s", "mean"),
        "cpu_p99_ms_per_s": _number(raw, "cpu_ms_per_s", "p99"),
        "memory_bytes": None if memory is None else memory * MEGABYTE,
        "crash_known_p99_s": _number(raw, "crash_known_s", "p99"),
        "views_equal_s": _number(raw, "views_equal_s"),
    }
    return {name: value for name, value in quantities.items() if value is not None}


def prefix(raw: dict[str, Any]) -> str:
    """Return the prefix of the series names of a run."""
    scenario = str(raw.get("scenario", STEADY))
    return "" if scenario == STEADY else scenario.replace("-", "_") + "_"


def _runs(directory: Path) -> Iterator[dict[str, Any]]:
    for path in sorted(directory.glob("*.json")):
        try:
            raw = json.loads(path.read_text())
            for run in raw if isinstance(raw, list) else [raw]:
                float(run["members"])
                yield run
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise ResultError(f"{path.name}: invalid `lab scale` result: {error}") from None


def _notes(runs: list[dict[str, Any]], unfinished: list[dict[str, Any]]) -> tuple[str, ...]:
    commits = ", ".join(sorted({str(run.get("commit")) for run in runs}))
    rates = ", ".join(sorted({f"{run.get('restarts_per_s'):.3g}" for run in runs if run.get("restarts_per_s")}))
    seconds = ", ".join(sorted({f"{run.get('seconds'):g}" for run in runs if run.get("seconds")}))
    deaths = sum(int(run.get("false_deaths") or 0) for run in runs)
    unequal = sum("views_equal_s" in run and run["views_equal_s"] is None for run in runs)
    unfinished_runs = "; ".join(
        f"{run.get('scenario')}, {run['members']} members, seed {run.get('seed')}" for run in unfinished
    )
    return (
        f"{len(runs)} runs of `lab scale` at commit {commits}, {seconds} s each, {rates} restarts a second in all at "
        "every size",
        "mode " + ", ".join(sorted({str(run.get("mode")) for run in runs})),
        f"live members declared dead: {deaths}; runs whose views were not equal in the end: {unequal}",
        f"runs that did not end in time: {len(unfinished)}" + (f" ({unfinished_runs})" if unfinished_runs else ""),
        "the few crashes of a run give few times until they are known; CPU holds the coding of frames, not the sockets",
    )


def read(directory: Path) -> Measurement:
    """Read all result files of a directory. Raises ResultError."""
    all_runs = list(_runs(directory))
    runs = [run for run in all_runs if UNFINISHED not in run]
    if not runs:
        raise ResultError("benchmarks/results/member: no completed runs of `lab scale`")
    units = {prefix(run) + name: unit for run in runs for name, unit in QUANTITIES.items()}
    table = Table("members", units)
    for run in runs:
        table.add(run["members"], **{prefix(run) + name: value for name, value in values_of(run).items()})
    seeds = {run["seed"] for run in all_runs if isinstance(run.get("seed"), int)}
    return Measurement(
        table.series(), tuple(sorted(seeds)), _notes(runs, [run for run in all_runs if UNFINISHED in run])
    )


def run() -> Measurement:
    """Measure the part and return its series."""
    return read(FILES)
