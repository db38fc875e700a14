"""Anti-entropy: digests by bucket, repairs, and larger clusters in the simulator."""

from __future__ import annotations

import pytest

from chutepin.cluster import Answer, Detector, Send, Status
from chutepin.cluster.anti_entropy import MAX_BUCKETS, RepairPace, as_bits, bucket_count, differing, digests, from_bits
from chutepin.cluster.frames import decode, encode
from chutepin.cluster.member_table import LEFT_RETENTION_S
from chutepin.cluster.membership_view import ACCEPT_DEATH_AFTER_S
from chutepin.testbench.checks.membership_invariants import broken
from chutepin.testbench.faults.schedule import Fault, Schedule
from chutepin.testbench.scale.traffic import TrafficMeter
from chutepin.testbench.simulators.membership import Simulator

from . import cluster_mutants as mutants
from .cluster_helper import FLEET, make_detector, record


def _exchange(one: Detector, other: Detector, now: float) -> None:
    """Carry out the exchanges that one member has begun with another, to their end."""
    while sends := [effect for effect in one.drain_effects() if isinstance(effect, Send) and effect.stream]:
        for send in sends:
            other.receive(now, decode(encode(send.packet, FLEET), FLEET, True), True)
            for answer in [effect for effect in other.drain_effects() if isinstance(effect, Answer)]:
                one.receive(now, decode(encode(answer.packet, FLEET), FLEET, True), True)


def test_one_repair_makes_two_views_equal() -> None:
    one, other = make_detector(1, 2, *range(10, 200)), make_detector(2, 1, *range(10, 200))
    one.view.table.put(1.0, record(11, 4))
    one.view.table.put(1.0, record(300))
    other.view.table.put(1.0, record(12, 3, Status.LEFT))
    other.view.table.put(1.0, record(301))
    other.view.table.put(1.0, record(13, 9, zone="c"))
    one.view.joined = other.view.joined = True
    one.state_exchange.repair(60.0, "n2", "10.0.0.2:7301")
    _exchange(one, other, 60.0)
    assert one.view.digest == other.view.digest
    assert one.view.table.members["n13"].record.zone == "c" and "n300" in other.view.table.members


def test_missed_death_is_learned_by_repair_also_of_a_suspect() -> None:
    one, other = make_detector(1, 2, 20, 21), make_detector(2, 1, 20, 21)
    one.view.joined = other.view.joined = True
    one.view.table.put(1.0, record(20, 1, Status.SUSPECT))
    for number in (20, 21):
        other.view.table.put(1.0, record(number, 1, Status.DEAD))
    for now in (60.0, 60.0 + ACCEPT_DEATH_AFTER_S):
        one.state_exchange.repair(now, "n2", "10.0.0.2:7301")
        _exchange(one, other, now)
        told = [one.view.table.members[name].record.status for name in ("n20", "n21")]
        assert told == [Status.DEAD, Status.SUSPECT if now == 60.0 else Status.DEAD]


def test_only_buckets_of_changed_names_differ() -> None:
    live = [(f"n{number}", number * 7919) for number in range(2300)]
    count = bucket_count(len(live))
    assert count == 512 and bucket_count(1) == 1 and bucket_count(10**6) == MAX_BUCKETS
    mine, theirs = digests(live, count), digests([*live[:-1], ("n2299", 5)], count)
    assert len(differing(mine, theirs)) == 1 and from_bits(as_bits(differing(mine, theirs), count))


def test_pause_between_repairs_follows_the_differences_found() -> None:
    pace = RepairPace(0.0, 5.0)
    assert not pace.compare(0.0, 1, 2, 3.0) and not pace.compare(2.9, 1, 3, 3.0) and pace.compare(3.0, 1, 4, 3.0)
    dues = []
    for found in (0, 0, 0, 0, 1, 99):
        pace.finish(100.0, found, 0.5)
        dues.append(pace.due - 100.0)
    assert dues == [10.0, 20.0, 40.0, 40.0, 20.0, 2.5]
    assert not pace.compare(101.0, 7, 7, 0.0)  # equal: it begins anew
    pace.finish(200.0, 0, 0.5)
    assert pace.due == 210.0


def test_member_whose_digest_alone_differs_repairs_soon() -> None:
    pace = RepairPace(0.0, 5.0)
    for _ in range(4):
        pace.finish(0.0, 0, 0.5)
    assert [pace.compare(10.0 + at, 1, 2, 3.0) for at in range(4)] == [False] * 4
    assert pace.due == 18.0 and pace.compare(18.0, 1, 2, 3.0)


def _restarts(members: int, seconds: float, every: float) -> tuple[Fault, ...]:
    """Members leave and come back, one after the other."""
    faults: list[Fault] = []
    at, number = 3.0, 4
    while at < seconds - 20:
        name = (f"n{number}",)
        faults += [Fault(at, "leave", name), Fault(at + 3.0, "restart", name)]
        at, number = at + every, 4 + (number - 3) % (members - 4)
    return tuple(sorted(faults, key=lambda fault: fault.at))


NEARLY_ALL = tuple(f"n{number}" for number in range(6, 41))
# A member is cut off, for less than a suspicion takes, while others leave: it misses that.
MISSED = Schedule(
    100,
    24.0,
    (
        Fault(5.0, "split", groups=(("n1",), tuple(f"n{number}" for number in range(2, 101)))),
        Fault(5.1, "leave", ("n50", "n60")),
        Fault(6.3, "heal"),
    ),
)
SCHEDULES = {
    "missed": MISSED,
    "churn": Schedule(40, 32.0, (Fault(0.0, "delay", value=0.25), *_restarts(40, 32.0, 0.2))),
    "restart of nearly all": Schedule(40, 20.0, (Fault(5.0, "crash", NEARLY_ALL), Fault(7.0, "restart", NEARLY_ALL))),
    "departures": Schedule(6, LEFT_RETENTION_S + 30.0, (Fault(2.0, "leave", ("n5", "n6")),)),
}
CAUGHT: dict[type[Detector], tuple[str, str]] = {
    mutants.RepairsMoveWholeTables: ("missed", "repairs_transfer_only_differences"),
    mutants.NoRepair: ("missed", "views_converge"),
    mutants.RepairsWithoutPause: ("churn", "repairs_are_paced"),
    mutants.NoBudget: ("restart of nearly all", "bytes_are_within_budget"),
    mutants.NeverForgets: ("departures", "departed_members_are_forgotten"),
}


def _broken(schedule: str, seed: int, make: type[Detector] = Detector) -> dict[str, list[str]]:
    show = 5.0 if schedule == "departures" else 1.0
    simulator = Simulator(SCHEDULES[schedule], seed, make, known=True, show=show, meter=TrafficMeter())
    return broken(simulator.run())


@pytest.mark.parametrize("schedule", SCHEDULES)
def test_every_invariant_holds_among_more_members(schedule: str) -> None:
    assert not _broken(schedule, 1)


@pytest.mark.parametrize("mutant", mutants.DISSEMINATION_S)
def test_every_mutant_is_caught_by_its_invariant(mutant: type[Detector]) -> None:
    schedule, invariant = CAUGHT[mutant]
    found: set[str] = set()
    for seed in (1, 2, 3):
        found |= set(_broken(schedule, seed, mutant))
        if invariant in found:
            return
    raise AssertionError(f"not caught, only {found}")
