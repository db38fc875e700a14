"""A consensus group in virtual time: invariants hold under all kinds of faults, and mutants violate them."""

from __future__ import annotations

import random

import pytest

from chutepin.consensus.errors import JournalError
from chutepin.consensus.replicated_state import Outcome, OutcomeState
from chutepin.testbench.checks.consensus_history import ConsensusHistory
from chutepin.testbench.checks.consensus_invariants import violations
from chutepin.testbench.faults.schedule import Fault, Schedule, draw, split
from chutepin.testbench.simulators.consensus import WRITE_DURATION_S, Simulator
from chutepin.testbench.simulators.consensus_hosts import Parts

from .consensus_mutants import MUTANTS

PRODUCT = Parts()
FIVE = [f"n{number}" for number in range(1, 6)]


def partitions(rng: random.Random) -> Schedule:
    """Return a schedule of successive partitions that separate one or two nodes."""
    faults, at = [], 3.0
    while at < 32:
        shuffled = rng.sample(FIVE, 5)
        boundary = rng.choice((1, 2))
        faults += [split(at, (shuffled[:boundary], shuffled[boundary:])), Fault(at + 3, "heal")]
        at += 4
    return Schedule(5, 60.0, tuple(faults))


def isolated_voters(rng: random.Random) -> Schedule:
    """Return a schedule that isolates one voter after the other, sometimes the leader."""
    faults = [
        fault
        for number in range(5)
        for voter in [rng.choice(FIVE[:3])]
        for fault in (
            split(3.0 + 4 * number, ((voter,), [name for name in FIVE if name != voter])),
            Fault(5.5 + 4 * number, "heal"),
        )
    ]
    return Schedule(5, 40.0, tuple(faults))


def power_cuts(rng: random.Random) -> Schedule:
    """Return a schedule of successive power cuts of one, two or three nodes."""
    faults, at = [], 3.0
    while at < 32:
        crashed = tuple(rng.choice((FIVE[:3], FIVE[:3], FIVE[:2], [rng.choice(FIVE)])))
        faults += [Fault(at, "crash", crashed), Fault(at + rng.choice((0.05, 0.5, 2.5)), "restart", crashed)]
        at += rng.choice((3.0, 4.0))
    return Schedule(5, 60.0, tuple(faults))


def simultaneous_power_cuts(rng: random.Random) -> Schedule:
    """Return a schedule of repeated power cuts of all voters at the same moment."""
    faults = [
        Fault(at + offset, kind, tuple(FIVE[:3]))
        for at in range(3, 18, 3)
        for offset, kind in ((rng.random(), "crash"), (1.0, "restart"))
    ]
    return Schedule(5, 34.0, tuple(sorted(faults, key=lambda fault: fault.at)))


def message_loss(rng: random.Random) -> Schedule:
    """Return a schedule that loses a third of all messages, which causes repeated requests, and restarts voters."""
    faults = [Fault(0.0, "loss", value=0.35), Fault(34.0, "loss")]
    for number in range(10):
        voter = rng.choice(FIVE[:3])
        faults += [Fault(4.0 + 3 * number, "crash", (voter,)), Fault(4.5 + 3 * number, "restart", (voter,))]
    return Schedule(5, 60.0, tuple(sorted(faults, key=lambda fault: fault.at)))


def one_way_partition(rng: random.Random) -> Schedule:
    """Return a schedule in which one voter receives no messages for a long time but can send."""
    voter = rng.choice(FIVE[:3])
    cuts = tuple(Fault(4.0, "cut", (name, voter)) for name in FIVE if name != voter)
    return Schedule(5, 60.0, (*cuts, Fault(35.0, "heal")))


def wiped_disk(rng: random.Random) -> Schedule:
    """Return a schedule in which a voter with a wiped disk must not form a majority with an outdated voter.

    Two voters commit entries without the third; one of them loses its disk and is then partitioned with the third."""
    a, b, c = rng.sample(FIVE[:3], 3)
    return Schedule(
        5,
        60.0,
        (
            split(3.0, ((a, b), (c, "n4", "n5"))),
            Fault(12.0, "wipe", (b,)),
            split(12.0, ((a,), (b, c, "n4", "n5"))),
            Fault(12.5, "restart", (b,)),
            Fault(25.0, "heal"),
        ),
    )


def no_faults(rng: random.Random) -> Schedule:
    return Schedule(5, 30.0)


