"""Two hand-over sessions over cores with recording ports: keys that run once, by examples and by random steps."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterator
from itertools import pairwise

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from chutepin.facade import End
from chutepin.handover import Delivery, HandoverSession, HandoverStateMachine, ProcessUsage, Stage
from chutepin.handover.frames import Frame, FrameReader, MalformedFrameError, encode_frame
from chutepin.handover.state_machine import Event
from chutepin.idempotency import IdempotencyRecord

from .helper import STEPS, WINDOW, Core


class Process:
    """A core and its side of a hand-over; the link's kernel buffer holds little and outlives the writer."""

    def __init__(self) -> None:
        self.core = Core()
        self.kernel: deque[bytes] = deque()  # taken by the kernel, not read by the other one
        self.own: deque[bytes] = deque()  # lost when this process is killed
        self.alive, self.accepts = True, False
        broker = self.core.broker
        self.peer_record_changed = broker.peer_exchange.peer_record_changed
        self.peer_key_removed = broker.peer_exchange.peer_key_removed
        self.peer_requests_key = broker.peer_exchange.peer_requests_key
        self.key_replied = broker.peer_exchange.key_replied
        self.peer_lost = broker.peer_exchange.peer_lost
        self.learned_statistics = broker.peer_exchange.learned
        self.adopt_statistics = broker.peer_exchange.adopt
        self.session = HandoverSession(
            self, HandoverStateMachine(WINDOW + 1.0), self.core.hand.clock, self.core.counters
        )
        broker.peer = self.session
        broker.keys.replicate = self.session.replicate

    def records(self) -> list[IdempotencyRecord]:
        return list(self.core.broker.keys.records.values())

    def is_current(self, record: IdempotencyRecord) -> bool:
        return self.core.broker.keys.records.get(record.key) is record

    def usage(self) -> ProcessUsage:
        return ProcessUsage(*self.core.broker.peer_exchange.usage, 10)

    def set_peer_usage(self, usage: ProcessUsage) -> None:
        self.core.broker.peer_exchange.set_peer_usage(usage.running, usage.memory_kb)

    def yield_ownership(self) -> None:
        self.accepts = False

    def resume_ownership(self) -> None:
        self.accepts = True

    def send(self, data: bytes) -> Delivery:
        self.own.append(data)
        self.flush()
        return Delivery.BUFFERED if self.own else Delivery.IN_KERNEL

    def flush(self) -> None:
        while self.own and len(self.kernel) < 12:
            self.kernel.append(self.own.popleft())


