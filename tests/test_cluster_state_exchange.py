"""Anti-entropy: digests by bucket, repairs, and larger clusters in the simulator."""

from __future__ import annotations

import pytest

from chutepin.cluster import Answer, Detector, Send, Status
from chutepin.cluster.anti_entropy import (
    MAX_BUCKETS,
    RepairSchedule,
    bucket_count,
    bucket_digests,
    decode_bucket_set,
    differing_buckets,
    encode_bucket_set,
)
from chutepin.cluster.frames import decode, encode
from chutepin.cluster.member_table import LEFT_RETENTION_S
from chutepin.cluster.membership_view import ACCEPT_DEATH_AFTER_S
from chutepin.testbench.checks.membership_invariants import broken
from chutepin.testbench.faults.schedule import Fault, Schedule
from chutepin.testbench.scale.traffic import TrafficMeter
from chutepin.testbench.simulators.membership import Simulator

from . import cluster_mutants as mutants
from .cluster_helper import FLEET, make_detector, record


def _exchange(first: Detector, second: Detector, now: float) -> None:
    """Deliver the requests of the first member and the answers of the second until no request is left."""
    while sends := [effect for effect in first.drain_effects() if isinstance(effect, Send) and effect.stream]:
        for send in sends:
            second.receive(now, decode(encode(send.packet, FLEET), FLEET, True), True)
            for answer in [effect for effect in second.drain_effects() if isinstance(effect, Answer)]:
                first.receive(now, decode(encode(answer.packet, FLEET), FLEET, True), True)


def test_one_repair_makes_two_views_equal() -> None:
    first, second = make_detector(1, 2, *range(10, 200)), make_detector(2, 1, *range(10, 200))
    first.view.table.put(1.0, record(11, 4))
    first.view.table.put(1.0, record(300))
    second.view.table.put(1.0, record(12, 3, Status.LEFT))
    second.view.table.put(1.0, record(301))
    second.view.table.put(1.0, record(13, 9, zone="c"))
    first.view.joined = second.view.joined = True
    first.state_exchange.repair(60.0, "n2", "10.0.0.2:7301")
    _exchange(first, second, 60.0)
    assert first.view.digest == second.view.digest
    assert first.view.table.members["n13"].record.zone == "c" and "n300" in second.view.table.members


def test_repair_transfers_missed_deaths_including_those_of_suspects() -> None:
    first, second = make_detector(1, 2, 20, 21), make_detector(2, 1, 20, 21)
    first.view.joined = second.view.joined = True
    first.view.table.put(1.0, record(20, 1, Status.SUSPECT))
    for number in (20, 21):
        second.view.table.put(1.0, record(number, 1, Status.DEAD))
    for now in (60.0, 60.0 + ACCEPT_DEATH_AFTER_S):
        first.state_exchange.repair(now, "n2", "10.0.0.2:7301")
        _exchange(first, second, now)
        statuses = [first.view.table.members[name].record.status for name in ("n20", "n21")]
        assert statuses == [Status.DEAD, Status.SUSPECT if now == 60.0 else Status.DEAD]


def test_only_buckets_of_changed_names_differ() -> None:
    live = [(f"n{number}", number * 7919) for number in range(2300)]
    count = bucket_count(len(live))
    assert count == 512 and bucket_count(1) == 1 and bucket_count(10**6) == MAX_BUCKETS
    own, peer = bucket_digests(live, count), bucket_digests([*live[:-1], ("n2299", 5)], count)
    assert len(differing_buckets(own, peer)) == 1 and decode_bucket_set(
        encode_bucket_set(differing_buckets(own, peer), count)
    )


