"""Memory of a node by number of request keys whose results are retained."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack

from chutepin.testbench.standins.platform import EXAMPLE, Balancer

from .tools import SETTLE_S, Measurement, Table, pid, resident_bytes, start_node

SIZES = (500, 1000, 2000, 4000, 8000)
CONCURRENT_REQUESTS = 4
KEY_BYTES, BODY_BYTES = 16, 16
WARM_UP_REQUESTS = 50  # sent before memory is first measured
SEED = 1
WINDOW_S = 600.0  # longer than the measurement, so no key expires during it
CLASS = "work-order"
UNITS = {"memory_bytes": "bytes"}


def _settings(categories: list[dict[str, object]]) -> dict[str, object]:
    return {
        "categories": [
            {**category, "window": WINDOW_S} if category["name"] == CLASS else category for category in categories
        ],
        "familyInfo": {"kbPerKey": 0.001, "memoryKb": 1e6},
    }


async def measure_keys() -> Measurement:
    """Send requests with distinct keys in steps. Refused requests store no key and are not counted."""
    table = Table("keys", UNITS)
    rng = random.Random(SEED)
    async with AsyncExitStack() as stack:
        standins = await start_node(stack, _settings(EXAMPLE["settings"]["categories"]))
        balancer = await standins.connect()
        done = 0
        while done < WARM_UP_REQUESTS:
            done += await _send_requests(balancer, rng)
        before, done = resident_bytes(pid(standins)), 0
        for size in SIZES:
            while done < size:
                done += await _send_requests(balancer, rng)
            await asyncio.sleep(SETTLE_S)
            table.add(done, memory_bytes=resident_bytes(pid(standins)) - before)
        await balancer.close()
    return Measurement(
        table.series(),
        (SEED,),
        (
            f"keys of {2 * KEY_BYTES} characters, short results; the module's bound on memory of keys is raised",
            "one process, sizes in a row",
        ),
    )


async def _send_requests(balancer: Balancer, rng: random.Random) -> int:
    """Send several requests at once. Return the number served, whose results the node retains."""
    requests = [(rng.randbytes(BODY_BYTES), rng.randbytes(KEY_BYTES).hex()) for _ in range(CONCURRENT_REQUESTS)]
    tags = [balancer.call(CLASS, body, key) for body, key in requests]
    served = 0
    for tag in tags:
        fields = await balancer.answer(tag)
        served += fields[0] == b"OK"
        del balancer.answers[tag]
    return served


def run() -> Measurement:
    """Measure the part and return its series."""
    return asyncio.run(measure_keys())
