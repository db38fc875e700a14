"""The failure detector in the simulator: faults, invariants, and the mutants that must be caught."""

from __future__ import annotations

import json
import random
import subprocess
import sys
from pathlib import Path

import pytest

from chutepin.cluster import Answer, Detector, Send, Status
from chutepin.cluster.gossip import repeats
from chutepin.cluster.incarnation import Incarnations
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
REST = [name for name in NAMES if name != "n5"]


def test_suspicion_timeout_shrinks_with_confirmations_and_grows_with_the_log_of_members() -> None:
    for members in (3, 12, 1000):
        times = [suspicion_timeout(1.2, 6, members, others) for others in range(6)]
        assert times == sorted(times, reverse=True) and times[-1] == suspicion_timeout(1.2, 6, members, 99)
    assert suspicion_timeout(1.2, 6, 1000, 3) == pytest.approx(3 * suspicion_timeout(1.2, 6, 10, 3))
    assert repeats(1000) == 16 and repeats(9) == 4


def calm(seconds: float, *faults: Fault, members: int = 7) -> Schedule:
    return Schedule(members, seconds, faults)


SCHEDULES = {
    "crash": calm(45, Fault(10, "crash", ("n5",)), Fault(30, "restart", ("n5",))),
    "loss": calm(
        140, Fault(0, "loss", value=0.3), Fault(0, "duplicate", value=0.2), Fault(125, "loss"), Fault(125, "duplicate")
    ),
    "stop": calm(
        60,
        Fault(10, "stop", ("n5",)),
        Fault(20, "wake", ("n5",)),
        Fault(30, "stop", ("n2", "n3")),
        Fault(40, "wake", ("n2", "n3")),
    ),
    "stop all": calm(50, Fault(10, "stop", tuple(NAMES)), Fault(20, "wake", tuple(NAMES))),
    "split": calm(70, split(10, (NAMES[:4], NAMES[4:])), Fault(40, "heal")),
    "split in three": calm(70, split(10, (NAMES[:3], NAMES[3:6], NAMES[6:])), Fault(45, "heal")),
    "hears nobody": calm(80, *(Fault(10, "cut", (name, "n5")) for name in REST), Fault(60, "heal")),
    "is not heard": calm(80, Fault(10, "cut", ("n5", *REST)), Fault(60, "heal")),
    "one link": calm(
        80,
        Fault(10, "cut", ("n1", "n2")),
        Fault(30, "heal"),
        Fault(40, "cut", ("n1", "n2")),
        Fault(40, "cut", ("n2", "n1")),
        Fault(60, "heal"),
    ),
    "slow": calm(60, Fault(10, "slow", ("n4",), 0.9), Fault(40, "slow", ("n4",))),
    "clock set back": calm(
        60, Fault(10, "clock", ("n5",), -3600.0), Fault(11, "crash", ("n5",)), Fault(12, "restart", ("n5",))
    ),
    "wave of restarts": calm(
        60,
        *(
            fault
            for number, name in enumerate(REST)
            for fault in (Fault(10 + 0.7 * number, "crash", (name,)), Fault(10.5 + 0.7 * number, "restart", (name,)))
        ),
    ),
}


@pytest.mark.parametrize("name", SCHEDULES)
def test_every_invariant_holds_under_faults(name: str) -> None:
    for seed in (1, 2, 3):
        assert not broken(Simulator(SCHEDULES[name], seed, delay=0.08, wire=seed == 1).run()), seed


@pytest.mark.parametrize("seed", range(24))
def test_every_invariant_holds_under_drawn_faults(seed: int) -> None:
    schedule = draw(seed, 4 + seed % 5, 90.0)
    assert load_schedule(schedule.as_json()) == schedule
    found = broken(Simulator(schedule, seed, wire=True).run())
    assert not found, f"seed {seed}: {found}"


def test_failing_schedule_shrinks_to_the_faults_that_matter() -> None:
    schedule = calm(
        70,
        Fault(2, "delay", value=0.01),
        split(10, (NAMES[:4], NAMES[4:])),
        Fault(12, "cut", ("n1", "n2")),
        Fault(40, "heal"),
    )

    def fails(schedule: Schedule) -> bool:
        found = broken(Simulator(schedule, 1, mutants.ForgetsTheDead).run())
        return any("dead" in line for line in found.get("views_converge", ()))

    assert [fault.what for fault in smallest(schedule, fails).faults] == ["split", "heal"]


def test_first_incarnation_is_above_the_stored_one(tmp_path: Path) -> None:
    with Store.open(tmp_path / "store") as store:
        first = Incarnations("n1", store).begin()
        Incarnations("n1", store).store(first + 10**9)  # the clock was that far ahead, and was set back since
        assert Incarnations("n2", store).begin() < first + 10**9
    with Store.open(tmp_path / "store") as store:
        assert Incarnations("n1", store).begin() == first + 10**9 + 1