def test_pause_between_repairs_depends_on_differences_found() -> None:
    repair_schedule = RepairSchedule(0.0, 5.0)
    assert (
        not repair_schedule.compare(0.0, 1, 2, 3.0)
        and not repair_schedule.compare(2.9, 1, 3, 3.0)
        and repair_schedule.compare(3.0, 1, 4, 3.0)
    )
    dues = []
    for found in (0, 0, 0, 0, 1, 99):
        repair_schedule.finish(100.0, found, 0.5)
        dues.append(repair_schedule.due - 100.0)
    assert dues == [10.0, 20.0, 40.0, 40.0, 20.0, 2.5]
    assert not repair_schedule.compare(101.0, 7, 7, 0.0)  # equal digests reset the pause
    repair_schedule.finish(200.0, 0, 0.5)
    assert repair_schedule.due == 210.0


def test_member_repairs_soon_if_only_its_own_digest_differs() -> None:
    repair_schedule = RepairSchedule(0.0, 5.0)
    for _ in range(4):
        repair_schedule.finish(0.0, 0, 0.5)
    assert [repair_schedule.compare(10.0 + at, 1, 2, 3.0) for at in range(4)] == [False] * 4
    assert repair_schedule.due == 18.0 and repair_schedule.compare(18.0, 1, 2, 3.0)


def _restarts(members: int, seconds: float, every: float) -> tuple[Fault, ...]:
    """Return the faults of members that leave and restart one after another."""
    faults: list[Fault] = []
    at, number = 3.0, 4
    while at < seconds - 20:
        name = (f"n{number}",)
        faults += [Fault(at, "leave", name), Fault(at + 3.0, "restart", name)]
        at, number = at + every, 4 + (number - 3) % (members - 4)
    return tuple(sorted(faults, key=lambda fault: fault.at))


MOST_MEMBERS = tuple(f"n{number}" for number in range(6, 41))
# A member is partitioned for less than the suspicion time-out while others leave, so it misses these updates.
MISSED_UPDATES = Schedule(
    100,
    24.0,
    (
        Fault(5.0, "split", groups=(("n1",), tuple(f"n{number}" for number in range(2, 101)))),
        Fault(5.1, "leave", ("n50", "n60")),
        Fault(6.3, "heal"),
    ),
)
SCHEDULES = {
    "missed": MISSED_UPDATES,
    "churn": Schedule(40, 32.0, (Fault(0.0, "delay", value=0.25), *_restarts(40, 32.0, 0.2))),
    "restart of nearly all": Schedule(
        40, 20.0, (Fault(5.0, "crash", MOST_MEMBERS), Fault(7.0, "restart", MOST_MEMBERS))
    ),
    "departures": Schedule(6, LEFT_RETENTION_S + 30.0, (Fault(2.0, "leave", ("n5", "n6")),)),
}
CAUGHT: dict[type[Detector], tuple[str, str]] = {
    mutants.DigestsAlwaysDiffer: ("missed", "repairs_transfer_only_differences"),
    mutants.NoRepair: ("missed", "views_converge"),
    mutants.NoRepairPause: ("churn", "repairs_are_paced"),
    mutants.NoByteBudget: ("restart of nearly all", "bytes_are_within_budget"),
    mutants.NoExpiry: ("departures", "departed_members_are_forgotten"),
}


def _broken(schedule: str, seed: int, make: type[Detector] = Detector) -> dict[str, list[str]]:
    show = 5.0 if schedule == "departures" else 1.0
    simulator = Simulator(SCHEDULES[schedule], seed, make, known=True, show=show, meter=TrafficMeter())
    return broken(simulator.run())


@pytest.mark.parametrize("schedule", SCHEDULES)
def test_every_invariant_holds_in_larger_clusters(schedule: str) -> None:
    assert not _broken(schedule, 1)


@pytest.mark.parametrize("mutant", mutants.DISSEMINATION)
def test_every_mutant_is_caught_by_its_invariant(mutant: type[Detector]) -> None:
    schedule, invariant = CAUGHT[mutant]
    found: set[str] = set()
    for seed in (1, 2, 3):
        found |= set(_broken(schedule, seed, mutant))
        if invariant in found:
            return
    raise AssertionError(f"mutant not caught, violated only {found}")
