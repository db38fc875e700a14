"""Two hand-over sessions with recording ports: each key runs once, in examples and in random steps."""

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
from chutepin.lifecycle import Peer
from chutepin.node_intent import NodeIntent

from .helper import STEPS, WINDOW, Core


class Process:
    """A broker and its hand-over session; the link's kernel buffer is small and outlives the process."""

    def __init__(self) -> None:
        self.core = Core()
        self.kernel_buffer: deque[bytes] = deque()  # accepted by the kernel, not read by the peer
        self.process_buffer: deque[bytes] = deque()  # lost if this process is killed
        self.is_alive, self.is_accepting = True, False
        self.intent = NodeIntent()
        broker = self.core.broker
        self.peer_record_changed = broker.peer_exchange.peer_record_changed
        self.peer_key_removed = broker.peer_exchange.peer_key_removed
        self.peer_requests_key = broker.peer_exchange.peer_requests_key
        self.key_replied = broker.peer_exchange.key_replied
        self.peer_lost = broker.peer_exchange.peer_lost
        self.learned_statistics = broker.peer_exchange.learned
        self.adopt_statistics = broker.peer_exchange.adopt
        self.recent_run_ids = broker.recent_runs.ids
        self.peer_runs_started = broker.peer_exchange.runs_started
        self.session = HandoverSession(
            self, HandoverStateMachine(WINDOW + 1.0), self.core.hand.clock, self.core.counters
        )
        broker.peer = self.session
        broker.keys.replicate = self.session.replicate
        broker.recent_runs.announce = self.session.run_started

    def records(self) -> list[IdempotencyRecord]:
        return list(self.core.broker.keys.records.values())

    def is_current(self, record: IdempotencyRecord) -> bool:
        return self.core.broker.keys.records.get(record.key) is record

    def usage(self) -> ProcessUsage:
        return ProcessUsage(*self.core.broker.peer_exchange.usage, 10, intent=self.intent)

    def set_peer_usage(self, usage: ProcessUsage) -> None:
        self.core.broker.peer_exchange.set_peer_usage(usage.running, usage.memory_kb)

    def is_leaving(self) -> bool:
        return self.intent.left_at is not None

    def peer_told(self, intent: NodeIntent, peer: Peer) -> None:
        self.intent = self.intent.merged_with(intent)

    def recall_intent(self, peer: Peer) -> None: ...

    def keep_intent(self) -> None: ...

    def discard_intent(self) -> None: ...

    def successor_ignores_intent(self) -> None: ...

    def successor_left(self) -> None: ...

    def yield_ownership(self) -> None:
        self.is_accepting = False

    def resume_ownership(self) -> None:
        self.is_accepting = True

    def send(self, data: bytes) -> Delivery:
        self.process_buffer.append(data)
        self.flush()
        return Delivery.BUFFERED if self.process_buffer else Delivery.IN_KERNEL

    def flush(self) -> None:
        while self.process_buffer and len(self.kernel_buffer) < 12:
            self.kernel_buffer.append(self.process_buffer.popleft())


