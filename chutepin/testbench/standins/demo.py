"""The demo: the real program between stand-ins, under a mix of classes and teams, with every outcome counted."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

from chutepin.testbench.standins.platform import EXAMPLE, Balancer, Standins

CALLERS = 4  # connections of balancers
RATE = 60.0  # requests a second, all callers together
MIX = {"status-read": 0.5, "position-push": 0.35, "work-order": 0.15}
REPEATS = 0.2  # part of work orders that are asked twice under one key
OUTCOMES = ("served", "refused", "failed")
_WORDS = {b"OK": "served", b"BUSY": "refused"}


@dataclass(slots=True)
class Tally:
    """What came of the requests: counts by class, team and outcome, and times of answers in seconds."""

    sent: Counter[str] = field(default_factory=Counter)
    teams: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    times: dict[str, list[float]] = field(default_factory=dict)
    unanswered: int = 0  # requests without a final answer when their time was up
    twice: int = 0  # requests with more than one
    run_twice: int = 0  # work orders that the executor ran more than once

    @property
    def sound(self) -> bool:
        """Every request has its one final answer, and no work order ran twice."""
        return bool(self.sent) and not (self.unanswered or self.twice or self.run_twice)

    def as_dict(self) -> dict[str, object]:
        """The tally for `--json`; times are medians and 99th parts in milliseconds."""
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

    def time(self, cls: str, part: float) -> float | None:
        """The time within which this part of a class was answered, in milliseconds."""
        times = sorted(self.times.get(cls, ()))
        return round(1000 * times[min(len(times) - 1, int(part * len(times)))], 2) if times else None


class Demo:
    """One run. `seconds` is how long requests are sent; `show` is called ten times a second."""

    def __init__(self, seconds: float, seed: int, show: Callable[[Tally], None]) -> None:
        self._seconds, self._show = seconds, show
        self._random = random.Random(seed)
        self._shares = {team["name"]: team["share"] for team in EXAMPLE["settings"]["tenants"]}
        self.tally = Tally()

    async def run(self) -> Tally:
        """Start all, send, wait for the answers, stop all."""
        async with AsyncExitStack() as stack:
            world = Standins(EXAMPLE["settings"])
            await world.start(stack)
            callers = [await world.connect() for _ in range(CALLERS)]
            asked = [call async for call in self._send(callers)]
            await asyncio.gather(*asked)
            orders = Counter(body for _, cls, body in world.runs if cls == "work-order")
            self.tally.run_twice = sum(count > 1 for count in orders.values())
            self.tally.twice = sum(
                len(answers) > 1 for caller in callers for tag, answers in caller.answers.items() if tag
            )
            await world.leave()
            for caller in callers:
                await caller.close()
        self._show(self.tally)
        return self.tally

    async def _send(self, callers: list[Balancer]) -> AsyncIterator[asyncio.Future[None]]:
        end = time.monotonic() + self._seconds
        shown = 0.0
        while (now := time.monotonic()) < end:
            cls = self._random.choices(list(MIX), list(MIX.values()))[0]
            team = self._random.choices(list(self._shares), list(self._shares.values()))[0]
            body = self._random.randbytes(16).hex().encode()
            key = self._random.randbytes(16).hex() if cls == "work-order" else None
            caller = self._random.choice(callers)
            yield asyncio.ensure_future(self._ask(caller, cls, team, body, key))
            if key is not None and self._random.random() < REPEATS:
                yield asyncio.ensure_future(self._ask(self._random.choice(callers), cls, team, body, key))
            if now - shown > 0.1:
                self._show(self.tally)
                shown = now
            await asyncio.sleep(self._random.expovariate(RATE))

    async def _ask(self, caller: Balancer, cls: str, team: str, body: bytes, key: str | None) -> None:
        wait = next(c["deadline"] for c in EXAMPLE["settings"]["categories"] if c["name"] == cls)
        begun = time.monotonic()
        tag = caller.call(cls, body, key, int(wait * 1000), team)
        self.tally.sent[cls] += 1
        self.tally.teams[team] += 1
        while tag not in caller.answers and not caller.ended and time.monotonic() < begun + wait + 1:
            await asyncio.sleep(0.005)
        if tag not in caller.answers:
            self.tally.unanswered += 1
            return
        self.tally.outcomes[cls, _WORDS.get(caller.answers[tag][0][0], "failed")] += 1
        self.tally.times.setdefault(cls, []).append(time.monotonic() - begun)
