"""Worker process that runs many hollow nodes: `python -m chutepin.testbench.scale.worker`.

The worker reads its job and its commands from standard input. It ends at the end of the input, and at the latest after
the seconds of its job."""

from __future__ import annotations

import asyncio
import sys
import time

from chutepin.testbench.scale.hollow import Death, HollowNode, ViewSummary, platform_config
from chutepin.testbench.scale.messages import Action, Command, Job, Sample, encode_sample, parse_command, parse_job

SAMPLE_INTERVAL_S = 0.5
START_INTERVAL_S = 0.02  # between starts of members, so that not all contact the seeds at once
MAX_LINE_BYTES = 2**24  # longest line: a job with all its members


class Worker:
    """The hollow nodes of one process."""

    def __init__(self, job: Job) -> None:
        config = platform_config()
        self._deaths: list[Death] = []
        self._nodes = {place.name: HollowNode(place, config, self._deaths.append) for place in job.places}

    async def run(self, commands: asyncio.StreamReader) -> None:
        """Start all nodes, and execute commands until the input ends."""
        sampling = asyncio.ensure_future(self._write_samples())
        try:
            for node in self._nodes.values():
                node.start()
                await asyncio.sleep(START_INTERVAL_S)
            while line := await commands.readline():
                self._execute(parse_command(line.decode()))
        finally:
            sampling.cancel()
            for node in self._nodes.values():
                node.crash()

    def _execute(self, command: Command) -> None:
        node = self._nodes[command.member]
        match command.action:
            case Action.START:
                node.start()
            case Action.LEAVE:
                node.leave()
            case Action.CRASH:
                node.crash()

    async def _write_samples(self) -> None:
        while True:
            due = time.monotonic() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            sys.stdout.write(encode_sample(self._take_sample(time.monotonic() - due)))
            sys.stdout.flush()

    def _take_sample(self, lag: float) -> Sample:
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
    """Run the worker until its input ends or the time of its job is over."""
    commands = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    job = parse_job((await commands.readline()).decode())
    async with asyncio.timeout(job.seconds):
        await Worker(job).run(commands)


if __name__ == "__main__":
    asyncio.run(main())
