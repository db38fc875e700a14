"""An open store: limits on disk and memory, locking, and random operations against a dictionary."""

from __future__ import annotations

import errno
import math
import random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from chutepin.store import (
    StoreFullError,
    StoreLockedError,
)
from chutepin.store.engine import Engine
from chutepin.store.limits import Limits

from .helper import STEPS
from .powercut import PowerCut, SimulatedFileSystem
from .store_world import LIMITS, SEGMENT, World, contents


def test_full_disk_refuses_puts_serves_reads_and_recovers_without_restart() -> None:
    world = World()
    world.start()
    world.settle()
    full = True
    world.files.fail = lambda operation, name: (
        OSError(errno.ENOSPC, "No space left")
        if full
        and operation == "write"
        and name[0] != "A"
        and world.files.seen.get(name) is not None
        and not world.files.seen[name].seen
        else None
    )
    with pytest.raises(StoreFullError, match="No space left"):
        for index in range(100):
            world.put(b"%d" % index, b"v" * 100)
    world.settle()
    world.check()
    full = False
    for index in range(20):
        world.put(b"again%d" % index, b"w" * 100)
    world.settle()
    world.check()


def test_full_store_keeps_live_records_and_accepts_deletes() -> None:
    world = World()
    world.start()
    with pytest.raises(StoreFullError, match="live bytes are in use"):
        for index in range(1000):
            world.put(b"%d" % index, b"v" * 100)
    count = len(world.states) - 1
    assert count * 100 > LIMITS.capacity / 2
    world.settle()
    world.check()
    for index in range(count):
        world.delete(b"%d" % index)
    world.put(b"new", b"v" * 100)
    world.settle()
    world.check()


def test_full_index_refuses_new_keys_and_accepts_replacements() -> None:
    world = World(limits=Limits(SEGMENT, 64 * SEGMENT, 2000))
    world.start()
    with pytest.raises(StoreFullError, match="of memory"):
        for index in range(100):
            world.put(b"%d" % index, b"v")
    world.put(b"0", b"w")
    world.check()


def test_directory_can_be_opened_only_once() -> None:
    world = World()
    world.start()
    with pytest.raises(StoreLockedError):
        Engine.open(world.files, LIMITS, lambda: 0.0, lambda *_, **__: None)
    world.open.close()
    world.check_recovered(world.files)


class StoreStateMachine(RuleBasedStateMachine):
    """Random steps of everything against a dictionary; a crash is a power cut between or inside operations."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @initialize()
    def begin(self) -> None:
        self.world.start()

    @rule(key=st.integers(0, 12), size=st.integers(0, 300), life=st.sampled_from([0.2, 2.0, 30.0, math.inf]))
    def put(self, key: int, size: int, life: float) -> None:
        try:
            self.world.put(b"%d" % key, bytes([key]) * size, self.world.time + life)
        except StoreFullError:
            assert self.world.open.log.index.live_bytes > LIMITS.capacity / 2

    @rule(
        first=st.integers(0, 12),
        count=st.integers(1, 12),
        size=st.integers(0, 200),
        even=st.booleans(),
        life=st.sampled_from([2.0, math.inf]),
    )
    def put_many(self, first: int, count: int, size: int, even: bool, life: float) -> None:
        """New keys of one length, or keys that are there and keys twice."""
        world = self.world
        names = [
            b"%03d" % (len(world.states) % 1000 + i) if even else b"%d" % ((first + i * i) % 13) for i in range(count)
        ]
        items = [(name, b"%d" % i * size) for i, name in enumerate(names)]
        try:
            while items:
                done = world.open.put_many(items, world.time + life, waited=False)
                for key, value in items[:done]:
                    world.states.append({**world.states[-1], key: (value, world.time + life)})
                items = items[done:]
                if items:
                    world.flush()
                    world.open.step()
        except StoreFullError:
            pass

    @rule(key=st.integers(0, 12))
    def delete(self, key: int) -> None:
        self.world.delete(b"%d" % key)

    @rule()
    def flush(self) -> None:
        self.world.flush()

    @rule(budget=st.sampled_from([1, 400, 10_000]), times=st.integers(1, 20))
    def step(self, budget: int, times: int) -> None:
        for _ in range(times):
            self.world.open.step(budget)

    @rule()
    def compact(self) -> None:
        self.world.open.compact()
        self.world.settle()
        assert all(not segment.dead_records for segment in self.world.open.log.segments.values())

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def wait(self, seconds: float) -> None:
        self.world.time += seconds

    @rule(seed=st.integers(0, 2**32), inside=st.integers(0, 12))
    def crash(self, seed: int, inside: int) -> None:
        world = self.world
        world.files.cut_at = world.files.operations + inside
        try:
            if inside:
                world.settle()
                world.open.compact()
                world.settle()
        except PowerCut:
            pass
        self._reopen(world.files.after(random.Random(seed)))

    @rule()
    def kill(self) -> None:
        self._reopen(self.world.files.copy())

    @rule()
    def close(self) -> None:
        self.world.open.close()
        self.world.acknowledged = len(self.world.states) - 1
        self._reopen(self.world.files)

    def _reopen(self, files: SimulatedFileSystem) -> None:
        world = self.world
        world.files = files
        world.engine = world.check_recovered(files)
        found = contents(world.engine)
        index = next(i for i in range(len(world.states) - 1, world.acknowledged - 1, -1) if world.visible(i) == found)
        world.states, world.acknowledged = [world.states[index]], 0

    @invariant()
    def holds(self) -> None:
        if self.world.engine is not None:
            self.world.check()
            log = self.world.open.log
            assert log.index.live_bytes == sum(segment.live_bytes for segment in log.segments.values())
            assert log.disk_bytes <= LIMITS.max_bytes


StoreStateMachine.TestCase.settings = settings(
    STEPS, max_examples=60, stateful_step_count=40, suppress_health_check=list(HealthCheck)
)

TestStoreAgainstDictionary = StoreStateMachine.TestCase