SCHEDULES = {
    "partitions": partitions,
    "isolated_voters": isolated_voters,
    "power_cuts": power_cuts,
    "simultaneous_power_cuts": simultaneous_power_cuts,
    "message_loss": message_loss,
    "one_way_partition": one_way_partition,
    "wiped_disk": wiped_disk,
    "no_faults": no_faults,
}


def run_schedule(name: str, seed: int, parts: Parts = PRODUCT) -> ConsensusHistory:
    every, write = {"simultaneous_power_cuts": (0.02, (0.001, 0.06)), "isolated_voters": (0.015, WRITE_DURATION_S)}.get(
        name, (0.05, WRITE_DURATION_S)
    )
    return Simulator(SCHEDULES[name](random.Random(seed)), seed, parts=parts, every=every, write=write).run()


@pytest.mark.parametrize("name", SCHEDULES)
@pytest.mark.parametrize("seed", range(2))
def test_invariants_hold_under_one_kind_of_fault(name: str, seed: int) -> None:
    history = run_schedule(name, seed)
    assert violations(history) == {}
    assert len(history.committed_sets()) > 50 and len(history.answered_reads()) > 20


@pytest.mark.parametrize("first", range(0, 24, 4))
def test_invariants_hold_under_random_faults_and_membership_changes(first: int) -> None:
    for seed in range(first, first + 4):
        schedule = draw(seed, (5, 7, 4)[seed % 3], 60.0)
        history = Simulator(
            schedule, seed, voters=5 if seed % 3 == 1 else 3, wire=seed % 4 == 0, changes=4.0 * (seed % 2)
        ).run()
        assert violations(history) == {}, f"seed {seed}"


def test_equal_seeds_give_equal_histories() -> None:
    schedule = draw(5, 5, 40.0)
    runs = [Simulator(schedule, 5, changes=4.0).run() for _ in range(2)]
    assert runs[0] == runs[1]


@pytest.mark.parametrize("mutant", MUTANTS)
def test_mutant_is_found(mutant: str) -> None:
    parts, schedule, invariant = MUTANTS[mutant]
    assert seeds_needed(parts, schedule, invariant, 40) < 40


def seeds_needed(parts: Parts, schedule: str, invariant: str, max_seeds: int) -> int:
    """Return the first seed under which the invariant is violated; `max_seeds` if there is none."""
    for seed in range(max_seeds):
        try:
            found = violations(run_schedule(schedule, seed, parts))
        except (AssertionError, JournalError):  # an internal check failed before the invariant
            continue
        if invariant in found:
            return seed
    return max_seeds


def test_proposal_of_a_version_that_a_node_does_not_read_is_rejected() -> None:
    simulator = Simulator(Schedule(4, 12.0), 1)
    outcomes: list[Outcome] = []

    def propose() -> None:
        host = simulator.hosts["n4"]
        assert host.participant is not None
        ticket = host.participant.propose(
            simulator.now, host.participant.new_proposal_id(), b"", simulator.now + 2.0, 2
        )
        host.tickets[ticket] = outcomes.append
        simulator._process_effects(host)

    simulator._schedule_event(8.0, propose)
    simulator.run()
    assert [(outcome.state, outcome.reason) for outcome in outcomes] == [
        (OutcomeState.REJECTED, "n1 does not know version 2")
    ]
    leader = next(
        host.participant for host in simulator.hosts.values() if host.participant and host.participant.raft.role == 3
    )
    assert len(leader.directory.known) == 3  # includes nodes that have never connected to the leader by themselves


def test_lagging_nodes_catch_up_by_snapshots() -> None:
    """An observer whose upstream has lost the leader chooses another; a voter that restarts late gets a snapshot."""
    schedule = Schedule(
        14,
        60.0,
        (
            Fault(4.0, "crash", ("n3", "n14")),
            Fault(30.0, "restart", ("n3", "n14")),
            Fault(40.0, "cut", ("n1", "n4", "n5", "n6")),
        ),
    )
    simulator = Simulator(schedule, 3, every=0.02)
    history = simulator.run()
    assert violations(history) == {}
    applied = {
        name: host.participant.state.applied_index
        for name, host in simulator.hosts.items()
        if host.participant is not None
    }
    assert len(set(applied.values())) == 1 and applied["n14"] > 1000
    assert (
        simulator.hosts["n14"].participant is not None and simulator.hosts["n14"].participant.raft.log.last_index == 0
    )
