"""The log in common of several real processes under a schedule of faults, with askers: the record of what was seen.

Askers and watchers use the operators' socket only. An asker that is told *unknown* asks again by the id, anywhere,
until it is told for sure; one that is told nothing (the process was stopped or killed) knows no id and never learns."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from contextlib import AsyncExitStack

from chutepin.testbench.checks.consensus_invariants import Asked, Record, Showed
from chutepin.testbench.faults.fleet import Fleet
from chutepin.testbench.faults.schedule import Schedule

AGREES_BY = 30.0  # seconds in which the log must have begun
LOOK = 0.1  # seconds between looks at what a process shows
NAMES = 4  # that are set and read
SETTLE = 12.0  # seconds after the last fault; what is asked later must be agreed


class Assembly(Fleet):
    """Processes with a log in common."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        *,
        voters: int = 3,
        every: float = 0.1,
        note: Callable[[str], None] = lambda _: None,
    ) -> None:
        """`every`: seconds between asks, on average."""
        super().__init__(schedule, seed, note=note)
        self.voters = schedule.names()[:voters]
        self.record = Record()
        self._ask_every, self._chance = every, random.Random(seed)
        self._values = itertools.count()
        self._asking: set[asyncio.Task[None]] = set()
        self._lives: dict[str, int] = {}

    async def shown(self, name: str) -> dict[str, str]:
        """What a process shows of its part; empty where it shows nothing."""
        lines = await self.processes[name].ask("agree")
        if not lines or lines[0] != "SUCCESS":
            return {}
        return dict(line.split(maxsplit=1) for line in lines[1:-1] if not line.startswith(("voter", "learner")))

    async def agrees(self, names: list[str] | None = None) -> str:
        """Wait until all show the same leader; who that is. Raises AssertionError."""
        until = time.monotonic() + AGREES_BY
        while True:
            shown = await asyncio.gather(*(self.shown(name) for name in names or self.processes))
            leaders = {one.get("leader", "-") for one in shown}
            if len(leaders) == 1 and "-" not in leaders:
                return leaders.pop()
            assert time.monotonic() < until, f"no common leader: {shown}"
            await asyncio.sleep(LOOK)

    async def run_log(self, stack: AsyncExitStack) -> Record:
        """Play the schedule, ask and watch meanwhile; the record."""
        await self.open(stack)
        await self.joined()
        await self.agrees()
        self._began = time.monotonic()
        last = max((fault.at for fault in self.schedule.faults), default=0.0)
        watchers = [self._spawn(self._watch_log(name)) for name in self.processes] + [self._spawn(self._ask_on())]
        for fault in sorted(self.schedule.faults, key=lambda fault: fault.at):
            await asyncio.sleep(max(0.0, fault.at - self.now))
            self._note(f"{self.now:7.2f} {fault.what} {' '.join(fault.members)}".rstrip())
            self.record.troubles.append(self.now)
            await self._do(stack, fault)
            self.record.troubles.append(self.now)
        self.record.settled = max(last, self.now) + SETTLE
        await asyncio.sleep(max(0.0, max(self.schedule.seconds, self.record.settled + 3.0) - self.now))
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
        await asyncio.gather(*self._asking)
        self.record.showed.sort(key=lambda showed: showed.at)
        return self.record

    async def _watch_log(self, name: str) -> None:
        process = self.processes[name]
        while True:
            if process.running and name not in self.truth.stopped:
                assert process.world.process is not None
                life = process.world.process.pid
                shown = await self.shown(name)
                if shown and process.running and process.world.process.pid == life:
                    self.record.showed.append(
                        Showed(
                            self.now,
                            name,
                            life,
                            shown["role"],
                            int(shown["term"]),
                            int(shown["applied"]),
                            shown["chain"],
                        )
                    )
            if self.truth.slow or self.truth.loss or self.truth.tear:
                self.record.troubles.append(self.now)
            await asyncio.sleep(LOOK)

    # --- who asks ---

    async def _ask_on(self) -> None:
        while True:
            name = self._chance.choice(list(self.processes))
            if self.processes[name].running and name not in self.truth.stopped:
                task = asyncio.get_running_loop().create_task(self._ask(name))
                self._asking.add(task)
                task.add_done_callback(self._asking.discard)
            await asyncio.sleep(self._ask_every * 2 * self._chance.random())

    async def _ask(self, member: str) -> None:
        """One asker, from its first question to a definite answer."""
        what = self._chance.choice(("set", "set", "get"))
        name = f"k{self._chance.randrange(NAMES)}"
        asked = Asked(what, member, name, f"v{next(self._values)}" if what == "set" else "", self.now)
        self.record.asked.append(asked)
        if what == "get":
            self._read(asked, await self.processes[member].ask(f"agree-get {name}"))
            return
        lines = await self.processes[member].ask(f"agree-set {name} {asked.value}")
        until = self.now + 60.0
        while lines and lines[0].startswith("FAILURE unknown") and self.now < until:
            asked.id = lines[0].split()[2]
            await asyncio.sleep(0.5)
            other = self._chance.choice([other for other in self.processes if self.processes[other].running])
            word = (
                f"agree-void {asked.id}"
                if self._chance.random() < 0.3
                else f"agree-set {name} {asked.value} {asked.id}"
            )
            lines = await self.processes[other].ask(word) or lines
        if lines and lines[0].startswith(("SUCCESS agreed", "FAILURE refused")):
            asked.outcome = "committed" if lines[0].startswith("SUCCESS") else "rejected"
            if asked.outcome == "committed":
                asked.at = int(lines[0].split()[2])
            asked.ended = self.now

    def _read(self, asked: Asked, lines: list[str]) -> None:
        if not lines:
            return
        asked.ended, asked.outcome = self.now, "rejected"
        words = lines[0].split()
        if words[0] == "SUCCESS":
            asked.outcome, asked.up_to_index = "committed", int(words[2])
            if words[3] == "set-at":
                asked.at, asked.times, asked.value = int(words[4]), int(words[6]), words[7]


async def play(
    schedule: Schedule, seed: int, voters: int = 3, every: float = 0.1, note: Callable[[str], None] = lambda _: None
) -> Record:
    """Run a schedule on real processes."""
    async with AsyncExitStack() as stack:
        return await Assembly(schedule, seed, voters=voters, every=every, note=note).run_log(stack)
