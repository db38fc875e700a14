"""The operators' acceptance on real sockets: the real program between stand-ins, each condition forced here."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from chutepin.lab.flood import Flood
from chutepin.lab.standins import Balancer, eventually
from chutepin.net.control import ANSWER_BY, EVERY

from .helper import Standins
from .test_node import on_sockets
from .test_operation import call

# --- idle callers hold every descriptor while the control plane is away ---

FEW_DESCRIPTORS = 64
IDLE_CALLERS = 200
CYCLES = 2  # losses of the control plane in one test
AWAY = 1.2  # seconds that it is away each time
FILLED = 3 * FEW_DESCRIPTORS  # connections of idle callers, those that were turned away included
REPORT_BY = EVERY + ANSWER_BY  # seconds after its return: a report under way is given up first
LINK_BY = 3.0  # seconds in which the executor is met again


@contextlib.asynccontextmanager
async def idle_callers(port: int) -> AsyncIterator[None]:
    """More callers than the node has descriptors for; each connects, sends one request, idles, and connects again
    whenever it is closed."""
    flood = Flood("sound", port, 60.0, held=IDLE_CALLERS)
    task = asyncio.ensure_future(flood.run())
    try:
        await eventually(lambda: flood.counts["connected"] >= FILLED)
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def ask_until(stop: asyncio.Event, balancer: Balancer) -> list[bytes]:
    """Ask on one connection, one request after the other; the words of all answers."""
    words = []
    while not stop.is_set():
        words.append((await balancer.answer(balancer.call("status-read", b"x")))[0])
        await asyncio.sleep(0.02)
    return words


async def control_returns(world: Standins, silent: bool) -> float:
    """The control plane goes away and comes back; seconds until a report has reached it."""
    await eventually(lambda: world.reports)
    if silent:
        world.control_silent = True
    else:
        world.refuse_control()
    await asyncio.sleep(AWAY)
    world.reports.clear()
    back = time.monotonic()
    await world.restore_control()
    await eventually(lambda: world.reports)
    return time.monotonic() - back


async def executor_returns(world: Standins) -> float:
    """The executor's link breaks; seconds until it stands again."""
    joins, lost = len(world.joins), time.monotonic()
    world.cut()
    await eventually(lambda: len(world.joins) > joins)
    return time.monotonic() - lost


@pytest.mark.parametrize("silent", [False, True], ids=["refusing", "silent"])
def test_the_control_plane_is_met_again_at_once_while_idle_callers_fill_the_descriptors(
    silent: bool, tmp_path: Path
) -> None:
    async def test(world: Standins, stack: AsyncExitStack) -> None:
        world.descriptors = FEW_DESCRIPTORS
        setup = tmp_path / "node.kdl"
        setup.write_text('admission { known "127.0.0.1" }')
        await world.start(stack, "node", "--setup", str(setup), ops=True)
        client, stop = await world.connect(), asyncio.Event()
        asking = asyncio.ensure_future(ask_until(stop, client))
        async with idle_callers(world.port):
            for _ in range(CYCLES):
                assert await control_returns(world, silent) < REPORT_BY
                assert await executor_returns(world) < LINK_BY
                assert (await call(world, b"ready\n")).startswith("SUCCESS yes")
            stop.set()
            words = await asking
        assert set(words) == {b"OK"} and not client.ended
        log = await world.leave()
        # What others have reserved was never touched, not even between two turns of the loop.
        assert "admission.refused.full=" in log and "admission.no_descriptor" not in log
        assert "invariant" not in log and "errors" not in log
        await client.close()

    on_sockets(test)
