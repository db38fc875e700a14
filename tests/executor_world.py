"""A node's broker and executor link against a model of the executor, with a link that can lose bytes at any step.

The model follows the protocol pages: EXEC starts a queued request once, KILL stops a run on a core, WAKE resumes a
paused run, and EXEC or WAKE of a request that is over ends as `unknown`."""

from __future__ import annotations

import copy
from enum import Enum, auto
from typing import Any

from chutepin.broker import Answer, Broker, Request
from chutepin.config import Address
from chutepin.counters import Counters
from chutepin.decision import simulator_protocol as wire
from chutepin.facade import End
from chutepin.logs import Log
from chutepin.net.executor import ExecutorLink, Session
from chutepin.net.lines import LineParser, line

from .helper import ENV, Hand, Ports

KEYED_CLASS = "work-order"
WINDOW_S = 30.0
DEADLINE_S = 12.0
STEP_S = 0.25  # of time, while the link is exchanging bytes
MEMORY_BYTES = 64 * 2**20


class RunState(Enum):
    """The state of a request at the executor."""

    RUNNING = auto()
    PAUSED = auto()
    AT_CALL = auto()
    STOPPED = auto()  # its work is lost, and the request is queued again
    ENDED = auto()


class ModelCaller:
    """The caller of one attempt; the executor learns of an answer when `World.answers_read` is called."""

    def __init__(self, world: World, id: str) -> None:
        self.world = world
        self.id = id
        self.answers: list[Answer] = []

    def answer(self, answer: Answer) -> None:
        self.answers.append(answer)
        self.world.unread_answers.append(self.id)


