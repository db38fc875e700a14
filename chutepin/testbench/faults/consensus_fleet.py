"""A consensus group of real processes under a schedule of faults, with clients: the history of what was seen.

Clients and watchers use the operators' socket only. A client that is told *unknown* retries by the id, at any node,
until the outcome is definite; one that gets no answer (the process was stopped or killed) knows no id and never
learns."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from contextlib import AsyncExitStack

from chutepin.testbench.checks.consensus_history import ClientRequest, ConsensusHistory, Observation
from chutepin.testbench.faults.fleet import Fleet
from chutepin.testbench.faults.schedule import Schedule

LEADER_TIMEOUT_S = 30.0  # until all processes show the same leader
OBSERVATION_INTERVAL_S = 0.1
KEY_COUNT = 4  # keys that clients set and read
SETTLE_S = 12.0  # after the last fault; later requests must be committed


class Assembly(Fleet):
    """Processes with a replicated log."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        *,
        voters: int = 3,
        every: float = 0.1,
        note: Callable[[str], None] = lambda _: None,
    ) -> None:
        """`every`: seconds between requests, on average."""
        super().__init__(schedule, seed, note=note)
        self.voters = schedule.names()[:voters]
        self.log_history = ConsensusHistory()
        self._ask_every, self._chance = every, random.Random(seed)
        self._values = itertools.count()
        self._asking: set[asyncio.Task[None]] = set()
        self._lives: dict[str, int] = {}

    async def shown(self, name: str) -> dict[str, str]:
        """Return the status that a process shows; empty where it shows none."""
        lines = await self.processes[name].ask("agree")
        if not lines or lines[0] != "SUCCESS":
            return {}
        return dict(line.split(maxsplit=1) for line in lines[1:-1] if not line.startswith(("voter", "learner")))

    async def agrees(self, names: list[str] | None = None) -> str:
        """Wait until all show the same leader; return it. Raises AssertionError."""
        until = time.monotonic() + LEADER_TIMEOUT_S
        while True:
            shown = await asyncio.gather(*(self.shown(name) for name in names or self.processes))
            leaders = {one.get("leader", "-") for one in shown}
            if len(leaders) == 1 and "-" not in leaders:
                return leaders.pop()
            assert time.monotonic() < until, f"no common leader: {shown}"
            await asyncio.sleep(OBSERVATION_INTERVAL_S)

    async def run_log(self, stack: AsyncExitStack) -> ConsensusHistory:
        """Play the schedule under requests and observation; return the history."""
        await self.open(stack)
        await self.joined()
        await self.agrees()
        self._began = time.monotonic()
        last = max((fault.at for fault in self.schedule.faults), default=0.0)
        watchers = [self._spawn(self._watch_log(name)) for name in self.processes] + [self._spawn(self._ask_on())]
        for fault in sorted(self.schedule.faults, key=lambda fault: fault.at):
            await asyncio.sleep(max(0.0, fault.at - self.now))
            self._note(f"{self.now:7.2f} {fault.what} {' '.join(fault.members)}".rstrip())
            self.log_history.disturbances.append(self.now)
            await self._do(stack, fault)
            self.log_history.disturbances.append(self.now)
        self.log_history.settled_at = max(last, self.now) + SETTLE_S
        await asyncio.sleep(max(0.0, max(self.schedule.seconds, self.log_history.settled_at + 3.0) - self.now))
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
        await asyncio.gather(*self._asking)
        self.log_history.observations.sort(key=lambda observation: observation.at)
        return self.log_history

    async def _watch_log(self, name: str) -> None:
        process = self.processes[name]
        while True:
            if process.running and name not in self.truth.stopped:
                assert process.world.process is not None
                life = process.world.process.pid
                shown = await self.shown(name)
                if shown and process.running and process.world.process.pid == life:
                    self.log_history.observations.append(
                        Observation(
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
                self.log_history.disturbances.append(self.now)
            await asyncio.sleep(OBSERVATION_INTERVAL_S)

    async def _ask_on(self) -> None:
        while True:
            name = self._chance.choice(list(self.processes))
            if self.processes[name].running and name not in self.truth.stopped:
                task = asyncio.get_running_loop().create_task(self._ask(name))
                self._asking.add(task)
                task.add_done_callback(self._asking.discard)
            await asyncio.sleep(self._ask_every * 2 * self._chance.random())

    async def _ask(self, member: str) -> None:
        """Run one client, from its first request to a definite outcome."""
        what = self._chance.choice(("set", "set", "get"))
        name = f"k{self._chance.randrange(KEY_COUNT)}"
        request = ClientRequest(what, member, name, f"v{next(self._values)}" if what == "set" else "", self.now)
        self.log_history.requests.append(request)
        if what == "get":
            self._read(request, await self.processes[member].ask(f"agree-get {name}"))
            return
        lines = await self.processes[member].ask(f"agree-set {name} {request.value}")
        until = self.now + 60.0
        while lines and lines[0].startswith("FAILURE unknown") and self.now < until:
            request.proposal_id = lines[0].split()[2]
            await asyncio.sleep(0.5)
            other = self._chance.choice([other for other in self.processes if self.processes[other].running])
            word = (
                f"agree-void {request.proposal_id}"
                if self._chance.random() < 0.3
                else f"agree-set {name} {request.value} {request.proposal_id}"
            )
            lines = await self.processes[other].ask(word) or lines
        if lines and lines[0].startswith(("SUCCESS agreed", "FAILURE refused")):
            request.outcome = "committed" if lines[0].startswith("SUCCESS") else "rejected"
            if request.outcome == "committed":
                request.at_index = int(lines[0].split()[2])
            request.ended = self.now

    def _read(self, request: ClientRequest, lines: list[str]) -> None:
        if not lines:
            return
        request.ended, request.outcome = self.now, "rejected"
        words = lines[0].split()
        if words[0] == "SUCCESS":
            request.outcome, request.up_to_index = "committed", int(words[2])
            if words[3] == "set-at":
                request.at_index, request.times_set, request.value = int(words[4]), int(words[6]), words[7]


async def play(
    schedule: Schedule, seed: int, voters: int = 3, every: float = 0.1, note: Callable[[str], None] = lambda _: None
) -> ConsensusHistory:
    """Run a schedule on real processes."""
    async with AsyncExitStack() as stack:
        return await Assembly(schedule, seed, voters=voters, every=every, note=note).run_log(stack)
