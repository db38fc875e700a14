"""The demo: a node process between stand-ins under a mix of classes and tenants, with a count of every outcome."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from chutepin.testbench.standins.platform import EXAMPLE, Balancer, Standins

CALLERS = 4  # number of balancer connections
RATE = 60.0  # requests per second over all connections
MIX = {"status-read": 0.5, "position-push": 0.35, "work-order": 0.15}
REPEATS = 0.2  # share of work orders that are sent twice under one key
OUTCOMES = ("served", "refused", "failed")
_OUTCOME_BY_VERDICT = {b"OK": "served", b"BUSY": "refused"}


@dataclass(slots=True)
class Tally:
    """The results of a demo: counts by class, team and outcome, and answer times in seconds by class."""

    sent: Counter[str] = field(default_factory=Counter)
    teams: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    times: dict[str, list[float]] = field(default_factory=dict)
    unanswered: int = 0  # requests without a final answer at their deadline
    twice: int = 0  # requests with more than one final answer
    run_twice: int = 0  # work orders that the executor ran more than once

    @property
    def sound(self) -> bool:
        """Return whether each request has exactly one final answer and no work order ran twice."""
        return bool(self.sent) and not (self.unanswered or self.twice or self.run_twice)

    def as_dict(self) -> dict[str, object]:
        """Return the tally for `--json`; times are medians and 99th percentiles in milliseconds."""
        classes = {
            cls: {
                "sent": count,
                **{outcome: self.outcomes[cls, outcome] for outcome in OUTCOMES},
                "median_ms": self.time(cls, 0.5),
                "p99_ms": self.time(cls, 0.99),
            }
            for cls, count in self.sent.items()
        }
        return {
            "classes": classes,
            "teams": dict(self.teams),
            "unanswered": self.unanswered,
            "answered_twice": self.twice,
            "run_twice": self.run_twice,
            "sound": self.sound,
        }

    def time(self, cls: str, quantile: float) -> float | None:
        """Return a quantile of the answer times of a class in milliseconds; None if no request was answered."""
        times = sorted(self.times.get(cls, ()))
        return round(1000 * times[min(len(times) - 1, int(quantile * len(times)))], 2) if times else None


class Demo:
    """One demo. Requests are sent for `seconds`; `show` is called ten times a second with the tally so far."""

    def __init__(self, seconds: float, seed: int, show: Callable[[Tally], None]) -> None:
        self._seconds, self._show = seconds, show
        self._random = random.Random(seed)
        self._share_by_team = {team["name"]: team["share"] for team in EXAMPLE["settings"]["tenants"]}
        self.tally = Tally()

    async def run(self) -> Tally:
        """Start the node and its stand-ins, send requests, await the answers, stop the node; return the tally."""
        async with AsyncExitStack() as stack:
            standins = Standins(EXAMPLE["settings"])
            await standins.start(stack)
            callers = [await standins.connect() for _ in range(CALLERS)]
            requests = [call async for call in self._send_requests(callers)]
            await asyncio.gather(*requests)
            orders = Counter(body for _, cls, body in standins.runs if cls == "work-order")
            self.tally.run_twice = sum(count > 1 for count in orders.values())
            self.tally.twice = sum(
                len(answers) > 1 for caller in callers for tag, answers in caller.answers.items() if tag
            )
            await standins.leave()
            for caller in callers:
                await caller.close()
        self._show(self.tally)
        return self.tally

    async def _send_requests(self, callers: list[Balancer]) -> AsyncIterator[asyncio.Future[None]]:
        end_at = time.monotonic() + self._seconds
        shown_at = 0.0
        while (now := time.monotonic()) < end_at:
            cls = self._random.choices(list(MIX), list(MIX.values()))[0]
            team = self._random.choices(list(self._share_by_team), list(self._share_by_team.values()))[0]
            body = self._random.randbytes(16).hex().encode()
            key = self._random.randbytes(16).hex() if cls == "work-order" else None
            caller = self._random.choice(callers)
            yield asyncio.ensure_future(self._send_request(caller, cls, team, body, key))
            if key is not None and self._random.random() < REPEATS:
                yield asyncio.ensure_future(self._send_request(self._random.choice(callers), cls, team, body, key))
            if now - shown_at > 0.1:
                self._show(self.tally)
                shown_at = now
            await asyncio.sleep(self._random.expovariate(RATE))

    async def _send_request(self, caller: Balancer, cls: str, team: str, body: bytes, key: str | None) -> None:
        timeout_s = next(c["deadline"] for c in EXAMPLE["settings"]["categories"] if c["name"] == cls)
        sent_at = time.monotonic()
        tag = caller.call(cls, body, key, int(timeout_s * 1000), team)
        self.tally.sent[cls] += 1
        self.tally.teams[team] += 1
        while tag not in caller.answers and not caller.ended and time.monotonic() < sent_at + timeout_s + 1:
            await asyncio.sleep(0.005)
        if tag not in caller.answers:
            self.tally.unanswered += 1
            return
        self.tally.outcomes[cls, _OUTCOME_BY_VERDICT.get(caller.answers[tag][0][0], "failed")] += 1
        self.tally.times.setdefault(cls, []).append(time.monotonic() - sent_at)
