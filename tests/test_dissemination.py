"""Dissemination and anti-entropy: short updates, the pace of gossip, the byte budget, repair by bucket digests."""

from __future__ import annotations

import random
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chutepin.clock import Clock
from chutepin.cluster import Answer, Detector, Record, Send, Status
from chutepin.cluster.anti_entropy import MAX_BUCKETS, RepairPace, as_bits, bucket_count, differing, digests, from_bits
from chutepin.cluster.budget import ByteBudget
from chutepin.cluster.frames import COMPRESSED, MAX_STREAM_FRAME_BYTES, VERSION, FrameError, cluster_id, decode, encode
from chutepin.cluster.gossip import UpdateQueue, gossip_interval, limits, repeats
from chutepin.cluster.member_table import LEFT_RETENTION_S
from chutepin.cluster.membership_view import ACCEPT_DEATH_AFTER_S, MembershipView
from chutepin.cluster.messages import Ack, Body, Gossip, Packet, Ping, PingReq, ProbeResult, Sync
from chutepin.cluster.records import ShortRecord, expand, shorten
from chutepin.cluster.transport import Transport
from chutepin.config import Address
from chutepin.config.cluster import ClusterSetup
from chutepin.counters import Counters
from chutepin.logs import Log
from chutepin.testbench.checks.membership_invariants import broken
from chutepin.testbench.faults.schedule import Fault, Schedule
from chutepin.testbench.scale.traffic import TrafficMeter
from chutepin.testbench.simulators.membership import Simulator

from . import mutants
from .helper import STEPS

FLEET = cluster_id("fleet")


def record(number: int, incarnation: int = 1, status: Status = Status.ALIVE, zone: str = "a") -> Record:
    """One of many members."""
    name = f"n{number}"
    return Record(name, f"10.0.0.{number}:7301", "r1", zone, incarnation, status, name)


# --- short records ---


def test_a_short_record_stands_for_the_whole_one_at_the_same_place_only() -> None:
    new = record(7, 5, Status.LEFT)
    assert expand(shorten(new), record(7)) == new
    assert expand(shorten(new), record(7, zone="b")) is None
    assert len(encode(_gossip(shorten(new)), FLEET)) + 15 < len(encode(_gossip(new), FLEET))


def _gossip(update: Record | ShortRecord) -> Packet:
    return Packet("n2", shorten(record(1)), 1, 1, 0, Gossip(), (update,))


def detector(number: int, *others: int) -> Detector:
    """A member that knows others."""
    setup = ClusterSetup("fleet", "r1", "a", Address(f"10.0.0.{number}", 7301), members=8192)
    made = Detector(setup, f"n{number}", 1, 0.0, random.Random(number))
    for other in others:
        made.view.table.put(0.0, record(other))
    return made


def test_a_short_update_of_an_unknown_member_or_another_place_changes_nothing() -> None:
    member = detector(2, 1, 3)
    for number, update in enumerate((record(9), record(3, 8, zone="b"))):
        member.receive(1.0, Packet("n2", shorten(record(1)), 1, number, 0, Gossip(), (shorten(update),)))
    assert "n9" not in member.view.table.members and member.view.table.members["n3"].record == record(3)
    assert member.view.counts["unknown_updates"] == 2
    member.receive(1.0, Packet("n2", shorten(record(8)), 1, 2, 0, Gossip()))
    assert member.view.counts["drop.unknown"] == 1


def _exchange(one: Detector, other: Detector, now: float) -> None:
    """Carry out the exchanges that one member has begun with another, to their end."""
    while sends := [effect for effect in one.drain_effects() if isinstance(effect, Send) and effect.stream]:
        for send in sends:
            other.receive(now, decode(encode(send.packet, FLEET), FLEET, True), True)
            for answer in [effect for effect in other.drain_effects() if isinstance(effect, Answer)]:
                one.receive(now, decode(encode(answer.packet, FLEET), FLEET, True), True)


def test_one_repair_makes_two_views_equal_whatever_each_has_missed() -> None:
    one, other = detector(1, 2, *range(10, 200)), detector(2, 1, *range(10, 200))
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


