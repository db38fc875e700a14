"""Compaction: what it drops and keeps, and its bounds on disk space and copied bytes."""

from __future__ import annotations

import math
import random

import pytest

from chutepin.store.limits import Limits

from .store_world import SEGMENT, World, contents


def test_segments_without_live_records_are_dropped_without_copying() -> None:
    world = World()
    world.start()
    for index in range(40):
        world.put(b"%d" % index, b"v" * 100, world.time + 5)
    world.settle()
    before = len(world.open.log.segments)
    world.time += 10
    world.settle()
    assert len(world.open.log.segments) <= 2 < before and not world.open.counts["copied_bytes"]
    assert len(world.open) == 0


def test_segment_is_kept_while_it_shadows_an_older_one() -> None:
    """A segment without live records stays while an older one holds what its delete or expired value hides."""
    world = World()
    world.start()
    world.put(b"hidden", b"must not come back")
    for index in range(12):  # live ones around it, so that its segment stays
        world.put(b"live%d" % index, b"v" * 100)
    world.put(b"hidden", b"short-lived", world.time + 1)
    for index in range(7):  # fill that segment with what dies
        world.put(b"dies%d" % index, b"v" * 100, world.time + 1)
    world.put(b"end", b"v" * 300)
    world.settle()
    world.time += 10
    world.settle()
    world.check()
    assert b"hidden" not in contents(world.check_recovered(world.files.copy()))


@pytest.mark.parametrize("seed", range(6))
def test_disk_space_and_copied_bytes_stay_within_bounds(seed: int) -> None:
    """Long runs of different kinds: uniform overwriting, hot and cold keys, windows that expire."""
    rng = random.Random(seed)
    limits = Limits(SEGMENT, 200 * SEGMENT, 2**20)
    world = World(limits=limits)
    world.start()
    engine = world.open
    most_live = 0
    for step in range(2500):
        cold = seed % 3 == 1 and rng.random() < 0.1
        key = b"c%d" % rng.randrange(60) if cold else b"h%d" % rng.randrange(150 if seed % 3 == 0 else 20)
        life = rng.uniform(1, 20) if seed % 3 == 2 else math.inf
        key, value = b"w%d" % step if seed % 3 == 2 else key, bytes(rng.randrange(60, 200))
        while not engine.put(key, value, world.time + life):
            engine.settle()
        world.time += 0.05
        if step % 5 == 0:
            engine.settle()
            log = engine.log
            most_live = max(most_live, log.index.live_bytes)
            assert log.disk_bytes <= 2 * log.index.live_bytes + 5 * SEGMENT
    figures = engine.metrics()
    assert figures["segments.dropped"] > 50
    assert figures.get("copied_bytes", 0) <= figures["put_bytes"] + most_live
