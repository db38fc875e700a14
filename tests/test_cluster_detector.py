"""The failure detector in the simulator: invariants under faults, and mutants that violate them."""

from __future__ import annotations

import json
import random
import subprocess
import sys
from pathlib import Path

import pytest

from chutepin.cluster import Answer, Detector, Send, Status
from chutepin.cluster.gossip import repeats
from chutepin.cluster.incarnation import IncarnationStore
from chutepin.cluster.messages import (
    Ack,
    Body,
    Gossip,
    Packet,
    Ping,
    PingReq,
    ProbeResult,
)
from chutepin.cluster.probe_state import suspicion_timeout
from chutepin.config import Address
from chutepin.config.cluster import ClusterSetup
from chutepin.store import Store
from chutepin.testbench.checks.history import History
from chutepin.testbench.checks.membership_invariants import broken
from chutepin.testbench.faults.schedule import Fault, Schedule, draw, load_schedule, smallest, split
from chutepin.testbench.simulators.membership import Simulator

from . import cluster_mutants as mutants
from .cluster_helper import make_detector, record
from .helper import ROOT

NAMES = [f"n{number}" for number in range(1, 8)]
OTHERS = [name for name in NAMES if name != "n5"]


def test_suspicion_timeout_shrinks_with_confirmations_and_grows_with_log_of_member_count() -> None:
    for members in (3, 12, 1000):
        times = [suspicion_timeout(1.2, 6, members, others) for others in range(6)]
        assert times == sorted(times, reverse=True) and times[-1] == suspicion_timeout(1.2, 6, members, 99)
    assert suspicion_timeout(1.2, 6, 1000, 3) == pytest.approx(3 * suspicion_timeout(1.2, 6, 10, 3))
    assert repeats(1000) == 16 and repeats(9) == 4


def make_schedule(seconds: float, *faults: Fault, members: int = 7) -> Schedule:
    return Schedule(members, seconds, faults)


SCHEDULES = {
    "crash": make_schedule(45, Fault(10, "crash", ("n5",)), Fault(30, "restart", ("n5",))),
    "loss": make_schedule(
        140, Fault(0, "loss", value=0.3), Fault(0, "duplicate", value=0.2), Fault(125, "loss"), Fault(125, "duplicate")
    ),
    "stop": make_schedule(
        60,
        Fault(10, "stop", ("n5",)),
        Fault(20, "wake", ("n5",)),
        Fault(30, "stop", ("n2", "n3")),
        Fault(40, "wake", ("n2", "n3")),
    ),
    "stop all": make_schedule(50, Fault(10, "stop", tuple(NAMES)), Fault(20, "wake", tuple(NAMES))),
    "split": make_schedule(70, split(10, (NAMES[:4], NAMES[4:])), Fault(40, "heal")),
    "split in three": make_schedule(70, split(10, (NAMES[:3], NAMES[3:6], NAMES[6:])), Fault(45, "heal")),
    "member receives nothing": make_schedule(
        80, *(Fault(10, "cut", (name, "n5")) for name in OTHERS), Fault(60, "heal")
    ),
    "member sends nothing": make_schedule(80, Fault(10, "cut", ("n5", *OTHERS)), Fault(60, "heal")),
    "one link": make_schedule(
        80,
        Fault(10, "cut", ("n1", "n2")),
        Fault(30, "heal"),
        Fault(40, "cut", ("n1", "n2")),
        Fault(40, "cut", ("n2", "n1")),
        Fault(60, "heal"),
    ),
    "slow": make_schedule(60, Fault(10, "slow", ("n4",), 0.9), Fault(40, "slow", ("n4",))),
    "clock set back": make_schedule(
        60, Fault(10, "clock", ("n5",), -3600.0), Fault(11, "crash", ("n5",)), Fault(12, "restart", ("n5",))
    ),
    "wave of restarts": make_schedule(
        60,
        *(
            fault
            for number, name in enumerate(OTHERS)
            for fault in (Fault(10 + 0.7 * number, "crash", (name,)), Fault(10.5 + 0.7 * number, "restart", (name,)))
        ),
    ),
}


