"""The consensus subsystem of one node on a store whose disk fails, fills up or is slow."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable

import pytest

from chutepin.admission import DescriptorBudget
from chutepin.clock import Clock
from chutepin.config import ConfigError
from chutepin.config.consensus import ConsensusSetup
from chutepin.consensus.subsystem import ConsensusSubsystem
from chutepin.counters import Counters
from chutepin.logs import Log
from chutepin.store import Store, StoreFullError

from .powercut import SimulatedFileSystem

EVER = 40.0  # seconds in which anything that must come has come


async def until(holds: Callable[[], Awaitable[object]]) -> None:
    """Wait until what is asked from outside is as it must be."""
    by = time.monotonic() + EVER
    while not await holds():
        assert time.monotonic() < by, "it never came to hold"
        await asyncio.sleep(0.1)


class SingleNodeLinks:
    """The cluster of one node."""

    cluster = "fleet"

    def address(self, name: str) -> str | None:
        return None

    def alive(self) -> list[str]:
        return ["n1"]

    def add_stream_handler(self, preface: bytes, handler: object) -> None:
        pass


def subsystem(store: Store, name: str = "n1") -> ConsensusSubsystem:
    log = Log(Clock())
    return ConsensusSubsystem(
        ConsensusSetup(("n1",)),
        name,
        SingleNodeLinks(),
        store,
        DescriptorBudget(64, {"cluster": (0, 8)}),
        Counters(),
        log,
    )


def test_failed_sync_halts_the_node_and_a_restart_has_what_was_committed() -> None:
    async def run() -> None:
        files = SimulatedFileSystem()
        store = Store.open("", files=files, segment_bytes=2**16, max_bytes=2**20)
        part = subsystem(store)
        part.start()
        task = asyncio.create_task(part.run())
        order = part.commands_with_arguments()["agree-set"]
        await until(lambda: agreed(order, ["k", "v1"]))
        files.fail = lambda operation, name: OSError(5, "I/O error") if operation == "sync" else None
        told = await order(["k", "v2"])
        assert told.startswith("FAILURE unknown")
        assert "I/O error" in part.commands()["agree"]() and part.commands()["agree"]().startswith(
            "FAILURE takes no part"
        )
        assert (await order(["k", "v3"])).startswith("FAILURE refused")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        again = Store.open("", files=files.after("none"), segment_bytes=2**16, max_bytes=2**20)
        part = subsystem(again)
        part.start()
        task = asyncio.create_task(part.run())
        await until(lambda: agreed(part.commands_with_arguments()["agree-set"], ["other", "x"]))
        assert (await part.commands_with_arguments()["agree-get"](["k"])).endswith(" v1\n")
        with pytest.raises(ConfigError, match="the log in it is that of n1"):
            subsystem(again, "n2")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        again.close()

    asyncio.run(run())


def test_full_store_halts_the_node_until_there_is_room_and_a_slow_one_blocks_nothing_else() -> None:
    async def run() -> None:
        files = SimulatedFileSystem()
        store = Store.open("", files=files, segment_bytes=2**14, max_bytes=2**18)
        part = subsystem(store)
        part.start()
        task = asyncio.create_task(part.run())
        order = part.commands_with_arguments()["agree-set"]
        await until(lambda: agreed(order, ["k", "v1"]))
        filled: list[bytes] = []
        with contextlib.suppress(StoreFullError):
            while True:
                for size in (4000, 100):
                    filled.append(b"%d" % len(filled))
                    store.put(filled[-1], bytes(size), float("inf"))
        value = "x" * 1000
        await until(lambda: refused(order, ["k", value]))
        assert part.commands()["agree"]().startswith("FAILURE takes no part")
        for key in filled:
            store.delete(key)
        await until(lambda: agreed(order, ["k", "v2"]))  # by itself
        turns = 0

        async def turn() -> None:
            nonlocal turns
            while True:
                await asyncio.sleep(0.01)
                turns += 1

        files.fail = lambda operation, name: time.sleep(1.2) if operation == "sync" else None
        turning = asyncio.create_task(turn())
        assert await agreed(order, ["k", "v3"])
        assert turns > 20  # the loop went on while the disk worked
        files.fail = lambda operation, name: None
        turning.cancel()
        task.cancel()
        await asyncio.gather(task, turning, return_exceptions=True)
        store.close()

    asyncio.run(run())


async def refused(order: Callable[[list[str]], Awaitable[str]], words: list[str]) -> bool:
    """It was not agreed."""
    return not await agreed(order, words)


async def agreed(order: Callable[[list[str]], Awaitable[str]], words: list[str]) -> bool:
    """It was agreed."""
    return (await order(words)).startswith("SUCCESS agreed")
