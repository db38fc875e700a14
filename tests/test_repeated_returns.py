"""A RETURN in doubt after a lost executor link, against an executor whose runs make several calls."""

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

CALLS = 3  # of each run, one after the other
SEEDS = range(300)
STEPS = 120
MAX_ROUNDS = 50  # in which a link that stays up brings all to an end


class Run:
    """A run of the executor: what its calls were answered with."""

    def __init__(self, id: str) -> None:
        self.id = id
        self.calls = 0
        self.is_waiting = False
        self.replies: list[bytes] = []

    @property
    def right_replies(self) -> list[bytes]:
        """What its calls so far should have been answered with."""
        return [reply_to(self.id, call) for call in range(1, len(self.replies) + 1)]


def call_body(id: str, call: int) -> bytes:
    return f"{id} call {call}".encode()


def reply_to(id: str, call: int) -> bytes:
    return b"reply to " + call_body(id, call)


class Rig:
    """A session and a model of the executor, with a link that holds bytes in both directions until they are read."""

    def __init__(self) -> None:
        hand = Hand()
        self.counters = Counters()
        self.session = Session(hand.clock, self.counters, Log(hand.clock), True)
        self.session.notices = self
        self.node = ExecutorLink(Address("", 1), self.session, self.counters, Log(hand.clock))
        self.runs: dict[str, Run] = {}
        self.ended: dict[str, Run] = {}
        self.notices: list[bytes] = []
        self.heard: dict[str, tuple[End, bytes]] = {}  # ends of runs at the node
        self.due: list[tuple[str, bytes]] = []  # replies that the node has yet to give
        self.to_executor = bytearray()
        self.to_node = bytearray()
        self.is_joined = False
        self.connect()

    # What the node hears.

    def executor_started(self, cold: bool, born: float) -> None: ...

    def gauges_received(self, values: tuple[float, ...]) -> None: ...

    def command_not_carried_out(self, command: str, id: str) -> None: ...

    def run_ended(self, id: str, end: End, elapsed: float, result: bytes) -> None:
        assert id not in self.heard
        self.heard[id] = end, result

    def call_wanted(self, id: str, notice: int, body: bytes) -> None:
        self.due.append((id, b"reply to " + body))

    # What happens.

    def connect(self) -> None:
        self.session.lost()
        self.to_executor.clear()
        self.to_node.clear()
        self.is_joined = False
        self.parser = LineParser(lambda words: words[0] in ("EXEC", "RETURN"), 4096)
        self.session.connected(self.to_executor.extend)

    def give_replies(self) -> None:
        due, self.due = self.due, []
        for id, reply in due:
            self.node.give_back(id, reply)

    def node_reads(self) -> None:
        data = bytes(self.to_node)
        self.to_node.clear()
        self.session.received(data)

    def executor_reads(self) -> None:
        data = bytes(self.to_executor)
        self.to_executor.clear()
        self.parser.feed(data)
        while (message := self.parser.next()) is not None:
            self._carry_out(*message)

    def _carry_out(self, words: list[str], body: bytes) -> None:
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

    def work(self, run: Run) -> None:
        """A run that isn't waiting asks for its next call, or ends after the last."""
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

    def settle(self) -> None:
        """With a link that stays up, all runs come to their end."""
        for _ in range(MAX_ROUNDS):
            self.executor_reads()
            for run in list(self.runs.values()):
                self.work(run)
            self.node_reads()
            self.give_replies()

    def at_first_reply(self) -> Run:
        """A run whose first RETURN was written and not yet read."""
        for _ in range(2):
            self.executor_reads()
            self.node_reads()
        self.node.exec("a", "c", b"x", True)
        self.executor_reads()
        self.node_reads()
        run = self.runs["a"]
        self.work(run)
        self.node_reads()
        self.give_replies()
        return run

    def synced_link(self) -> None:
        """A new link up to the RETURN that the node writes once more."""
        self.connect()
        self.executor_reads()
        self.node_reads()
        self.executor_reads()
        self.node_reads()
        assert b"RETURN a" in self.to_executor


# Guards against a result made with the reply to another call: a repeated RETURN that met the run's next call.
def test_run_whose_next_call_meets_a_repeated_return_fails_and_gives_no_result() -> None:
    rig = Rig()
    run = rig.at_first_reply()
    rig.executor_reads()  # the first RETURN is read, and the link lost before that shows
    rig.synced_link()
    rig.work(run)  # asks for its second call, as the RETURN is on its way
    rig.settle()
    assert run.replies != run.right_replies  # the rig did what it is meant to
    assert rig.heard == {"a": (End.ERROR, b"")}
    assert rig.counters.counts["executor.returns_crossed"] == 1


def test_run_that_had_not_read_the_first_return_goes_on_with_the_repeated_one() -> None:
    rig = Rig()
    run = rig.at_first_reply()
    rig.synced_link()
    rig.settle()
    assert run.replies == run.right_replies
    assert rig.heard == {"a": (End.OK, b"a")}


def test_return_is_not_repeated_to_a_run_that_asked_for_its_next_call_while_no_link_was_there() -> None:
    rig = Rig()
    run = rig.at_first_reply()
    rig.executor_reads()
    rig.work(run)
    rig.connect()
    rig.settle()
    assert run.replies == run.right_replies
    assert rig.heard == {"a": (End.OK, b"a")}


@pytest.mark.parametrize("seed", SEEDS)
def test_results_come_from_right_replies_whatever_links_are_lost(seed: int) -> None:
    chance = random.Random(seed)
    rig = Rig()
    started = 0
    for _ in range(STEPS):
        match chance.choice(("exec", "work", "work", "executor", "executor", "node", "node", "reply", "lose")):
            case "exec":
                started += 1
                rig.node.exec(f"r{started}", "c", b"x", True)
            case "work" if rig.runs:
                rig.work(chance.choice(list(rig.runs.values())))
            case "executor":
                rig.executor_reads()
            case "node":
                rig.node_reads()
            case "reply":
                rig.give_replies()
            case "lose":
                rig.connect()
    rig.settle()
    assert len(rig.heard) == started and not rig.runs
    failed_though_right = 0
    for id, (end, _) in rig.heard.items():
        run = rig.ended[id]
        is_right = run.replies == run.right_replies
        assert is_right or end is End.ERROR, (id, run.replies)
        failed_though_right += is_right and end is End.ERROR
    assert failed_though_right <= rig.counters.counts["executor.returns_in_doubt"]


def test_runs_with_a_wrong_reply_are_bounded() -> None:
    returns = RepeatedReturns()
    for number in range(2 * MAX_RUNS):
        returns.written(str(number), number)
        assert returns.call_wanted(str(number)) is CallState.ANSWERED
    assert not returns.run_ended("0") and returns.run_ended(str(2 * MAX_RUNS - 1))
