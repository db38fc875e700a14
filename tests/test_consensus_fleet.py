"""A consensus group of real processes under faults. What is asserted was seen from outside."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import pytest

from chutepin.testbench.checks.consensus_invariants import violations
from chutepin.testbench.faults.consensus_fleet import Assembly, play
from chutepin.testbench.faults.schedule import Fault, Schedule, split

from .helper import run_command

FIVE = [f"n{number}" for number in range(1, 6)]
EVER = 40.0  # seconds in which anything that must come has come


def killed(at: float, lasts: float, *names: str) -> tuple[Fault, Fault]:
    return Fault(at, "crash", names), Fault(at + lasts, "restart", names)


SCHEDULES = {
    "kills of one after the other, of a majority, of all": Schedule(
        5,
        40.0,
        (
            *killed(1, 1, "n1"),
            *killed(5, 1, "n2"),
            *killed(9, 1, "n3"),
            *killed(13, 2, "n1", "n2"),
            *killed(18, 1, *FIVE),
        ),
    ),
    "stops of each voter, and of all": Schedule(
        5,
        40.0,
        tuple(
            fault
            for at, names in ((1, ("n1",)), (6, ("n2",)), (11, ("n3",)), (16, ("n1", "n2", "n3")))
            for fault in (Fault(at, "stop", names), Fault(at + 3.0, "wake", names))
        ),
    ),
    "partitions with each voter alone, one-sided cuts": Schedule(
        5,
        48.0,
        (
            split(1, (["n1"], FIVE[1:])),
            Fault(5, "heal"),
            split(7, (["n2", "n4"], ["n1", "n3", "n5"])),
            Fault(11, "heal"),
            split(13, (["n3"], ["n1"], ["n2", "n4", "n5"])),
            Fault(17, "heal"),
            Fault(19, "cut", ("n1", *FIVE[1:])),
            Fault(23, "heal"),
            *(Fault(25, "cut", (name, "n2")) for name in FIVE if name != "n2"),
            Fault(30, "heal"),
        ),
    ),
    "broken connections, lost datagrams": Schedule(
        5,
        36.0,
        (
            Fault(1, "tear", value=0.5),
            Fault(1, "loss", value=0.2),
            *killed(5, 1, "n1"),
            *killed(10, 1, "n2"),
            Fault(18, "tear"),
            Fault(18, "loss"),
        ),
    ),
}


@pytest.mark.parametrize("name", SCHEDULES)
def test_invariants_hold_for_real_processes(name: str) -> None:
    history = asyncio.run(play(SCHEDULES[name], 1))
    assert violations(history) == {}
    assert len(history.committed_sets()) > 60 and len(history.answered_reads()) > 20 and len(history.observations) > 300


async def until(holds: Callable[[], Awaitable[object]]) -> None:
    """Wait until what is asked from outside is as it must be."""
    by = time.monotonic() + EVER
    while not await holds():
        assert time.monotonic() < by, "it never came to hold"
        await asyncio.sleep(0.1)


async def command(ops: int, *words: str) -> tuple[int, str]:
    """`agree …` as an operator calls it: exit code and output."""
    return await run_command("agree", *words, "--ops", f"127.0.0.1:{ops}", stderr=asyncio.subprocess.STDOUT)


def test_operators_change_voters_and_leader_and_a_lost_store_returns_as_another_voter() -> None:
    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = Assembly(Schedule(5, 1.0), 1)
            await fleet.open(stack)
            leader = await fleet.agrees()
            ops = fleet.processes[leader].ops
            assert (await command(ops, "set", "k", "before"))[0] == 0
            other = next(name for name in FIVE[:3] if name != leader)
            assert (await command(ops, "transfer", other))[0] == 0
            await until(lambda: one(fleet, leader, "leader", other))
            ops = fleet.processes[other].ops
            code, output = await command(ops, "status", "--json")
            assert code == 0 and json.loads(output)["role"] == "leader"
            # A voter that has lost its store is not the voter that it was.
            lost = next(name for name in FIVE[:3] if name not in (leader, other))
            await fleet._to_process(stack, fleet.processes[lost], Fault(0.0, "wipe", (lost,)))
            await fleet.restart(stack, lost)
            await until(lambda: one(fleet, lost, "standing", "lost"))
            await until(lambda: one(fleet, lost, "role", "observer"))
            await until(lambda: reads(fleet, lost, "before"))
            assert (await command(ops, "voters", "remove", lost))[0] == 0
            for _ in range(2):  # it learns, then it votes
                await until(lambda: succeeds(ops, "voters", "add", lost))
            await until(lambda: one(fleet, lost, "role", "follower"))
            # Three vote again, the renewed one among them: without it there is no majority now.
            fleet.processes[leader].signal(signal.SIGKILL)
            await until(lambda: succeeds(ops, "set", "k", "after"))
            assert json.loads((await command(ops, "get", "k"))[1])["answer"].endswith(" after")
            for _ in range(2):  # an observer that never spoke to this leader by itself
                await until(lambda: succeeds(ops, "voters", "add", "n5"))
            await until(lambda: one(fleet, "n5", "role", "follower"))
            code, output = await command(ops, "voters", "remove", other)
            assert code == 2 and "hands over" in output
            assert (await command(ops, "snapshot"))[0] == 0
            assert (await command(1, "status"))[0] == 2

    asyncio.run(run())


def test_recovery_makes_one_store_the_only_voter_after_a_majority_is_lost() -> None:
    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = Assembly(Schedule(3, 1.0), 1)
            await fleet.open(stack)
            leader = await fleet.agrees()
            assert (await fleet.processes[leader].ask("agree-set k kept"))[0].startswith("SUCCESS agreed")
            for name in FIVE[:3]:
                await until(lambda name=name: reads(fleet, name, "kept"))  # type: ignore[misc]
            for name in FIVE[:3]:
                await fleet._to_process(
                    stack, fleet.processes[name], Fault(0.0, "crash" if name == "n1" else "wipe", (name,))
                )
            store = str(fleet.store(fleet.processes["n1"]))
            code, output = await offline("inspect", store, "--json")
            assert code == 0 and json.loads(output)["node"] == "n1"
            code, output = await offline("recover", store, "--cluster", "another")
            assert code == 1 and "nothing has changed" in output
            assert (await offline("recover", store, "--cluster", "fleet"))[0] == 0
            await fleet.restart(stack, "n1")
            await until(lambda: one(fleet, "n1", "role", "leader"))
            await until(lambda: reads(fleet, "n1", "kept"))
            assert (await fleet.processes["n1"].ask("agree-set k v"))[0].startswith("SUCCESS agreed")
            await fleet.restart(stack, "n2")  # with an empty store
            await until(lambda: one(fleet, "n2", "standing", "lost"))
            for _ in range(2):
                await until(lambda: succeeds(fleet.processes["n1"].ops, "voters", "add", "n2"))
            await until(lambda: one(fleet, "n2", "role", "follower"))

    asyncio.run(run())


async def offline(*words: str) -> tuple[int, str]:
    """`agree …` on a store that no node has open: exit code and output, the standard error included."""
    return await run_command("agree", *words, stderr=asyncio.subprocess.STDOUT)


async def one(fleet: Assembly, name: str, field: str, value: str) -> bool:
    """A process shows this."""
    return (await fleet.shown(name)).get(field) == value


async def reads(fleet: Assembly, name: str, value: str) -> bool:
    """A process shows this under k."""
    return (await fleet.processes[name].ask("agree-get k"))[0].endswith(f" {value}")


async def succeeds(ops: int, *words: str) -> bool:
    """The command's exit code is 0."""
    return (await command(ops, *words))[0] == 0


def test_requests_without_a_majority_are_rejected_at_once_and_succeed_afterwards() -> None:
    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = Assembly(Schedule(3, 1.0), 1)
            await fleet.open(stack)
            leader = await fleet.agrees()
            others = [name for name in FIVE[:3] if name != leader]
            for name in others:
                fleet.processes[name].signal(signal.SIGSTOP)
            await until(lambda: one(fleet, leader, "leader", "-"))  # it has stepped down
            begun = time.monotonic()
            told = (await fleet.processes[leader].ask("agree-set k v"))[0]
            assert told.startswith("FAILURE refused") and "no leader; again in 1.0 s" in told
            assert time.monotonic() - begun < 1.0
            for name in others:
                fleet.processes[name].signal(signal.SIGCONT)
            await fleet.agrees()
            assert (await fleet.processes[leader].ask("agree-set k v"))[0].startswith("SUCCESS agreed")

    asyncio.run(run())
