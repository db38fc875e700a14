"""Tests of the soak: its schedules, its checks on hand-made observations, and short plays on real processes."""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import math
import os
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import pytest

from chutepin.testbench.signals import kill, send_signal
from chutepin.testbench.soak import Observations, draw, make_report, play, violations
from chutepin.testbench.soak.books import (
    CloseCause,
    Event,
    ObservedAnswer,
    ObservedConnection,
    ObservedLag,
    ObservedProcess,
    ObservedRequest,
    ObservedRun,
)
from chutepin.testbench.soak.play import Player, Process
from chutepin.testbench.soak.schedule import SIGTERM, Ending, Schedule
from chutepin.testbench.standins.platform import eventually

from .helper import ROOT

PLAY_MODULE = importlib.import_module("chutepin.testbench.soak.play")  # the package's name `play` is its function

SOAK_S = 5.0
SOAKS = [(1, False), (2, False), (3, False), (4, True)]  # (seed, crowd)


def is_running(pid: int) -> bool:
    """Return whether a process runs; one that has ended and was not waited for does not."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def node_pids(directory: Path) -> set[int]:
    """Return the processes whose `TMPDIR` lies in a directory: the nodes of a play."""
    found = set()
    for path in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            if f"TMPDIR={directory}/".encode() in (path / "environ").read_bytes() and is_running(int(path.name)):
                found.add(int(path.name))
    return found


# Guards against nodes that a play leaves behind, which join the addresses of later tests.
def test_play_whose_successor_is_never_ready_leaves_no_process(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setattr(PLAY_MODULE, "START_TIMEOUT_S", 4.0)
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    new_process = Player._new_process

    def new_process_that_sleeps(self: Player) -> Process:
        process = new_process(self)
        if process.observed.name != "process 1":
            process.standins.shell_command = "exec sleep 60"
        return process

    monkeypatch.setattr(Player, "_new_process", new_process_that_sleeps)
    schedule = next(schedule for schedule in (draw(seed, 3.0, False) for seed in range(50)) if has_upgrade(schedule))
    observations = asyncio.run(play(schedule))
    assert [process.name for process in observations.processes] == ["process 1", "process 2"]
    found = {violation.check for violation in violations(observations)}
    assert "ready" in found and "crash" not in found
    assert not node_pids(tmp_path)


def has_upgrade(schedule: Schedule) -> bool:
    return len(schedule.lives) > 1 and schedule.lives[0].ending is Ending.UPGRADE


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT], ids=lambda number: number.name)
def test_soak_that_is_ended_by_a_signal_leaves_no_process(number: signal.Signals, tmp_path: Path) -> None:
    async def run() -> None:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "chutepin", "lab", "soak", "--seed", "1", "--seconds", "30"),
            cwd=ROOT,
            env={**os.environ, "TMPDIR": str(tmp_path)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            await eventually(lambda: node_pids(tmp_path))
            send_signal(process, number)
            assert await process.wait() != 0
            assert not node_pids(tmp_path)
        finally:
            kill(process)

    asyncio.run(run())


def valid_observations() -> Observations:
    """Return observations without a violation: two served requests under one key on a connection closed by the node."""
    connection = ObservedConnection(1, 100.0, bye_at=109.0, closed_at=110.0, closed_by=CloseCause.NODE)
    observations = Observations(
        requests=[
            ObservedRequest("a", "work-order", b"order", "k", connection, 101.0, 104.0),
            ObservedRequest("b", "work-order", b"order", "k", connection, 102.0, 105.0),
        ],
        runs=[ObservedRun("a", b"order", 101.1, "process 1")],
        processes=[
            ObservedProcess("process 1", 0, 98.0, 98.5, sigterm_at=109.0, ended_at=110.0, exit_code=0, log="leaving"),
            ObservedProcess("process 2", 0, 105.0, 105.5, sigterm_at=120.0, ended_at=121.0, exit_code=0, log="leaving"),
        ],
        events=[Event(121.0, "the end")],
    )
    observations.requests[0].answers.append(ObservedAnswer(101.2, "OK", b"done order"))
    observations.requests[1].answers.append(ObservedAnswer(102.1, "OK", b"done order"))
    return observations


def answered_twice(observations: Observations) -> None:
    observations.requests[0].answers.append(ObservedAnswer(101.3, "FAILED", b""))


def answer_without_request(observations: Observations) -> None:
    observations.unexpected_answers = 1


def no_answer_on_open_connection(observations: Observations) -> None:
    observations.requests[0].answers.clear()


def answered_after_deadline(observations: Observations) -> None:
    observations.requests[0].answers[0].at = 104.5


def request_that_ran_dropped_at_close(observations: Observations) -> None:
    observations.requests[0].answers.clear()
    observations.requests[0].written_at, observations.requests[0].deadline_at = 109.9, 113.0


def request_that_was_read_dropped_at_close(observations: Observations) -> None:
    observations.requests[1].answers.clear()
    observations.requests[1].written_at, observations.requests[1].deadline_at = 108.5, 113.0


def key_ran_in_two_processes(observations: Observations) -> None:
    observations.runs.append(ObservedRun("b", b"order", 102.1, "process 2"))


def rejected_after_run(observations: Observations) -> None:
    observations.requests[0].answers[0].verdict = "BUSY"


def rejected_after_run_of_key(observations: Observations) -> None:
    observations.requests[1].answers[0].verdict = "BUSY"


def result_of_another_request(observations: Observations) -> None:
    observations.requests[0].answers[0].body = b"done other"


def slow_start(observations: Observations) -> None:
    observations.processes[0].ready_at = 109.0


def crash(observations: Observations) -> None:
    observations.processes[0].exit_code = -11
    observations.processes[0].ended_at = 105.0


def killed_by_signal(observations: Observations) -> None:
    observations.processes[0].exit_code = -15


def sigterm_ignored(observations: Observations) -> None:
    observations.processes[0].log = ""
    observations.processes[0].killed_at = 110.0
    observations.processes[0].exit_code = -9


def invariant_violated_in_log(observations: Observations) -> None:
    observations.processes[0].log += " invariant.ledger=1"


def descriptors_left_open(observations: Observations) -> None:
    observations.processes[1].idle_descriptors = 12, 40


def memory_not_freed(observations: Observations) -> None:
    observations.processes[1].idle_memory_kb = 30_000, 90_000


def requests_left_in_progress(observations: Observations) -> None:
    observations.processes[1].idle_requests_in_progress = 2


VIOLATIONS_BY_CHECK: dict[str, list[Callable[[Observations], None]]] = {
    "one answer each": [answered_twice, answer_without_request],
    "none lost": [
        no_answer_on_open_connection,
        answered_after_deadline,
        request_that_ran_dropped_at_close,
        request_that_was_read_dropped_at_close,
    ],
    "keys run once": [key_ran_in_two_processes],
    "rejected never ran": [rejected_after_run],
    "keys not rejected": [rejected_after_run_of_key],
    "results": [result_of_another_request],
    "ready": [slow_start],
    "crash": [crash],
    "exit code": [killed_by_signal],
    "notice": [sigterm_ignored],
    "log": [invariant_violated_in_log],
    "descriptors": [descriptors_left_open],
    "memory": [memory_not_freed],
    "in progress": [requests_left_in_progress],
}


def test_valid_observations_have_no_violations() -> None:
    assert violations(valid_observations()) == []


@pytest.mark.parametrize(
    ("check", "inject"),
    [(check, inject) for check, injections in VIOLATIONS_BY_CHECK.items() for inject in injections],
    ids=lambda value: value if isinstance(value, str) else value.__name__,
)
def test_each_violation_is_found_by_its_check(check: str, inject: Callable[[Observations], None]) -> None:
    observations = valid_observations()
    inject(observations)
    assert check in {violation.check for violation in violations(observations)}


def test_request_written_just_before_close_that_never_ran_is_not_lost() -> None:
    observations = valid_observations()
    observations.requests[1].answers.clear()
    observations.requests[1].written_at, observations.requests[1].deadline_at = 109.98, 113.0
    assert violations(observations) == []


def test_event_loop_lag_of_the_soak_does_not_make_an_answer_late() -> None:
    observations = valid_observations()
    answered_after_deadline(observations)
    observations.lags.append(ObservedLag(104.5, 0.4))
    assert violations(observations) == []


def test_schedule_is_determined_by_seed() -> None:
    assert draw(7, 20.0, False) == draw(7, 20.0, False) != draw(8, 20.0, False)


def test_schedules_cover_clients_ignoring_bye_signal_series_and_both_endings() -> None:
    schedules = [draw(seed, 20.0, False) for seed in range(50)]
    assert all(sum(not client.heeds_bye for client in schedule.clients) >= 2 for schedule in schedules)
    series = [[step.name for step in life.stop_signals] for schedule in schedules for life in schedule.lives]
    assert all(SIGTERM in names for names in series)
    assert any(names.count(SIGTERM) > 1 for names in series)
    assert any("SIGHUP" in names[names.index(SIGTERM) :] for names in series)
    endings = {life.ending for schedule in schedules for life in schedule.lives}
    assert endings == set(Ending)
    assert any(life.start_signals for schedule in schedules for life in schedule.lives)


# Guards against failures that need several processes in succession: answers lost at a close, keys run again, signals
# ignored.
@pytest.mark.parametrize(("seed", "crowd"), SOAKS, ids=str)
def test_short_soak_has_no_violations(seed: int, crowd: bool) -> None:
    schedule = draw(seed, SOAK_S, crowd)
    observations = asyncio.run(play(schedule))
    report = make_report(schedule, observations)
    assert not report.has_failed, report.text
    assert report.counts["served"] > 50
    assert all(process.ready_at < math.inf for process in observations.processes)
