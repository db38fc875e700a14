"""Scale runs: the meter, the simulator's count of all bytes, a small load in virtual time and one in real time."""

from __future__ import annotations

import dataclasses
import json
import math
import os
import random
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from chutepin.cli import run
from chutepin.cluster import Answer, Detector, Send
from chutepin.cluster.frames import cluster_id, encode, stream_frame
from chutepin.config.cluster import ClusterSetup
from chutepin.testbench.checks.history import History, Seen
from chutepin.testbench.faults.schedule import Fault, Schedule
from chutepin.testbench.scale import realtime
from chutepin.testbench.scale.drawing import draw
from chutepin.testbench.scale.guard import MemoryExceededError
from chutepin.testbench.scale.report import crash_known, false_deaths, keep
from chutepin.testbench.scale.traffic import Direction, Kind, Span, TrafficMeter, figures
from chutepin.testbench.scale.virtual import simulate
from chutepin.testbench.scale.workload import AWAY, WARM_UP, Load, Scenario, plan
from chutepin.testbench.simulators.membership import Simulator

from .helper import ROOT

FLEET = cluster_id("fleet")
SMALL = Load(members=40, restarts_per_second=0.5, seconds=12.0, seed=3)
REAL = Load(members=17, restarts_per_second=0.5, seconds=4.0, seed=5)  # by which the one real program restarts
SHORTEST_RECORD = 24  # bytes
RUN_BY_CHANCE = ("cpu", "cpu_hollow", "cpu_real", "memory_mb", "took_s", "commit", "loop_lag")

# --- the meter ---


def test_windows_are_whole_and_of_one_width() -> None:
    assert Span(5, 29).windows() == [Span(5, 15), Span(15, 25)]
    assert Span(5, 13).windows() == [Span(5, 13)]
    assert Span(0, 3).windows(1.0) == [Span(0, 1), Span(1, 2), Span(2, 3)]


def test_the_meter_tells_directions_and_kinds_apart() -> None:
    meter = TrafficMeter()
    meter.carried("a", "b", 0.5, Kind.DATAGRAM, 100)
    meter.carried("a", "b", 12.0, Kind.STREAM, 3000)
    span = Span(0, 20)
    assert meter.rates(["a", "b"], span, Direction.SENT) == [10.0, 300.0, 0.0, 0.0]
    assert meter.rates(["a", "b"], span, Direction.RECEIVED) == [0.0, 0.0, 10.0, 300.0]
    assert meter.rates(["a"], span, Direction.SENT, Kind.DATAGRAM) == [10.0, 0.0]
    assert meter.rates(["a"], span, Direction.SENT, Kind.STREAM) == [0.0, 300.0]
    assert meter.total(Direction.SENT) == meter.total(Direction.RECEIVED) == 3100
    assert meter.total(Direction.SENT, Kind.STREAM) == 3000
    assert (meter.peak(span, 1.0), meter.peak(span, 10.0)) == (3000.0, 300.0)


def test_what_lies_outside_the_span_does_not_count() -> None:
    meter = TrafficMeter()
    for at in (4.9, 15.0):
        meter.count("a", at, Direction.SENT, Kind.DATAGRAM, 70)
        meter.spend("a", at, 1_000_000)
    assert meter.rates(["a"], Span(5, 15), Direction.SENT) == [0.0]
    assert meter.cpu(["a"], Span(5, 15)) == [0.0]


def test_cpu_is_in_milliseconds_a_second() -> None:
    meter = TrafficMeter()
    meter.spend("a", 1.0, 40_000_000)
    assert meter.cpu(["a", "b"], Span(0, 10)) == [4.0, 0.0]


def test_mean_and_the_99th_percentile() -> None:
    found = figures([float(value) for value in range(1, 201)])
    assert (found.mean, found.p99) == (100.5, 198.0)
    assert figures([7.0]).p99 == 7.0


# --- the simulator counts all bytes ---


