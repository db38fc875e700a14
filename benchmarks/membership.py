"""Measures membership: `python -m benchmarks.membership [PART …] [--charts DIR]`.

Parts in the simulator, one run for each seed, in parallel on all cores: `loss` (live members declared dead under 30%
packet loss), `hours` (the same with 200 members for a whole hour; long), `crash` (time until every live member detects
a crash), `woken`, `heal`, `cost` (bytes and CPU). `real`: the same faults on 12 and 24 real processes on this machine
and in the simulator. Each part is bounded in time."""

from __future__ import annotations

import asyncio
import json
import math
import statistics
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from chutepin.cluster import Detector
from chutepin.testbench import charts
from chutepin.testbench.checks.history import History
from chutepin.testbench.checks.membership_invariants import broken
from chutepin.testbench.faults.fleet import Fleet
from chutepin.testbench.faults.schedule import Fault, Schedule, split
from chutepin.testbench.simulators.heartbeat_baseline import HeartbeatDetector
from chutepin.testbench.simulators.membership import DetectorFactory, Simulator

from .parts import Part, Row, quantile, run_parts

SEEDS = 20
DETECTORS: dict[str, DetectorFactory] = {"detector": Detector, "heartbeats": HeartbeatDetector}


def run_in_processes(work: Callable[..., Row], jobs: Iterable[tuple[Any, ...]]) -> list[Row]:
    """Run all jobs in a pool with one process for each core and return their rows."""
    with ProcessPoolExecutor() as pool:
        return list(pool.map(work, *zip(*jobs, strict=True)))


# --- loss ---


def run_with_loss(make: str, members: int, seconds: float, share: float, seed: int) -> Row:
    """Run members under packet loss and count live members declared dead, and the members that declared them."""
    schedule = Schedule(members, seconds, (Fault(0.0, "loss", value=share),))
    started = time.process_time()
    history = Simulator(schedule, seed, DETECTORS[make], known=True, show=seconds).run()
    deaths = [seen for seen in history.seen if seen.what == "dead"]
    suspicions = sum(seen.what == "suspect" and seen.member == seen.by for seen in history.seen)
    return {
        "make": make,
        "members": members,
        "seconds": seconds,
        "loss": share,
        "seed": seed,
        "declared": len({(seen.subject, seen.incarnation) for seen in deaths}),
        "held": len(deaths),
        "suspicions": suspicions,
        "links": sum(seen.what == "link_bad" for seen in history.seen),
        "cpu": round(time.process_time() - started, 1),
    }


def loss(seeds: int = SEEDS) -> list[Row]:
    """Run 12 members for an hour and 200 for an hour in total at 30% loss.

    Also run 12 members at 10 and 50% loss, and the heartbeat baseline for 20 s."""
    jobs: list[tuple[Any, ...]] = [("detector", 200, 3600.0 / seeds, 0.3, seed) for seed in range(seeds)]
    jobs += [("detector", 12, 3600.0, 0.3, seed) for seed in range(seeds)]
    jobs += [("detector", 12, 600.0, share, seed) for share in (0.1, 0.5) for seed in range(seeds)]
    jobs += [("heartbeats", members, 20.0, 0.3, seed) for members in (12, 200) for seed in range(4)]
    return _sums(
        run_in_processes(run_with_loss, jobs),
        ("make", "members", "seconds", "loss"),
        ("declared", "held", "suspicions", "links"),
    )


def hours(seeds: int = SEEDS) -> list[Row]:
    """Run 200 members for an hour at 30% loss."""
    return _sums(
        run_in_processes(run_with_loss, [("detector", 200, 3600.0, 0.3, seed) for seed in range(seeds)]),
        ("make", "members", "seconds", "loss"),
        ("declared", "held", "suspicions", "links"),
    )


def _sums(rows: list[Row], by: tuple[str, ...], summed: tuple[str, ...]) -> list[Row]:
    groups: dict[tuple[Any, ...], Row] = {}
    for row in rows:
        key = tuple(row[name] for name in by)
        group = groups.setdefault(key, {**dict(zip(by, key, strict=True)), "runs": 0, **dict.fromkeys(summed, 0)})
        group["runs"] += 1
        for name in summed:
            group[name] += row[name]
    return list(groups.values())


# --- crash ---


def detection_time(history: History, at: float, crashed_member: str) -> float:
    """Return the seconds until the last live member marks `crashed_member` dead, or infinity if any never does."""
    first: dict[str, float] = {}
    for seen in history.seen:
        if seen.what == "dead" and seen.subject == crashed_member and seen.at >= at:
            first.setdefault(seen.member, seen.at - at)
    return max(first.values()) if len(first) == history.schedule.members - 1 else math.inf


def run_crash(make: str, members: int, seed: int) -> Row:
    """Crash one of several idle members and return the detection time."""
    at = 5.0 + seed % 10 / 10
    crashed_member = f"n{1 + seed % members}"
    schedule = Schedule(members, at + 20.0, (Fault(at, "crash", (crashed_member,)),))
    history = Simulator(schedule, seed, DETECTORS[make], known=True, show=100.0).run()
    return {"make": make, "members": members, "after": detection_time(history, at, crashed_member)}


