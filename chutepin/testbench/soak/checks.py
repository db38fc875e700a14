"""The invariants of a soak. Each check is a pure function of the observations and yields violations."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .books import CloseCause, Observations, ObservedProcess, ObservedRequest, ObservedRun

READY_TIMEOUT_S = 10.0
ANSWER_SLACK_S = 0.15  # after the deadline: the slack of the settings, and delays of the protocol on sockets
MAX_UNREAD_AGE_S = 1.0  # a request written longer than this before its connection closed was read by the node
KEY_PROPAGATION_TIMEOUT_S = 0.2  # after the start of a run, within which all processes of the node know its key
CLOCK_SLACK_S = 0.05  # between the clocks of the client and the process
MAX_MORE_DESCRIPTORS = 4
MAX_MEMORY_FACTOR = 1.5
MAX_MORE_MEMORY_KB = 12 * 1024


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant, with the name of its check."""

    check: str
    at: float
    description: str


def violations(observations: Observations) -> list[Violation]:
    """Return all violations, sorted by time."""
    found = [violation for check in CHECKS for violation in check(observations)]
    return sorted(found, key=lambda violation: violation.at)


def check_one_answer_each(observations: Observations) -> Iterator[Violation]:
    """Check that each request has at most one answer and that each answer belongs to a request."""
    for request in observations.requests:
        if len(request.answers) > 1:
            verdicts = ", ".join(answer.verdict for answer in request.answers)
            yield Violation("one answer each", request.answers[1].at, f"{request.id} was answered with {verdicts}")
    if observations.unexpected_answers:
        yield Violation(
            "one answer each", 0.0, f"{observations.unexpected_answers} answers to tags without an open request"
        )


def check_no_request_lost(observations: Observations) -> Iterator[Violation]:
    """Check that requests are answered in time.

    A request may go unanswered when the node closes its connection, if it never ran and was written too late to be
    read."""
    runs = _first_run_by_id(observations)
    last_event_at = max((event.at for event in observations.events), default=math.inf)
    for request in observations.requests:
        if request.is_cancelled:
            continue
        answer_deadline = request.deadline_at + ANSWER_SLACK_S
        connection = request.connection
        if request.answers:
            answered_at = request.answers[0].at
            if answered_at > answer_deadline + observations.event_loop_lag_s(request.deadline_at, answered_at):
                late_s = answered_at - request.deadline_at
                yield Violation(
                    "none lost", answer_deadline, f"{request.id} was answered {late_s:.2f} s after its deadline"
                )
        elif connection.closed_at > answer_deadline + observations.event_loop_lag_s(
            request.deadline_at, connection.closed_at
        ):
            if answer_deadline < last_event_at:
                yield Violation("none lost", answer_deadline, f"{request.id} has no answer on an open connection")
        elif connection.closed_by is not CloseCause.CLIENT:
            yield from _check_dropped_request(request, runs.get(request.id))


def _check_dropped_request(request: ObservedRequest, run: ObservedRun | None) -> Iterator[Violation]:
    """Check a request whose connection the node closed without an answer."""
    connection = request.connection
    age_s = connection.closed_at - request.written_at
    if run is not None:
        yield Violation(
            "none lost",
            connection.closed_at,
            f"{request.id} ({request.cls}) ran at {run.process} and its connection {connection.number} ended, by "
            f"{connection.closed_by}, without its answer, {age_s:.3f} s after it was written and "
            f"{connection.closed_at - connection.bye_at:.3f} s after BYE",
        )
    elif age_s > MAX_UNREAD_AGE_S:
        yield Violation(
            "none lost",
            connection.closed_at,
            f"{request.id} ({request.cls}) was written {age_s:.2f} s before its connection {connection.number} ended "
            f"without its answer",
        )


def check_keys_run_once(observations: Observations) -> Iterator[Violation]:
    """Check that a keyed request runs at most once in its window, also across the processes of an upgrade."""
    requests = {request.id: request for request in observations.requests}
    chains = {process.name: process.chain for process in observations.processes}
    by_key: dict[tuple[int, str], list[ObservedRun]] = defaultdict(list)
    for run in observations.runs:
        request = requests.get(run.id)
        if request is not None and request.key is not None:
            by_key[chains[run.process], request.key].append(run)
    for (_, key), runs in by_key.items():
        ids = dict.fromkeys(run.id for run in runs)
        if len(ids) > 1:
            executions = ", ".join(f"{run.id} at {run.process}" for run in runs)
            yield Violation("keys run once", runs[1].at, f"key {key} ran as {executions}")


