"""A keyed request whose caller has left runs a second time after the link to the executor broke once."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import rig

KEYS = 1  # one key, so that the link breaks once
CANCEL_AFTER_S = 0.020  # from the start of the run until its caller leaves
BREAK_AFTER_S = 0.050  # from the start of the run until the link breaks
RETRY_AFTER_S = 1.0
SLACK_S = 0.05  # the rules on sockets: every time limit is 50 ms longer


async def case(record: rig.Record, directory: Path) -> int:
    """Run the case; return the exit code."""
    example = json.loads((rig.ROOT / "deploy" / "example.json").read_text())
    settings = example["settings"]
    world = rig.World(settings, record, work_s=0.3)
    executor, records, control = rig.Executor(world, "executor"), rig.Records(record, 0.1), rig.Control(record)
    for standin in (executor, records, control):
        await standin.start()
    port = rig.free_port()
    config = example | {
        "listen": f"127.0.0.1:{port}",
        "executor": f"127.0.0.1:{executor.port}",
        "records": f"127.0.0.1:{records.port}",
        "control": f"127.0.0.1:{control.port}",
    }
    tmpdir = directory / "tmp"
    tmpdir.mkdir()
    node = rig.Node("node", record, directory)
    await node.start(config, tmpdir)
    await node.ready()
    pool = rig.Pool(world, 1, port)
    loop = asyncio.get_running_loop()

    first_ids: set[str] = set()

    def run_began(request: rig.Try) -> None:
        if request.id in first_ids and request.balancer is not None:
            loop.call_later(CANCEL_AFTER_S, request.balancer.cancel, request)
            if rig.TROUBLE:
                loop.call_later(BREAK_AFTER_S, executor.cut)

    executor.on_exec = run_began
    wait_s = world.classes["work-order"]["deadline"]
    for number in range(KEYS):
        key, body = os.urandom(16).hex(), b"order %d" % number
        first = await pool.call("work-order", wait_s, key, body, "bernard-lodge")
        first_ids.add(first.id)
        await asyncio.sleep(RETRY_AFTER_S)
        second = await pool.call("work-order", wait_s, key, body, "bernard-lodge")
        while not second.answers and time.time() < second.due:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
    return verdict(world, record)


def verdict(world: rig.World, record: rig.Record) -> int:
    """Judge the runs of each key by the window that counts from `s` of the try that ran first."""
    window = world.classes["work-order"]["window"]
    runs: dict[str, list[rig.Try]] = {}
    for request in world.tries.values():
        if request.key is not None and request.ran_at is not None:
            runs.setdefault(request.key, []).append(request)
    if not runs:
        raise rig.NotRunError("no work order ran")
    broken = 0
    for key, tries in runs.items():
        for first, later in itertools.pairwise(tries):
            if later.written_at < first.s + window + SLACK_S:
                broken += 1
                after = later.written_at - first.s
                record.add(f"RULE BROKEN: key {key}: {first.id} ran, and {later.id}, written {after:.3f} s later")
    record.add(f"{len(runs)} keys, {broken} ran twice within {window} s")
    return rig.BROKEN if broken else rig.HELD


def main() -> int:
    """Run the case and return the exit code."""
    return rig.main(case, Path(__file__).resolve().parent)


if __name__ == "__main__":
    sys.exit(main())