def test_a_death_that_was_missed_comes_by_repair_also_where_the_member_is_suspect() -> None:
    one, other = detector(1, 2, 20, 21), detector(2, 1, 20, 21)
    one.view.joined = other.view.joined = True
    one.view.table.put(1.0, record(20, 1, Status.SUSPECT))
    for number in (20, 21):
        other.view.table.put(1.0, record(number, 1, Status.DEAD))
    for now in (60.0, 60.0 + ACCEPT_DEATH_AFTER_S):
        one.state_exchange.repair(now, "n2", "10.0.0.2:7301")
        _exchange(one, other, now)
        told = [one.view.table.members[name].record.status for name in ("n20", "n21")]
        assert told == [Status.DEAD, Status.SUSPECT if now == 60.0 else Status.DEAD]


def test_buckets_differ_where_names_do() -> None:
    live = [(f"n{number}", number * 7919) for number in range(2300)]
    count = bucket_count(len(live))
    assert count == 512 and bucket_count(1) == 1 and bucket_count(10**6) == MAX_BUCKETS
    mine, theirs = digests(live, count), digests([*live[:-1], ("n2299", 5)], count)
    assert len(differing(mine, theirs)) == 1 and from_bits(as_bits(differing(mine, theirs), count))


# --- pace and budget ---


def test_gossip_slows_with_the_members_but_hardly_for_what_is_urgent() -> None:
    for members in (2, 12, 400, 2300, 8192):
        assert 0.1 <= gossip_interval(0.1, members, True) <= gossip_interval(0.1, members, False) <= 2.0
    assert gossip_interval(0.1, 12, False) < 0.11 and gossip_interval(0.1, 2300, True) < 0.4
    assert limits(repeats(2300), 1) == (16, 6) and limits(repeats(2300), 1000) == (2, 2) and limits(8, 5) == (8, 6)


def test_what_is_urgent_is_told_more_often() -> None:
    queue = UpdateQueue()
    queue.add(shorten(record(1)), urgent=False)
    queue.add(shorten(record(2)), urgent=True)
    told = [update.name for _ in range(20) for update in queue.pick(1000, 8, 3) if isinstance(update, ShortRecord)]
    assert (told.count("n1"), told.count("n2"), len(queue), queue.urgent) == (3, 8, 0, 0)


@STEPS
@given(st.lists(st.tuples(st.floats(0.0, 5.0), st.integers(0, 3000)), max_size=40))
def test_a_budget_is_never_overdrawn_by_more_than_one_message(steps: list[tuple[float, int]]) -> None:
    budget, now, spent = ByteBudget(0.0, 1000.0, 2.0), 0.0, 0
    for wait, size in steps:
        now += wait
        if budget.available(now) > 0:
            budget.spend(now, size)
            spent += size
        assert spent <= 2000 + 1000 * now + 3000


def test_the_pause_between_repairs_follows_what_they_find() -> None:
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


def test_who_alone_differs_repairs_soon() -> None:
    pace = RepairPace(0.0, 5.0)
    for _ in range(4):
        pace.finish(0.0, 0, 0.5)
    assert [pace.compare(10.0 + at, 1, 2, 3.0) for at in range(4)] == [False] * 4
    assert pace.due == 18.0 and pace.compare(18.0, 1, 2, 3.0)


# --- frames ---


def test_whole_states_are_compressed_and_what_unpacks_to_too_much_is_dropped() -> None:
    packet = Packet("n2", record(1), 1, 1, 0, Sync(False, True), tuple(record(number) for number in range(2300)))
    frame = encode(packet, FLEET)
    assert frame[2] == VERSION | COMPRESSED and len(frame) < 60_000 and decode(frame, FLEET, True) == packet
    bomb = zlib.compress(bytes(MAX_STREAM_FRAME_BYTES + 1))
    head = frame[:7] + zlib.crc32(bomb).to_bytes(4)
    with pytest.raises(FrameError, match="too_long"):
        decode(head + bomb, FLEET, True)
    cut = bomb[:-9]
    with pytest.raises(FrameError, match=r"too_long|malformed"):
        decode(frame[:7] + zlib.crc32(cut).to_bytes(4) + cut, FLEET, True)


