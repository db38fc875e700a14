"""The engine: limits on disk and memory, locking, and random operations compared with a dictionary."""

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
from .store_world import LIMITS, SEGMENT, StoreHarness, contents


def test_full_disk_refuses_puts_serves_reads_and_recovers_without_restart() -> None:
    harness = StoreHarness()
    harness.start()
    harness.settle()
    disk_is_full = True
    harness.files.fail = lambda operation, name: (
        OSError(errno.ENOSPC, "No space left")
        if disk_is_full
        and operation == "write"
        and name[0] != "A"
        and harness.files.visible.get(name) is not None
        and not harness.files.visible[name].visible
        else None
    )
    with pytest.raises(StoreFullError, match="No space left"):
        for index in range(100):
            harness.put(b"%d" % index, b"v" * 100)
    harness.settle()
    harness.check()
    disk_is_full = False
    for index in range(20):
        harness.put(b"again%d" % index, b"w" * 100)
    harness.settle()
    harness.check()


def test_full_store_keeps_live_records_and_accepts_deletes() -> None:
    harness = StoreHarness()
    harness.start()
    with pytest.raises(StoreFullError, match="live bytes are in use"):
        for index in range(1000):
            harness.put(b"%d" % index, b"v" * 100)
    count = len(harness.states) - 1
    assert count * 100 > LIMITS.capacity / 2
    harness.settle()
    harness.check()
    for index in range(count):
        harness.delete(b"%d" % index)
    harness.put(b"new", b"v" * 100)
    harness.settle()
    harness.check()


def test_full_index_refuses_new_keys_and_accepts_replacements() -> None:
    harness = StoreHarness(limits=Limits(SEGMENT, 64 * SEGMENT, 2000))
    harness.start()
    with pytest.raises(StoreFullError, match="of memory"):
        for index in range(100):
            harness.put(b"%d" % index, b"v")
    harness.put(b"0", b"w")
    harness.check()


def test_directory_can_be_opened_only_once() -> None:
    harness = StoreHarness()
    harness.start()
    with pytest.raises(StoreLockedError):
        Engine.open(harness.files, LIMITS, lambda: 0.0, lambda *_, **__: None)
    harness.current_engine.close()
    harness.check_recovered(harness.files)


class StoreStateMachine(RuleBasedStateMachine):
    """Random operations compared with a dictionary. A crash is a power cut between or during file operations."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = StoreHarness()

    @initialize()
    def begin(self) -> None:
        self.harness.start()

    @rule(key=st.integers(0, 12), size=st.integers(0, 300), lifetime=st.sampled_from([0.2, 2.0, 30.0, math.inf]))
    def put(self, key: int, size: int, lifetime: float) -> None:
        try:
            self.harness.put(b"%d" % key, bytes([key]) * size, self.harness.time + lifetime)
        except StoreFullError:
            assert self.harness.current_engine.log.index.live_bytes > LIMITS.capacity / 2

    @rule(
        first=st.integers(0, 12),
        count=st.integers(1, 12),
        size=st.integers(0, 200),
        are_new_keys=st.booleans(),
        lifetime=st.sampled_from([2.0, math.inf]),
    )
    def put_many(self, first: int, count: int, size: int, are_new_keys: bool, lifetime: float) -> None:
        """Put new keys of one length, or a mix with existing and repeated keys."""
        harness = self.harness
        names = [
            b"%03d" % (len(harness.states) % 1000 + i) if are_new_keys else b"%d" % ((first + i * i) % 13)
            for i in range(count)
        ]
        items = [(name, b"%d" % i * size) for i, name in enumerate(names)]
        try:
            while items:
                done = harness.current_engine.put_many(items, harness.time + lifetime, waited=False)
                for key, value in items[:done]:
                    harness.states.append({**harness.states[-1], key: (value, harness.time + lifetime)})
                items = items[done:]
                if items:
                    harness.flush()
                    harness.current_engine.step()
        except StoreFullError:
            pass

    @rule(key=st.integers(0, 12))
    def delete(self, key: int) -> None:
        self.harness.delete(b"%d" % key)

    @rule()
    def flush(self) -> None:
        self.harness.flush()

    @rule(budget=st.sampled_from([1, 400, 10_000]), times=st.integers(1, 20))
    def step(self, budget: int, times: int) -> None:
        for _ in range(times):
            self.harness.current_engine.step(budget)

    @rule()
    def compact(self) -> None:
        self.harness.current_engine.compact()
        self.harness.settle()
        assert all(not segment.dead_records for segment in self.harness.current_engine.log.segments.values())

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def wait(self, seconds: float) -> None:
        self.harness.time += seconds

    @rule(seed=st.integers(0, 2**32), operations_until_cut=st.integers(0, 12))
    def crash(self, seed: int, operations_until_cut: int) -> None:
        harness = self.harness
        harness.files.cut_at = harness.files.operations + operations_until_cut
        try:
            if operations_until_cut:
                harness.settle()
                harness.current_engine.compact()
                harness.settle()
        except PowerCut:
            pass
        self._reopen(harness.files.after(random.Random(seed)))

    @rule()
    def kill(self) -> None:
        self._reopen(self.harness.files.copy())

    @rule()
    def close(self) -> None:
        self.harness.current_engine.close()
        self.harness.acknowledged = len(self.harness.states) - 1
        self._reopen(self.harness.files)

    def _reopen(self, files: SimulatedFileSystem) -> None:
        harness = self.harness
        harness.files = files
        harness.engine = harness.check_recovered(files)
        found = contents(harness.engine)
        index = next(
            i
            for i in range(len(harness.states) - 1, harness.acknowledged - 1, -1)
            if harness.expected_contents(i) == found
        )
        harness.states, harness.acknowledged = [harness.states[index]], 0

    @invariant()
    def matches_dictionary(self) -> None:
        if self.harness.engine is not None:
            self.harness.check()
            log = self.harness.current_engine.log
            assert log.index.live_bytes == sum(segment.live_bytes for segment in log.segments.values())
            assert log.disk_bytes <= LIMITS.max_bytes


StoreStateMachine.TestCase.settings = settings(
    STEPS, max_examples=60, stateful_step_count=40, suppress_health_check=list(HealthCheck)
)

TestStoreAgainstDictionary = StoreStateMachine.TestCase
