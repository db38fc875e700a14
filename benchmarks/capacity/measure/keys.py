"""Memory of a node for keys of requests whose results it remembers."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack

from chutepin.testbench.standins.platform import EXAMPLE, Balancer

from .tools import SETTLE_S, Measured, Table, node, pid, resident_bytes

SIZES = (500, 1000, 2000, 4000, 8000)
AT_ONCE = 4
KEY_BYTES, BODY_BYTES = 16, 16
WARM = 50  # requests before the first reading
SEED = 1
WINDOW_S = 600.0  # longer than the measurement: no key is forgotten meanwhile
CLASS = "work-order"
UNITS = {"memory_bytes": "bytes"}


def _settings(categories: list[dict[str, object]]) -> dict[str, object]:
    return {
        "categories": [
            {**category, "window": WINDOW_S} if category["name"] == CLASS else category for category in categories
        ],
        "familyInfo": {"kbPerKey": 0.001, "memoryKb": 1e6},
    }


async def measured() -> Measured:
    """Requests with keys of their own are asked in steps; one that is refused leaves no key and is not counted."""
    table = Table("keys", UNITS)
    rng = random.Random(SEED)
    async with AsyncExitStack() as stack:
        world = await node(stack, _settings(EXAMPLE["settings"]["categories"]))
        balancer = await world.connect()
        done = 0
        while done < WARM:
            done += await _ask(balancer, rng)
        before, done = resident_bytes(pid(world)), 0
        for size in SIZES:
            while done < size:
                done += await _ask(balancer, rng)
            await asyncio.sleep(SETTLE_S)
            table.add(done, memory_bytes=resident_bytes(pid(world)) - before)
        await balancer.close()
    return Measured(
        table.series(),
        (SEED,),
        (
            f"keys of {2 * KEY_BYTES} characters, short results; the module's bound on memory of keys is raised",
            "one process, sizes in a row",
        ),
    )


async def _ask(balancer: Balancer, rng: random.Random) -> int:
    """Ask for several at once; how many were served, and so are remembered."""
    asked = [(rng.randbytes(BODY_BYTES), rng.randbytes(KEY_BYTES).hex()) for _ in range(AT_ONCE)]
    tags = [balancer.call(CLASS, body, key) for body, key in asked]
    served = 0
    for tag in tags:
        words = await balancer.answer(tag)
        served += words[0] == b"OK"
        del balancer.answers[tag]
    return served


def run() -> Measured:
    """The part."""
    return asyncio.run(measured())
