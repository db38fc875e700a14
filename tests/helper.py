"""Shared helpers of the node tests: settings, a broker with recording ports, random steps, and stand-ins."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

from chutepin.broker import Answer, Broker, Request
from chutepin.clock import Clock
from chutepin.counters import Counters
from chutepin.decision import simulator_protocol as wire
from chutepin.facade import End
from chutepin.logs import Log
from chutepin.testbench.standins import platform as standins
from chutepin.testbench.standins.platform import EXAMPLE

ROOT = Path(__file__).parent.parent
# Derandomized, so that CI gives the same verdict for the same code.
STEPS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
WINDOW = 2.0

ENV: dict[str, Any] = json.loads(json.dumps(EXAMPLE["settings"]))
ENV["categories"][2]["window"] = WINDOW
ENV["tenants"] = [{"name": "bernard-lodge", "quotaPerS": 45.0, "share": 1.0}]


class Hand:
    """A clock that a test advances manually."""

    def __init__(self) -> None:
        self.time = 1_000_000.0
        self.clock = Clock(lambda: self.time)


class Ports:
    """Recording ports: commands to the executor and the records service, the timer, and answers to callers."""

    def __init__(self) -> None:
        self.done: list[tuple[Any, ...]] = []
        self.answers: dict[str, list[Answer]] = {}
        self.timer_at = 0.0

    def exec(self, id: str, cls: str, body: bytes, repeatable: bool) -> None:
        self.done.append(("exec", id, cls, body))

    def kill(self, id: str) -> None:
        self.done.append(("kill", id))

    def return_reply(self, id: str, reply: bytes) -> None:
        self.done.append(("return", id, reply))

    def bypass(self, id: str, notice: int) -> None:
        self.done.append(("bypass", id, notice))

    def resolve(self, id: str, executor_detects_end: bool) -> None:
        self.done.append(("resolve", id))

    def terminate(self, id: str) -> None:
        self.done.append(("terminate", id))

    def meter(self) -> bool:
        return False

    def call(self, id: str, deadline: float, body: bytes, repeatable: bool) -> None:
        self.done.append(("call", id, deadline, body))

    def cancel_call(self, id: str) -> None:
        self.done.append(("give up", id))

    def set(self, at: float) -> None:
        self.timer_at = at

    def ids(self, command: str) -> list[str]:
        return [entry[1] for entry in self.done if entry[0] == command]

    def caller(self, id: str) -> Recorder:
        return Recorder(self.answers.setdefault(id, []))


class Recorder:
    """A caller that records its answers."""

    def __init__(self, answers: list[Answer]) -> None:
        self.answers = answers

    def answer(self, answer: Answer) -> None:
        self.answers.append(answer)


class Core:
    """A broker with recording ports. If `up`, its executor has started and is warm."""

    def __init__(self, env: dict[str, Any] = ENV, memory: int = 64 * 2**20, up: bool = True) -> None:
        self.hand, self.ports, self.counters = Hand(), Ports(), Counters()
        ports = self.ports
        self.broker = Broker(
            wire.parse_settings(env),
            1,
            self.hand.clock,
            self.counters,
            Log(self.hand.clock),
            ports,
            ports,
            ports,
            key_memory=memory // 3,
            request_memory=memory,
            run_memory=2**20,
        )
        if up:
            self.broker.executor_started(False, self.hand.time)

    def pick(self, id: str, cls: str = "status-read", key: str | None = None, wait: float = 7.0, **more: Any) -> None:
        now = self.hand.time
        body = more.pop("body", b"body of " + (key or id).encode())
        tenant = more.pop("tenant", "bernard-lodge")
        self.broker.submit(
            Request(id, cls, body, now, now + wait, size=24.5, tenant=tenant, key=key, **more), self.ports.caller(id)
        )

    def end(self, id: str, end: End = End.OK) -> None:
        self.broker.run_ended(id, end, 0.2, b"result of " + id.encode() if end is End.OK else b"")

    def running(self) -> list[str]:
        """Return the ids of runs that were started and have not ended."""
        ended = set(self.ports.ids("ended"))
        return [id for id in self.ports.ids("exec") if id not in ended]

    def end_some(self, data: st.DataObject, end: End) -> None:
        """End one of the runs in progress, drawn by hypothesis, if there is any."""
        if running := self.running():
            id = data.draw(st.sampled_from(running))
            self.ports.done.append(("ended", id))
            self.end(id, end)

    def pass_time(self, seconds: float) -> None:
        until = self.hand.time + seconds
        while self.hand.time < until:
            self.hand.time = min(until, max(self.ports.timer_at, self.hand.time + 0.001))
            self.broker.tick()

    def words(self, id: str) -> list[str]:
        return [answer.verdict.value for answer in self.ports.answers[id]]


class Standins(standins.Standins):
    """The platform stand-ins with the settings of the tests."""

    def __init__(self) -> None:
        super().__init__(ENV)


async def run_command(*arguments: str, stderr: int) -> tuple[int, str]:
    """Run `chutepin` as a subprocess with these arguments; return its exit code and output.

    `stderr` is `asyncio.subprocess.STDOUT` to include both streams in the output, or `DEVNULL`."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "chutepin",
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=stderr,
    )
    output, _ = await process.communicate()
    return process.returncode or 0, output.decode()
