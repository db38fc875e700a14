"""A model of the two processes of an upgrade: what the node was told, in random orders of words, messages and ends."""

from __future__ import annotations

from collections import deque

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from chutepin.lifecycle import Event, Lifecycle, Peer
from chutepin.node_intent import NodeIntent

from .helper import STEPS

OLD, NEW = 0, 1
PEERS = {OLD: Peer.SUCCESSOR, NEW: Peer.PREDECESSOR}  # the other process, seen from each


class Process:
    """The lifecycle of a process, and the intents that its peer has sent and it has not received."""

    def __init__(self, now: float) -> None:
        self.lifecycle = Lifecycle(now)
        self.inbox: deque[NodeIntent] = deque()
        self.is_alive = True


class IntentModel(RuleBasedStateMachine):
    """An upgrade as `handover.session` plays it: a link that keeps order, and the file that both processes read."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.processes = [Process(self.now), Process(self.now)]
        self.old, self.new = self.processes
        self.kept = NodeIntent()
        self.is_linked, self.has_yielded = True, False
        self.last_command: Event | None = None  # that was confirmed
        self.left_at: float | None = None  # of the first SIGTERM to a process that accepted clients
        self.was_old_told_to_end = False
        self.old.lifecycle.apply(Event.CAN_SERVE)
        self.new.lifecycle.apply(Event.PREDECESSOR_FOUND)
        for index, process in enumerate(self.processes):
            process.lifecycle.on_intent_changed = lambda index=index: self._announce(index)  # type: ignore[misc]

    @initialize(is_drained=st.booleans(), has_yielded=st.sampled_from([False, True, True]))
    def begin(self, is_drained: bool, has_yielded: bool) -> None:
        """Begin most examples after the hand-over."""
        if is_drained:
            self.command(OLD, True)
        if has_yielded:
            self.hand_over()

    def _announce(self, index: int) -> None:
        """Keep what a process was told, and send it to the other one."""
        intent = self.processes[index].lifecycle.intent
        self.kept = self.kept.merged_with(intent)
        if self.is_linked:
            self.processes[1 - index].inbox.append(intent)

    def _receive(self, index: int) -> None:
        process = self.processes[index]
        process.lifecycle.merge(process.inbox.popleft(), PEERS[index], self.now)

    def _recall(self, index: int) -> None:
        self.processes[index].lifecycle.merge(self.kept, PEERS[index], self.now)

    def _settle(self) -> None:
        """Deliver all messages; a process without a link reads the file."""
        for _ in range(4):
            for index, process in enumerate(self.processes):
                while process.is_alive and process.inbox:
                    self._receive(index)
        if not self.is_linked and self.has_yielded and self.old.is_alive:
            self._recall(OLD)

    @rule(index=st.sampled_from([OLD, NEW]), is_drain=st.booleans())
    def command(self, index: int, is_drain: bool) -> None:
        """Give a command; it is passed on if the kernel takes it for the other process."""
        process = self.processes[index]
        if not process.is_alive:
            return
        lifecycle = process.lifecycle
        tell = lifecycle.drain if is_drain else lifecycle.resume
        can_pass_on = index == OLD and self.is_linked and self.has_yielded and self.new.is_alive
        previous = [(other.is_alive, bool(other.inbox)) for other in self.processes]
        if tell(lambda intent: can_pass_on) and not any(has_inbox for _, has_inbox in previous):
            self.last_command = Event.DRAIN if is_drain else Event.RESUME
            self._settle()  # commands that cross are judged by the merge's own tests

    @rule()
    def sigterm_to_old(self) -> None:
        self.sigterm(OLD)

    @rule()
    def sigterm_to_new(self) -> None:
        self.sigterm(NEW)

    def sigterm(self, index: int) -> None:
        process = self.processes[index]
        if not process.is_alive:
            return
        if process.lifecycle.behaviour.new_clients.value != "not accepted" and self.left_at is None:
            self.left_at = self.now
        self.was_old_told_to_end |= index == OLD
        process.lifecycle.terminate(self.now)

    @rule(index=st.sampled_from([OLD, NEW]))
    def receive(self, index: int) -> None:
        if self.processes[index].is_alive and self.processes[index].inbox:
            self._receive(index)

    @precondition(lambda self: self.is_linked and not self.has_yielded and self.old.is_alive and self.new.is_alive)
    @rule()
    def hand_over(self) -> None:
        """Grant the takeover unless the node leaves; the successor has the intent before it serves."""
        if self.old.lifecycle.is_leaving or self.new.lifecycle.behaviour.is_ending:
            return
        self.old.lifecycle.apply(Event.SUCCESSOR_SERVES)
        self.new.inbox.append(self.old.lifecycle.intent)
        while self.new.inbox:
            self._receive(NEW)
        self.new.lifecycle.apply(Event.ACCEPTING)
        self.new.lifecycle.apply(Event.CAN_SERVE)
        self.has_yielded = True

    @precondition(lambda self: self.is_linked and self.has_yielded)
    @rule()
    def cut_link(self) -> None:
        self._settle()  # what the kernel has taken is read before the end of the link
        self.is_linked = False

    @rule()
    def kill_old(self) -> None:
        self.kill(OLD)

    @rule()
    def kill_new(self) -> None:
        self.kill(NEW)

    def kill(self, index: int) -> None:
        """Kill a process; the other one reads what it had sent, and the file."""
        process, other = self.processes[index], self.processes[1 - index]
        if not (process.is_alive and other.is_alive):
            return
        process.is_alive = False
        while self.is_linked and other.inbox:
            self._receive(1 - index)
        self.is_linked = False
        self._recall(1 - index)
        if index == NEW and self.has_yielded:
            self.old.lifecycle.apply(Event.SUCCESSOR_LOST)
            self.old.lifecycle.apply(Event.CAN_SERVE)
        if index == OLD and not self.has_yielded:
            self.new.lifecycle.apply(Event.ACCEPTING)
            self.new.lifecycle.apply(Event.CAN_SERVE)

    @rule()
    def time_passes(self) -> None:
        self.now += 1.0

    @invariant()
    def word_to_the_node_holds_at_every_living_process(self) -> None:
        self._settle()
        for process in self.processes:
            if not process.is_alive:
                continue
            if self.left_at is not None:
                assert process.lifecycle.is_leaving and process.lifecycle.intent.left_at == self.left_at
            elif self.last_command is not None:
                assert process.lifecycle.healthy is (self.last_command is Event.RESUME)

    @invariant()
    def process_told_to_end_accepts_no_clients(self) -> None:
        if self.was_old_told_to_end and self.has_yielded:
            assert not self.old.lifecycle.accepts_work

    @invariant()
    def node_told_nothing_serves_as_long_as_a_process_that_may(self) -> None:
        ended = [process for process in self.processes if process.lifecycle.behaviour.is_ending or not process.is_alive]
        if self.left_at is None and len(ended) < len(self.processes):
            assert any(process.lifecycle.accepts_work for process in self.processes if process.is_alive)


TestIntentModel = IntentModel.TestCase
TestIntentModel.settings = settings(STEPS, max_examples=600, stateful_step_count=25)
