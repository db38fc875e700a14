"""Tests that run side by side must not give one port to two programs: each worker has its own. Tests that take long are
begun first, on all workers alike. And tests that are known to fail are passed over (`known_red.py`)."""

from __future__ import annotations

import os

import pytest

from chutepin.testbench.standins import platform as standins

from .known_red import known_failures

WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
WORKERS = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
SHARE = len(standins.PORTS) // WORKERS
# Files with tests of 10 to 75 s, which mostly wait.
LONG_FILES = ("test_fleet.py", "test_consensus_fleet.py", "test_scale.py", "test_soak.py")

standins.PORTS = standins.PORTS[WORKER * SHARE : (WORKER + 1) * SHARE]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """A listed test may fail, and must unless it fails only sometimes: one that passes is to be taken off the list."""
    for item in items:
        for failure in known_failures():
            if failure.matches(item.nodeid):
                item.add_marker(pytest.mark.xfail(strict=not failure.is_intermittent, reason=str(failure)))
    items[:] = begin_long_tests_first(items, WORKERS)


def begin_long_tests_first(items: list[pytest.Item], workers: int) -> list[pytest.Item]:
    """Order tests so that each worker's part of them, which is cut from the list in one piece, begins with long ones.

    A worker that is done takes tests from the end of another's part: long tests there would leave the others idle."""
    long_tests = sorted(
        (item for item in items if item.path.name in LONG_FILES), key=lambda item: LONG_FILES.index(item.path.name)
    )
    short_tests = [item for item in items if item.path.name not in LONG_FILES]
    ordered = []
    for worker in range(workers):
        part = slice(worker * len(short_tests) // workers, (worker + 1) * len(short_tests) // workers)
        ordered += long_tests[worker::workers] + short_tests[part]
    return ordered


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print what the suite passed over."""
    for failure in known_failures():
        terminalreporter.write_line(f"KNOWN RED {failure}")