class UpgradeModel(RuleBasedStateMachine):
    """A model of an upgrade: attempts of few keys at both processes, delayed frames, and kills at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.predecessor, self.successor = Process(), Process()
        self.processes = [self.predecessor, self.successor]
        self.successor.core.hand = self.predecessor.core.hand  # both processes share one clock
        self.successor.core.broker._clock._source = lambda: self.predecessor.core.hand.time
        self.arrived: dict[str, tuple[str, float]] = {}
        self.is_linked = self.was_upgraded = self.keys_sent = False
        self.record_frames: Iterator[bytes] = iter(())
        self.ids = itertools.count()
        self.predecessor.is_accepting = True

    def pass_time(self, seconds: float) -> None:
        for process in self.processes:
            process.core.hand.time = self.predecessor.core.hand.time
        until = self.predecessor.core.hand.time + seconds
        while self.predecessor.core.hand.time < until:
            self.predecessor.core.hand.time = min(until, self.predecessor.core.hand.time + 0.02)
            for process in self.processes:
                if process.is_alive:
                    process.core.broker.tick()

    @initialize(delivered=st.sampled_from([None, 1, 3, 200, 200]), first_keys=st.integers(0, 3))
    def begin(self, delivered: int | None, first_keys: int) -> None:
        """Start most examples during an upgrade or after it."""
        for key in range(first_keys):
            self.arrive(0, key, 2.0)
        if delivered is not None:
            self.start_upgrade()
            self.deliver(False, delivered)

    @precondition(lambda self: not self.was_upgraded)
    @rule()
    def start_upgrade(self) -> None:
        assert self.predecessor.session.accept_successor()
        self.is_linked = self.was_upgraded = True
        self.successor.session.machine.apply(Event.HELLO_SENT, self.predecessor.core.hand.time)
        self.predecessor.session.send, self.successor.session.send = self.predecessor.send, self.successor.send
        self.predecessor.send(encode_frame("HERE", version=1))
        self.record_frames = self.predecessor.session.record_frames()
        self.successor.session.executor_ready()

    @precondition(lambda self: self.is_linked)
    @rule(all=st.booleans(), count=st.integers(1, 4))
    def deliver(self, all: bool, count: int) -> None:
        """Deliver frames one at a time in both directions, or all of them."""
        for _ in range(200 if all else count):
            if self.predecessor.is_alive and (data := next(self.record_frames, None)) is not None:
                self.predecessor.send(data)
            elif self.predecessor.is_alive and not self.predecessor.process_buffer and not self.keys_sent:
                self.keys_sent = True
                self.predecessor.session.keys_sent()
            for reader, writer in ((self.successor, self.predecessor), (self.predecessor, self.successor)):
                if reader.is_alive and writer.kernel_buffer:
                    reader.session.receive(read_one(writer.kernel_buffer.popleft()))
                    self.successor.is_accepting |= self.successor.session.machine.stage is Stage.TAKEN_OVER
                if writer.is_alive:
                    writer.flush()

    @precondition(lambda self: self.is_linked)
    @rule(at=st.integers(0, 1))
    def peer_stops_reading(self, at: int) -> None:
        """Fill the kernel's buffer towards a process that does not read."""
        writer = self.processes[1 - at]
        while writer.is_alive and writer.session.send_usage():
            pass

    @rule(first_at=st.integers(0, 1), key=st.integers(3, 20))
    def retry_at_both(self, first_at: int, key: int) -> None:
        """Send two attempts of one key, one to each process, with no frames delivered in between."""
        self.arrive(first_at, key, 2.0)
        self.arrive(1 - first_at, key, 2.0)

    @rule(at=st.integers(0, 1), key=st.integers(0, 5), wait=st.floats(0.5, 3.0))
    def arrive(self, at: int, key: int, wait: float) -> None:
        """Send an attempt, possibly on a connection that was accepted before the process yielded."""
        process = self.processes[at]
        has_connection = process is self.predecessor or process.is_accepting
        if not process.is_alive or not has_connection:
            return
        id = f"{next(self.ids)}"
        self.arrived[id] = f"key {key}", self.predecessor.core.hand.time
        process.core.pick(id, "work-order", key=f"key {key}", wait=wait)

    @rule(data=st.data(), at=st.integers(0, 1), end=st.sampled_from([End.OK, End.ERROR]))
    def run_ends(self, data: st.DataObject, at: int, end: End) -> None:
        if self.processes[at].is_alive:
            self.processes[at].core.end_some(data, end)

    @precondition(lambda self: self.is_linked)
    @rule(at=st.integers(0, 5), key=st.integers(3, 20), stalled=st.booleans())
    def kill(self, at: int, key: int, stalled: bool) -> None:
        """Kill one process; the other reads the rest of the kernel's buffer, then the end of the link."""
        if at > 1:  # most examples should keep both processes alive
            return
        killed, other = self.processes[at], self.processes[1 - at]
        if not killed.is_alive or not other.is_alive:
            return
        if stalled:
            self.peer_stops_reading(1 - at)
        self.arrive(at, key, 2.0)
        killed.is_alive, self.is_linked = False, False
        killed.process_buffer.clear()
        while killed.kernel_buffer:
            other.session.receive(read_one(killed.kernel_buffer.popleft()))
        if other is self.successor:
            other.session.predecessor_lost(is_alive=False)
            other.is_accepting = True
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
            if process.is_alive:
                assert process.core.broker.metrics.is_consistent(sum(not words for words in answers.values()))


def test_key_runs_at_only_one_process_after_its_earlier_window_is_over() -> None:
    """Guards against a yielded process that ignores the peer's next run, since its table still holds its own run."""
    model = UpgradeModel()
    model.begin(delivered=None, first_keys=0)
    model.start_upgrade()
    model.peer_stops_reading(0)
    model.retry_at_both(0, 3)
    model.pass_time(WINDOW + 1.0)
    model.deliver(True, 1)
    model.retry_at_both(0, 3)
    model.deliver(True, 1)
    assert [len(process.core.ports.ids("exec")) for process in model.processes] == [1, 1]
    model.key_runs_once_over_both_processes()


