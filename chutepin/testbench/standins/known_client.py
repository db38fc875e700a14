"""A known client under a flood: so many requests a second on a connection that it holds, and as many on new ones."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from chutepin.testbench.standins.platform import Balancer

ANSWER_TIMEOUT_S = 1.0  # also of a connection


@dataclass(slots=True)
class Answers:
    """What came of one kind of requests."""

    asked: int = 0
    served: int = 0
    answer_times_s: list[float] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        """Of the requests, how many were served."""
        return self.served / self.asked if self.asked else 0.0

    def quantile_ms(self, share: float) -> float:
        """Return the time within which this share of the served was answered; NaN if none was."""
        times = sorted(self.answer_times_s)
        return 1000 * times[min(len(times) - 1, int(share * len(times)))] if times else float("nan")


class KnownClient:
    """One client. `source` is its loopback address."""

    def __init__(self, port: int, source: str = "127.0.0.1", requests_per_s: float = 20.0) -> None:
        self._port = port
        self._source = source
        self._interval_s = 1 / requests_per_s
        self.held = Answers()  # on the connection that it holds
        self.new = Answers()  # on a new connection each

    async def run(self, seconds: float) -> None:
        """Ask for so long."""
        end = time.monotonic() + seconds
        await asyncio.gather(self._ask_on_held(end), self._ask_on_new(end))

    async def _connect(self) -> Balancer:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return Balancer(*await asyncio.open_connection("127.0.0.1", self._port, local_addr=(self._source, 0)))

    async def _ask(self, balancer: Balancer, answers: Answers) -> None:
        asked_at = time.monotonic()
        tag = balancer.call("position-push", b"x", wait=1000)
        while tag not in balancer.answers and not balancer.ended and time.monotonic() < asked_at + ANSWER_TIMEOUT_S:
            await asyncio.sleep(0.001)
        if tag in balancer.answers and balancer.answers[tag][0][0] == b"OK":
            answers.served += 1
            answers.answer_times_s.append(time.monotonic() - asked_at)

    async def _ask_on_held(self, end: float) -> None:
        balancer: Balancer | None = None
        while time.monotonic() < end:
            self.held.asked += 1
            with contextlib.suppress(OSError, TimeoutError):
                if balancer is None or balancer.ended:
                    balancer = await self._connect()
                await self._ask(balancer, self.held)
            await asyncio.sleep(self._interval_s)
        if balancer is not None:
            await balancer.close()

    async def _ask_on_new(self, end: float) -> None:
        while time.monotonic() < end:
            self.new.asked += 1
            with contextlib.suppress(OSError, TimeoutError):
                balancer = await self._connect()
                await self._ask(balancer, self.new)
                await balancer.close()
            await asyncio.sleep(self._interval_s)
