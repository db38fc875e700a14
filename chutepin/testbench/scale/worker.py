"""A process full of hollow nodes: `python -m chutepin.testbench.scale.worker`, steered over its standard input.

It ends with its input, and after the seconds of its job at the latest."""

from __future__ import annotations

import asyncio
import sys
import time

from chutepin.testbench.scale.hollow import Death, HollowNode, ViewSummary, platform_config
from chutepin.testbench.scale.messages import Action, Command, Job, Sample, read_command, read_job, sample_line

SAMPLE_EVERY = 0.5  # seconds
START_EVERY = 0.02  # seconds between members at the start, lest the seeds are asked by all at once
LINE = 2**24  # bytes of the longest line: a job with all its members


class Worker:
    """The hollow nodes of one process."""

    def __init__(self, job: Job) -> None:
        config = platform_config()
        self._deaths: list[Death] = []
        self._nodes = {place.name: HollowNode(place, config, self._deaths.append) for place in job.places}

    async def run(self, commands: asyncio.StreamReader) -> None:
        """Start all, and do as told until the input ends."""
        sampling = asyncio.ensure_future(self._sample_on())
        try:
            for node in self._nodes.values():
                node.start()
                await asyncio.sleep(START_EVERY)
            while line := await commands.readline():
                self._do(read_command(line.decode()))
        finally:
            sampling.cancel()
            for node in self._nodes.values():
                node.crash()

    def _do(self, command: Command) -> None:
        node = self._nodes[command.member]
        match command.action:
            case Action.START:
                node.start()
            case Action.LEAVE:
                node.leave()
            case Action.CRASH:
                node.crash()

    async def _sample_on(self) -> None:
        while True:
            due = time.monotonic() + SAMPLE_EVERY
            await asyncio.sleep(SAMPLE_EVERY)
            sys.stdout.write(sample_line(self._sample(time.monotonic() - due)))
            sys.stdout.flush()

    def _sample(self, lag: float) -> Sample:
        deaths = tuple(self._deaths)
        self._deaths.clear()
        running = [node for node in self._nodes.values() if node.running]
        views: dict[ViewSummary, None] = dict.fromkeys(node.view() for node in running)
        return Sample(
            time.monotonic(),
            time.process_time_ns(),
            lag,
            {name: node.traffic() for name, node in self._nodes.items()},
            tuple(views),
            len(running),
            deaths,
        )


async def main() -> None:
    """Work until the input ends."""
    commands = asyncio.StreamReader(limit=LINE)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    job = read_job((await commands.readline()).decode())
    async with asyncio.timeout(job.seconds):
        await Worker(job).run(commands)


if __name__ == "__main__":
    asyncio.run(main())
