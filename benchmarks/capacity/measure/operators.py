"""Processor time and bytes of the answers to operator commands, by the number of classes or members reported."""

from __future__ import annotations

import random
import time

from chutepin.admin.exposition import exposition
from chutepin.admission import DescriptorBudget
from chutepin.clock import Clock
from chutepin.cluster.subsystem import Cluster
from chutepin.config import Address
from chutepin.config.cluster import ClusterSetup
from chutepin.counters import Counters
from chutepin.logs import Log
from chutepin.request_metrics import RequestMetrics

from .start import record
from .tools import Measurement, Table

CLASSES = (100, 400, 1_600, 6_400)
MEMBERS = (100, 300, 900, 2_300)
ROUNDS = 3
REPEATS = 10
STAT_UNITS = {"show_stat_cpu_ms": "ms of a core", "show_stat_bytes": "bytes"}
MEMBERS_UNITS = {"members_cpu_ms": "ms of a core", "members_bytes": "bytes"}


def _answer(call: object) -> tuple[float, int]:
    """Return the milliseconds of processor time to build and encode one answer, and its size in bytes."""
    assert callable(call)
    started = time.process_time()
    for _ in range(REPEATS):
        data = call().encode()
    return 1000 * (time.process_time() - started) / REPEATS, len(data)


def _show_stat(table: Table, classes: int, rng: random.Random) -> None:
    metrics = RequestMetrics(f"class-{number:05d}" for number in range(classes))
    for row in metrics.rows.values():
        row.received = row.answered = rng.randrange(10**6)
    cpu_ms, size = _answer(lambda: exposition(metrics))
    table.add(classes, show_stat_cpu_ms=cpu_ms, show_stat_bytes=size)


def _members(table: Table, members: int) -> None:
    setup = ClusterSetup("capacity", "r0", "z0", Address("127.0.0.1", 7410), members=members + 1)
    cluster = Cluster(setup, "node-me", 1, DescriptorBudget(64, {}), Counters(), Log(Clock()), None)
    for number in range(members):
        cluster._detector.view.table.put(0.0, record(number))
    cpu_ms, size = _answer(cluster.commands()["members"])
    table.add(members, members_cpu_ms=cpu_ms, members_bytes=size)


def run() -> Measurement:
    """Measure the part and return its series."""
    rng = random.Random(1)
    stat, members = Table("classes", STAT_UNITS), Table("members", MEMBERS_UNITS)
    for _ in range(ROUNDS):
        for size in CLASSES:
            _show_stat(stat, size, rng)
        for size in MEMBERS:
            _members(members, size)
    return Measurement(
        stat.series() + members.series(),
        (1,),
        ("the answer made and encoded in one process, without the socket that carries it",),
    )
