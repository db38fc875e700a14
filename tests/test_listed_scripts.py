"""Runs the scripts listed in `KNOWN-RED.txt`: one that passes must leave the list, as a listed test must."""

from __future__ import annotations

import subprocess

import pytest

from .known_red import ROOT, KnownFailure, known_failures

TIMEOUT_S = 150.0
PASSED, FAILED = 0, 1
SCRIPTS = [failure for failure in known_failures() if failure.is_script]


@pytest.mark.parametrize("failure", SCRIPTS, ids=lambda failure: failure.test)
def test_listed_script_fails(failure: KnownFailure) -> None:
    ran = subprocess.run(
        ["bash", failure.test], cwd=ROOT, timeout=TIMEOUT_S, text=True, capture_output=True, check=False
    )
    expected = (PASSED, FAILED) if failure.is_intermittent else (FAILED,)
    assert ran.returncode in expected, f"{failure.test} exited with {ran.returncode}: {ran.stderr[-2000:]}"
