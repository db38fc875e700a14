"""Reports of scale runs: figures from the history and the traffic meter of a run, as one JSON object."""

from __future__ import annotations

import json
import math
import statistics
import subprocess
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from chutepin.testbench.checks.history import History, Truth
from chutepin.testbench.checks.membership_invariants import SUSPICION_LOOKBACK_S
from chutepin.testbench.scale.traffic import Direction, Figures, Kind, Span, TrafficMeter, quantile, summarize
from chutepin.testbench.scale.workload import WARM_UP_S, Load

PEAK_WIDTHS = (1.0, 10.0)  # widths in seconds of the windows for the peak rate of a member
ROOT = Path(__file__).parents[3]


@dataclass(frozen=True, slots=True)
class CrashFigures:
    """Crash detection times: one value for each crash and each member that ran from the crash to the end."""

    crashes: int
    median: float
    p99: float
    longest: float
    never: int  # number of pairs of a crash and a member that never detected it

    def as_json(self) -> dict[str, float | int | None]:
        """Return the figures as JSON for a report."""
        return {
            "crashes": self.crashes,
            "median": _json_number(self.median),
            "p99": _json_number(self.p99),
            "longest": _json_number(self.longest),
            "never": self.never,
        }


@dataclass(frozen=True, slots=True)
class ScaleReport:
    """The figures of one scale run."""

    mode: str  # simulator, or real
    load: Load
    hollow: int
    real: int
    restarts: int
    sent: Figures
    received: Figures
    sent_datagrams: Figures
    sent_streams: Figures
    cpu: Figures
    cpu_hollow: Figures
    cpu_real: Figures
    peaks: dict[float, float]  # bytes per second by width of the window
    memory_mb: float
    false_deaths: int
    crash_known: CrashFigures
    views_equal_s: float  # NaN if the views never became equal
    took_s: float
    commit: str
    loop_lag: Figures  # event loop delay of the workers of a real run in seconds, an indicator of CPU starvation

    @property
    def sound(self) -> bool:
        """Return whether no running member was declared dead, every crash was detected, and the views are equal."""
        return not self.false_deaths and not self.crash_known.never and not math.isnan(self.views_equal_s)

    def as_json(self) -> dict[str, Any]:
        """Return the report as JSON for a file or a terminal."""
        return {
            "mode": self.mode,
            "members": self.load.members,
            "hollow": self.hollow,
            "real": self.real,
            "scenario": self.load.scenario.value,
            "restarts_per_s": self.load.restarts_per_second,
            "restarts": self.restarts,
            "crash_share": self.load.crash_share,
            "seconds": self.load.measured_seconds,
            "seed": self.load.seed,
            "sent_bytes_per_s": self.sent.as_json(),
            "received_bytes_per_s": self.received.as_json(),
            "sent_datagram_bytes_per_s": self.sent_datagrams.as_json(),
            "sent_stream_bytes_per_s": self.sent_streams.as_json(),
            "cpu_ms_per_s": self.cpu.as_json(),
            **({"loop_lag_s": self.loop_lag.as_json()} if self.mode == "real" else {}),
            **({"cpu_hollow_ms_per_s": self.cpu_hollow.as_json()} if self.hollow else {}),
            **({"cpu_real_ms_per_s": self.cpu_real.as_json()} if self.real else {}),
            "peak_bytes_per_s": {f"{width:g}s": round(peak) for width, peak in self.peaks.items()},
            "memory_mb": round(self.memory_mb, 1),
            "false_deaths": self.false_deaths,
            "crash_known_s": self.crash_known.as_json(),
            "views_equal_s": _json_number(self.views_equal_s),
            "took_s": round(self.took_s, 1),
            "commit": self.commit,
        }


def _json_number(value: float) -> float | None:
    """Return a rounded figure for JSON, None for NaN."""
    return None if math.isnan(value) else round(value, 3)


@dataclass(frozen=True, slots=True)
class RunResult:
    """The recorded data of a run. `epoch`: Unix time in milliseconds at which its schedule began."""

    load: Load
    history: History
    meter: TrafficMeter
    epoch: int
    views_equal_s: float
    memory_mb: float
    took_s: float
    commit: str  # commit of the code that ran
    lags: Sequence[float] = ()  # event loop delays of a real run in seconds


def report(result: RunResult, mode: str, real: Collection[str] = (), hollow: Collection[str] = ()) -> ScaleReport:
    """Return the report of a run. `real`, `hollow`: names of these members, for runs in real time."""
    load, history, meter = result.load, result.history, result.meter
    names = history.schedule.names()
    span = Span(int(WARM_UP_S), int(WARM_UP_S + load.measured_seconds))
    return ScaleReport(
        mode=mode,
        load=load,
        hollow=len(hollow),
        real=len(real),
        restarts=sum(len(fault.members) for fault in history.done if fault.what == "restart"),
        sent=summarize(meter.rates(names, span, Direction.SENT)),
        received=summarize(meter.rates(names, span, Direction.RECEIVED)),
        sent_datagrams=summarize(meter.rates(names, span, Direction.SENT, Kind.DATAGRAM)),
        sent_streams=summarize(meter.rates(names, span, Direction.SENT, Kind.STREAM)),
        cpu=summarize(meter.cpu(names, span)),
        cpu_hollow=summarize(meter.cpu(hollow, span)),
        cpu_real=summarize(meter.cpu(real, span)),
        peaks={width: meter.peak(span, width) for width in PEAK_WIDTHS},
        memory_mb=result.memory_mb,
        false_deaths=count_false_deaths(history, result.epoch),
        crash_known=measure_crash_detection(history),
        views_equal_s=result.views_equal_s,
        took_s=result.took_s,
        commit=result.commit,
        loop_lag=summarize(result.lags),
    )