class Tally:
    """Makes detectors whose packets are counted beside the meter."""

    def __init__(self) -> None:
        self.bytes = dict.fromkeys(Kind, 0)

    def make(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> Detector:
        return TalliedDetector(self, setup, name, incarnation, now, rng)


class TalliedDetector(Detector):
    """A detector that tells a tally of what it sends."""

    def __init__(
        self, tally: Tally, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random
    ) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self._tally = tally

    def drain_effects(self) -> list[object]:  # type: ignore[override]
        effects = super().drain_effects()
        for effect in effects:
            if isinstance(effect, Send) and not effect.stream:
                self._tally.bytes[Kind.DATAGRAM] += len(encode(effect.packet, FLEET))
            elif isinstance(effect, (Send, Answer)):
                self._tally.bytes[Kind.STREAM] += len(stream_frame(effect.packet, FLEET))
        return list(effects)


def test_the_simulator_counts_datagrams_and_exchanges_in_both_directions() -> None:
    tally, meter = Tally(), TrafficMeter()
    Simulator(Schedule(8, 20.0), 1, tally.make, meter=meter).run()
    assert tally.bytes[Kind.STREAM] > 1000  # they joined by exchanges of whole states
    for kind in Kind:
        assert meter.total(Direction.SENT, kind) == pytest.approx(tally.bytes[kind], rel=0.01)  # one may be under way
        assert meter.total(Direction.RECEIVED, kind) == pytest.approx(tally.bytes[kind], rel=0.01)


def test_a_meter_changes_no_history() -> None:
    schedule = Schedule(8, 30.0, (Fault(5.0, "crash", ("n3",)), Fault(15.0, "restart", ("n3",))))
    assert Simulator(schedule, 4, meter=TrafficMeter()).run().text() == Simulator(schedule, 4).run().text()


# --- the load ---


def test_a_load_is_of_one_seed_one_schedule_with_so_many_restarts() -> None:
    load = Load(400, 0.787, 40.0, 7)
    schedule = plan(load)
    assert schedule == plan(load) != plan(dataclasses.replace(load, seed=8))
    leaves = [fault for fault in schedule.faults if fault.what == "leave"]
    assert len(leaves) == round(0.787 * (40.0 + WARM_UP))
    back = {(fault.members, round(fault.at, 6)) for fault in schedule.faults if fault.what == "restart"}
    assert {(fault.members, round(fault.at + AWAY, 6)) for fault in leaves} <= back
    assert [fault.at for fault in schedule.faults if fault.what == "crash"] == [WARM_UP + 20.0]
    assert len({schedule.region(name) for name in schedule.names()}) == 9
    assert len({schedule.zone(name) for name in schedule.names()}) == 22


def test_a_share_of_the_restarts_are_crashes() -> None:
    schedule = plan(Load(100, 1.0, 60.0, 7, crash_share=1.0))
    assert not any(fault.what == "leave" for fault in schedule.faults)


@pytest.mark.parametrize(
    ("scenario", "what", "members"),
    [(Scenario.ZONE_LOST, "crash", 11), (Scenario.RESTART_WAVE, "leave", 22), (Scenario.REGION_APART, "split", 0)],
)
def test_bad_hours(scenario: Scenario, what: str, members: int) -> None:
    schedule = plan(Load(220, 0.0, 10.0, 1, scenario))
    faults = [fault for fault in schedule.faults if fault.what == what]
    if scenario is Scenario.ZONE_LOST:  # beside the one crash of every load
        assert sorted(len(fault.members) for fault in faults) == [1, 10]
    assert scenario is Scenario.REGION_APART or sum(len(fault.members) for fault in faults) == members
    if scenario is Scenario.REGION_APART:
        assert [len(group) for group in faults[0].groups] == [30, 190]
        assert schedule.faults[-1] == Fault(faults[0].at + 180.0, "heal")


# --- figures of a history ---


def test_a_live_member_that_is_declared_dead_counts_once() -> None:
    history = History(Schedule(4, 60.0))
    history.done = [Fault(10.0, "leave", ("n2",)), Fault(16.0, "restart", ("n2",))]
    history.seen = [
        Seen(12.0, "n1", "dead", "n2", "n1", 5),  # which was gone
        Seen(17.0, "n1", "dead", "n2", "n1", 5),  # of the life before
        Seen(20.0, "n1", "dead", "n2", "n1", 100_016_000),
        Seen(20.1, "n3", "dead", "n2", "n1", 100_016_000),  # hears of it
        Seen(21.0, "n4", "dead", "n2", "n4", 100_016_000),
        Seen(30.0, "n1", "dead", "n3", "n1", 5),
    ]
    assert false_deaths(history, epoch=100_000_000) == 2


def test_a_member_that_was_cut_off_is_not_wrongly_declared_dead() -> None:
    history = History(Schedule(4, 60.0))
    history.done = [Fault(5.0, "split", groups=(("n1",), ("n2", "n3", "n4"))), Fault(20.0, "heal")]
    history.seen = [Seen(at, "n2", "dead", "n1", "n2", 1) for at in (12.0, 25.0)]
    assert false_deaths(history, epoch=0) == 0
    history.seen.append(Seen(40.0, "n2", "dead", "n1", "n2", 1))
    assert false_deaths(history, epoch=0) == 1


def test_a_crash_that_a_member_never_learns_of_is_told() -> None:
    history = History(Schedule(4, 60.0))
    history.done = [Fault(10.0, "crash", ("n2",)), Fault(12.0, "leave", ("n4",))]
    history.seen = [Seen(13.0, "n1", "dead", "n2", "n1", 1)]
    found = crash_known(history)
    assert (found.crashes, found.median, found.never) == (1, 3.0, 1)  # n3 never did; n4 did not run on


# --- in virtual time ---


def test_a_small_load_in_virtual_time_is_sound_and_always_the_same() -> None:
    first, again = simulate(SMALL)[0], simulate(SMALL)[0]
    assert first.sound, first
    assert first.restarts >= 6 and first.crash_known.crashes == 1
    assert first.sent_streams.mean > 0
    fields = [field.name for field in dataclasses.fields(first) if field.name not in RUN_BY_CHANCE]
    assert [getattr(first, name) for name in fields] == [getattr(again, name) for name in fields]


def test_views_that_do_not_become_equal_are_told() -> None:
    """No member has room for the names of all."""
    report = simulate(SMALL, settings={"members": 20})[0]
    assert math.isnan(report.views_equal_s) and not report.sound
    assert report.as_json()["views_equal_s"] is None


def test_results_are_kept_with_seed_and_commit(tmp_path: Path) -> None:
    report = simulate(Load(6, 0.2, 5.0, 9))[0]
    kept = json.loads(keep(tmp_path, [report]).read_text())
    assert [(one["members"], one["seed"], one["commit"]) for one in kept] == [(6, 9, report.commit)]
    draw(tmp_path)
    assert {path.name for path in tmp_path.glob("*.svg")} == {"scale-bytes.svg", "scale-cpu.svg"}


# --- the command ---

GOOD = ["lab", "scale", "--members", "6", "--restarts-per-second", "0.2", "--seconds", "4", "--seed", "2", "--json"]


def test_the_command_prints_one_object(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(GOOD) == 0
    shown = json.loads(capsys.readouterr().out)
    for name in ("sent_bytes_per_s", "received_bytes_per_s", "cpu_ms_per_s"):
        assert set(shown[name]) == {"mean", "p99"}
    assert {"median", "p99"} <= set(shown["crash_known_s"])
    assert {"members", "restarts_per_s", "memory_mb", "false_deaths", "views_equal_s"} <= set(shown)


def _with(*more: str) -> list[str]:
    return [*GOOD, *more]


@pytest.mark.parametrize(
    "arguments",
    [
        ["lab", "scale"],
        _with("--members", "1"),
        _with("--members", "many"),
        _with("--restarts-per-second", "-1"),
        _with("--seconds", "0"),
        _with("--scenario", "rain"),
        _with("--colour", "red"),
        _with("--hollow", "3", "--real", "1"),
        _with("--hollow", "6", "--scenario", "region-apart"),
        _with("--both"),
    ],
)
def test_bad_arguments_are_one_line_and_exit_code_2(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert run(arguments) == 2
    shown = capsys.readouterr()
    assert shown.out == ""
    assert len(shown.err.splitlines()) == 1 and shown.err.startswith("Error: ")


# --- in real time ---


def _children() -> set[int]:
    """Processes of this one."""
    path = Path(f"/proc/self/task/{os.getpid()}/children")
    return {int(pid) for pid in path.read_text().split()}


@pytest.fixture
def no_process_left() -> Callable[[], None]:
    before = _children()

    def check() -> None:
        assert _children() <= before

    return check


def test_hollow_nodes_and_a_real_program_in_real_time(no_process_left: Callable[[], None]) -> None:
    assert any(fault.what == "restart" and fault.members == ("n1",) for fault in plan(REAL).faults)
    report, played = realtime.play(REAL, hollow=16, real=1)
    assert report.sound, report
    assert (report.hollow, report.real, report.crash_known.crashes) == (16, 1, 1)
    assert report.sent.mean > 100 and report.received.mean > 100
    # Each of the four that came back was told by a seed of all others, whenever that was on a busy machine.
    assert played.meter.total(Direction.SENT, Kind.STREAM) > 4 * 16 * SHORTEST_RECORD
    for kind in Kind:
        sent, received = (played.meter.total(direction, kind) for direction in Direction)
        assert 0.8 * sent < received < 1.2 * sent  # what is sent to one that is away is not received
    assert report.loop_lag.p99 >= report.loop_lag.mean > 0
    assert report.cpu_hollow.mean > 0 and report.memory_mb > 10
    no_process_left()


def test_a_run_that_needs_too_much_memory_ends_itself(no_process_left: Callable[[], None]) -> None:
    with pytest.raises(MemoryExceededError, match="1 are allowed"):
        realtime.play(REAL, hollow=17, real=0, most_bytes=2**20)
    no_process_left()


def test_too_much_memory_is_told_in_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(_with("--hollow", "6", "--most-mb", "1")) == 1
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_a_node_loads_nothing_of_the_laboratory() -> None:
    text = (
        "import sys, chutepin.serve, chutepin.cluster.subsystem; print([m for m in sys.modules if '.testbench' in m])"
    )
    done = subprocess.run(
        [sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    assert done.stdout == "[]\n"