def check_rejected_never_ran(observations: Observations) -> Iterator[Violation]:
    """Check that no request that ran was answered with `BUSY`."""
    runs = _first_run_by_id(observations)
    for request in observations.requests:
        if request.answers and request.answers[0].verdict == "BUSY" and request.id in runs:
            yield Violation("rejected never ran", request.answers[0].at, f"{request.id} ran and was rejected")


def check_keys_not_rejected_after_run(observations: Observations) -> Iterator[Violation]:
    """Check that an attempt under a key that has run is not rejected: `BUSY` states that no attempt has run."""
    requests = {request.id: request for request in observations.requests}
    first_run_at: dict[str, float] = {}
    for run in observations.runs:
        request = requests.get(run.id)
        if request is not None and request.key is not None:
            first_run_at.setdefault(request.key, run.at)
    for request in observations.requests:
        if request.key not in first_run_at or not request.answers or request.answers[0].verdict != "BUSY":
            continue
        age_s = request.written_at - first_run_at[request.key]
        if age_s > KEY_PROPAGATION_TIMEOUT_S and not _has_several_chains(
            observations, first_run_at[request.key], request.written_at
        ):
            at = request.answers[0].at
            yield Violation("keys not rejected", at, f"{request.id} was rejected {age_s:.2f} s after its key had run")


def _has_several_chains(observations: Observations, since: float, until: float) -> bool:
    """Return whether processes of several chains existed in this period; a new chain does not know earlier keys."""
    chains = {
        process.chain for process in observations.processes if process.spawned_at < until and process.ended_at > since
    }
    return len(chains) > 1


def check_results(observations: Observations) -> Iterator[Violation]:
    """Check that each served answer has the result of a run of its own request."""
    for request in observations.requests:
        for answer in request.answers:
            if answer.verdict == "OK" and not answer.body.startswith(b"done " + request.body):
                yield Violation("results", answer.at, f"{request.id} was served with {answer.body[:40]!r}")


def check_processes(observations: Observations) -> Iterator[Violation]:
    """Check that each process is ready in time, does not crash, reacts to SIGTERM, and exits with 0 unless killed."""
    for process in observations.processes:
        if process.ready_at - process.spawned_at > READY_TIMEOUT_S:
            yield Violation("ready", process.spawned_at, f"{process.name} was not ready in {READY_TIMEOUT_S} s")
        if process.exit_code is None:
            continue
        if process.killed_at == math.inf and process.exit_code != 0:
            yield Violation("exit code", process.ended_at, f"{process.name} ended with {process.exit_code}")
        # The player kills what still runs when a play ends early.
        if process.ended_at + CLOCK_SLACK_S < process.sigterm_at and process.killed_at == math.inf:
            yield Violation("crash", process.ended_at, f"{process.name} ended before SIGTERM")
        if process.sigterm_at < math.inf and "leaving" not in process.log:
            yield Violation(
                "notice", process.sigterm_at, f"{process.name} did not log that it is leaving after SIGTERM"
            )
        for marker in ("invariant.", "errors=", "Traceback"):
            if marker in process.log:
                yield Violation("log", process.ended_at, f"{process.name} logged {marker}")


def check_resources(observations: Observations) -> Iterator[Violation]:
    """Check that descriptors, memory and requests in progress return to idle levels after all clients have closed."""
    for process in observations.processes:
        at = min(process.sigterm_at, process.ended_at)
        yield from _check_descriptors(process, at)
        if process.idle_memory_kb is not None:
            before, after = process.idle_memory_kb
            if after > MAX_MEMORY_FACTOR * before + MAX_MORE_MEMORY_KB:
                yield Violation("memory", at, f"{process.name} grew from {before} to {after} KB")
        if process.idle_requests_in_progress:
            yield Violation(
                "in progress",
                at,
                f"{process.name} has {process.idle_requests_in_progress} requests in progress without clients",
            )


def _check_descriptors(process: ObservedProcess, at: float) -> Iterator[Violation]:
    if process.idle_descriptors is None:
        return
    before, after = process.idle_descriptors
    if after > before + MAX_MORE_DESCRIPTORS:
        yield Violation("descriptors", at, f"{process.name} holds {after} descriptors, {before} at its start")


def _first_run_by_id(observations: Observations) -> dict[str, ObservedRun]:
    first: dict[str, ObservedRun] = {}
    for run in observations.runs:
        first.setdefault(run.id, run)
    return first


CHECKS: tuple[Callable[[Observations], Iterator[Violation]], ...] = (
    check_one_answer_each,
    check_no_request_lost,
    check_keys_run_once,
    check_rejected_never_ran,
    check_keys_not_rejected_after_run,
    check_results,
    check_processes,
    check_resources,
)
