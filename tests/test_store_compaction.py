"""Compaction: dropped and kept segments, and the bounds on disk space and copied bytes."""

from __future__ import annotations

import math
import random

import pytest

from chutepin.store.limits import Limits

from .store_world import SEGMENT, StoreHarness, contents


def test_segments_without_live_records_are_dropped_without_copying() -> None:
    harness = StoreHarness()
    harness.start()
    for index in range(40):
        harness.put(b"%d" % index, b"v" * 100, harness.time + 5)
    harness.settle()
    segments_before = len(harness.current_engine.log.segments)
    harness.time += 10
    harness.settle()
    assert (
        len(harness.current_engine.log.segments) <= 2 < segments_before
        and not harness.current_engine.counts["copied_bytes"]
    )
    assert len(harness.current_engine) == 0


def test_segment_is_kept_while_it_shadows_an_older_one() -> None:
    """A segment without live records is kept while an older one holds a value that it supersedes.

    If it were dropped, recovery would restore the older value."""
    harness = StoreHarness()
    harness.start()
    harness.put(b"hidden", b"must not come back")
    for index in range(12):  # live records around it, so that its segment is not dropped
        harness.put(b"live%d" % index, b"v" * 100)
    harness.put(b"hidden", b"short-lived", harness.time + 1)
    for index in range(7):  # fill the segment of the short-lived value with records that expire
        harness.put(b"dies%d" % index, b"v" * 100, harness.time + 1)
    harness.put(b"end", b"v" * 300)
    harness.settle()
    harness.time += 10
    harness.settle()
    harness.check()
    assert b"hidden" not in contents(harness.check_recovered(harness.files.copy()))


@pytest.mark.parametrize("seed", range(6))
def test_disk_space_and_copied_bytes_stay_within_bounds(seed: int) -> None:
    """Long runs of three workloads: uniform overwrites, hot and cold keys, and expiring windows."""
    rng = random.Random(seed)
    limits = Limits(SEGMENT, 200 * SEGMENT, 2**20)
    harness = StoreHarness(limits=limits)
    harness.start()
    engine = harness.current_engine
    max_live_bytes = 0
    for step in range(2500):
        cold = seed % 3 == 1 and rng.random() < 0.1
        key = b"c%d" % rng.randrange(60) if cold else b"h%d" % rng.randrange(150 if seed % 3 == 0 else 20)
        lifetime = rng.uniform(1, 20) if seed % 3 == 2 else math.inf
        key, value = b"w%d" % step if seed % 3 == 2 else key, bytes(rng.randrange(60, 200))
        while not engine.put(key, value, harness.time + lifetime):
            engine.settle()
        harness.time += 0.05
        if step % 5 == 0:
            engine.settle()
            log = engine.log
            max_live_bytes = max(max_live_bytes, log.index.live_bytes)
            assert log.disk_bytes <= 2 * log.index.live_bytes + 5 * SEGMENT
    metrics = engine.metrics()
    assert metrics["segments.dropped"] > 50
    assert metrics.get("copied_bytes", 0) <= metrics["put_bytes"] + max_live_bytes