class Pair(RuleBasedStateMachine):
    """An upgrade: attempts of few keys at either process, late frames, kills at any moment."""

    def __init__(self) -> None:
        super().__init__()
        self.old, self.new = Process(), Process()
        self.processes = [self.old, self.new]
        self.new.core.hand = self.old.core.hand  # one machine, one clock
        self.new.core.broker._clock._source = lambda: self.old.core.hand.time
        self.arrived: dict[str, tuple[str, float]] = {}
        self.linked = self.was_upgraded = self.synced = False
        self.snapshot: Iterator[bytes] = iter(())
        self.numbers = itertools.count()
        self.old.accepts = True

    def pass_time(self, seconds: float) -> None:
        for process in self.processes:
            process.core.hand.time = self.old.core.hand.time
        until = self.old.core.hand.time + seconds
        while self.old.core.hand.time < until:
            self.old.core.hand.time = min(until, self.old.core.hand.time + 0.02)
            for process in self.processes:
                if process.alive:
                    process.core.broker.tick()

    @initialize(flows=st.sampled_from([None, 1, 3, 200, 200]), first=st.integers(0, 3))
    def begin(self, flows: int | None, first: int) -> None:
        """Most runs begin in the midst of an upgrade, or after it."""
        for key in range(first):
            self.arrive(0, key, 2.0)
        if flows is not None:
            self.start_upgrade()
            self.deliver(False, flows)

    @precondition(lambda self: not self.was_upgraded)
    @rule()
    def start_upgrade(self) -> None:
        assert self.old.session.accept_successor()
        self.linked = self.was_upgraded = True
        self.new.session.machine.apply(Event.HELLO_SENT, self.old.core.hand.time)
        self.old.session.send, self.new.session.send = self.old.send, self.new.send
        self.old.send(encode_frame("HERE", version=1))
        self.snapshot = self.old.session.record_frames()
        self.new.session.executor_ready()

    @precondition(lambda self: self.linked)
    @rule(all=st.booleans(), count=st.integers(1, 4))
    def deliver(self, all: bool, count: int) -> None:
        """Frames go over, one at a time in both directions; or all there are, as they mostly do."""
        for _ in range(200 if all else count):
            if self.old.alive and (data := next(self.snapshot, None)) is not None:
                self.old.send(data)
            elif self.old.alive and not self.old.own and not self.synced:
                self.synced = True
                self.old.session.keys_sent()
            for reader, writer in ((self.new, self.old), (self.old, self.new)):
                if reader.alive and writer.kernel:
                    reader.session.receive(read_one(writer.kernel.popleft()))
                    self.new.accepts |= self.new.session.machine.stage is Stage.TAKEN_OVER
                if writer.alive:
                    writer.flush()

    @precondition(lambda self: self.linked)
    @rule(at=st.integers(0, 1))
    def peer_stops_reading(self, at: int) -> None:
        """One does not read for long: the kernel's buffer towards it fills up."""
        writer = self.processes[1 - at]
        while writer.alive and writer.session.send_usage():
            pass

    @rule(first=st.integers(0, 1), key=st.integers(3, 20))
    def retry_at_both(self, first: int, key: int) -> None:
        """Two attempts of one key, each at another process, and nothing read in between."""
        self.arrive(first, key, 2.0)
        self.arrive(1 - first, key, 2.0)

    @rule(at=st.integers(0, 1), key=st.integers(0, 5), wait=st.floats(0.5, 3.0))
    def arrive(self, at: int, key: int, wait: float) -> None:
        """An attempt, also on a connection that was accepted before the process yielded."""
        process = self.processes[at]
        was_open = process is self.old or process.accepts
        if not process.alive or not was_open:
            return
        id = f"{next(self.numbers)}"
        self.arrived[id] = f"key {key}", self.old.core.hand.time
        process.core.pick(id, "work-order", key=f"key {key}", wait=wait)

    @rule(data=st.data(), at=st.integers(0, 1), end=st.sampled_from([End.OK, End.ERROR]))
    def run_ends(self, data: st.DataObject, at: int, end: End) -> None:
        if self.processes[at].alive:
            self.processes[at].core.end_some(data, end)

    @precondition(lambda self: self.linked)
    @rule(at=st.integers(0, 5), key=st.integers(3, 20), stalled=st.booleans())
    def kill(self, at: int, key: int, stalled: bool) -> None:
        """One dies; the other reads what the kernel still holds, then the end of the link."""
        if at > 1:  # or not: most steps should find both alive
            return
        dead, other = self.processes[at], self.processes[1 - at]
        if not dead.alive or not other.alive:
            return
        if stalled:
            self.peer_stops_reading(1 - at)
        self.arrive(at, key, 2.0)
        dead.alive, self.linked = False, False
        dead.own.clear()
        while dead.kernel:
            other.session.receive(read_one(dead.kernel.popleft()))
        if other is self.new:
            other.session.predecessor_lost(is_alive=False)
            other.accepts = True
        else:
            other.session.successor_lost(is_alive=False, loop_stalled_s=0.0)
        self.arrive(1 - at, key, 2.0)

    @rule(seconds=st.floats(0.01, 2.0))
    def time_passes(self, seconds: float) -> None:
        self.pass_time(seconds)

    @invariant()
    def key_runs_once_over_both_processes(self) -> None:
        executed = [id for process in self.processes for id in process.core.ports.ids("exec")]
        for key in {key for key, _ in self.arrived.values()}:
            ran = sorted(self.arrived[id][1] for id in executed if self.arrived[id][0] == key)
            assert all(b - a > WINDOW for a, b in pairwise(ran)), "a key ran twice"

    @invariant()
    def each_attempt_has_one_answer_and_metrics_are_consistent(self) -> None:
        for process in self.processes:
            answers = process.core.ports.answers
            assert all(len(words) <= 1 for words in answers.values())
            ran = set(process.core.ports.ids("exec"))
            assert not any(words and words[0].verdict.value == "refused" and id in ran for id, words in answers.items())
            if process.alive:
                assert process.core.broker.metrics.is_consistent(sum(not words for words in answers.values()))


