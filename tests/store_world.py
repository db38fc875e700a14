"""A store over a simulated directory, and the dictionary that it has to equal.

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


class World:
    """An engine over a simulated directory, and the dictionary that it has to equal.

    `states` holds what a reader would see after each change, from the beginning; `acknowledged` is the index of the
    state that the last flush acknowledged."""

    def __init__(self, files: SimulatedFileSystem | None = None, limits: Limits = LIMITS) -> None:
        self.files = files or SimulatedFileSystem()
        self.limits = limits
        self.time = 1000.0
        self.states: list[dict[bytes, tuple[bytes, float]]] = [{}]
        self.acknowledged = 0
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.engine: Engine | None = None

    @property
    def open(self) -> Engine:
        assert self.engine is not None
        return self.engine

    def start(self) -> None:
        self.engine = Engine.open(
            self.files, self.limits, lambda: self.time, lambda name, **fields: self.events.append((name, fields))
        )

    def put(self, key: bytes, value: bytes, expires: float = math.inf) -> None:
        self._wait(lambda waited: self.open.put(key, value, expires, waited))
        self.states.append({**self.states[-1], key: (value, expires)})

    def delete(self, key: bytes) -> None:
        self._wait(lambda waited: self.open.delete(key, waited))
        self.states.append({k: v for k, v in self.states[-1].items() if k != key})

    def _wait(self, attempt: Callable[[bool], bool]) -> None:
        waited = False
        while not attempt(waited):
            self.flush()
            self.open.step()
            waited = True

    def flush(self) -> None:
        before = len(self.states) - 1
        self.open.flush()
        self.acknowledged = before

    def settle(self) -> None:
        self.flush()
        self.open.settle()

    def visible(self, index: int) -> Contents:
        return {key: value for key, (value, expires) in self.states[index].items() if expires > self.time}

    def check(self) -> None:
        """The engine shows the last state."""
        assert contents(self.open) == self.visible(-1)

    def check_recovered(self, files: SimulatedFileSystem, note: object = None) -> Engine:
        """Opening shows the acknowledged state or a later one: nothing lost, nothing that was overruled back."""
        engine = Engine.open(files, self.limits, lambda: self.time, lambda *_, **__: None)
        found = contents(engine)
        assert any(found == self.visible(i) for i in range(self.acknowledged, len(self.states))), (note, found)
        return engine


def contents(engine: Engine) -> Contents:
    found = {}
    for key in engine.keys():
        value = engine.get(key)
        assert value is not None
        found[key] = value
    assert len(engine) == len(found)
    return found


def run_operations(world: World, steps: int = 90, seed: int = 3) -> None:
    """Puts, deletes, expiry, commits and compaction of few keys, so that most records are soon replaced."""
    rng = random.Random(seed)
    world.start()
    for step in range(steps):
        key = b"key%d" % rng.randrange(9)
        match rng.randrange(10):
            case 0 | 1:
                world.delete(key)
            case 2 | 3:
                world.put(key, rng.randbytes(rng.randrange(200)), world.time + rng.choice((0.5, 3.0, 40.0)))
            case _:
                world.put(key, rng.randbytes(rng.randrange(200)))
        if rng.random() < 0.35:
            world.flush()
        if rng.random() < 0.3:
            world.time += rng.choice((0.1, 1.5, 4.0))
        if rng.random() < 0.5:
            world.open.step(300)
        if step % 30 == 29:
            world.open.compact()
            world.settle()
        world.check()
    world.flush()


def run_script(seed: int = 3) -> World:
    world = World()
    run_operations(world, seed=seed)
    return world