@pytest.mark.parametrize("name", SCHEDULES)
def test_every_invariant_holds_under_faults(name: str) -> None:
    for seed in (1, 2, 3):
        assert not broken(Simulator(SCHEDULES[name], seed, delay=0.08, wire=seed == 1).run()), seed


@pytest.mark.parametrize("seed", range(24))
def test_every_invariant_holds_under_random_faults(seed: int) -> None:
    schedule = draw(seed, 4 + seed % 5, 90.0)
    assert load_schedule(schedule.as_json()) == schedule
    found = broken(Simulator(schedule, seed, wire=True).run())
    assert not found, f"seed {seed}: {found}"


def test_failing_schedule_shrinks_to_minimal_faults() -> None:
    schedule = make_schedule(
        70,
        Fault(2, "delay", value=0.01),
        split(10, (NAMES[:4], NAMES[4:])),
        Fault(12, "cut", ("n1", "n2")),
        Fault(40, "heal"),
    )

    def fails(schedule: Schedule) -> bool:
        found = broken(Simulator(schedule, 1, mutants.NoReconnectProbes).run())
        return any("dead" in line for line in found.get("views_converge", ()))

    assert [fault.what for fault in smallest(schedule, fails).faults] == ["split", "heal"]


def test_first_incarnation_exceeds_stored_incarnation(tmp_path: Path) -> None:
    with Store.open(tmp_path / "store") as store:
        first = IncarnationStore("n1", store).allocate()
        IncarnationStore("n1", store).persist(first + 10**9)  # written while the clock was that far ahead
        assert IncarnationStore("n2", store).allocate() < first + 10**9
    with Store.open(tmp_path / "store") as store:
        assert IncarnationStore("n1", store).allocate() == first + 10**9 + 1


