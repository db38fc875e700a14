"""Scale runs: the traffic meter, the simulator's byte counts, and small loads in virtual time and in real time."""

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
from chutepin.testbench.scale.report import count_false_deaths, keep, measure_crash_detection
from chutepin.testbench.scale.traffic import Direction, Kind, Span, TrafficMeter, summarize
from chutepin.testbench.scale.virtual import simulate
from chutepin.testbench.scale.workload import RESTART_PAUSE_S, WARM_UP_S, Load, Scenario, plan
from chutepin.testbench.simulators.membership import Simulator

from .helper import ROOT

CLUSTER_ID = cluster_id("fleet")
VIRTUAL_LOAD = Load(members=40, restarts_per_second=0.5, seconds=12.0, seed=3)
# The schedule restarts n1, the only real program.
REAL_LOAD = Load(members=17, restarts_per_second=0.5, seconds=4.0, seed=5)
MIN_RECORD_BYTES = 24  # bytes
NONDETERMINISTIC_FIELDS = ("cpu", "cpu_hollow", "cpu_real", "memory_mb", "took_s", "commit", "loop_lag")

# --- the meter ---


def test_windows_are_whole_and_of_equal_width() -> None:
    assert Span(5, 29).windows() == [Span(5, 15), Span(15, 25)]
    assert Span(5, 13).windows() == [Span(5, 13)]
    assert Span(0, 3).windows(1.0) == [Span(0, 1), Span(1, 2), Span(2, 3)]


def test_meter_separates_directions_and_kinds() -> None:
    meter = TrafficMeter()
    meter.count_transfer("a", "b", 0.5, Kind.DATAGRAM, 100)
    meter.count_transfer("a", "b", 12.0, Kind.STREAM, 3000)
    span = Span(0, 20)
    assert meter.rates(["a", "b"], span, Direction.SENT) == [10.0, 300.0, 0.0, 0.0]
    assert meter.rates(["a", "b"], span, Direction.RECEIVED) == [0.0, 0.0, 10.0, 300.0]
    assert meter.rates(["a"], span, Direction.SENT, Kind.DATAGRAM) == [10.0, 0.0]
    assert meter.rates(["a"], span, Direction.SENT, Kind.STREAM) == [0.0, 300.0]
    assert meter.total(Direction.SENT) == meter.total(Direction.RECEIVED) == 3100
    assert meter.total(Direction.SENT, Kind.STREAM) == 3000
    assert (meter.peak(span, 1.0), meter.peak(span, 10.0)) == (3000.0, 300.0)


def test_meter_ignores_traffic_and_cpu_outside_the_span() -> None:
    meter = TrafficMeter()
    for at in (4.9, 15.0):
        meter.count("a", at, Direction.SENT, Kind.DATAGRAM, 70)
        meter.count_cpu("a", at, 1_000_000)
    assert meter.rates(["a"], Span(5, 15), Direction.SENT) == [0.0]
    assert meter.cpu(["a"], Span(5, 15)) == [0.0]


def test_cpu_is_in_milliseconds_per_second() -> None:
    meter = TrafficMeter()
    meter.count_cpu("a", 1.0, 40_000_000)
    assert meter.cpu(["a", "b"], Span(0, 10)) == [4.0, 0.0]


def test_summary_has_mean_and_99th_percentile() -> None:
    found = summarize([float(value) for value in range(1, 201)])
    assert (found.mean, found.p99) == (100.5, 198.0)
    assert summarize([7.0]).p99 == 7.0


# --- byte counts of the simulator ---


class Tally:
    """Factory of detectors whose packet bytes are counted independently of the meter."""

    def __init__(self) -> None:
        self.bytes = dict.fromkeys(Kind, 0)

    def make(self, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random) -> Detector:
        return TalliedDetector(self, setup, name, incarnation, now, rng)


class TalliedDetector(Detector):
    """A detector that adds the bytes of its packets to a tally."""

    def __init__(
        self, tally: Tally, setup: ClusterSetup, name: str, incarnation: int, now: float, rng: random.Random
    ) -> None:
        super().__init__(setup, name, incarnation, now, rng)
        self._tally = tally

    def drain_effects(self) -> list[object]:  # type: ignore[override]
        effects = super().drain_effects()
        for effect in effects:
            if isinstance(effect, Send) and not effect.stream:
                self._tally.bytes[Kind.DATAGRAM] += len(encode(effect.packet, CLUSTER_ID))
            elif isinstance(effect, (Send, Answer)):
                self._tally.bytes[Kind.STREAM] += len(stream_frame(effect.packet, CLUSTER_ID))
        return list(effects)