def test_key_does_not_run_at_both_processes_once_its_former_window_is_over() -> None:
    """Its run of then was still in the table of the process that had yielded, which took no notice of the next one."""
    pair = Pair()
    pair.begin(flows=None, first=0)
    pair.start_upgrade()
    pair.peer_stops_reading(0)
    pair.retry_at_both(0, 3)
    pair.pass_time(WINDOW + 1.0)
    pair.deliver(True, 1)
    pair.retry_at_both(0, 3)
    pair.deliver(True, 1)
    assert [len(process.core.ports.ids("exec")) for process in pair.processes] == [1, 1]
    pair.key_runs_once_over_both_processes()


@pytest.mark.parametrize("how", ["ends", "dies"])
def test_waiter_at_the_other_process_is_answered_though_the_window_of_the_run_is_over(how: str) -> None:
    """The next try has taken the entry's place meanwhile."""
    pair = Pair()
    pair.begin(flows=None, first=0)
    pair.arrive(0, 3, 3.0)
    pair.start_upgrade()
    pair.deliver(True, 1)
    pair.arrive(1, 3, 3.0)  # waits for the run of the predecessor
    pair.pass_time(WINDOW + 0.2)
    pair.arrive(1, 3, 3.0)
    old, new = (process.core for process in pair.processes)
    assert [len(core.ports.ids("exec")) for core in (old, new)] == [1, 1] and not new.words("1")
    if how == "ends":
        old.end("0")
        pair.deliver(True, 1)
    else:
        pair.new.session.predecessor_lost(is_alive=False)
    assert new.words("1") == ["served" if how == "ends" else "failed"] and not new.broker.keys._superseded


TestPair = Pair.TestCase
TestPair.settings = settings(STEPS, max_examples=150, stateful_step_count=40)


@pytest.mark.parametrize(
    ("stage", "sent", "runs"),
    [
        (Stage.TAKEN_OVER, Delivery.IN_KERNEL, True),
        (Stage.TAKEN_OVER, Delivery.BUFFERED, False),
        (Stage.TAKEN_OVER, Delivery.LINK_CLOSED, True),
        (Stage.SENDING_KEYS, Delivery.LINK_CLOSED, True),
        (Stage.YIELDED, Delivery.LINK_CLOSED, False),
    ],
)
def test_key_runs_only_if_its_claim_is_replicated_or_the_peer_runs_none(
    stage: Stage, sent: Delivery, runs: bool
) -> None:
    """`LINK_CLOSED`: the link has just ended, and this process has not noticed yet."""
    process = Process()
    process.session.machine.stage, process.session.send = Stage.TAKEN_OVER, lambda data: Delivery.IN_KERNEL
    process.core.broker.peer_exchange.set_peer_usage(10**6, 0.0)  # queued for want of capacity
    process.core.pick("a", "work-order", key="k", wait=5.0)
    process.session.machine.stage, process.session.send = stage, lambda data: sent
    process.core.broker.peer_exchange.set_peer_usage(0, 0.0)
    process.core.pass_time(0.2)
    assert process.core.ports.ids("exec") == ["a"] * runs and process.core.words("a") == ["refused"] * (not runs)


def test_request_with_a_granted_key_keeps_its_deadline() -> None:
    process = Process()
    process.session.machine.stage, process.session.send = Stage.YIELDED, lambda data: Delivery.IN_KERNEL
    process.core.pick("a", "work-order", key="k", wait=5.0)
    assert not process.core.ports.ids("exec")
    process.key_replied("a", "k", True)
    process.core.pass_time(1.5)  # past the time by which the other process had to answer
    assert process.core.ports.ids("exec") == ["a"] and not process.core.words("a")
    process.core.end("a")
    assert process.core.words("a") == ["served"]


