"""Attempts: open requests, how far each has come, and the one place where they are answered."""

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
    """Where an attempt stands."""

    QUEUED = "queued"
    RUNNING = "running"
    STOPPED = "stopped"
    CALL_WANTED = "call wanted"
    CALLING_DEPENDENCY = "calling dependency"
    SHARING_RESULT = "sharing result"
    REQUESTING_KEY = "requesting key"  # from the node's other process; the decision module does not know of it yet


# Nothing runs: such an attempt is over once its caller awaits no response.
NOT_STARTED = (Phase.QUEUED, Phase.SHARING_RESULT, Phase.REQUESTING_KEY)
AT_CALL = (Phase.CALL_WANTED, Phase.CALLING_DEPENDENCY)

# The columns of `ClassCounts` by verdict.
METRIC_COLUMNS = {Verdict.SERVED: "answered", Verdict.REJECTED: "deferred", Verdict.FAILED: "errored"}


@dataclass(slots=True)
class Attempt:
    """One open request, from its reading until it is answered and its run is over."""

    request: Request
    caller: Caller
    idempotency: Idempotency
    phase: Phase = Phase.QUEUED
    awaiting_response: bool = True
    call_notice: int = 0  # number of the executor's notice that wants the call
    call_body: bytes = b""
    call_since: float = 0.0
    answer_deadline: float = 0.0  # when the broker itself answers; supersedes earlier ones


@dataclass(slots=True)
class NodeStatus:
    """What the decision module has the fronts announce."""

    idle_timeout_s: float
    value: float | None = None  # the free value that goes out with every answer; None where the site uses none
    is_healthy: bool = True


class OpenAttempts:
    """All attempts of one process. Each is answered exactly once, and forgotten once its run is over too."""

    def __init__(self, executor: Executor, counters: Counters, metrics: RequestMetrics, status: NodeStatus) -> None:
        self._executor = executor
        self._counters = counters
        self._metrics = metrics
        self._status = status
        self.by_id: dict[str, Attempt] = {}
        self.on_keyed_forgotten: Callable[[Request], None]  # a keyed attempt is over, maybe before it was decided

    def answer(self, attempt: Attempt, answer: Answer) -> None:
        """Answer an open attempt; a second answer is dropped."""
        if not attempt.awaiting_response:
            return
        attempt.awaiting_response = False
        self.answer_now(attempt.request.cls, attempt.caller, answer)
        self.stop_if_unwatched(attempt)
        if attempt.phase in NOT_STARTED:
            self.forget(attempt.request.id)

    def serve(self, attempt: Attempt, result: bytes) -> None:
        """Answer with a result."""
        self.answer(attempt, Answer(Verdict.SERVED, result, value=self._status.value))

    def reject(self, attempt: Attempt, retry_after: float = 0.0, no_other_node: bool = False) -> None:
        """Answer that the request never ran here."""
        self.answer(attempt, Answer(Verdict.REJECTED, b"", retry_after, no_other_node, self._status.value))

    def fail(self, attempt: Attempt, retry_after: float = 0.0, no_other_node: bool = False) -> None:
        """Answer with an error."""
        self.answer(attempt, Answer(Verdict.FAILED, b"", retry_after, no_other_node, self._status.value))

    def answer_now(self, cls: str, caller: Caller, answer: Answer) -> None:
        """Answer and count a request, whether or not it became an attempt."""
        self._metrics.request_ended(cls, METRIC_COLUMNS[answer.verdict])
        self._counters.add(f"answers.{answer.verdict.value}")
        caller.answer(answer)

    def run_sent(self) -> None:
        """Count a run that goes to the executor."""
        self._metrics.runs_sent += 1

    def withdraw(self, attempt: Attempt) -> None:
        """Note that the caller has disconnected: no answer is due."""
        attempt.awaiting_response = False
        self._metrics.request_ended(attempt.request.cls, "withdrawn")
        self.stop_if_unwatched(attempt)

    def stop_if_unwatched(self, attempt: Attempt) -> None:
        """Stop a run at a call whose request is over, where the executor cannot see that for itself.

        Its callers are not on the executor's machine then; else the run would keep its memory and its place."""
        if attempt.phase in AT_CALL and not attempt.awaiting_response and not attempt.request.watched:
            self._executor.kill(attempt.request.id)

    def forget(self, id: str) -> None:
        """Remove an attempt that is over."""
        attempt = self.by_id.pop(id, None)
        if attempt is None:
            return
        if attempt.idempotency is Idempotency.KEYED:
            self.on_keyed_forgotten(attempt.request)
        if not self._counters.check_invariant(not attempt.awaiting_response, "answered before forgotten"):
            answer = Answer(Verdict.FAILED, value=self._status.value)
            self.answer_now(attempt.request.cls, attempt.caller, answer)
