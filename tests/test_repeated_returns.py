"""RETURNs in doubt after a lost executor link, against an executor whose runs make several calls."""

from __future__ import annotations

import random

import pytest

from chutepin.config import Address
from chutepin.counters import Counters
from chutepin.facade import End
from chutepin.logs import Log
from chutepin.net.executor import ExecutorLink, Session
from chutepin.net.executor.repeated_returns import MAX_RUNS, CallState, RepeatedReturns
from chutepin.net.lines import LineParser, line

from .helper import Hand

CALLS = 3  # made by each run, one after another
SEEDS = range(300)
STEPS = 120
MAX_ROUNDS = 50  # within which all runs end on a link that stays up


class Run:
    """A run of the executor with the replies to its calls."""

    def __init__(self, id: str) -> None:
        self.id = id
        self.calls = 0
        self.is_waiting = False
        self.replies: list[bytes] = []

    @property
    def correct_replies(self) -> list[bytes]:
        """The correct replies to the calls answered so far."""
        return [reply_to(self.id, call) for call in range(1, len(self.replies) + 1)]


def call_body(id: str, call: int) -> bytes:
    return f"{id} call {call}".encode()


def reply_to(id: str, call: int) -> bytes:
    return b"reply to " + call_body(id, call)


class ExecutorModel:
    """A session and a model of the executor, with a link that holds bytes in both directions until read."""

    def __init__(self) -> None:
        hand = Hand()
        self.counters = Counters()
        self.session = Session(hand.clock, self.counters, Log(hand.clock), True)
        self.session.notices = self
        self.node = ExecutorLink(Address("", 1), self.session, self.counters, Log(hand.clock))
        self.runs: dict[str, Run] = {}
        self.ended: dict[str, Run] = {}
        self.notices: list[bytes] = []
        self.received_ends: dict[str, tuple[End, bytes]] = {}  # ends of runs at the node
        self.unsent_replies: list[tuple[str, bytes]] = []  # replies that the node has not written yet
        self.to_executor = bytearray()
        self.to_node = bytearray()
        self.is_joined = False
        self.connect()

    # Notices received by the node.

    def executor_started(self, is_warming_up: bool, started_at: float) -> None: ...

    def gauges_received(self, values: tuple[float, ...]) -> None: ...

    def command_not_carried_out(self, command: str, id: str) -> None: ...

    def run_may_have_begun(self, id: str) -> None: ...
    def notices_missed(self) -> None: ...

    def is_response_awaited(self, id: str) -> bool:
        return True

    def is_run_wanted(self, id: str) -> bool:
        return self.is_response_awaited(id)

    def run_ended(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        assert id not in self.received_ends
        self.received_ends[id] = end, result

    def call_wanted(self, id: str, notice: int, body: bytes) -> None:
        self.unsent_replies.append((id, b"reply to " + body))

    # Steps of the model.

    def connect(self) -> None:
        self.session.lost()
        self.to_executor.clear()
        self.to_node.clear()
        self.is_joined = False
        self.parser = LineParser(lambda words: words[0] in ("EXEC", "RETURN"), 4096)
        self.session.connected(self.to_executor.extend)

    def send_replies(self) -> None:
        unsent_replies, self.unsent_replies = self.unsent_replies, []
        for id, reply in unsent_replies:
            self.node.return_reply(id, reply)

    def node_reads(self) -> None:
        data = bytes(self.to_node)
        self.to_node.clear()
        self.session.received(data)

    def executor_reads(self) -> None:
        data = bytes(self.to_executor)
        self.to_executor.clear()
        self.parser.feed(data)
        while (message := self.parser.next()) is not None:
            self._execute(*message)

    def _execute(self, words: list[str], body: bytes) -> None:
        match words[0]:
            case "JOIN":
                self.is_joined = True
                self.to_node += line("WELCOME", "hot", 1) + b"".join(self.notices[int(words[1]) :])
            case "METER":
                self.to_node += line("METERS", words[1], 1)
            case "EXEC":
                if words[1] not in self.runs | self.ended:
                    self.runs[words[1]] = Run(words[1])
            case "RETURN":
                run = self.runs.get(words[1])
                if run is not None and run.is_waiting:
                    run.is_waiting = False
                    run.replies.append(body)

    def advance(self, run: Run) -> None:
        """Let a run that is not waiting request its next call, or end after the last one."""
        if run.is_waiting:
            return
        if run.calls < CALLS:
            run.calls += 1
            run.is_waiting = True
            self._notify("CALLOUT", run.id, body=call_body(run.id, run.calls))
            return
        self.ended[run.id] = self.runs.pop(run.id)
        self._notify("EXIT", run.id, "complete", 5, body=run.id.encode())

    def _notify(self, *words: str | int, body: bytes) -> None:
        notice = line(words[0], len(self.notices) + 1, *words[1:], body=body)
        self.notices.append(notice)
        if self.is_joined:
            self.to_node += notice

    def finish_runs(self) -> None:
        """Bring all runs to their end over a link that stays up."""
        for _ in range(MAX_ROUNDS):
            self.executor_reads()
            for run in list(self.runs.values()):
                self.advance(run)
            self.node_reads()
            self.send_replies()

    def run_to_first_reply(self) -> Run:
        """Return a run whose first RETURN was written and not yet read."""
        for _ in range(2):
            self.executor_reads()
            self.node_reads()
        self.node.exec("a", "c", b"x", True)
        self.executor_reads()
        self.node_reads()
        run = self.runs["a"]
        self.advance(run)
        self.node_reads()
        self.send_replies()
        return run

    def reconnect_up_to_return(self) -> None:
        """Open a new link and process it up to the repeated RETURN."""
        self.connect()
        self.executor_reads()
        self.node_reads()
        self.executor_reads()
        self.node_reads()
        assert b"RETURN a" in self.to_executor


# Guards against a result computed from the reply to another call, if a repeated RETURN answers the run's next call.
def test_run_whose_next_call_is_answered_by_repeated_return_fails_without_result() -> None:
    model = ExecutorModel()
    run = model.run_to_first_reply()
    model.executor_reads()  # the first RETURN is read, and the link is lost before its confirmation
    model.reconnect_up_to_return()
    model.advance(run)  # requests its second call while the RETURN is in flight
    model.finish_runs()
    assert run.replies != run.correct_replies  # the model produced the wrong reply
    assert model.received_ends == {"a": (End.ERROR, b"")}
    assert model.counters.counts["executor.returns_crossed"] == 1


def test_run_that_missed_the_first_return_continues_with_the_repeated_one() -> None:
    model = ExecutorModel()
    run = model.run_to_first_reply()
    model.reconnect_up_to_return()
    model.finish_runs()
    assert run.replies == run.correct_replies
    assert model.received_ends == {"a": (End.OK, b"a")}


def test_return_is_not_repeated_if_next_call_was_requested_without_a_link() -> None:
    model = ExecutorModel()
    run = model.run_to_first_reply()
    model.executor_reads()
    model.advance(run)
    model.connect()
    model.finish_runs()
    assert run.replies == run.correct_replies
    assert model.received_ends == {"a": (End.OK, b"a")}


@pytest.mark.parametrize("seed", SEEDS)
def test_results_come_from_correct_replies_under_random_link_loss(seed: int) -> None:
    random_source = random.Random(seed)
    model = ExecutorModel()
    started = 0
    for _ in range(STEPS):
        match random_source.choice(("exec", "work", "work", "executor", "executor", "node", "node", "reply", "lose")):
            case "exec":
                started += 1
                model.node.exec(f"r{started}", "c", b"x", True)
            case "work" if model.runs:
                model.advance(random_source.choice(list(model.runs.values())))
            case "executor":
                model.executor_reads()
            case "node":
                model.node_reads()
            case "reply":
                model.send_replies()
            case "lose":
                model.connect()
    model.finish_runs()
    assert len(model.received_ends) == started and not model.runs
    failed_though_correct = 0
    for id, (end, _) in model.received_ends.items():
        run = model.ended[id]
        is_correct = run.replies == run.correct_replies
        assert is_correct or end is End.ERROR, (id, run.replies)
        failed_though_correct += is_correct and end is End.ERROR
    assert failed_though_correct <= model.counters.counts["executor.returns_in_doubt"]


def test_remembered_runs_with_wrong_reply_are_bounded() -> None:
    returns = RepeatedReturns()
    for number in range(2 * MAX_RUNS):
        returns.written(str(number), number)
        assert returns.call_wanted(str(number)) is CallState.ANSWERED
    assert not returns.run_ended("0") and returns.run_ended(str(2 * MAX_RUNS - 1))