def test_simulator_counts_datagrams_and_exchanges_in_both_directions() -> None:
    tally, meter = Tally(), TrafficMeter()
    Simulator(Schedule(8, 20.0), 1, tally.make, meter=meter).run()
    assert tally.bytes[Kind.STREAM] > 1000  # members join by exchanging full states over TCP
    for kind in Kind:  # up to 1 % may differ, as a packet may be in flight at the end
        assert meter.total(Direction.SENT, kind) == pytest.approx(tally.bytes[kind], rel=0.01)
        assert meter.total(Direction.RECEIVED, kind) == pytest.approx(tally.bytes[kind], rel=0.01)


def test_meter_does_not_change_history() -> None:
    schedule = Schedule(8, 30.0, (Fault(5.0, "crash", ("n3",)), Fault(15.0, "restart", ("n3",))))
    assert Simulator(schedule, 4, meter=TrafficMeter()).run().text() == Simulator(schedule, 4).run().text()


# --- load schedules ---


def test_schedule_is_deterministic_and_has_the_requested_restarts() -> None:
    load = Load(400, 0.787, 40.0, 7)
    schedule = plan(load)
    assert schedule == plan(load) != plan(dataclasses.replace(load, seed=8))
    leaves = [fault for fault in schedule.faults if fault.what == "leave"]
    assert len(leaves) == round(0.787 * (40.0 + WARM_UP_S))
    back = {(fault.members, round(fault.at, 6)) for fault in schedule.faults if fault.what == "restart"}
    assert {(fault.members, round(fault.at + RESTART_PAUSE_S, 6)) for fault in leaves} <= back
    assert [fault.at for fault in schedule.faults if fault.what == "crash"] == [WARM_UP_S + 20.0]
    assert len({schedule.region(name) for name in schedule.names()}) == 9
    assert len({schedule.zone(name) for name in schedule.names()}) == 22


def test_crash_share_replaces_leaves_by_crashes() -> None:
    schedule = plan(Load(100, 1.0, 60.0, 7, crash_share=1.0))
    assert not any(fault.what == "leave" for fault in schedule.faults)


@pytest.mark.parametrize(
    ("scenario", "what", "members"),
    [(Scenario.ZONE_LOST, "crash", 11), (Scenario.RESTART_WAVE, "leave", 22), (Scenario.REGION_APART, "split", 0)],
)
def test_scenarios_add_their_faults(scenario: Scenario, what: str, members: int) -> None:
    schedule = plan(Load(220, 0.0, 10.0, 1, scenario))
    faults = [fault for fault in schedule.faults if fault.what == what]
    if scenario is Scenario.ZONE_LOST:  # in addition to the single crash of every load
        assert sorted(len(fault.members) for fault in faults) == [1, 10]
    assert scenario is Scenario.REGION_APART or sum(len(fault.members) for fault in faults) == members
    if scenario is Scenario.REGION_APART:
        assert [len(group) for group in faults[0].groups] == [30, 190]
        assert schedule.faults[-1] == Fault(faults[0].at + 180.0, "heal")


# --- figures from a history ---


def test_false_death_counts_once_per_incarnation() -> None:
    history = History(Schedule(4, 60.0))
    history.done = [Fault(10.0, "leave", ("n2",)), Fault(16.0, "restart", ("n2",))]
    history.seen = [
        Seen(12.0, "n1", "dead", "n2", "n1", 5),  # n2 was down
        Seen(17.0, "n1", "dead", "n2", "n1", 5),  # the previous incarnation
        Seen(20.0, "n1", "dead", "n2", "n1", 100_016_000),
        Seen(20.1, "n3", "dead", "n2", "n1", 100_016_000),  # received by gossip
        Seen(21.0, "n4", "dead", "n2", "n4", 100_016_000),
        Seen(30.0, "n1", "dead", "n3", "n1", 5),
    ]
    assert count_false_deaths(history, epoch=100_000_000) == 2


def test_death_of_partitioned_member_is_not_false() -> None:
    history = History(Schedule(4, 60.0))
    history.done = [Fault(5.0, "split", groups=(("n1",), ("n2", "n3", "n4"))), Fault(20.0, "heal")]
    history.seen = [Seen(at, "n2", "dead", "n1", "n2", 1) for at in (12.0, 25.0)]
    assert count_false_deaths(history, epoch=0) == 0
    history.seen.append(Seen(40.0, "n2", "dead", "n1", "n2", 1))
    assert count_false_deaths(history, epoch=0) == 1


def test_undetected_crash_is_reported() -> None:
    history = History(Schedule(4, 60.0))
    history.done = [Fault(10.0, "crash", ("n2",)), Fault(12.0, "leave", ("n4",))]
    history.seen = [Seen(13.0, "n1", "dead", "n2", "n1", 1)]
    found = measure_crash_detection(history)
    assert (found.crashes, found.median, found.never) == (1, 3.0, 1)  # n3 never detected the crash; n4 left


# --- in virtual time ---


def test_virtual_run_is_sound_and_deterministic() -> None:
    first, again = simulate(VIRTUAL_LOAD)[0], simulate(VIRTUAL_LOAD)[0]
    assert first.sound, first
    assert first.restarts >= 6 and first.crash_known.crashes == 1
    assert first.sent_streams.mean > 0
    fields = [field.name for field in dataclasses.fields(first) if field.name not in NONDETERMINISTIC_FIELDS]
    assert [getattr(first, name) for name in fields] == [getattr(again, name) for name in fields]