def test_lab_command_writes_history_schedule_and_chart(tmp_path: Path) -> None:
    out = tmp_path / "out"
    arguments = ("lab", "simulate", "draw", "--seed", "7", "--out", str(out), "--json")
    result = subprocess.run(
        [sys.executable, "-m", "chutepin", *arguments], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert json.loads(result.stdout)["broken"] == {}
    assert load_schedule((out / "schedule.json").read_text()) == draw(7, 6, 90.0)
    assert (out / "alive.svg").stat().st_size > 1000 and (out / "history.jsonl").read_text().count("\n") > 100


def test_equal_seeds_produce_identical_histories() -> None:
    texts = {Simulator(SCHEDULES["loss"], seed).run().text() for seed in (5, 5, 6)}
    assert len(texts) == 2


def test_schedule_expands_zones_and_rejects_invalid_faults() -> None:
    text = '{"members": 5, "seconds": 9, "faults": %s}'
    schedule = load_schedule(text.replace("%s", '[{"at": 1, "what": "stop", "members": ["zone:a"]}]'))
    assert schedule.faults[0].members == ("n1", "n4")
    for faults, message in (
        ('[{"at": 1, "what": "burn"}]', "burn is not one of"),
        ('[{"at": 1, "what": "stop", "members": ["n9"]}]', "no such members: n9"),
    ):
        with pytest.raises(ValueError, match=message):
            load_schedule(text.replace("%s", faults))


CAUGHT: dict[type[Detector], tuple[str, str]] = {
    mutants.NoRefutation: ("stop", "views_converge"),
    mutants.IncarnationNotRaised: ("split", "views_converge"),
    mutants.NoHelpers: ("one link", "only_cut_links_are_reported"),
    mutants.NoLocalHealth: ("stop all", "resumed_member_suspects_nobody"),
    mutants.UnboundedRepeats: ("crash", "traffic_is_bounded"),
    mutants.NoSuspicionTimeout: ("loss", "no_live_member_is_declared_dead"),
    mutants.NoReconnectProbes: ("split", "views_converge"),
    mutants.NoLinkReports: ("one link", "only_cut_links_are_reported"),
    mutants.SlowSuspicion: ("crash", "every_crash_is_detected"),
    mutants.LastWriteWins: ("loss", "incarnations_never_decrease"),
}


@pytest.mark.parametrize("mutant", mutants.ALL)
def test_every_mutant_is_caught_by_its_invariant(mutant: type[Detector]) -> None:
    schedule, invariant = CAUGHT[mutant]
    found: set[str] = set()
    for seed in range(1, 13):
        found |= set(broken(Simulator(SCHEDULES[schedule], seed, mutant, delay=0.08).run()))
        if invariant in found:
            return
    raise AssertionError(f"mutant not caught, violated only {found}")


def states(history: History, at: float, member: str) -> dict[str, str]:
    """Return the states of all members in a member's first view sample at or after a time."""
    shown = next(shown for shown in history.shown if shown.member == member and shown.at >= at)
    return {name: state for name, state, _ in shown.states}


# The table of docs/membership.md: the cut links (source, target), the state of A (n5) in the views of the others after
# 30 s, and the states of the others in A's view.
TABLE = {
    "A receives nothing": ([(name, "n5") for name in OTHERS], "dead", {"suspect", "dead"}),
    "A sends nothing": ([("n5", name) for name in OTHERS], "dead", {"alive", "suspect", "dead"}),
    "A is cut off": ([(a, b) for name in OTHERS for a, b in ((name, "n5"), ("n5", name))], "dead", {"suspect", "dead"}),
    "link from A to B is cut": ([("n5", "n1")], "alive", {"alive"}),
    "link from B to A is cut": ([("n1", "n5")], "alive", {"alive"}),
    "both links between A and B are cut": ([("n5", "n1"), ("n1", "n5")], "alive", {"alive"}),
    "A has links with one member only": (
        [(a, b) for name in OTHERS[1:] for a, b in ((name, "n5"), ("n5", name))],
        "alive",
        {"alive"},
    ),
}


@pytest.mark.parametrize("case", TABLE)
def test_cut_links_have_documented_outcomes(case: str) -> None:
    cuts, expected_of_a, expected_of_others = TABLE[case]
    faults = [Fault(10.0, "cut", cut) for cut in cuts]
    for seed in (1, 2):
        history = Simulator(make_schedule(75, *faults, Fault(60, "heal")), seed).run()
        for name in OTHERS:
            assert states(history, 40, name)["n5"] == expected_of_a, (case, name)
            if case == "A has links with one member only":
                # A member whose random helpers all lack a link with A suspects A until its next probe, but never
                # declares it dead.
                observed = [
                    shown.state("n5") for shown in history.shown if shown.member == name and 30 <= shown.at < 60
                ]
                assert "dead" not in observed and observed.count(expected_of_a) > 0.75 * len(observed), (case, name)
        assert set(states(history, 40, "n5").values()) - {"alive"} <= expected_of_others, case
        assert all(states(history, 40, name)[other] == "alive" for name in OTHERS for other in OTHERS), case
        if expected_of_a == "alive":
            links = next(shown for shown in history.shown if shown.at >= 40).links
            assert set(links) >= set(cuts[:16]) and set(links) <= set(cuts), case
        assert states(history, 74, "n1") == dict.fromkeys(NAMES, "alive")


def test_minority_side_of_partition_reports_isolation() -> None:
    history = Simulator(SCHEDULES["split"], 1).run()
    events = {(seen.member, seen.what) for seen in history.seen if seen.what in ("isolated", "in_touch")}
    assert events == {(name, what) for name in NAMES[4:] for what in ("isolated", "in_touch")}


def test_leaving_member_is_marked_left_and_can_rejoin() -> None:
    history = Simulator(make_schedule(40, Fault(10, "leave", ("n5",)), Fault(25, "restart", ("n5",))), 1).run()
    left = {seen.member: seen.at for seen in history.seen if seen.what == "left"}
    assert set(left) == set(OTHERS) and max(left.values()) < 10.5
    assert not [seen for seen in history.seen if seen.subject == "n5" and seen.what in ("suspect", "dead")]
    assert states(history, 39, "n1")["n5"] == "alive"


def test_clock_set_back_does_not_lower_incarnation() -> None:
    for persistent in (True, False):
        history = Simulator(SCHEDULES["clock set back"], 1, persistent=persistent).run()
        incarnations = [
            number
            for shown in history.shown
            if shown.member == "n1"
            for name, _, number in shown.states
            if name == "n5"
        ]
        assert incarnations == sorted(incarnations) and len(set(incarnations)) > 1


def test_duplicate_name_is_rejected_until_name_is_free() -> None:
    simulator = Simulator(make_schedule(30), 1)
    duplicate = Detector(
        ClusterSetup("fleet", "r", "a", Address("10.9.9.9", 7301), (("n1", "10.0.0.1:7301"),)),
        "n5",
        1,
        15.0,
        random.Random(1),
    )  # the duplicate's clock is far behind, so its incarnation is lower than the holder's
    simulator.run()
    holder, seed = simulator.hosts["n5"].detector, simulator.hosts["n1"].detector
    assert holder is not None and seed is not None

    def exchange_packets(now: float) -> None:
        duplicate.tick(now)
        packets = [effect.packet for effect in duplicate.drain_effects() if isinstance(effect, Send)]
        duplicate.wake_at()
        for packet in packets:
            seed.receive(now, packet, True)
            for effect in seed.drain_effects():
                if isinstance(effect, Answer):
                    duplicate.receive(now, effect.packet, True)
            seed.wake_at()

    exchange_packets(31.0)
    assert duplicate.view.name_holder is not None and duplicate.view.name_holder.address == "10.0.0.5:7301"
    assert seed.view.table.members["n5"].record.address == "10.0.0.5:7301"
    seed.view.merge(40.0, seed.view.table.members["n5"].record._replace(status=Status.DEAD, by="n2"))
    seed.drain_effects()
    for at in range(41, 53):
        exchange_packets(float(at))
    assert duplicate.view.name_holder is None and duplicate.view.joined
    assert seed.view.table.members["n5"].record.address == "10.9.9.9:7301"


def test_probe_ends_after_its_subject_is_removed() -> None:
    simulator = Simulator(make_schedule(10.3, Fault(9.0, "cut", ("n1", *NAMES[1:]))), 1)
    simulator.run()
    detector = simulator.hosts["n1"].detector
    assert detector is not None and detector.probing.probes
    for name in list(detector.view.table.members):
        detector.view.table.remove(name)
    for step in range(100):
        detector.tick(10.3 + step / 10)
        detector.drain_effects()
        assert detector.wake_at() > 9.0
    assert not detector.probing.probes


def test_replayed_datagram_is_dropped() -> None:
    simulator = Simulator(make_schedule(10), 1)
    captured: list[Packet] = []
    deliver = simulator._through_wire
    simulator._through_wire = lambda packet: captured.append(packet) or deliver(packet)  # type: ignore[method-assign, func-returns-value]
    simulator.run()
    detector = simulator.hosts["n1"].detector
    assert detector is not None
    before = detector.view.counts["drop.replayed"]
    replayed = [packet for packet in captured if packet.to == "n1"][-20:]
    for packet in replayed:
        detector.receive(10.0, packet)
    assert detector.view.counts["drop.replayed"] == before + len(replayed)


REQUESTS: tuple[Body, ...] = (Ping(1), PingReq(1, "n3"), Ack(1, 0), ProbeResult(1, "n3", True, 0), Gossip())


@pytest.mark.parametrize("body", REQUESTS, ids=lambda body: type(body).__name__)
def test_leaving_member_sets_no_timer_in_the_past(body: Body) -> None:
    """Guards against a busy loop: a PingReq received while leaving set a timer in the past, using a core until exit."""
    member = make_detector(2, 1, 3, 4)
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