def test_learned_statistics_are_adopted_and_malformed_ones_are_not() -> None:
    teacher, pupil = Core(), Core()
    for number in range(40):
        teacher.pick(f"{number}", "position-push")
        teacher.pass_time(0.1)
        teacher.end(f"{number}")
    learned = teacher.broker.peer_exchange.learned()
    assert learned["runs.average"] != pupil.broker.peer_exchange.learned()["runs.average"]
    ((_, fields),) = [read_one(encode_frame("LEARNED", **learned))]
    pupil.broker.peer_exchange.adopt(fields)
    assert pupil.broker.peer_exchange.learned() == learned
    unfit: list[dict[str, object]] = [{"work": "much"}, {**fields, "work": [1.0]}, {**fields, "served": []}]
    for malformed in unfit:
        rejected = pupil.counters.counts["handover.statistics_rejected"]
        pupil.broker.peer_exchange.adopt(malformed)
        assert pupil.counters.counts["handover.statistics_rejected"] == rejected + 1
        assert pupil.broker.peer_exchange.learned() == learned


def read_one(data: bytes) -> Frame:
    frames = FrameReader()
    frames.feed(data)
    message = frames.next()
    assert message is not None
    return message


def test_peer_usage_reduces_capacity() -> None:
    core = Core()
    core.broker.peer_exchange.set_peer_usage(10**6, 0.0)
    core.pick("a", "position-push", wait=1.0)
    assert not core.ports.ids("exec")
    core.broker.peer_exchange.set_peer_usage(0, 0.0)
    core.pass_time(0.2)
    assert core.ports.ids("exec") == ["a"]
    core.broker.peer_exchange.set_peer_usage(0, 1e9)
    core.pick("b", "position-push")
    assert core.words("b") == ["refused"]


def frame_of(verb: str, **fields: object) -> Frame:
    return Frame(verb, fields)


FAR = 1_000_000.0 + 8 * 86400.0  # more than a week after the clock of `Hand`
MALFORMED_FRAMES = {
    "KEY until never": frame_of("KEY", key="k", holder="b", until=FAR, contents="", ran="b", end=None, result=""),
    "KEY until no number": frame_of(
        "KEY", key="k", holder="b", until=float("nan"), contents="", ran=None, end=None, result=""
    ),
    "ASK until never": frame_of("ASK", id="b", key="k", contents="", until=FAR),
    "ASK until infinity": frame_of("ASK", id="b", key="k", contents="", until=float("inf")),
    "SYNCED closed for good": frame_of("SYNCED", closed_until=FAR),
    "SYNCED closed until infinity": frame_of("SYNCED", closed_until=float("inf")),
    "USE of infinity": frame_of("USE", running=float("inf"), memory=0.0, descriptors=0),
    "LEARNED no number": frame_of("LEARNED", share=float("nan")),
    "HERE of no version": frame_of("HERE", version=float("inf")),
}


# Guards against a key that never expires, unknown keys refused for good, and a stage that a malformed frame moves.
@pytest.mark.parametrize("name", MALFORMED_FRAMES)
@pytest.mark.parametrize("stage", [Stage.SENDING_KEYS, Stage.HELLO_SENT, Stage.RECEIVING_KEYS])
def test_malformed_frame_changes_nothing_but_that_it_ends_the_link(stage: Stage, name: str) -> None:
    process = Process()
    process.core.pick("a", "work-order", key="held")
    process.session.machine.stage = stage
    records = dict(process.core.broker.keys.records)
    ownership = process.session.ownership(process.core.hand.time)
    with pytest.raises(MalformedFrameError):
        process.session.receive(MALFORMED_FRAMES[name])
    assert process.session.machine.stage is stage
    assert process.core.broker.keys.records == records
    assert process.session.ownership(process.core.hand.time) is ownership
    process.core.end("a")
    assert process.core.words("a") == ["served"]