def test_views_that_never_become_equal_are_reported() -> None:
    """The member limit is below the cluster size, so no view can hold all members."""
    report = simulate(VIRTUAL_LOAD, settings={"members": 20})[0]
    assert math.isnan(report.views_equal_s) and not report.sound
    assert report.as_json()["views_equal_s"] is None


def test_saved_results_contain_seed_and_commit(tmp_path: Path) -> None:
    report = simulate(Load(6, 0.2, 5.0, 9))[0]
    kept = json.loads(keep(tmp_path, [report]).read_text())
    assert [(one["members"], one["seed"], one["commit"]) for one in kept] == [(6, 9, report.commit)]
    draw(tmp_path)
    assert {path.name for path in tmp_path.glob("*.svg")} == {"scale-bytes.svg", "scale-cpu.svg"}


# --- the command ---

VALID_ARGUMENTS = [
    "lab",
    "scale",
    "--members",
    "6",
    "--restarts-per-second",
    "0.2",
    "--seconds",
    "4",
    "--seed",
    "2",
    "--json",
]


def test_command_prints_one_json_object(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(VALID_ARGUMENTS) == 0
    shown = json.loads(capsys.readouterr().out)
    for name in ("sent_bytes_per_s", "received_bytes_per_s", "cpu_ms_per_s"):
        assert set(shown[name]) == {"mean", "p99"}
    assert {"median", "p99"} <= set(shown["crash_known_s"])
    assert {"members", "restarts_per_s", "memory_mb", "false_deaths", "views_equal_s"} <= set(shown)


def _arguments_with(*more: str) -> list[str]:
    return [*VALID_ARGUMENTS, *more]


@pytest.mark.parametrize(
    "arguments",
    [
        ["lab", "scale"],
        _arguments_with("--members", "1"),
        _arguments_with("--members", "many"),
        _arguments_with("--restarts-per-second", "-1"),
        _arguments_with("--seconds", "0"),
        _arguments_with("--scenario", "rain"),
        _arguments_with("--colour", "red"),
        _arguments_with("--hollow", "3", "--real", "1"),
        _arguments_with("--hollow", "6", "--scenario", "region-apart"),
        _arguments_with("--both"),
    ],
)
def test_invalid_arguments_print_one_line_and_exit_with_code_2(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(arguments) == 2
    shown = capsys.readouterr()
    assert shown.out == ""
    assert len(shown.err.splitlines()) == 1 and shown.err.startswith("Error: ")


# --- in real time ---


def _child_pids() -> set[int]:
    """Return the ids of the child processes of this process."""
    path = Path(f"/proc/self/task/{os.getpid()}/children")
    return {int(pid) for pid in path.read_text().split()}


@pytest.fixture
def assert_no_child_left() -> Callable[[], None]:
    before = _child_pids()

    def check() -> None:
        assert _child_pids() <= before

    return check


def test_real_time_run_with_hollow_nodes_and_real_program_is_sound(assert_no_child_left: Callable[[], None]) -> None:
    assert any(fault.what == "restart" and fault.members == ("n1",) for fault in plan(REAL_LOAD).faults)
    report, real_run = realtime.play(REAL_LOAD, hollow=16, real=1)
    assert report.sound, report
    assert (report.hollow, report.real, report.crash_known.crashes) == (16, 1, 1)
    assert report.sent.mean > 100 and report.received.mean > 100
    # Each of the four restarted members received the records of all others from a seed, however busy the machine was.
    assert real_run.meter.total(Direction.SENT, Kind.STREAM) > 4 * 16 * MIN_RECORD_BYTES
    for kind in Kind:
        sent, received = (real_run.meter.total(direction, kind) for direction in Direction)
        assert 0.8 * sent < received < 1.2 * sent  # datagrams to a member that is down are not received
    assert report.loop_lag.p99 >= report.loop_lag.mean > 0
    assert report.cpu_hollow.mean > 0 and report.memory_mb > 10
    assert_no_child_left()


def test_run_above_memory_limit_is_aborted(assert_no_child_left: Callable[[], None]) -> None:
    with pytest.raises(MemoryExceededError, match="1 are allowed"):
        realtime.play(REAL_LOAD, hollow=17, real=0, max_memory_bytes=2**20)
    assert_no_child_left()


def test_exceeded_memory_limit_is_reported_in_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(_arguments_with("--hollow", "6", "--most-mb", "1")) == 1
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_node_does_not_import_the_test_bench() -> None:
    text = (
        "import sys, chutepin.serve, chutepin.cluster.subsystem; print([m for m in sys.modules if '.testbench' in m])"
    )
    done = subprocess.run(
        [sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    assert done.stdout == "[]\n"
