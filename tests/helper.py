"""The one helper of all tests of the node: settings, a core with recording ports, random steps."""

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
# The same steps every time: CI must give the same verdict on the same text.
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
    """A clock that a test moves by hand."""

    def __init__(self) -> None:
        self.time = 1_000_000.0
        self.clock = Clock(lambda: self.time)


class Ports:
    """Records what the core asks of the executor, the records service and the alarm, and what it answers."""

    def __init__(self) -> None:
        self.done: list[tuple[Any, ...]] = []
        self.answers: dict[str, list[Answer]] = {}
        self.alarm = 0.0

    def exec(self, id: str, cls: str, body: bytes, repeatable: bool) -> None:
        self.done.append(("exec", id, cls, body))

    def kill(self, id: str) -> None:
        self.done.append(("kill", id))

    def give_back(self, id: str, reply: bytes) -> None:
        self.done.append(("return", id, reply))

    def bypass(self, id: str, notice: int) -> None:
        self.done.append(("bypass", id, notice))

    def resolve(self, id: str) -> None:
        self.done.append(("resolve", id))

    def meter(self) -> bool:
        return False

    def call(self, id: str, deadline: float, body: bytes, repeatable: bool) -> None:
        self.done.append(("call", id, deadline, body))

    def give_up(self, id: str) -> None:
        self.done.append(("give up", id))

    def set(self, at: float) -> None:
        self.alarm = at

    def ids(self, what: str) -> list[str]:
        return [entry[1] for entry in self.done if entry[0] == what]

    def caller(self, id: str) -> Recorder:
        return Recorder(self.answers.setdefault(id, []))


class Recorder:
    """A caller that keeps its answers."""

    def __init__(self, answers: list[Answer]) -> None:
        self.answers = answers

    def answer(self, answer: Answer) -> None:
        self.answers.append(answer)


class Core:
    """A core over recording ports, warm and, unless the executor is yet to come `up`, started."""

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
            memory,
        )
        if up:
            self.broker.executor_started(False, self.hand.time)

    def pick(self, id: str, cls: str = "status-read", key: str | None = None, wait: float = 7.0, **more: Any) -> None:
        now = self.hand.time
        body = more.pop("body", b"body of " + (key or id).encode())
        tenant = more.pop("tenant", "bernard-lodge")
        self.broker.pick(
            Request(id, cls, body, now, now + wait, size=24.5, tenant=tenant, key=key, **more), self.ports.caller(id)
        )

    def end(self, id: str, end: End = End.OK) -> None:
        self.broker.run_ended(id, end, 0.2, b"result of " + id.encode() if end is End.OK else b"")

    def running(self) -> list[str]:
        """Runs that were begun and have not ended."""
        ended = set(self.ports.ids("ended"))
        return [id for id in self.ports.ids("exec") if id not in ended]

    def end_some(self, data: st.DataObject, end: End) -> None:
        """End a run of hypothesis's choice, if there is one."""
        if running := self.running():
            id = data.draw(st.sampled_from(running))
            self.ports.done.append(("ended", id))
            self.end(id, end)

    def pass_time(self, seconds: float) -> None:
        until = self.hand.time + seconds
        while self.hand.time < until:
            self.hand.time = min(until, max(self.ports.alarm, self.hand.time + 0.001))
            self.broker.tick()

    def words(self, id: str) -> list[str]:
        return [answer.verdict.value for answer in self.ports.answers[id]]


class Standins(standins.Standins):
    """The stand-ins with the settings of the tests."""

    def __init__(self) -> None:
        super().__init__(ENV)


async def run_command(*arguments: str, stderr: int) -> tuple[int, str]:
    """Run `chutepin` with these arguments as an operator does; its exit code and output.

    `stderr` is `asyncio.subprocess.STDOUT` to have both streams in the output, or `DEVNULL`."""
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