class _PartitionTracker:
    """The partition of the members by the faults `split` and `heal` of a schedule."""

    def __init__(self) -> None:
        self._group_of: dict[str, int] = {}
        self._healed_at = math.inf

    def split(self, groups: tuple[tuple[str, ...], ...]) -> None:
        self._group_of = {name: number for number, group in enumerate(groups) for name in group}
        self._healed_at = math.inf

    def heal(self, at: float) -> None:
        self._healed_at = at

    def is_separated(self, one: str, other: str, at: float) -> bool:
        """Return whether two members are separated or were so recently that a suspicion may still be pending."""
        return at < self._healed_at + SUSPICION_LOOKBACK_S and self._group_of.get(one) != self._group_of.get(other)


def count_false_deaths(history: History, epoch: int) -> int:
    """Return the number of running processes that were declared dead by a member not separated from them."""
    truth, partition = Truth(history.schedule), _PartitionTracker()
    started_at: dict[str, float] = {}
    false_declarations: set[tuple[str, int]] = set()
    faults = list(reversed(history.done))
    for seen in sorted(history.seen, key=lambda seen: seen.at):
        while faults and faults[-1].at <= seen.at:
            fault = faults.pop()
            if fault.what == "split":
                partition.split(fault.groups)
            elif fault.what == "heal":
                partition.heal(fault.at)
            else:
                truth.apply(fault)
            if fault.what == "restart":
                started_at |= dict.fromkeys(fault.members, fault.at)
        if seen.what != "dead" or seen.member != seen.by or seen.subject not in truth.up:
            continue
        current_incarnation = (
            epoch + int(1000 * started_at.get(seen.subject, -math.inf)) if seen.subject in started_at else 0
        )
        if seen.incarnation >= current_incarnation and not partition.is_separated(seen.by, seen.subject, seen.at):
            false_declarations.add((seen.subject, seen.incarnation))
    return len(false_declarations)


def measure_crash_detection(history: History) -> CrashFigures:
    """Return the figures of all crashes after which the member stayed down for `SUSPICION_LOOKBACK_S`."""
    crashes = 0
    never = 0
    delays: list[float] = []
    dead = [seen for seen in history.seen if seen.what == "dead"]
    for fault in history.done:
        if fault.what != "crash":
            continue
        observers = _continuously_running(history, fault.at)
        for subject in fault.members:
            if _restarted_within(history, subject, fault.at, SUSPICION_LOOKBACK_S):
                continue
            crashes += 1
            first: dict[str, float] = {}
            for seen in dead:
                if seen.subject == subject and seen.at >= fault.at:
                    first.setdefault(seen.member, seen.at - fault.at)
            delays += [first[name] for name in observers if name in first]
            never += sum(name not in first for name in observers)
    return CrashFigures(
        crashes,
        statistics.median(delays) if delays else math.nan,
        quantile(delays, 0.99),
        max(delays, default=math.nan),
        never,
    )


def _continuously_running(history: History, begin: float) -> list[str]:
    """Return the members that ran without a fault from `begin` to the end."""
    truth = Truth(history.schedule)
    affected: set[str] = set()
    for fault in history.done:
        if fault.what in ("split", "heal"):
            continue
        if fault.at >= begin:
            affected |= set(fault.members)
        else:
            truth.apply(fault)
    return [name for name in history.schedule.names() if name in truth.up and name not in affected]


def _restarted_within(history: History, name: str, at: float, seconds: float) -> bool:
    return any(
        fault.what == "restart" and name in fault.members and at <= fault.at <= at + seconds for fault in history.done
    )


def current_commit() -> str:
    """Return the commit of the running code, with `-dirty` if files were changed; empty if unknown."""
    try:
        done = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--exclude=*"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=5.0,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired):
        return ""
    return done.stdout.strip()


def keep(directory: Path, reports: list[ScaleReport]) -> Path:
    """Write reports to a file named after the first report, and return its path."""
    directory.mkdir(parents=True, exist_ok=True)
    first = reports[0]
    mode = first.mode if len(reports) == 1 else "both"
    path = directory / f"scale-{mode}-{first.load.scenario.value}-{first.load.members}-seed{first.load.seed}.json"
    path.write_text(json.dumps([one.as_json() for one in reports], indent=1) + "\n")
    return path
