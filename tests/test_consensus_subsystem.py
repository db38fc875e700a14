"""The consensus subsystem of one node on a store whose disk fails, is full or is slow."""

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

TIMEOUT_S = 40.0  # limit for any awaited condition


async def wait_until(condition: Callable[[], Awaitable[object]]) -> None:
    """Wait until an asynchronous condition is true; fail after TIMEOUT_S."""
    deadline = time.monotonic() + TIMEOUT_S
    while not await condition():
        assert time.monotonic() < deadline, "condition not met in time"
        await asyncio.sleep(0.1)


class SingleNodeLinks:
    """Stand-in for the cluster links of a single node."""

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


def test_failed_sync_halts_the_node_and_a_restart_recovers_committed_values() -> None:
    async def run() -> None:
        files = SimulatedFileSystem()
        store = Store.open("", files=files, segment_bytes=2**16, max_bytes=2**20)
        node = subsystem(store)
        node.start()
        task = asyncio.create_task(node.run())
        set_value = node.commands_with_arguments()["agree-set"]
        await wait_until(lambda: is_committed(set_value, ["k", "v1"]))
        files.fail = lambda operation, name: OSError(5, "I/O error") if operation == "sync" else None
        answer = await set_value(["k", "v2"])
        assert answer.startswith("FAILURE unknown")
        assert "I/O error" in node.commands()["agree"]() and node.commands()["agree"]().startswith(
            "FAILURE takes no part"
        )
        assert (await set_value(["k", "v3"])).startswith("FAILURE refused")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        recovered_store = Store.open("", files=files.after("none"), segment_bytes=2**16, max_bytes=2**20)
        node = subsystem(recovered_store)
        node.start()
        task = asyncio.create_task(node.run())
        await wait_until(lambda: is_committed(node.commands_with_arguments()["agree-set"], ["other", "x"]))
        assert (await node.commands_with_arguments()["agree-get"](["k"])).endswith(" v1\n")
        with pytest.raises(ConfigError, match="the log belongs to n1"):
            subsystem(recovered_store, "n2")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        recovered_store.close()

    asyncio.run(run())


def test_full_store_halts_the_node_until_space_is_freed_and_a_slow_sync_does_not_block_the_event_loop() -> None:
    async def run() -> None:
        files = SimulatedFileSystem()
        store = Store.open("", files=files, segment_bytes=2**14, max_bytes=2**18)
        node = subsystem(store)
        node.start()
        task = asyncio.create_task(node.run())
        set_value = node.commands_with_arguments()["agree-set"]
        await wait_until(lambda: is_committed(set_value, ["k", "v1"]))
        filler_keys: list[bytes] = []
        with contextlib.suppress(StoreFullError):
            while True:
                for size in (4000, 100):
                    filler_keys.append(b"%d" % len(filler_keys))
                    store.put(filler_keys[-1], bytes(size), float("inf"))
        value = "x" * 1000
        await wait_until(lambda: is_rejected(set_value, ["k", value]))
        assert node.commands()["agree"]().startswith("FAILURE takes no part")
        for key in filler_keys:
            store.delete(key)
        await wait_until(lambda: is_committed(set_value, ["k", "v2"]))  # without a restart of the process
        iterations = 0

        async def count_iterations() -> None:
            nonlocal iterations
            while True:
                await asyncio.sleep(0.01)
                iterations += 1

        files.fail = lambda operation, name: time.sleep(1.2) if operation == "sync" else None
        counter_task = asyncio.create_task(count_iterations())
        assert await is_committed(set_value, ["k", "v3"])
        assert iterations > 20  # the event loop kept running during the slow sync
        files.fail = lambda operation, name: None
        counter_task.cancel()
        task.cancel()
        await asyncio.gather(task, counter_task, return_exceptions=True)
        store.close()

    asyncio.run(run())


async def is_rejected(set_value: Callable[[list[str]], Awaitable[str]], arguments: list[str]) -> bool:
    """Return whether the value was not committed."""
    return not await is_committed(set_value, arguments)


async def is_committed(set_value: Callable[[list[str]], Awaitable[str]], arguments: list[str]) -> bool:
    """Return whether the value was committed."""
    return (await set_value(arguments)).startswith("SUCCESS agreed")
