"""What came of a scale run: figures of its history and of its meter, as one JSON object."""

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
from chutepin.testbench.checks.membership_invariants import SUSPICION
from chutepin.testbench.scale.traffic import Direction, Figures, Kind, Span, TrafficMeter, figures, quantile
from chutepin.testbench.scale.workload import WARM_UP, Load

PEAK_WIDTHS = (1.0, 10.0)  # seconds of the windows in which the busiest member is looked for
ROOT = Path(__file__).parents[3]


@dataclass(frozen=True, slots=True)
class CrashFigures:
    """How long members took to learn of a crash: one value for each crash and each member that ran all along."""

    crashes: int
    median: float
    p99: float
    longest: float
    never: int  # of these members, how many never learned of one

    def as_json(self) -> dict[str, float | int | None]:
        """For a report."""
        return {
            "crashes": self.crashes,
            "median": _number(self.median),
            "p99": _number(self.p99),
            "longest": _number(self.longest),
            "never": self.never,
        }


@dataclass(frozen=True, slots=True)
class ScaleReport:
    """One run."""

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
    peaks: dict[float, float]  # width of a window to bytes per second
    memory_mb: float
    false_deaths: int
    crash_known: CrashFigures
    views_equal_s: float  # NaN: they never were
    took_s: float
    commit: str
    loop_lag: Figures  # seconds, of the workers of a real run: how starved they were

    @property
    def sound(self) -> bool:
        """Nobody that ran was declared dead, every crash became known and the views are equal."""
        return not self.false_deaths and not self.crash_known.never and not math.isnan(self.views_equal_s)

    def as_json(self) -> dict[str, Any]:
        """For a file or a terminal."""
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
            "views_equal_s": _number(self.views_equal_s),
            "took_s": round(self.took_s, 1),
            "commit": self.commit,
        }


def _number(value: float) -> float | None:
    """A figure for JSON, which knows no NaN."""
    return None if math.isnan(value) else round(value, 3)


@dataclass(frozen=True, slots=True)
class Observed:
    """What a run has left. `epoch`: milliseconds of Unix time at which its schedule began."""

    load: Load
    history: History
    meter: TrafficMeter
    epoch: int
    views_equal_s: float
    memory_mb: float
    took_s: float
    commit: str  # of the text that ran
    lags: Sequence[float] = ()  # seconds by which the event loops of a real run were late


def report(observed: Observed, mode: str, real: Collection[str] = (), hollow: Collection[str] = ()) -> ScaleReport:
    """The figures of a run. `real`, `hollow`: names of these members, in real time."""
    load, history, meter = observed.load, observed.history, observed.meter
    names = history.schedule.names()
    span = Span(int(WARM_UP), int(WARM_UP + load.measured_seconds))
    return ScaleReport(
        mode=mode,
        load=load,
        hollow=len(hollow),
        real=len(real),
        restarts=sum(len(fault.members) for fault in history.done if fault.what == "restart"),
        sent=figures(meter.rates(names, span, Direction.SENT)),
        received=figures(meter.rates(names, span, Direction.RECEIVED)),
        sent_datagrams=figures(meter.rates(names, span, Direction.SENT, Kind.DATAGRAM)),
        sent_streams=figures(meter.rates(names, span, Direction.SENT, Kind.STREAM)),
        cpu=figures(meter.cpu(names, span)),
        cpu_hollow=figures(meter.cpu(hollow, span)),
        cpu_real=figures(meter.cpu(real, span)),
        peaks={width: meter.peak(span, width) for width in PEAK_WIDTHS},
        memory_mb=observed.memory_mb,
        false_deaths=false_deaths(history, observed.epoch),
        crash_known=crash_known(history),
        views_equal_s=observed.views_equal_s,
        took_s=observed.took_s,
        commit=observed.commit,
        loop_lag=figures(observed.lags),
    )


class _Sides:
    """Which members were cut off from each other lately, by the `split` and `heal` of a schedule."""

    def __init__(self) -> None:
        self._side: dict[str, int] = {}
        self._healed = math.inf

    def split(self, groups: tuple[tuple[str, ...], ...]) -> None:
        self._side = {name: number for number, group in enumerate(groups) for name in group}
        self._healed = math.inf

    def heal(self, at: float) -> None:
        self._healed = at

    def apart(self, one: str, other: str, at: float) -> bool:
        """They were, within the time that an accusation takes."""
        return at < self._healed + SUSPICION and self._side.get(one) != self._side.get(other)


def false_deaths(history: History, epoch: int) -> int:
    """How many processes were declared dead, by one that could ask them, while they ran."""
    truth, sides = Truth(history.schedule), _Sides()
    started: dict[str, float] = {}
    wrong: set[tuple[str, int]] = set()
    faults = list(reversed(history.done))
    for seen in sorted(history.seen, key=lambda seen: seen.at):
        while faults and faults[-1].at <= seen.at:
            fault = faults.pop()
            if fault.what == "split":
                sides.split(fault.groups)
            elif fault.what == "heal":
                sides.heal(fault.at)
            else:
                truth.do(fault)
            if fault.what == "restart":
                started |= dict.fromkeys(fault.members, fault.at)
        if seen.what != "dead" or seen.member != seen.by or seen.subject not in truth.up:
            continue
        present_life = epoch + int(1000 * started.get(seen.subject, -math.inf)) if seen.subject in started else 0
        if seen.incarnation >= present_life and not sides.apart(seen.by, seen.subject, seen.at):
            wrong.add((seen.subject, seen.incarnation))
    return len(wrong)


def crash_known(history: History) -> CrashFigures:
    """Over all crashes after which the member stayed down for long enough to be held dead."""
    crashes = 0
    never = 0
    delays: list[float] = []
    dead = [seen for seen in history.seen if seen.what == "dead"]
    for fault in history.done:
        if fault.what != "crash":
            continue
        witnesses = _running_all_along(history, fault.at)
        for subject in fault.members:
            if _back_within(history, subject, fault.at, SUSPICION):
                continue
            crashes += 1
            first: dict[str, float] = {}
            for seen in dead:
                if seen.subject == subject and seen.at >= fault.at:
                    first.setdefault(seen.member, seen.at - fault.at)
            delays += [first[name] for name in witnesses if name in first]
            never += sum(name not in first for name in witnesses)
    return CrashFigures(
        crashes,
        statistics.median(delays) if delays else math.nan,
        quantile(delays, 0.99),
        max(delays, default=math.nan),
        never,
    )


def _running_all_along(history: History, begin: float) -> list[str]:
    """Members that ran from then to the end."""
    truth = Truth(history.schedule)
    touched: set[str] = set()
    for fault in history.done:
        if fault.what in ("split", "heal"):
            continue
        if fault.at >= begin:
            touched |= set(fault.members)
        else:
            truth.do(fault)
    return [name for name in history.schedule.names() if name in truth.up and name not in touched]


def _back_within(history: History, name: str, at: float, seconds: float) -> bool:
    return any(
        fault.what == "restart" and name in fault.members and at <= fault.at <= at + seconds for fault in history.done
    )


def commit() -> str:
    """The commit of the text that runs, `-dirty` behind it where files were changed; empty where that is not known."""
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
    """Write reports to a file that is named after the first; its path."""
    directory.mkdir(parents=True, exist_ok=True)
    first = reports[0]
    mode = first.mode if len(reports) == 1 else "both"
    path = directory / f"scale-{mode}-{first.load.scenario.value}-{first.load.members}-seed{first.load.seed}.json"
    path.write_text(json.dumps([one.as_json() for one in reports], indent=1) + "\n")
    return path