def test_lab_command_writes_history_schedule_and_chart(tmp_path: Path) -> None:
    out = tmp_path / "out"
    asked = ("lab", "simulate", "draw", "--seed", "7", "--out", str(out), "--json")
    done = subprocess.run(
        [sys.executable, "-m", "chutepin", *asked], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert json.loads(done.stdout)["broken"] == {}
    assert load_schedule((out / "schedule.json").read_text()) == draw(7, 6, 90.0)
    assert (out / "alive.svg").stat().st_size > 1000 and (out / "history.jsonl").read_text().count("\n") > 100


def test_one_seed_gives_one_history_byte_for_byte() -> None:
    texts = {Simulator(SCHEDULES["loss"], seed).run().text() for seed in (5, 5, 6)}
    assert len(texts) == 2


def test_schedule_expands_zones_and_rejects_invalid_faults() -> None:
    text = '{"members": 5, "seconds": 9, "faults": %s}'
    schedule = load_schedule(text.replace("%s", '[{"at": 1, "what": "stop", "members": ["zone:a"]}]'))
    assert schedule.faults[0].members == ("n1", "n4")
    for faults, wrong in (
        ('[{"at": 1, "what": "burn"}]', "burn is not one of"),
        ('[{"at": 1, "what": "stop", "members": ["n9"]}]', "no such members: n9"),
    ):
        with pytest.raises(ValueError, match=wrong):
            load_schedule(text.replace("%s", faults))


CAUGHT: dict[type[Detector], tuple[str, str]] = {
    mutants.NoRefutation: ("stop", "views_converge"),
    mutants.IncarnationNotRaised: ("split", "views_converge"),
    mutants.NoHelpers: ("one link", "only_cut_links_are_reported"),
    mutants.NoLocalHealth: ("stop all", "resumed_member_suspects_nobody"),
    mutants.UnboundedRepeats: ("crash", "traffic_is_bounded"),
    mutants.NoTimeToRefute: ("loss", "no_live_member_is_declared_dead"),
    mutants.ForgetsTheDead: ("split", "views_converge"),
    mutants.EveryLinkIsWell: ("one link", "only_cut_links_are_reported"),
    mutants.SlowToAccuse: ("crash", "every_crash_is_detected"),
    mutants.TakesBackNews: ("loss", "incarnations_never_decrease"),
}


@pytest.mark.parametrize("mutant", mutants.ALL)
def test_every_mutant_is_caught_by_its_invariant(mutant: type[Detector]) -> None:
    schedule, invariant = CAUGHT[mutant]
    found: set[str] = set()
    for seed in range(1, 13):
        found |= set(broken(Simulator(SCHEDULES[schedule], seed, mutant, delay=0.08).run()))
        if invariant in found:
            return
    raise AssertionError(f"not caught, only {found}")


def states(history: History, at: float, member: str) -> dict[str, str]:
    """What a member showed at a time."""
    shown = next(shown for shown in history.shown if shown.member == member and shown.at >= at)
    return {name: state for name, state, _ in shown.states}


# Who hears whom: the table of docs/membership.md. The cuts, what others show of A (n5) after 30 s, what A shows.
TABLE = {
    "A hears nobody": ([(name, "n5") for name in REST], "dead", {"suspect", "dead"}),
    "nobody hears A": ([("n5", name) for name in REST], "dead", {"alive", "suspect", "dead"}),
    "A is cut off": ([(a, b) for name in REST for a, b in ((name, "n5"), ("n5", name))], "dead", {"suspect", "dead"}),
    "A is not heard by B": ([("n5", "n1")], "alive", {"alive"}),
    "A does not hear B": ([("n1", "n5")], "alive", {"alive"}),
    "A and B are cut": ([("n5", "n1"), ("n1", "n5")], "alive", {"alive"}),
    "A has one friend": ([(a, b) for name in REST[1:] for a, b in ((name, "n5"), ("n5", name))], "alive", {"alive"}),
}


@pytest.mark.parametrize("case", TABLE)
def test_cut_links_have_the_outcomes_of_the_documented_table(case: str) -> None:
    cuts, of_a, of_others = TABLE[case]
    faults = [Fault(10.0, "cut", cut) for cut in cuts]
    for seed in (1, 2):
        history = Simulator(calm(75, *faults, Fault(60, "heal")), seed).run()
        for name in REST:
            assert states(history, 40, name)["n5"] == of_a, (case, name)
            if case == "A has one friend":
                # Where no helper may reach it, it is suspect until it is tested again, but never dead.
                looks = [shown.state("n5") for shown in history.shown if shown.member == name and 30 <= shown.at < 60]
                assert "dead" not in looks and looks.count(of_a) > 0.75 * len(looks), (case, name)
        assert set(states(history, 40, "n5").values()) - {"alive"} <= of_others, case
        assert all(states(history, 40, name)[other] == "alive" for name in REST for other in REST), case
        if of_a == "alive":
            links = next(shown for shown in history.shown if shown.at >= 40).links
            assert set(links) >= set(cuts[:16]) and set(links) <= set(cuts), case
        assert states(history, 74, "n1") == dict.fromkeys(NAMES, "alive")


def test_smaller_side_of_a_partition_reports_isolation() -> None:
    history = Simulator(SCHEDULES["split"], 1).run()
    told = {(seen.member, seen.what) for seen in history.seen if seen.what in ("isolated", "in_touch")}
    assert told == {(name, what) for name in NAMES[4:] for what in ("isolated", "in_touch")}


def test_leaving_member_is_known_as_left_and_may_return() -> None:
    history = Simulator(calm(40, Fault(10, "leave", ("n5",)), Fault(25, "restart", ("n5",))), 1).run()
    left = {seen.member: seen.at for seen in history.seen if seen.what == "left"}
    assert set(left) == set(REST) and max(left.values()) < 10.5
    assert not [seen for seen in history.seen if seen.subject == "n5" and seen.what in ("suspect", "dead")]
    assert states(history, 39, "n1")["n5"] == "alive"


def test_clock_set_back_does_not_lower_the_incarnation() -> None:
    for persistent in (True, False):
        history = Simulator(SCHEDULES["clock set back"], 1, persistent=persistent).run()
        numbers = [
            number
            for shown in history.shown
            if shown.member == "n1"
            for name, _, number in shown.states
            if name == "n5"
        ]
        assert numbers == sorted(numbers) and len(set(numbers)) > 1


def test_second_process_of_a_name_is_rejected_until_the_name_is_free() -> None:
    simulator = Simulator(calm(30), 1)
    late = Detector(
        ClusterSetup("fleet", "r", "a", Address("10.9.9.9", 7301), (("n1", "10.0.0.1:7301"),)),
        "n5",
        1,
        15.0,
        random.Random(1),
    )  # with a clock far back: its incarnation claims to be the earlier
    simulator.run()
    holder, seed = simulator.hosts["n5"].detector, simulator.hosts["n1"].detector
    assert holder is not None and seed is not None

    def meet(now: float) -> None:
        late.tick(now)
        packets = [effect.packet for effect in late.drain_effects() if isinstance(effect, Send)]
        late.wake_at()
        for packet in packets:
            seed.receive(now, packet, True)
            for effect in seed.drain_effects():
                if isinstance(effect, Answer):
                    late.receive(now, effect.packet, True)
            seed.wake_at()

    meet(31.0)
    assert late.view.name_holder is not None and late.view.name_holder.address == "10.0.0.5:7301"
    assert seed.view.table.members["n5"].record.address == "10.0.0.5:7301"
    seed.view.merge(40.0, seed.view.table.members["n5"].record._replace(status=Status.DEAD, by="n2"))
    seed.drain_effects()
    for at in range(41, 53):
        meet(float(at))
    assert late.view.name_holder is None and late.view.joined
    assert seed.view.table.members["n5"].record.address == "10.9.9.9:7301"


def test_member_may_be_forgotten_during_its_probe() -> None:
    simulator = Simulator(calm(10.3, Fault(9.0, "cut", ("n1", *NAMES[1:]))), 1)
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
    simulator = Simulator(calm(10), 1)
    kept: list[Packet] = []
    through = simulator._through
    simulator._through = lambda packet: kept.append(packet) or through(packet)  # type: ignore[method-assign, func-returns-value]
    simulator.run()
    detector = simulator.hosts["n1"].detector
    assert detector is not None
    before = detector.view.counts["drop.replayed"]
    mine = [packet for packet in kept if packet.to == "n1"][-20:]
    for packet in mine:
        detector.receive(10.0, packet)
    assert detector.view.counts["drop.replayed"] == before + len(mine)


REQUESTS: tuple[Body, ...] = (Ping(1), PingReq(1, "n3"), Ack(1, 0), ProbeResult(1, "n3", True, 0), Gossip())


@pytest.mark.parametrize("body", REQUESTS, ids=lambda body: type(body).__name__)
def test_leaving_member_is_not_woken_repeatedly(body: Body) -> None:
    """Asked for an indirect probe it once set a timer in the past, and took a whole core until its end."""
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
