"""Test harness: an engine over a simulated directory, compared with a dictionary.

Sizes are small, so that short runs reach every boundary."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from chutepin.store.engine import Engine
from chutepin.store.limits import Limits

from .powercut import SimulatedFileSystem

SEGMENT = 1024  # bytes
LIMITS = Limits(SEGMENT, 24 * SEGMENT, 2**20)

Contents = dict[bytes, bytes]


class StoreHarness:
    """An engine over a simulated directory, and a dictionary model of its contents.

    `states` holds the expected contents after each change, starting with the empty store; `acknowledged` is the index
    of the state that the last flush acknowledged."""

    def __init__(self, files: SimulatedFileSystem | None = None, limits: Limits = LIMITS) -> None:
        self.files = files or SimulatedFileSystem()
        self.limits = limits
        self.time = 1000.0
        self.states: list[dict[bytes, tuple[bytes, float]]] = [{}]
        self.acknowledged = 0
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.engine: Engine | None = None

    @property
    def current_engine(self) -> Engine:
        assert self.engine is not None
        return self.engine

    def start(self) -> None:
        self.engine = Engine.open(
            self.files, self.limits, lambda: self.time, lambda name, **fields: self.events.append((name, fields))
        )

    def put(self, key: bytes, value: bytes, expires: float = math.inf) -> None:
        self._retry_until_appended(lambda waited: self.current_engine.put(key, value, expires, waited))
        self.states.append({**self.states[-1], key: (value, expires)})

    def delete(self, key: bytes) -> None:
        self._retry_until_appended(lambda waited: self.current_engine.delete(key, waited))
        self.states.append({k: v for k, v in self.states[-1].items() if k != key})

    def _retry_until_appended(self, append: Callable[[bool], bool]) -> None:
        waited = False
        while not append(waited):
            self.flush()
            self.current_engine.step()
            waited = True

    def flush(self) -> None:
        before = len(self.states) - 1
        self.current_engine.flush()
        self.acknowledged = before

    def settle(self) -> None:
        self.flush()
        self.current_engine.settle()

    def expected_contents(self, index: int) -> Contents:
        return {key: value for key, (value, expires) in self.states[index].items() if expires > self.time}

    def check(self) -> None:
        """Check that the engine's contents equal the last state."""
        assert contents(self.current_engine) == self.expected_contents(-1)

    def check_recovered(self, files: SimulatedFileSystem, failure_note: object = None) -> Engine:
        """Open the store and check that its contents equal the acknowledged state or a later one."""
        engine = Engine.open(files, self.limits, lambda: self.time, lambda *_, **__: None)
        found = contents(engine)
        assert any(found == self.expected_contents(i) for i in range(self.acknowledged, len(self.states))), (
            failure_note,
            found,
        )
        return engine


def contents(engine: Engine) -> Contents:
    found = {}
    for key in engine.keys():
        value = engine.get(key)
        assert value is not None
        found[key] = value
    assert len(engine) == len(found)
    return found


def run_operations(harness: StoreHarness, steps: int = 90, seed: int = 3) -> None:
    """Run random puts, deletes, expiries, commits and compactions on few keys, so that most records are superseded."""
    rng = random.Random(seed)
    harness.start()
    for step in range(steps):
        key = b"key%d" % rng.randrange(9)
        match rng.randrange(10):
            case 0 | 1:
                harness.delete(key)
            case 2 | 3:
                harness.put(key, rng.randbytes(rng.randrange(200)), harness.time + rng.choice((0.5, 3.0, 40.0)))
            case _:
                harness.put(key, rng.randbytes(rng.randrange(200)))
        if rng.random() < 0.35:
            harness.flush()
        if rng.random() < 0.3:
            harness.time += rng.choice((0.1, 1.5, 4.0))
        if rng.random() < 0.5:
            harness.current_engine.step(300)
        if step % 30 == 29:
            harness.current_engine.compact()
            harness.settle()
        harness.check()
    harness.flush()


def run_script(seed: int = 3) -> StoreHarness:
    harness = StoreHarness()
    run_operations(harness, seed=seed)
    return harness
