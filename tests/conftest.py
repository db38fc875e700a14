"""Configures pytest: a range of ports for each worker, long tests first, and known failures (`known_red.py`).

The workers run in parallel and must not give the same port to two programs."""

from __future__ import annotations

import os

import pytest

from chutepin.testbench.standins import platform as standins

from .known_red import known_failures

WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
WORKERS = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
SHARE = len(standins.PORTS) // WORKERS
# Files with tests that take 10 to 75 s, most of it waiting.
LONG_FILES = ("test_fleet.py", "test_consensus_fleet.py", "test_scale.py", "test_soak.py", "test_listed_scripts.py")

standins.PORTS = standins.PORTS[WORKER * SHARE : (WORKER + 1) * SHARE]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark listed tests as expected failures, strict unless intermittent: a test that passes must leave the list."""
    for item in items:
        for failure in known_failures():
            if failure.matches(item.nodeid):
                item.add_marker(pytest.mark.xfail(strict=not failure.is_intermittent, reason=str(failure)))
    items[:] = order_long_tests_first(items, WORKERS)


def order_long_tests_first(items: list[pytest.Item], workers: int) -> list[pytest.Item]:
    """Order tests so that the contiguous part of the list that each worker gets begins with long tests.

    An idle worker takes tests from the end of another worker's part; long tests there would leave workers idle."""
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
    """Print the known failures."""
    for failure in known_failures():
        terminalreporter.write_line(f"KNOWN RED {failure}")
