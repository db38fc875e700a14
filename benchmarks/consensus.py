"""Measures the replicated log: `python -O -m benchmarks.consensus [PART …] [--charts DIR]`.

In the simulator, in parallel on all cores: `seeds` (invariants under random schedules), `planted` (seeds needed to
detect a planted error), `flapping`, `observers`, `behind`. On real processes of this machine: `rate` (compared with a
plain loop of writes and syncs), `failover`, `transfer`, `rest`, `campaign` (concurrent fleets under random faults;
long). Each part is bounded in time."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any

from chutepin.testbench import charts
from chutepin.testbench.checks.consensus_invariants import violations
from chutepin.testbench.faults.consensus_fleet import Assembly, play
from chutepin.testbench.faults.schedule import Fault, Schedule, draw
from chutepin.testbench.simulators.consensus import SETTINGS, Simulator

from .parts import Part, Row, quantile, run_parts

SEEDS = 2000
KILLS = 20
CAMPAIGN_FLEETS, CAMPAIGN_SECONDS = 4, 480.0  # concurrent fleets, duration of each


def run_in_processes(work: Callable[[Any], Row], jobs: Iterable[Any]) -> list[Row]:
    """Run all jobs in a pool with one process for each core and return their rows."""
    with ProcessPoolExecutor() as pool:
        return list(pool.map(work, jobs, chunksize=4))


def latency_summary(values: list[float]) -> Row:
    """Return count, median, 99th percentile and maximum of latencies given in seconds."""
    return {
        "runs": len(values),
        "median_ms": round(1000 * statistics.median(values), 1),
        "p99_ms": round(1000 * quantile(values, 0.99), 1),
        "longest_ms": round(1000 * max(values), 1),
    }


# --- the simulator ---


def _seed(seed: int) -> Row:
    schedule = draw(seed, (5, 7, 4)[seed % 3], 60.0)
    history = Simulator(
        schedule, seed, voters=5 if seed % 3 == 1 else 3, wire=seed % 4 == 0, changes=4.0 * (seed % 2)
    ).run()
    return {
        "seed": seed,
        "agreed": len(history.committed_sets()),
        "reads": len(history.answered_reads()),
        "faults": len(schedule.faults),
        "unknown": sum(request.outcome == "unknown" for request in history.requests),
        "broken": sorted(violations(history)),
    }


def seeds() -> list[Row]:
    """Check random schedules of 4, 5 and 7 members; half of them change the voters."""
    rows = run_in_processes(_seed, range(SEEDS))
    sums = {name: sum(row[name] for row in rows) for name in ("agreed", "reads", "faults", "unknown")}
    return [
        {
            "seeds": len(rows),
            **sums,
            "broken": dict(Counter(name for row in rows for name in row["broken"])),
            "which": [row["seed"] for row in rows if row["broken"]][:20],
        }
    ]


def _planted(name: str) -> Row:
    from tests.consensus_mutants import MUTANTS
    from tests.test_consensus_simulator import seeds_needed

    parts, schedule, invariant = MUTANTS[name]
    needed = seeds_needed(parts, schedule, invariant, 40)
    return {"planted": name, "schedule": schedule, "claim": invariant, "seeds": 1 + needed}


def planted() -> list[Row]:
    """Count the seeds needed to detect each planted error."""
    from tests.consensus_mutants import MUTANTS

    return run_in_processes(_planted, MUTANTS)


def _flapping(seed: int) -> Row:
    rng = random.Random(seed)
    names = [f"n{number}" for number in range(1, 6)]
    first, second = rng.sample(names, 2)
    faults = tuple(Fault(5.0 + 2 * number, ("cut", "mend")[number % 2], (first, second)) for number in range(300))
    history = Simulator(Schedule(5, 620.0, faults), seed, voters=5, every=0.5).run()
    terms = {
        observation.term
        for observation in history.observations
        if observation.role == "leader" and observation.at > 5.0
    }
    return {"elections": len(terms) - 1, "broken": sorted(set(violations(history)) - {"requests_succeed_after_faults"})}


def flapping() -> list[Row]:
    """Cut and restore one direction between two of five voters every 2 s for 10 minutes, and count elections."""
    rows = run_in_processes(_flapping, range(20))
    return [
        {
            "runs": len(rows),
            "elections": sorted(row["elections"] for row in rows),
            "broken": sum(bool(row["broken"]) for row in rows),
        }
    ]


def _observers(count: int) -> Row:
    simulator = Simulator(Schedule(count + 3, 30.0), 1, every=0.2)
    sent_messages: Counter[str] = Counter()
    send = simulator._send

    def count_and_send(host: Any, to: str, message: Any) -> None:
        if simulator.now > 10.0:
            sent_messages[host.name] += 1
        send(host, to, message)

    simulator._send = count_and_send  # type: ignore[method-assign]
    history = simulator.run()
    leader = next(observation.member for observation in reversed(history.observations) if observation.role == "leader")
    first: dict[int, dict[str, float]] = {}
    for observation in history.observations:
        if observation.at > 10.0:
            first.setdefault(observation.applied_index, {}).setdefault(observation.member, observation.at)
    # A member that applies several entries at once shows only the last of them.
    spread = [max(times.values()) - min(times.values()) for times in first.values() if len(times) > 0.9 * (count + 3)]
    return {
        "observers": count,
        "leader_words_per_s": round(sent_messages[leader] / 20, 1),
        "median_words_per_s": round(statistics.median(sent_messages.values()) / 20, 1),
        "spread_p50_ms": round(1000 * quantile(spread, 0.5), 1),
        "spread_p99_ms": round(1000 * quantile(spread, 0.99), 1),
        "broken": sorted(violations(history)),
    }


def observers() -> list[Row]:
    """Measure the messages that the leader sends and the spread of applying an entry, by number of observers."""
    return run_in_processes(_observers, (0, 10, 50, 200))


def behind(entries: int = 100_000) -> list[Row]:
    """Measure how fast an observer catches up that restarts after `entries` entries."""
    settings = replace(
        SETTINGS,
        max_chunk_bytes=64 * 1024,
        max_in_flight_bytes=256 * 1024,
        max_log_bytes=4 * 2**20,
        retained_bytes=512 * 1024,
    )
    late_restart = Schedule(4, 60.0, (Fault(0.01, "crash", ("n4",)), Fault(45.0, "restart", ("n4",))))
    simulator = Simulator(late_restart, 1, every=1e9, settings=settings)
    sent = Counter[str]()
    send, state = simulator._send, {"made": 0, "begun": 0.0, "done": 0.0}

    def count_and_send(host: Any, to: str, message: Any) -> None:
        if to.startswith("n4"):
            sent[host.name] += 1
            sent["bytes"] += len(repr(getattr(message, "data", b""))) + sum(
                len(entry.data) for entry in getattr(message, "entries", ())
            )
        send(host, to, message)

    def propose() -> None:
        host = next(
            (
                host
                for host in simulator.hosts.values()
                if host.participant is not None and host.participant.raft.role == 3
            ),
            None,
        )
        if host is not None and host.participant is not None and state["made"] < entries:
            from chutepin.consensus.key_value import pack_assignment

            for _ in range(min(250, 250 - host.participant.pending_requests)):
                state["made"] += 1
                host.participant.propose(
                    simulator.now,
                    host.participant.new_proposal_id(),
                    pack_assignment("k", b"%d" % state["made"]),
                    simulator.now + 3.0,
                )
            simulator._process_effects(host)
        simulator._schedule_event(simulator.now + 0.02, propose)

    def check_progress() -> None:
        host = simulator.hosts["n4"]
        others = [
            other.participant.state.applied_index for other in simulator.hosts.values() if other.participant is not None
        ]
        if (
            host.participant is not None
            and simulator.now > 45.0
            and not state["done"]
            and host.participant.state.applied_index >= max(others) - 5
        ):
            state["done"] = simulator.now
        simulator._schedule_event(simulator.now + 0.005, check_progress)

    simulator._send = count_and_send  # type: ignore[method-assign]
    simulator._schedule_event(3.0, propose)
    simulator._schedule_event(45.0, check_progress)
    started = time.process_time()
    simulator.run()
    return [
        {
            "entries": state["made"],
            "caught_up_ms": round(1000 * (state["done"] - 45.0), 1),
            "words_to_it": sum(count for name, count in sent.items() if name != "bytes"),
            "bytes": sent["bytes"],
            "cpu_s": round(time.process_time() - started, 1),
        }
    ]


# --- real processes ---


def plain_syncs(directory: Path, size: int, seconds: float) -> float:
    """Return the number of write-and-sync operations a second in a plain loop."""
    descriptor = os.open(directory / "bare", os.O_RDWR | os.O_CREAT)
    data, count, end = os.urandom(size), 0, time.monotonic() + seconds
    while time.monotonic() < end:
        os.write(descriptor, data)
        os.fdatasync(descriptor)
        count += 1
    os.close(descriptor)
    return count / seconds


async def _rate(voters: int, clients: int, seconds: float) -> Row:
    async with AsyncExitStack() as stack:
        fleet = Assembly(Schedule(voters, 1.0), 1, voters=voters)
        await fleet.open(stack)
        leader = await fleet.agrees()
        times, deadline = list[float](), time.monotonic() + seconds

        async def propose(number: int) -> None:
            while (started := time.monotonic()) < deadline:
                lines = await fleet.processes[leader].ask(f"agree-set k{number} v")
                if lines and lines[0].startswith("SUCCESS agreed"):
                    times.append(time.monotonic() - started)

        await asyncio.gather(*(propose(number) for number in range(clients)))
        return {"voters": voters, "askers": clients, "per_s": round(len(times) / seconds), **latency_summary(times)}


def rate() -> list[Row]:
    """Measure proposals a second at the leader, each on its own connection, and syncs a second of a plain loop."""
    rows = []
    with tempfile.TemporaryDirectory() as directory:
        for voters in (3, 5, 7):
            syncs_per_s = plain_syncs(Path(directory), 200, 2.0)
            for clients in (1, 12):
                rows.append({**asyncio.run(_rate(voters, clients, 5.0)), "bare_syncs_per_s": round(syncs_per_s)})
    return rows


async def _failover(kills: int) -> list[float]:
    times = []
    async with AsyncExitStack() as stack:
        fleet = Assembly(Schedule(3, 1.0), 1)
        await fleet.open(stack)
        for number in range(kills):
            leader = await fleet.agrees()
            others = [name for name in fleet.processes if name != leader]
            fleet.processes[leader].signal(signal.SIGKILL)
            started = time.monotonic()
            while not await _set_agreed(fleet, random.Random(number).choice(others), number):
                await asyncio.sleep(0.01)
            times.append(time.monotonic() - started)
            await fleet.restart(stack, leader)
    return times


async def _set_agreed(fleet: Assembly, name: str, number: int) -> bool:
    lines = await fleet.processes[name].ask(f"agree-set k v{number}")
    return bool(lines) and lines[0].startswith("SUCCESS agreed")


def failover() -> list[Row]:
    """Measure the time from a kill of the leader to the next agreed proposal. The election time-out is 1 s."""
    return [{"voters": 3, **latency_summary(asyncio.run(_failover(KILLS)))}]


async def _transfer(times: int) -> list[float]:
    gaps_s = []
    async with AsyncExitStack() as stack:
        fleet = Assembly(Schedule(3, 1.0), 1)
        await fleet.open(stack)
        for number in range(times):
            leader = await fleet.agrees()
            other = random.Random(number).choice([name for name in fleet.processes if name != leader])
            load = [asyncio.create_task(_set_agreed(fleet, leader, part)) for part in range(8)]
            started = time.monotonic()
            await fleet.processes[leader].ask(f"agree-transfer {other}")
            while not await _set_agreed(fleet, other, number):
                await asyncio.sleep(0.002)
            gaps_s.append(time.monotonic() - started)
            await asyncio.gather(*load)
    return gaps_s


def transfer() -> list[Row]:
    """Measure the time from a leadership transfer under load to the next agreed proposal."""
    return [{"voters": 3, **latency_summary(asyncio.run(_transfer(20)))}]


async def _rest(seconds: float) -> list[Row]:
    async with AsyncExitStack() as stack:
        fleet = Assembly(Schedule(5, 1.0), 1)
        await fleet.open(stack)
        leader = await fleet.agrees()

        def cpu_and_memory(name: str) -> tuple[float, int]:
            process = fleet.processes[name].world.process
            assert process is not None
            proc = Path(f"/proc/{process.pid}")
            fields = (proc / "stat").read_text().rpartition(")")[2].split()
            memory = next(
                int(line.split()[1]) for line in (proc / "status").read_text().splitlines() if line.startswith("VmRSS")
            )
            return (int(fields[11]) + int(fields[12])) / 100, memory

        before = {name: cpu_and_memory(name) for name in fleet.processes}
        await asyncio.sleep(seconds)
        rows = []
        for name in fleet.processes:
            cpu, memory = cpu_and_memory(name)
            part = "leader" if name == leader else "follower" if name in fleet.voters else "observer"
            rows.append(
                {"part": part, "cpu_ms_per_s": round(1000 * (cpu - before[name][0]) / seconds, 1), "rss_kib": memory}
            )
        return rows


def rest() -> list[Row]:
    """Measure CPU and memory of idle processes, including the platform connections and membership."""
    return asyncio.run(_rest(20.0))


def _campaign(seed: int) -> Row:
    schedule = draw(seed, 5, CAMPAIGN_SECONDS)
    history = asyncio.run(play(schedule, seed, every=0.08))
    broken = violations(history)
    return {
        "seed": seed,
        "minutes": round(CAMPAIGN_SECONDS / 60, 1),
        "faults": len(schedule.faults),
        "asked": len(history.requests),
        "agreed": len(history.committed_sets()),
        "reads": len(history.answered_reads()),
        "unknown": sum(request.outcome == "unknown" for request in history.requests),
        "broken": {name: lines[:3] for name, lines in broken.items()},
    }


def campaign() -> list[Row]:
    """Run several concurrent fleets of real processes under random faults."""
    with ProcessPoolExecutor(CAMPAIGN_FLEETS) as pool:
        return list(pool.map(_campaign, range(1, CAMPAIGN_FLEETS + 1)))


PARTS: dict[str, Part] = {
    "seeds": seeds,
    "planted": planted,
    "flapping": flapping,
    "observers": observers,
    "behind": behind,
    "rate": rate,
    "failover": failover,
    "transfer": transfer,
    "rest": rest,
    "campaign": campaign,
}


def draw_charts(directory: Path, part: str, rows: list[Row]) -> None:
    """Write the chart of a part, if the part has a chart."""
    directory.mkdir(parents=True, exist_ok=True)
    if part == "observers":
        charts.lines(
            directory / "agree-observers.svg",
            "words a second that members say",
            "observers",
            "words a second",
            {
                "the leader": [(row["observers"], row["leader_words_per_s"]) for row in rows],
                "the median member": [(row["observers"], row["median_words_per_s"]) for row in rows],
            },
        )
    elif part == "rate":
        charts.bars(
            directory / "agree-rate.svg",
            "proposals agreed a second",
            "a second",
            [f"{row['voters']} voters, {row['askers']} askers" for row in rows],
            {"proposals": [row["per_s"] for row in rows], "bare syncs": [row["bare_syncs_per_s"] for row in rows]},
        )


if __name__ == "__main__":
    run_parts(PARTS, long="campaign", draw_charts=draw_charts)
