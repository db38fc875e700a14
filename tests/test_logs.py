"""Tests the clock, the log, the counters and invariants."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from chutepin.clock import Clock
from chutepin.counters import Counters
from chutepin.logs import MAX_BURST_LINES, Log, LogFormat

from .helper import ROOT


def test_time_never_runs_backwards() -> None:
    times = iter([5.0, 3.0, 4.9, 6.0])
    clock = Clock(lambda: next(times))
    assert [clock.now() for _ in range(4)] == [5.0, 5.0, 5.0, 6.0]


def test_log_limits_rate_and_counts_dropped_events(capsys: pytest.CaptureFixture[str]) -> None:
    time = [0.0]
    log = Log(Clock(lambda: time[0]))
    for index in range(MAX_BURST_LINES + 5):
        log.event("line", index=index)
    time[0] = 1.0
    log.event("later", why="a = b")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == MAX_BURST_LINES + 1 and lines[-1] == 'chutepin: later why="a = b"' and log.dropped == 5


def test_invariants_are_asserted_in_debug_and_counted_in_release() -> None:
    with pytest.raises(AssertionError, match="sound"):
        Counters().check_invariant(False, "sound")
    code = (
        "from chutepin.counters import Counters; c = Counters(); print(c.check_invariant(False, 'sound'), c.as_line())"
    )
    done = subprocess.run([sys.executable, "-O", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "False invariant.sound=1\n"


def test_closed_standard_error_does_not_end_process() -> None:
    code = "import os; from chutepin.logs import print_line; os.close(2); print_line('x'); print('alive')"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.stdout == "alive\n"


def test_json_format_writes_one_object_per_event(capsys: pytest.CaptureFixture[str]) -> None:
    Log(Clock(), LogFormat.JSON).event("executor.lost", why="line\nbreak", tries=3)
    text = capsys.readouterr().err
    event = json.loads(text)
    assert text.count("\n") == 1 and event.pop("timestamp").endswith("Z")
    assert event == {"event": "executor.lost", "why": "line\nbreak", "tries": 3}
