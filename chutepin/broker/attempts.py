"""Attempts: open requests with their phases, and the only place that answers them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ..counters import Counters
from ..decision import Idempotency
from ..request_metrics import RequestMetrics
from .ports import Caller, Executor
from .requests import Answer, Request, Verdict


class Phase(Enum):
    """The phase of an attempt."""

    QUEUED = "queued"
    RUNNING = "running"
    STOPPED = "stopped"
    CALL_WANTED = "call wanted"
    CALLING_DEPENDENCY = "calling dependency"
    SHARING_RESULT = "sharing result"
    REQUESTING_KEY = "requesting key"  # from the peer process; the attempt has not reached the decision module yet


# Phases without a run of their own: the attempt is over as soon as its caller awaits no response.
NOT_STARTED = (Phase.QUEUED, Phase.SHARING_RESULT, Phase.REQUESTING_KEY)
AT_CALL = (Phase.CALL_WANTED, Phase.CALLING_DEPENDENCY)

ATTEMPT_BYTES = 2048  # memory counted for an attempt without its body

# Columns of `ClassCounts`, by verdict.
METRIC_COLUMNS = {Verdict.SERVED: "answered", Verdict.REJECTED: "deferred", Verdict.FAILED: "errored"}


@dataclass(slots=True)
class Attempt:
    """One open request, from its receipt until it is answered and its run has ended."""

    request: Request
    caller: Caller
    idempotency: Idempotency
    phase: Phase = Phase.QUEUED
    awaiting_response: bool = True
    is_in_doubt: bool = False  # the run may have begun, and the executor may never report its end
    call_notice: int = 0  # number of the executor's notice that asked for the call
    call_body: bytes = b""
    call_started_at: float = 0.0
    answer_deadline: float = 0.0  # when the broker itself answers; replaces earlier deadlines

    @property
    def is_keyed(self) -> bool:
        """Return whether the request runs at most once under its key."""
        return self.idempotency is Idempotency.KEYED or self.request.is_deduplicated

    @property
    def held_bytes(self) -> int:
        """The memory counted for the attempt; its body is held a second time in the command to the executor."""
        return ATTEMPT_BYTES + 2 * len(self.request.body)

    @property
    def has_called(self) -> bool:
        """Return whether the run has asked for a call, which proves that it began."""
        return self.call_notice > 0


@dataclass(slots=True)
class NodeStatus:
    """Settings of the decision module that the listeners announce to callers."""

    idle_timeout_s: float
    value: float | None = None  # load signal value sent with every answer; None if the site uses no load signal
    is_healthy: bool = True


class OpenAttempts:
    """All attempts of one process. Each is answered exactly once, and removed after its run has ended."""

    def __init__(self, executor: Executor, counters: Counters, metrics: RequestMetrics, status: NodeStatus) -> None:
        self._executor = executor
        self._counters = counters
        self._metrics = metrics
        self._status = status
        self.by_id: dict[str, Attempt] = {}
        self.held_bytes = 0  # memory of all attempts
        self.on_keyed_attempt_removed: Callable[[Request], None]  # also if it was not admitted

    def add(self, attempt: Attempt) -> None:
        """Add the attempt of a request that was accepted."""
        self.by_id[attempt.request.id] = attempt
        self.held_bytes += attempt.held_bytes

    def answer(self, attempt: Attempt, answer: Answer) -> None:
        """Answer an open attempt; drop the answer if there was one before."""
        if not attempt.awaiting_response:
            return
        attempt.awaiting_response = False
        self.send_answer(attempt.request.cls, attempt.caller, answer)
        self.kill_orphaned_run(attempt)
        if attempt.phase in NOT_STARTED:
            self.remove(attempt.request.id)

    def serve(self, attempt: Attempt, result: bytes) -> None:
        """Answer an attempt with a result."""
        self.answer(attempt, Answer(Verdict.SERVED, result, value=self._status.value))

    def reject(self, attempt: Attempt, retry_after: float = 0.0, no_other_node: bool = False) -> None:
        """Answer an attempt that its request never ran on this node."""
        self.answer(attempt, Answer(Verdict.REJECTED, b"", retry_after, no_other_node, self._status.value))

    def fail(self, attempt: Attempt, retry_after: float = 0.0, no_other_node: bool = False) -> None:
        """Answer an attempt with an error."""
        self.answer(attempt, Answer(Verdict.FAILED, b"", retry_after, no_other_node, self._status.value))

    def send_answer(self, cls: str, caller: Caller, answer: Answer) -> None:
        """Send the answer to a request and count it, whether or not the request became an attempt."""
        self._metrics.request_ended(cls, METRIC_COLUMNS[answer.verdict])
        self._counters.add(f"answers.{answer.verdict.value}")
        caller.answer(answer)

    def count_run(self) -> None:
        """Count a run that is sent to the executor."""
        self._metrics.runs_sent += 1

    def withdraw(self, attempt: Attempt) -> None:
        """Record that the caller has disconnected and no answer is due."""
        attempt.awaiting_response = False
        self._metrics.request_ended(attempt.request.cls, "withdrawn")
        self.kill_orphaned_run(attempt)

    def kill_orphaned_run(self, attempt: Attempt) -> None:
        """Kill a run that waits for a call, if its request is over and the executor cannot detect that.

        The executor cannot detect it if the caller is not on its machine; without the kill the run would keep its
        memory and its slot."""
        if attempt.phase in AT_CALL and not attempt.awaiting_response and not attempt.request.executor_detects_end:
            self._executor.kill(attempt.request.id)

    def remove(self, id: str) -> None:
        """Remove an attempt that is over; answer with an error if it was left without an answer."""
        attempt = self.by_id.pop(id, None)
        if attempt is None:
            return
        self.held_bytes -= attempt.held_bytes
        if attempt.is_keyed:
            self.on_keyed_attempt_removed(attempt.request)
        if not self._counters.check_invariant(not attempt.awaiting_response, "answered before forgotten"):
            answer = Answer(Verdict.FAILED, value=self._status.value)
            self.send_answer(attempt.request.cls, attempt.caller, answer)