@pytest.mark.parametrize("how", ["ends", "dies"])
def test_attempt_waiting_at_the_peer_is_answered_after_the_window_of_the_run(how: str) -> None:
    """Guards against a lost waiter after the next attempt has replaced the record of the run."""
    model = UpgradeModel()
    model.begin(delivered=None, first_keys=0)
    model.arrive(0, 3, 3.0)
    model.start_upgrade()
    model.deliver(True, 1)
    model.arrive(1, 3, 3.0)  # waits for the predecessor's run
    model.pass_time(WINDOW + 0.2)
    model.arrive(1, 3, 3.0)
    old_core, new_core = (process.core for process in model.processes)
    assert [len(core.ports.ids("exec")) for core in (old_core, new_core)] == [1, 1] and not new_core.words("1")
    if how == "ends":
        old_core.end("0")
        model.deliver(True, 1)
    else:
        model.successor.session.predecessor_lost(is_alive=False)
    assert new_core.words("1") == ["served" if how == "ends" else "failed"] and not new_core.broker.keys._superseded


TestUpgradeModel = UpgradeModel.TestCase
TestUpgradeModel.settings = settings(STEPS, max_examples=150, stateful_step_count=40)


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
def test_key_runs_only_if_its_claim_is_replicated_or_the_peer_runs_no_keys(
    stage: Stage, sent: Delivery, runs: bool
) -> None:
    """`LINK_CLOSED`: the link has ended, but this process has not processed its end yet."""
    process = Process()
    process.session.machine.stage, process.session.send = Stage.TAKEN_OVER, lambda data: Delivery.IN_KERNEL
    process.core.broker.peer_exchange.set_peer_usage(10**6, 0.0)  # no capacity: the request is queued
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
    process.core.pass_time(1.5)  # beyond the deadline of the key request
    assert process.core.ports.ids("exec") == ["a"] and not process.core.words("a")
    process.core.end("a")
    assert process.core.words("a") == ["served"]


def test_learned_statistics_are_adopted_unless_malformed() -> None:
    source, target = Core(), Core()
    for number in range(40):
        source.pick(f"{number}", "position-push")
        source.pass_time(0.1)
        source.end(f"{number}")
    learned = source.broker.peer_exchange.learned()
    assert learned["runs.average"] != target.broker.peer_exchange.learned()["runs.average"]
    ((_, fields),) = [read_one(encode_frame("LEARNED", **learned))]
    target.broker.peer_exchange.adopt(fields)
    assert target.broker.peer_exchange.learned() == learned
    malformed_statistics: list[dict[str, object]] = [
        {"work": "much"},
        {**fields, "work": [1.0]},
        {**fields, "served": []},
    ]
    for malformed in malformed_statistics:
        rejected_before = target.counters.counts["handover.statistics_rejected"]
        target.broker.peer_exchange.adopt(malformed)
        assert target.counters.counts["handover.statistics_rejected"] == rejected_before + 1
        assert target.broker.peer_exchange.learned() == learned


def read_one(data: bytes) -> Frame:
    reader = FrameReader()
    reader.feed(data)
    frame = reader.next()
    assert frame is not None
    return frame


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


def frame_with(verb: str, **fields: object) -> Frame:
    return Frame(verb, fields)


TOO_LATE = 1_000_000.0 + 8 * 86400.0  # more than a week after the test clock's start
MALFORMED_FRAMES = {
    "KEY until the far future": frame_with(
        "KEY", key="k", holder="b", until=TOO_LATE, contents="", ran="b", end=None, result=""
    ),
    "KEY until NaN": frame_with(
        "KEY", key="k", holder="b", until=float("nan"), contents="", ran=None, end=None, result=""
    ),
    "ASK until the far future": frame_with("ASK", id="b", key="k", contents="", until=TOO_LATE),
    "ASK until infinity": frame_with("ASK", id="b", key="k", contents="", until=float("inf")),
    "SYNCED closed until the far future": frame_with("SYNCED", closed_until=TOO_LATE),
    "SYNCED closed until infinity": frame_with("SYNCED", closed_until=float("inf")),
    "USE of infinite runs": frame_with("USE", running=float("inf"), memory=0.0, descriptors=0),
    "LEARNED of NaN": frame_with("LEARNED", share=float("nan")),
    "HERE of an infinite version": frame_with("HERE", version=float("inf")),
}


# Guards against a key that never expires, unknown keys refused for ever, and a stage change by a malformed frame.
@pytest.mark.parametrize("name", MALFORMED_FRAMES)
@pytest.mark.parametrize("stage", [Stage.SENDING_KEYS, Stage.HELLO_SENT, Stage.RECEIVING_KEYS])
def test_malformed_frame_raises_an_error_and_changes_nothing(stage: Stage, name: str) -> None:
    process = Process()
    process.core.pick("a", "work-order", key="held")
    process.session.machine.stage = stage
    records = dict(process.core.broker.keys.records)
    ownership = process.session.ownership(process.core.hand.time, WINDOW)
    with pytest.raises(MalformedFrameError):
        process.session.receive(MALFORMED_FRAMES[name])
    assert process.session.machine.stage is stage
    assert process.core.broker.keys.records == records
    assert process.session.ownership(process.core.hand.time, WINDOW) is ownership
    process.core.end("a")
    assert process.core.words("a") == ["served"]
