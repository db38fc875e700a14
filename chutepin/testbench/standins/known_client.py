"""A known client for flood tests: it sends requests at up to a given rate on one held connection and on new ones."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from chutepin.testbench.standins.platform import Balancer

ANSWER_TIMEOUT_S = 1.0  # for an answer, and for establishing a connection


@dataclass(slots=True)
class Answers:
    """The results of the requests on the held connection, or of those on new connections."""

    asked: int = 0
    served: int = 0
    answer_times_s: list[float] = field(default_factory=list)

    @property
    def served_share(self) -> float:
        """Return the share of requests that were served; 0 if none was sent."""
        return self.served / self.asked if self.asked else 0.0

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the answer times of served requests; NaN if none was served."""
        times = sorted(self.answer_times_s)
        return 1000 * times[min(len(times) - 1, int(share * len(times)))] if times else float("nan")


class KnownClient:
    """One client, which connects from the loopback address `source`."""

    def __init__(self, port: int, source: str = "127.0.0.1", requests_per_s: float = 20.0) -> None:
        self._port = port
        self._source = source
        self._interval_s = 1 / requests_per_s
        self.held = Answers()  # of requests on the held connection
        self.new = Answers()  # of requests with a new connection each

    async def run(self, seconds: float) -> None:
        """Send requests for this many seconds."""
        end_at = time.monotonic() + seconds
        await asyncio.gather(self._send_on_held_connection(end_at), self._send_on_new_connections(end_at))

    async def _connect(self) -> Balancer:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return Balancer(*await asyncio.open_connection("127.0.0.1", self._port, local_addr=(self._source, 0)))

    async def _send_request(self, balancer: Balancer, answers: Answers) -> None:
        sent_at = time.monotonic()
        tag = balancer.call("position-push", b"x", wait=1000)
        while tag not in balancer.answers and not balancer.ended and time.monotonic() < sent_at + ANSWER_TIMEOUT_S:
            await asyncio.sleep(0.001)
        if tag in balancer.answers and balancer.answers[tag][0][0] == b"OK":
            answers.served += 1
            answers.answer_times_s.append(time.monotonic() - sent_at)

    async def _send_on_held_connection(self, end_at: float) -> None:
        balancer: Balancer | None = None
        while time.monotonic() < end_at:
            self.held.asked += 1
            with contextlib.suppress(OSError, TimeoutError):
                if balancer is None or balancer.ended:
                    balancer = await self._connect()
                await self._send_request(balancer, self.held)
            await asyncio.sleep(self._interval_s)
        if balancer is not None:
            await balancer.close()

    async def _send_on_new_connections(self, end_at: float) -> None:
        while time.monotonic() < end_at:
            self.new.asked += 1
            with contextlib.suppress(OSError, TimeoutError):
                balancer = await self._connect()
                await self._send_request(balancer, self.new)
                await balancer.close()
            await asyncio.sleep(self._interval_s)
