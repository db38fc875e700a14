"""A known client under a flood: so many requests a second on a connection that it holds, and as many on new ones."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from chutepin.testbench.standins.platform import Balancer

PATIENCE = 1.0  # seconds in which an answer must come


@dataclass(slots=True)
class Answers:
    """What came of one kind of requests."""

    asked: int = 0
    served: int = 0
    times: list[float] = field(default_factory=list)  # seconds

    @property
    def part(self) -> float:
        """Of the requests, how many were served."""
        return self.served / self.asked if self.asked else 0.0

    def time(self, part: float) -> float:
        """Within which this part of the served was answered, in milliseconds."""
        times = sorted(self.times)
        return 1000 * times[min(len(times) - 1, int(part * len(times)))] if times else float("nan")


class Known:
    """One client. `source` is its loopback address."""

    def __init__(self, port: int, source: str = "127.0.0.1", rate: float = 20.0) -> None:
        self._port, self._source, self._gap = port, source, 1 / rate
        self.held, self.new = Answers(), Answers()

    async def run(self, seconds: float) -> None:
        """Ask for so long."""
        end = time.monotonic() + seconds
        await asyncio.gather(self._hold(end), self._renew(end))

    async def _connect(self) -> Balancer:
        async with asyncio.timeout(PATIENCE):
            return Balancer(*await asyncio.open_connection("127.0.0.1", self._port, local_addr=(self._source, 0)))

    async def _ask(self, balancer: Balancer, answers: Answers) -> None:
        begun = time.monotonic()
        tag = balancer.call("position-push", b"x", wait=1000)
        while tag not in balancer.answers and not balancer.ended and time.monotonic() < begun + PATIENCE:
            await asyncio.sleep(0.001)
        if tag in balancer.answers and balancer.answers[tag][0][0] == b"OK":
            answers.served += 1
            answers.times.append(time.monotonic() - begun)

    async def _hold(self, end: float) -> None:
        balancer: Balancer | None = None
        while time.monotonic() < end:
            self.held.asked += 1
            with contextlib.suppress(OSError, TimeoutError):
                if balancer is None or balancer.ended:
                    balancer = await self._connect()
                await self._ask(balancer, self.held)
            await asyncio.sleep(self._gap)
        if balancer is not None:
            await balancer.close()

    async def _renew(self, end: float) -> None:
        while time.monotonic() < end:
            self.new.asked += 1
            with contextlib.suppress(OSError, TimeoutError):
                balancer = await self._connect()
                await self._ask(balancer, self.new)
                await balancer.close()
            await asyncio.sleep(self._gap)
