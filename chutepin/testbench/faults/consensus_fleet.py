"""A consensus group of real processes under a schedule of faults, with clients and a history of observations.

Clients and observers use only the operators' sockets. A client that receives `unknown` retries with the proposal id, at
any node, until the outcome is definite. A client without an answer (the process was stopped or killed) has no id, so
its outcome stays unknown."""

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

LEADER_TIMEOUT_S = 30.0  # for all processes to show the same leader
OBSERVATION_INTERVAL_S = 0.1
KEY_COUNT = 4  # number of keys that clients set and read
SETTLE_S = 12.0  # after the last fault; requests sent later must be committed


class Assembly(Fleet):
    """A fleet of processes with a replicated log."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        *,
        voters: int = 3,
        every: float = 0.1,
        note: Callable[[str], None] = lambda _: None,
    ) -> None:
        """`every` is the mean interval between requests in seconds."""
        super().__init__(schedule, seed, note=note)
        self.voters = schedule.names()[:voters]
        self.log_history = ConsensusHistory()
        self._request_interval_s, self._rng = every, random.Random(seed)
        self._values = itertools.count()
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._lives: dict[str, int] = {}

    async def shown(self, name: str) -> dict[str, str]:
        """Return the consensus status that a process shows; empty if it does not answer."""
        lines = await self.processes[name].ask("agree")
        if not lines or lines[0] != "SUCCESS":
            return {}
        return dict(line.split(maxsplit=1) for line in lines[1:-1] if not line.startswith(("voter", "learner")))

    async def agrees(self, names: list[str] | None = None) -> str:
        """Wait until all processes show the same leader and return it. Raises AssertionError after LEADER_TIMEOUT_S."""
        deadline = time.monotonic() + LEADER_TIMEOUT_S
        while True:
            shown = await asyncio.gather(*(self.shown(name) for name in names or self.processes))
            leaders = {status.get("leader", "-") for status in shown}
            if len(leaders) == 1 and "-" not in leaders:
                return leaders.pop()
            assert time.monotonic() < deadline, f"no common leader: {shown}"
            await asyncio.sleep(OBSERVATION_INTERVAL_S)

    async def run_log(self, stack: AsyncExitStack) -> ConsensusHistory:
        """Play the schedule while clients send requests and observers poll the processes; return the history."""
        await self.open(stack)
        await self.joined()
        await self.agrees()
        self._started_at = time.monotonic()
        last_fault_at = max((fault.at for fault in self.schedule.faults), default=0.0)
        observers = [self._spawn(self._observe_log(name)) for name in self.processes] + [
            self._spawn(self._send_requests())
        ]
        for fault in sorted(self.schedule.faults, key=lambda fault: fault.at):
            await asyncio.sleep(max(0.0, fault.at - self.now))
            self._log_line(f"{self.now:7.2f} {fault.what} {' '.join(fault.members)}".rstrip())
            self.log_history.disturbances.append(self.now)
            await self._inject(stack, fault)
            self.log_history.disturbances.append(self.now)
        self.log_history.settled_at = max(last_fault_at, self.now) + SETTLE_S
        await asyncio.sleep(max(0.0, max(self.schedule.seconds, self.log_history.settled_at + 3.0) - self.now))
        for observer in observers:
            observer.cancel()
        await asyncio.gather(*observers, return_exceptions=True)
        await asyncio.gather(*self._request_tasks)
        self.log_history.observations.sort(key=lambda observation: observation.at)
        return self.log_history

    async def _observe_log(self, name: str) -> None:
        process = self.processes[name]
        while True:
            if process.running and name not in self.truth.stopped:
                assert process.world.process is not None
                process_id = process.world.process.pid
                shown = await self.shown(name)
                if shown and process.running and process.world.process.pid == process_id:
                    self.log_history.observations.append(
                        Observation(
                            self.now,
                            name,
                            process_id,
                            shown["role"],
                            int(shown["term"]),
                            int(shown["applied"]),
                            shown["chain"],
                        )
                    )
            if self.truth.slow or self.truth.loss or self.truth.tear:
                self.log_history.disturbances.append(self.now)
            await asyncio.sleep(OBSERVATION_INTERVAL_S)

    async def _send_requests(self) -> None:
        while True:
            name = self._rng.choice(list(self.processes))
            if self.processes[name].running and name not in self.truth.stopped:
                task = asyncio.get_running_loop().create_task(self._run_client(name))
                self._request_tasks.add(task)
                task.add_done_callback(self._request_tasks.discard)
            await asyncio.sleep(self._request_interval_s * 2 * self._rng.random())

    async def _run_client(self, member: str) -> None:
        """Run one client: send a request and retry it until its outcome is definite or a timeout passes."""
        operation = self._rng.choice(("set", "set", "get"))
        name = f"k{self._rng.randrange(KEY_COUNT)}"
        request = ClientRequest(
            operation, member, name, f"v{next(self._values)}" if operation == "set" else "", self.now
        )
        self.log_history.requests.append(request)
        if operation == "get":
            self._record_read(request, await self.processes[member].ask(f"agree-get {name}"))
            return
        lines = await self.processes[member].ask(f"agree-set {name} {request.value}")
        deadline = self.now + 60.0
        while lines and lines[0].startswith("FAILURE unknown") and self.now < deadline:
            request.proposal_id = lines[0].split()[2]
            await asyncio.sleep(0.5)
            other = self._rng.choice([other for other in self.processes if self.processes[other].running])
            call = (
                f"agree-void {request.proposal_id}"
                if self._rng.random() < 0.3
                else f"agree-set {name} {request.value} {request.proposal_id}"
            )
            lines = await self.processes[other].ask(call) or lines
        if lines and lines[0].startswith(("SUCCESS agreed", "FAILURE refused")):
            request.outcome = "committed" if lines[0].startswith("SUCCESS") else "rejected"
            if request.outcome == "committed":
                request.at_index = int(lines[0].split()[2])
            request.ended = self.now

    def _record_read(self, request: ClientRequest, lines: list[str]) -> None:
        if not lines:
            return
        request.ended, request.outcome = self.now, "rejected"
        fields = lines[0].split()
        if fields[0] == "SUCCESS":
            request.outcome, request.up_to_index = "committed", int(fields[2])
            if fields[3] == "set-at":
                request.at_index, request.times_set, request.value = int(fields[4]), int(fields[6]), fields[7]


async def play(
    schedule: Schedule, seed: int, voters: int = 3, every: float = 0.1, note: Callable[[str], None] = lambda _: None
) -> ConsensusHistory:
    """Play a schedule on real processes and return the history."""
    async with AsyncExitStack() as stack:
        return await Assembly(schedule, seed, voters=voters, every=every, note=note).run_log(stack)
