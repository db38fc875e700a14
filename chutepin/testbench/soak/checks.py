"""What must hold of a soak's books. Pure: each check is a function of the books."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .books import Books, CloseCause, ProcessSeen, RequestSeen, RunSeen

READY_TIMEOUT_S = 10.0
ANSWER_SLACK_S = 0.15  # after the due time: the settings' slack, and what the protocol adds on sockets
CROSSING_S = 1.0  # a request written longer before the end of its connection was read
KEY_KNOWN_S = 0.2  # after a run began, by when every process of the node knows of it
EARLY_EXIT_SLACK_S = 0.05  # between the clocks of client and process
MAX_MORE_DESCRIPTORS = 4
MAX_MEMORY_FACTOR = 1.5
MAX_MORE_MEMORY_KB = 12 * 1024


@dataclass(frozen=True, slots=True)
class Violation:
    """One thing that must not be."""

    check: str
    at: float
    what: str


def violations(books: Books) -> list[Violation]:
    """Return everything that does not hold, in the order of time."""
    found = [violation for check in CHECKS for violation in check(books)]
    return sorted(found, key=lambda violation: violation.at)


def check_one_answer_each(books: Books) -> Iterator[Violation]:
    """No request is answered twice, and nothing is answered that was not asked."""
    for request in books.requests:
        if len(request.answers) > 1:
            words = ", ".join(answer.word for answer in request.answers)
            yield Violation("one answer each", request.answers[1].at, f"{request.id} was answered with {words}")
    if books.unasked_answers:
        yield Violation("one answer each", 0.0, f"{books.unasked_answers} answers to tags that nobody used")


def check_none_lost(books: Books) -> Iterator[Violation]:
    """What was read is answered in time; what is dropped with its connection never ran and had hardly been written."""
    runs = _first_run_by_id(books)
    last_at = max((event.at for event in books.events), default=math.inf)
    for request in books.requests:
        if request.is_withdrawn:
            continue
        limit = request.due_at + ANSWER_SLACK_S
        connection = request.connection
        if request.answers:
            answered_at = request.answers[0].at
            if answered_at > limit + books.rig_lag_s(request.due_at, answered_at):
                late_s = answered_at - request.due_at
                yield Violation("none lost", limit, f"{request.id} was answered {late_s:.2f} s after its due time")
        elif connection.closed_at > limit + books.rig_lag_s(request.due_at, connection.closed_at):
            if limit < last_at:
                yield Violation("none lost", limit, f"{request.id} has no answer on an open connection")
        elif connection.closed_by is not CloseCause.CLIENT:
            yield from _dropped(request, runs.get(request.id))


def _dropped(request: RequestSeen, run: RunSeen | None) -> Iterator[Violation]:
    """Judge a request whose connection ended without its answer."""
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
    elif age_s > CROSSING_S:
        yield Violation(
            "none lost",
            connection.closed_at,
            f"{request.id} ({request.cls}) was written {age_s:.2f} s before its connection {connection.number} ended "
            f"without its answer",
        )


def check_keys_run_once(books: Books) -> Iterator[Violation]:
    """A keyed request runs at most once in its window, also across the processes of an upgrade."""
    requests = {request.id: request for request in books.requests}
    chains = {process.name: process.chain for process in books.processes}
    by_key: dict[tuple[int, str], list[RunSeen]] = defaultdict(list)
    for run in books.runs:
        request = requests.get(run.id)
        if request is not None and request.key is not None:
            by_key[chains[run.process], request.key].append(run)
    for (_, key), runs in by_key.items():
        ids = dict.fromkeys(run.id for run in runs)
        if len(ids) > 1:
            places = ", ".join(f"{run.id} at {run.process}" for run in runs)
            yield Violation("keys run once", runs[1].at, f"key {key} ran as {places}")


def check_rejected_never_ran(books: Books) -> Iterator[Violation]:
    """`BUSY` is said only of what never ran."""
    runs = _first_run_by_id(books)
    for request in books.requests:
        if request.answers and request.answers[0].word == "BUSY" and request.id in runs:
            yield Violation("rejected never ran", request.answers[0].at, f"{request.id} ran and was rejected")


def check_keys_not_rejected_after_run(books: Books) -> Iterator[Violation]:
    """A try of a key that has run is served or failed, never rejected: that would say that no try had its effect."""
    requests = {request.id: request for request in books.requests}
    first_run_at: dict[str, float] = {}
    for run in books.runs:
        request = requests.get(run.id)
        if request is not None and request.key is not None:
            first_run_at.setdefault(request.key, run.at)
    for request in books.requests:
        if request.key not in first_run_at or not request.answers or request.answers[0].word != "BUSY":
            continue
        age_s = request.written_at - first_run_at[request.key]
        if age_s > KEY_KNOWN_S and not _is_chain_broken(books, first_run_at[request.key], request.written_at):
            at = request.answers[0].at
            yield Violation("keys not rejected", at, f"{request.id} was rejected {age_s:.2f} s after its key had run")


def _is_chain_broken(books: Books, since: float, until: float) -> bool:
    """Whether a process that knows nothing of earlier keys served, or was about to, in this time."""
    chains = {process.chain for process in books.processes if process.spawned_at < until and process.ended_at > since}
    return len(chains) > 1


def check_results(books: Books) -> Iterator[Violation]:
    """What is served is the result that a run made for this request."""
    for request in books.requests:
        for answer in request.answers:
            if answer.word == "OK" and not answer.body.startswith(b"done " + request.body):
                yield Violation("results", answer.at, f"{request.id} was served with {answer.body[:40]!r}")


def check_processes(books: Books) -> Iterator[Violation]:
    """Each process is ready in time, never crashes, hears its notice, and ends with 0 unless it is killed."""
    for process in books.processes:
        if process.ready_at - process.spawned_at > READY_TIMEOUT_S:
            yield Violation("ready", process.spawned_at, f"{process.name} was not ready in {READY_TIMEOUT_S} s")
        if process.exit_code is None:
            continue
        if process.killed_at == math.inf and process.exit_code != 0:
            yield Violation("exit code", process.ended_at, f"{process.name} ended with {process.exit_code}")
        if process.ended_at + EARLY_EXIT_SLACK_S < process.notice_at:
            yield Violation("crash", process.ended_at, f"{process.name} ended before it was told to leave")
        if process.notice_at < math.inf and "leaving" not in process.log:
            yield Violation("notice", process.notice_at, f"{process.name} did not hear its notice to leave")
        for word in ("invariant.", "errors=", "Traceback"):
            if word in process.log:
                yield Violation("log", process.ended_at, f"{process.name} logged {word}")


def check_resources(books: Books) -> Iterator[Violation]:
    """Descriptors and memory are back to where they were once all clients have gone, and nothing is in progress."""
    for process in books.processes:
        at = min(process.notice_at, process.ended_at)
        yield from _grown_descriptors(process, at)
        if process.memory_kb_when_quiet is not None:
            before, after = process.memory_kb_when_quiet
            if after > MAX_MEMORY_FACTOR * before + MAX_MORE_MEMORY_KB:
                yield Violation("memory", at, f"{process.name} grew from {before} to {after} KB")
        if process.current_when_quiet:
            yield Violation(
                "in progress", at, f"{process.name} has {process.current_when_quiet} requests though nobody asks"
            )


def _grown_descriptors(process: ProcessSeen, at: float) -> Iterator[Violation]:
    if process.descriptors_when_quiet is None:
        return
    before, after = process.descriptors_when_quiet
    if after > before + MAX_MORE_DESCRIPTORS:
        yield Violation("descriptors", at, f"{process.name} holds {after} descriptors, {before} at its start")


def _first_run_by_id(books: Books) -> dict[str, RunSeen]:
    first: dict[str, RunSeen] = {}
    for run in books.runs:
        first.setdefault(run.id, run)
    return first


CHECKS: tuple[Callable[[Books], Iterator[Violation]], ...] = (
    check_one_answer_each,
    check_none_lost,
    check_keys_run_once,
    check_rejected_never_ran,
    check_keys_not_rejected_after_run,
    check_results,
    check_processes,
    check_resources,
)