def crash(seeds: int = SEEDS) -> list[Row]:
    """Measure the detection times of crashes by number of members."""
    jobs = [
        ("detector", members, seed)
        for members, runs in ((12, 5 * seeds), (50, seeds), (200, seeds), (1000, seeds))
        for seed in range(runs)
    ] + [("heartbeats", members, seed) for members in (12, 200) for seed in range(seeds)]
    times: dict[tuple[str, int], list[float]] = {}
    for row in run_in_processes(run_crash, jobs):
        times.setdefault((row["make"], row["members"]), []).append(row["after"])
    return [
        {
            "make": make,
            "members": members,
            "runs": len(times_s),
            "median": round(statistics.median(times_s), 2),
            "p99": round(quantile(times_s, 0.99), 2),
            "longest": round(max(times_s), 2),
        }
        for (make, members), times_s in times.items()
    ]


# --- woken, heal ---


def run_wake(make: str, members: int, seed: int) -> Row:
    """Stop and resume one member, a third of the members, then all, for 10 s each.

    Count the members wrongly declared dead by resumed members."""
    names = [f"n{number}" for number in range(1, members + 1)]
    groups = [[names[seed % members]], names[: members // 3], names]
    faults = [
        fault
        for number, group in enumerate(groups)
        for fault in (Fault(10.0 + 30 * number, "stop", tuple(group)), Fault(20.0 + 30 * number, "wake", tuple(group)))
    ]
    schedule = Schedule(members, 100.0, tuple(faults))
    history = Simulator(schedule, seed, DETECTORS[make], known=True, delay=0.05).run()
    resumed = {20.0 + 30 * number: set(group) for number, group in enumerate(groups)}
    false_deaths = {
        (seen.by, seen.subject)
        for seen in history.seen
        if seen.what == "dead"
        for at, group in resumed.items()
        if seen.by in group and at <= seen.at < at + 20.0
    }
    return {"make": make, "members": members, "accused": len(false_deaths)}


def woken(seeds: int = SEEDS) -> list[Row]:
    """Count live members that resumed members declared dead."""
    jobs = [(make, 12, seed) for make in DETECTORS for seed in range(seeds)]
    return _sums(run_in_processes(run_wake, jobs), ("make", "members"), ("accused",))


def convergence_time(history: History, at: float, members: int) -> float:
    """Return the seconds until every member shows all members alive, or infinity."""
    converged: dict[str, float] = {}
    for shown in history.shown:
        if shown.at >= at:
            if sum(state == "alive" for _, state, _ in shown.states) == members:
                converged.setdefault(shown.member, shown.at - at)
            else:
                converged.pop(shown.member, None)
    return max(converged.values()) if len(converged) == members else math.inf


def run_partition(make: str, members: int, border: int, lasts: float, seed: int) -> Row:
    """Run a partition that heals and return the convergence time."""
    names = [f"n{number}" for number in range(1, members + 1)]
    end = 10.0 + lasts
    schedule = Schedule(members, end + 30.0, (split(10.0, (names[:border], names[border:])), Fault(end, "heal")))
    history = Simulator(schedule, seed, DETECTORS[make], known=True, show=0.1).run()
    return {
        "make": make,
        "members": members,
        "sides": f"{border}|{members - border}",
        "lasts": lasts,
        "after": convergence_time(history, end, members),
    }


def heal(seeds: int = SEEDS) -> list[Row]:
    """Measure the times until all views are equal after a partition heals."""
    jobs = [
        ("detector", 12, border, lasts, seed) for border in (6, 11) for lasts in (30.0, 300.0) for seed in range(seeds)
    ] + [("heartbeats", 12, 6, 30.0, seed) for seed in range(seeds)]
    times: dict[tuple[Any, ...], list[float]] = {}
    for row in run_in_processes(run_partition, jobs):
        times.setdefault((row["make"], row["members"], row["sides"], row["lasts"]), []).append(row["after"])
    return [
        {
            "make": make,
            "members": members,
            "sides": sides,
            "lasts": lasts,
            "runs": len(times_s),
            "median": round(statistics.median(times_s), 2),
            "longest": round(max(times_s), 2),
        }
        for (make, members, sides, lasts), times_s in times.items()
    ]


# --- cost ---


def run_idle(make: str, members: int) -> Row:
    """Measure the traffic of an idle member, and its CPU time including its share of the simulator."""
    seconds = 30.0 if members < 500 else 10.0
    simulator = Simulator(Schedule(members, seconds), 1, DETECTORS[make], known=True, wire=True, show=1000.0)
    started = time.process_time()
    history = simulator.run()
    cpu_s = time.process_time() - started
    return {
        "make": make,
        "members": members,
        "datagrams_per_s": round(history.packets / members / seconds, 2),
        "bytes_per_s": round(history.bytes / members / seconds),
        "cpu_ms_per_s": round(1000 * cpu_s / members / seconds, 3),
    }


def cost() -> list[Row]:
    """Measure idle members, from 12 to 1,000 of them."""
    return run_in_processes(
        run_idle,
        [("detector", members) for members in (12, 50, 200, 1000)]
        + [("heartbeats", members) for members in (12, 50, 200)],
    )


# --- real processes ---


def real_schedule(members: int) -> Schedule:
    """Return the schedule for real and simulated runs: a crash, a process stopped for 10 s, a partition into halves."""
    names = [f"n{number}" for number in range(1, members + 1)]
    faults = (
        Fault(2.0, "crash", (names[3],)),
        Fault(14.0, "restart", (names[3],)),
        Fault(22.0, "stop", (names[5],)),
        Fault(32.0, "wake", (names[5],)),
        split(42.0, (names[: members // 2], names[members // 2 :])),
        Fault(72.0, "heal"),
    )
    return Schedule(members, 95.0, faults)


async def _real(members: int, seed: int) -> Row:
    schedule = real_schedule(members)
    names = schedule.names()
    async with AsyncExitStack() as stack:
        fleet = Fleet(schedule, seed, look=0.5, environ={"PYTHONOPTIMIZE": "1"})
        await fleet.open(stack)
        await fleet.joined()
        before = {name: _cpu(fleet, name) for name in names}
        started = time.monotonic()
        await fleet.play(stack)
        cpu_s = statistics.median(_cpu(fleet, name) - before[name] for name in names if name != names[3])
        return {
            **_figures(fleet.history, names),
            "wire": "real",
            "members": members,
            "seed": seed,
            "cpu_ms_per_s": round(1000 * cpu_s / (time.monotonic() - started), 1),
        }


def _cpu(fleet: Fleet, name: str) -> float:
    process = fleet.processes[name].world.process
    assert process is not None
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def _figures(history: History, names: list[str]) -> Row:
    """Return the figures of a history, in the same form for real and simulated runs."""
    crash, wake, heal = history.done[0].at, history.done[3].at, history.done[-1].at
    false_deaths = {
        seen.subject
        for seen in history.seen
        if seen.what == "dead" and seen.by == names[5] and wake <= seen.at < wake + 10
    }
    before_faults = [seen for seen in history.shown if seen.at < 2.0]
    return {
        "crash_known_s": round(detection_time(history, crash, names[3]), 2),
        "accused_by_woken": len(false_deaths),
        "equal_after_heal_s": round(convergence_time(history, heal, len(names)), 2),
        "datagrams_per_s": round(history.packets / len(names) / history.schedule.seconds, 1),
        "bytes_per_s": round(history.bytes / len(names) / history.schedule.seconds),
        "shown_at_rest": len(before_faults),
        "broken": sorted(broken(history, 1.5)),
    }


def _simulated(schedule: Schedule, seed: int) -> Row:
    names = schedule.names()
    history = Simulator(schedule, seed, known=True, wire=True, show=0.25).run()
    return {**_figures(history, names), "wire": "simulator", "members": schedule.members, "seed": seed}


def real(seeds: int = 1) -> list[Row]:
    """Run fleets of 12 and 24 real processes one after the other, then the same schedules in the simulator."""
    rows = []
    for members in (12, 24):
        for seed in range(seeds if members == 12 else 1):
            rows.append(asyncio.run(_real(members, seed)))
            print(json.dumps(rows[-1]), flush=True)
    for members in (12, 24):
        schedule = real_schedule(members)
        rows += [_simulated(schedule, seed) for seed in range(seeds)]
    return rows


PARTS: dict[str, Part] = {
    "loss": loss,
    "crash": crash,
    "woken": woken,
    "heal": heal,
    "cost": cost,
    "real": real,
    "hours": hours,
}


def draw_charts(directory: Path, part: str, rows: list[Row]) -> None:
    """Write the chart of a part, if the part has a chart."""
    directory.mkdir(parents=True, exist_ok=True)
    makes = sorted({row["make"] for row in rows if "make" in row})
    rows_by_make = {
        make: sorted((row for row in rows if row.get("make") == make), key=lambda row: row["members"]) for make in makes
    }
    if part == "crash":
        charts.lines(
            directory / "membership-crash.svg",
            "time until all know of a crash",
            "members",
            "seconds",
            {
                f"{make}, {figure}": [(row["members"], row[figure]) for row in rows_by_make[make]]
                for make in makes
                for figure in ("median", "p99")
            },
        )
    elif part == "cost":
        charts.lines(
            directory / "membership-cost.svg",
            "bytes sent by a member at rest",
            "members",
            "bytes a second",
            {make: [(row["members"], row["bytes_per_s"]) for row in rows_by_make[make]] for make in makes},
            logarithmic=True,
        )


if __name__ == "__main__":
    run_parts(PARTS, long="hours", draw_charts=draw_charts)
