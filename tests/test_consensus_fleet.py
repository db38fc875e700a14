"""A consensus group of real processes under faults, observed only through operators' calls and exit codes."""

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
TIMEOUT_S = 40.0  # limit for any awaited condition


def crash_and_restart(at: float, duration_s: float, *names: str) -> tuple[Fault, Fault]:
    return Fault(at, "crash", names), Fault(at + duration_s, "restart", names)


SCHEDULES = {
    "crashes of single nodes, of a majority and of all": Schedule(
        5,
        40.0,
        (
            *crash_and_restart(1, 1, "n1"),
            *crash_and_restart(5, 1, "n2"),
            *crash_and_restart(9, 1, "n3"),
            *crash_and_restart(13, 2, "n1", "n2"),
            *crash_and_restart(18, 1, *FIVE),
        ),
    ),
    "pauses of each voter and of all": Schedule(
        5,
        40.0,
        tuple(
            fault
            for at, names in ((1, ("n1",)), (6, ("n2",)), (11, ("n3",)), (16, ("n1", "n2", "n3")))
            for fault in (Fault(at, "stop", names), Fault(at + 3.0, "wake", names))
        ),
    ),
    "partitions of single voters, one-way partitions": Schedule(
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
    "broken connections and lost datagrams": Schedule(
        5,
        36.0,
        (
            Fault(1, "tear", value=0.5),
            Fault(1, "loss", value=0.2),
            *crash_and_restart(5, 1, "n1"),
            *crash_and_restart(10, 1, "n2"),
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


async def wait_until(condition: Callable[[], Awaitable[object]]) -> None:
    """Wait until an asynchronous condition is true; fail after TIMEOUT_S."""
    deadline = time.monotonic() + TIMEOUT_S
    while not await condition():
        assert time.monotonic() < deadline, "condition not met in time"
        await asyncio.sleep(0.1)


async def run_agree_command(ops: int, *arguments: str) -> tuple[int, str]:
    """Run `agree …` against a node, as an operator does; return exit code and output."""
    return await run_command("agree", *arguments, "--ops", f"127.0.0.1:{ops}", stderr=asyncio.subprocess.STDOUT)


def test_operators_change_voters_and_leader_and_a_wiped_node_votes_under_a_new_identity() -> None:
    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = Assembly(Schedule(5, 1.0), 1)
            await fleet.open(stack)
            leader = await fleet.agrees()
            ops = fleet.processes[leader].ops
            assert (await run_agree_command(ops, "set", "k", "before"))[0] == 0
            other = next(name for name in FIVE[:3] if name != leader)
            assert (await run_agree_command(ops, "transfer", other))[0] == 0
            await wait_until(lambda: field_equals(fleet, leader, "leader", other))
            ops = fleet.processes[other].ops
            code, output = await run_agree_command(ops, "status", "--json")
            assert code == 0 and json.loads(output)["role"] == "leader"
            # A voter that has lost its store must not vote under its former identity.
            lost = next(name for name in FIVE[:3] if name not in (leader, other))
            await fleet._to_process(stack, fleet.processes[lost], Fault(0.0, "wipe", (lost,)))
            await fleet.restart(stack, lost)
            await wait_until(lambda: field_equals(fleet, lost, "standing", "lost"))
            await wait_until(lambda: field_equals(fleet, lost, "role", "observer"))
            await wait_until(lambda: reads_value(fleet, lost, "before"))
            assert (await run_agree_command(ops, "voters", "remove", lost))[0] == 0
            for _ in range(2):  # the first call adds a learner, the second promotes it
                await wait_until(lambda: succeeds(ops, "voters", "add", lost))
            await wait_until(lambda: field_equals(fleet, lost, "role", "follower"))
            # There are three voters again. After the crash of one, the re-added node is required for a majority.
            fleet.processes[leader].signal(signal.SIGKILL)
            await wait_until(lambda: succeeds(ops, "set", "k", "after"))
            assert json.loads((await run_agree_command(ops, "get", "k"))[1])["answer"].endswith(" after")
            for _ in range(2):  # an observer that has never connected to this leader
                await wait_until(lambda: succeeds(ops, "voters", "add", "n5"))
            await wait_until(lambda: field_equals(fleet, "n5", "role", "follower"))
            code, output = await run_agree_command(ops, "voters", "remove", other)
            assert code == 2 and "hands over" in output
            assert (await run_agree_command(ops, "snapshot"))[0] == 0
            assert (await run_agree_command(1, "status"))[0] == 2

    asyncio.run(run())


def test_recovery_makes_one_store_the_only_voter_after_a_majority_is_lost() -> None:
    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = Assembly(Schedule(3, 1.0), 1)
            await fleet.open(stack)
            leader = await fleet.agrees()
            assert (await fleet.processes[leader].ask("agree-set k kept"))[0].startswith("SUCCESS agreed")
            for name in FIVE[:3]:
                await wait_until(lambda name=name: reads_value(fleet, name, "kept"))  # type: ignore[misc]
            for name in FIVE[:3]:
                await fleet._to_process(
                    stack, fleet.processes[name], Fault(0.0, "crash" if name == "n1" else "wipe", (name,))
                )
            store = str(fleet.store(fleet.processes["n1"]))
            code, output = await run_offline_command("inspect", store, "--json")
            assert code == 0 and json.loads(output)["node"] == "n1"
            code, output = await run_offline_command("recover", store, "--cluster", "another")
            assert code == 1 and "nothing has changed" in output
            assert (await run_offline_command("recover", store, "--cluster", "fleet"))[0] == 0
            await fleet.restart(stack, "n1")
            await wait_until(lambda: field_equals(fleet, "n1", "role", "leader"))
            await wait_until(lambda: reads_value(fleet, "n1", "kept"))
            assert (await fleet.processes["n1"].ask("agree-set k v"))[0].startswith("SUCCESS agreed")
            await fleet.restart(stack, "n2")  # with an empty store
            await wait_until(lambda: field_equals(fleet, "n2", "standing", "lost"))
            for _ in range(2):
                await wait_until(lambda: succeeds(fleet.processes["n1"].ops, "voters", "add", "n2"))
            await wait_until(lambda: field_equals(fleet, "n2", "role", "follower"))

    asyncio.run(run())


async def run_offline_command(*arguments: str) -> tuple[int, str]:
    """Run `agree …` on a store that is not open; return exit code and output, including standard error."""
    return await run_command("agree", *arguments, stderr=asyncio.subprocess.STDOUT)


async def field_equals(fleet: Assembly, name: str, field: str, value: str) -> bool:
    """Return whether a field of a process's `agree` status has this value."""
    return (await fleet.shown(name)).get(field) == value


async def reads_value(fleet: Assembly, name: str, value: str) -> bool:
    """Return whether a process reads this value for the key `k`."""
    return (await fleet.processes[name].ask("agree-get k"))[0].endswith(f" {value}")


async def succeeds(ops: int, *arguments: str) -> bool:
    """Return whether the command exits with code 0."""
    return (await run_agree_command(ops, *arguments))[0] == 0


def test_requests_without_a_majority_are_rejected_immediately_and_succeed_after_recovery() -> None:
    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = Assembly(Schedule(3, 1.0), 1)
            await fleet.open(stack)
            leader = await fleet.agrees()
            others = [name for name in FIVE[:3] if name != leader]
            for name in others:
                fleet.processes[name].signal(signal.SIGSTOP)
            await wait_until(lambda: field_equals(fleet, leader, "leader", "-"))  # the leader has stepped down
            begun = time.monotonic()
            answer = (await fleet.processes[leader].ask("agree-set k v"))[0]
            assert answer.startswith("FAILURE refused") and "no leader; again in 1.0 s" in answer
            assert time.monotonic() - begun < 1.0
            for name in others:
                fleet.processes[name].signal(signal.SIGCONT)
            await fleet.agrees()
            assert (await fleet.processes[leader].ask("agree-set k v"))[0].startswith("SUCCESS agreed")

    asyncio.run(run())