class World:
    """One node, one executor, and the callers of keyed requests."""

    def __init__(
        self, keeps_work: bool = True, answers_wake_of_ended: bool = True, executor_detects_end: bool = True
    ) -> None:
        self.keeps_work = keeps_work
        self.answers_wake_of_ended = answers_wake_of_ended
        self.executor_detects_end = executor_detects_end
        self.cores_stand_still = False
        self.runs: dict[str, RunState] = {}
        self.starts: dict[str, int] = {}  # by key: how many runs were started
        self.over: set[str] = set()  # requests that the executor knows to be over
        self.callers: dict[str, ModelCaller] = {}
        self.keys: dict[str, str] = {}  # by request
        self.unread_answers: list[str] = []
        self.notices: list[bytes] = []
        self.first_kept_notice = 0
        self.to_executor = bytearray()
        self.to_node = bytearray()
        self.is_connected = self.is_joined = False
        self._build_node()
        self.connect()
        self.exchange()

    def _build_node(self) -> None:
        env: dict[str, Any] = copy.deepcopy(ENV)
        env["categories"][2]["window"] = WINDOW_S
        env["familyInfo"]["halt"] = "suspend" if self.keeps_work else "abort"
        self.hand = Hand()
        self.ports = Ports()
        self.counters = Counters()
        log = Log(self.hand.clock)
        self.session = Session(self.hand.clock, self.counters, log, self.keeps_work)
        link = ExecutorLink(Address("", 1), self.session, self.counters, log)
        self.broker = Broker(
            wire.parse_settings(env),
            1,
            self.hand.clock,
            self.counters,
            log,
            link,
            self.ports,
            self.ports,
            key_memory=MEMORY_BYTES // 3,
            request_memory=MEMORY_BYTES,
            run_memory=2**20,
        )
        self.session.notices = self.broker

    # Callers.

    def submit(self, id: str, key: str) -> None:
        now = self.hand.time
        self.keys[id] = key
        self.callers[id] = ModelCaller(self, id)
        self.broker.submit(
            Request(
                id,
                KEYED_CLASS,
                b"body of " + key.encode(),
                now,
                now + DEADLINE_S,
                size=24.5,
                tenant="bernard-lodge",
                key=key,
                executor_detects_end=self.executor_detects_end,
            ),
            self.callers[id],
        )

    def caller_leaves(self, id: str) -> None:
        """The caller stops waiting; the executor learns of it before the node does."""
        if not self.callers[id].answers:
            self.request_over(id)

    def node_learns_of_leaving(self, id: str) -> None:
        self.broker.caller_disconnected(id)

    def answers_read(self) -> None:
        """The callers read their answers, which ends their requests for the executor."""
        answered, self.unread_answers = self.unread_answers, []
        for id in answered:
            self.request_over(id)

    def request_over(self, id: str) -> None:
        if not self.executor_detects_end or id in self.over:
            return
        self.over.add(id)
        if self.runs.get(id) is RunState.PAUSED:
            self.runs[id] = RunState.ENDED  # discarded without a notice
        elif self.runs.get(id) is RunState.AT_CALL:
            self.end_run(id, "cancelled")

    def verdicts(self, id: str) -> list[str]:
        return [answer.verdict.value for answer in self.callers[id].answers]

    # The link.

    def connect(self) -> None:
        if self.is_connected:
            return
        self.is_connected = True
        self.parser = LineParser(lambda words: words[0] in ("EXEC", "RETURN"), 4096)
        self.to_executor.clear()
        self.to_node.clear()
        self.session.connected(self.to_executor.extend)

    def lose_link(self) -> None:
        """Lose the link with all bytes that were not read on either side."""
        if self.is_connected:
            self.is_connected = self.is_joined = False
            self.session.lost()

    def executor_reads(self) -> None:
        if not self.is_connected:
            return
        data = bytes(self.to_executor)
        self.to_executor.clear()
        self.parser.feed(data)
        while (message := self.parser.next()) is not None:
            self._execute(*message)

    def node_reads(self) -> None:
        if self.is_connected:
            data = bytes(self.to_node)
            self.to_node.clear()
            self.session.received(data)

    def exchange(self, rounds: int = 4) -> None:
        for _ in range(rounds):
            self.executor_reads()
            self.node_reads()

    def pass_time(self, seconds: float) -> None:
        """Let time pass on a link that stays up, while callers read their answers at once."""
        until = self.hand.time + seconds
        while self.hand.time < until:
            self.connect()
            self.hand.time = min(until, self.hand.time + STEP_S)
            self.broker.tick()
            self.answers_read()
            self.exchange(1)

    # The executor.

    def notify(self, word: str, id: str, *words: str | int, body: bytes | None = b"") -> None:
        data = line(word, len(self.notices) + 1, id, *words, body=body)
        self.notices.append(data)
        self.to_node += data if self.is_joined else b""

    def end_run(self, id: str, end: str) -> None:
        self.runs[id] = RunState.ENDED
        self.notify("EXIT", id, end, 5, body=b"result of " + id.encode() if end == "complete" else b"")

    def run_completes(self, id: str) -> None:
        if self.runs.get(id) is RunState.RUNNING:
            self.end_run(id, "complete")

    def run_calls(self, id: str) -> None:
        """Let a run reach its call; the run of a request that is over ends there."""
        if self.runs.get(id) is not RunState.RUNNING:
            return
        if id in self.over:
            self.end_run(id, "cancelled")
            return
        self.runs[id] = RunState.AT_CALL
        self.notify("CALLOUT", id, body=b"call of " + id.encode())

    def answer_calls(self) -> None:
        for entry in [entry for entry in self.ports.done if entry[0] == "call"]:
            self.ports.done.remove(entry)
            self.broker.call_ended(entry[1], End.OK, b"reply to " + entry[1].encode())

    def active_runs(self) -> list[str]:
        """Return the runs that hold memory at the executor."""
        held = (RunState.RUNNING, RunState.PAUSED, RunState.AT_CALL)
        return [id for id, state in self.runs.items() if state in held]

    def _execute(self, words: list[str], body: bytes) -> None:
        match words[0]:
            case "JOIN":
                self.is_joined = True
                kept = self.notices[max(int(words[1]), self.first_kept_notice) :]
                self.to_node += line("WELCOME", "hot", 1) + b"".join(kept)
            case "METER":
                self.to_node += line("METERS", words[1], "0.1", 1, "0.1", 1)
            case "EXEC":
                self._exec(words[1])
            case "KILL":
                self._kill(words[1])
            case "WAKE":
                self._wake(words[1])
            case "RETURN" if self.runs.get(words[1]) is RunState.AT_CALL:
                self.runs[words[1]] = RunState.RUNNING

    def _exec(self, id: str) -> None:
        state = self.runs.get(id)
        if state is RunState.PAUSED:
            self.runs[id] = RunState.RUNNING
        if state in (RunState.RUNNING, RunState.PAUSED, RunState.AT_CALL):
            return
        if id in self.over or state is RunState.ENDED:
            self.notify("EXIT", id, "unknown", 0)
            return
        self.runs[id] = RunState.RUNNING
        self.starts[self.keys[id]] = self.starts.get(self.keys[id], 0) + 1

    def _kill(self, id: str) -> None:
        if self.runs.get(id) is not RunState.RUNNING or self.cores_stand_still:
            return
        if id in self.over:
            self.end_run(id, "cancelled")
            return
        self.runs[id] = RunState.PAUSED if self.keeps_work else RunState.STOPPED
        self.notify("EXIT", id, "cancelled", 5)

    def _wake(self, id: str) -> None:
        if self.runs.get(id) is RunState.PAUSED:
            self.runs[id] = RunState.RUNNING
        elif self.runs.get(id) is RunState.ENDED and self.answers_wake_of_ended:
            self.notify("EXIT", id, "unknown", 0)