def test_frames_of_the_earlier_program_are_counted_and_go_nowhere(capsys: pytest.CaptureFixture[str]) -> None:
    counters, taken = Counters(), []
    transport = Transport(
        "fleet",
        Address("127.0.0.1", 7301),
        lambda packet, stream: taken.append(packet),
        None,  # type: ignore[arg-type]
        counters,
        Log(Clock()),
    )
    frame = encode(_gossip(record(3)), FLEET)
    transport._receive(frame[:2] + b"\x01" + frame[3:])
    assert counters.counts["cluster.drop.version"] == 1 and not taken
    assert "reason=version" in capsys.readouterr().err
    transport._receive(frame)
    assert len(taken) == 1


# --- names ---


def test_seventy_thousand_names_in_a_day_take_no_more_room_than_minutes_of_them() -> None:
    view = MembershipView(record(0), 8192, 86400.0)
    for number in range(1, 2001):
        view.merge(0.0, record(number), spread=False)
    largest = 0
    for number in range(2001, 72001):
        now = (number - 2000) * 86400.0 / 70000
        view.merge(now, record(number))
        view.merge(now, record(number - 2000, 1, Status.LEFT))
        view.pick_updates(600)
        view.events.clear()
        if number % 20 == 0:
            view.expire(now)
            largest = max(largest, len(view.table.members))
    assert view.live_count == 2001 and largest < 2000 + LEFT_RETENTION_S * 70000 / 86400 + 50
    assert len(view.queue) < 50 and view.table.rejected == 0


# --- the simulator ---


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
    mutants.RepairsMoveWholeTables: ("missed", "repairs_move_only_differences"),
    mutants.NoRepair: ("missed", "views_agree_in_the_end"),
    mutants.RepairsWithoutPause: ("churn", "repairs_are_paced"),
    mutants.NoBudget: ("restart of nearly all", "bytes_are_within_budget"),
    mutants.NeverForgets: ("departures", "the_departed_are_forgotten"),
}


def _broken(schedule: str, seed: int, make: type[Detector] = Detector) -> dict[str, list[str]]:
    show = 5.0 if schedule == "departures" else 1.0
    simulator = Simulator(SCHEDULES[schedule], seed, make, known=True, show=show, meter=TrafficMeter())
    return broken(simulator.run())


@pytest.mark.parametrize("schedule", SCHEDULES)
def test_every_invariant_holds_among_more_members(schedule: str) -> None:
    assert not _broken(schedule, 1)


@pytest.mark.parametrize("mutant", mutants.DISSEMINATION_S)
def test_every_planted_error_is_caught(mutant: type[Detector]) -> None:
    schedule, invariant = CAUGHT[mutant]
    found: set[str] = set()
    for seed in (1, 2, 3):
        found |= set(_broken(schedule, seed, mutant))
        if invariant in found:
            return
    raise AssertionError(f"not caught, only {found}")


# --- a member that leaves ---

REQUESTS: tuple[Body, ...] = (Ping(1), PingReq(1, "n3"), Ack(1, 0), ProbeResult(1, "n3", True, 0), Gossip())


@pytest.mark.parametrize("body", REQUESTS, ids=lambda body: type(body).__name__)
def test_a_leaving_member_is_not_woken_again_and_again(body: Body) -> None:
    """Asked to test another member it once waited for a time that was over, and so took a whole core until its end."""
    member = detector(2, 1, 3, 4)
    member.view.joined = True
    member.leave(1.0)
    suspect = record(4)._replace(status=Status.SUSPECT, by="n1")
    member.receive(1.1, Packet("n2", record(1), 1, 1, 0, body, (suspect,)))
    now, wakes = 1.1, 0
    while now < 11.1:
        now, wakes = member.wake_at(), wakes + 1
        assert wakes < 200, f"woken {wakes} times until {now}"
        member.tick(now)
        member.drain_effects()
