"""Invariants of a replicated log, as functions of its history, for the simulator and for real processes alike.

Each invariant yields one line for each violation."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from chutepin.testbench.checks.consensus_history import NEVER, ClientRequest, ConsensusHistory, Observation

CAUSE_S = 10.0  # time after a disturbance in which a change of leader is expected
MAX_REPORTED = 20  # maximum reported violations of one invariant


def one_leader_per_term(history: ConsensusHistory) -> Iterator[str]:
    """Yield each member that leads in a term in which another member leads."""
    leaders: dict[int, str] = {}
    for seen in history.observations:
        if seen.role == "leader" and leaders.setdefault(seen.term, seen.member) != seen.member:
            yield f"{seen.at:.2f} {seen.member} leads in term {seen.term}, as does {leaders[seen.term]}"


def equal_logs_up_to_equal_index(history: ConsensusHistory) -> Iterator[str]:
    """Yield differences between the applied entries of members that have the same applied index."""
    known: dict[int, tuple[str, str]] = {}
    for seen in history.observations:
        digest, member = known.setdefault(seen.applied_index, (seen.log_digest, seen.member))
        if seen.applied_index and digest != seen.log_digest:
            yield f"{seen.at:.2f} {seen.member} differs from {member} at {seen.applied_index}"


def applied_index_and_term_never_decrease(history: ConsensusHistory) -> Iterator[str]:
    """Yield decreases of the applied index or the term within one incarnation of a member."""
    last: dict[tuple[str, int], Observation] = {}
    for seen in history.observations:
        before = last.get((seen.member, seen.incarnation))
        if before is not None and (seen.applied_index < before.applied_index or seen.term < before.term):
            yield f"{seen.at:.2f} {seen.member} went back from {before.applied_index} to {seen.applied_index}"
        last[seen.member, seen.incarnation] = seen


def one_proposal_per_index(history: ConsensusHistory) -> Iterator[str]:
    """Yield indexes that hold two proposals, and proposals that are committed at two indexes."""
    by_index: dict[int, str] = {}
    by_value: dict[str, int] = {}
    for request in history.committed_sets():
        index, value = request.at_index, request.value
        if by_index.setdefault(index, value) != value:
            yield f"{value} and {by_index[index]} are both committed at {index}"
        if by_value.setdefault(value, index) != index:
            yield f"{value} is committed at {index} and at {by_value[value]}"


def requests_are_linearizable(history: ConsensusHistory) -> Iterator[str]:
    """Yield requests ordered in the log before a request that had ended when they began, by their indexes."""
    for key in history.keys():
        sets = [one for one in history.committed_sets() if one.key == key]
        reads = sorted((one for one in history.answered_reads() if one.key == key), key=lambda one: one.began)
        yield from _follow_earlier_sets(key, sets, reads)
        for read in reads:
            earlier = [other.at_index for other in reads if other.ended < read.began]
            if earlier and read.at_index < max(earlier):
                yield (
                    f"{read.began:.3f} {read.member} reads {key} as of {read.at_index}, {max(earlier)} was read before"
                )


def _follow_earlier_sets(key: str, sets: list[ClientRequest], reads: list[ClientRequest]) -> Iterator[str]:
    for request in sets + reads:
        earlier = [other.at_index for other in sets if other.ended < request.began]
        if not earlier:
            continue
        is_set = request.operation == "set"
        if request.at_index < max(earlier) or (is_set and request.at_index == max(earlier)):
            yield (
                f"{request.began:.3f} {request.member} {request.operation} {key}: {request.at_index}, "
                f"{max(earlier)} was before"
            )


def reads_return_set_values(history: ConsensusHistory) -> Iterator[str]:
    """Yield reads whose value no client had set yet, or whose set was rejected or committed at another index."""
    sets = {one.value: one for one in history.requests if one.operation == "set"}
    for read in history.answered_reads():
        if not read.at_index:
            continue
        setter = sets.get(read.value)
        prefix = f"{read.began:.3f} {read.member}"
        if setter is None or setter.key != read.key or setter.began > read.ended:
            yield f"{prefix} reads {read.key} as {read.value}, which no client had set"
        elif setter.outcome == "rejected" or (setter.outcome == "committed" and setter.at_index != read.at_index):
            yield f"{prefix} reads {read.value} of {read.at_index}; it was {setter.outcome} {setter.at_index}"


def proposals_are_applied_once(history: ConsensusHistory) -> Iterator[str]:
    """Yield reads whose `times_set` differs from the committed sets; sets of unknown outcome may count or not."""
    for key in history.keys():
        sets = [one for one in history.requests if one.operation == "set" and one.key == key]
        for read in history.answered_reads():
            if read.key != key:
                continue
            committed = sum(one.outcome == "committed" and one.at_index <= read.up_to_index for one in sets)
            unknown = sum(one.outcome == "unknown" and one.began < read.ended for one in sets)
            if not committed <= read.times_set <= committed + unknown:
                yield (
                    f"{read.began:.3f} {read.member}: {key} was set {read.times_set} times, {committed} were "
                    f"committed, {unknown} may have been"
                )


def requests_succeed_after_faults(history: ConsensusHistory) -> Iterator[str]:
    """Yield requests after `settled_at` that were not committed."""
    late = [one for one in history.requests if one.began > history.settled_at]
    if history.settled_at < NEVER and not late:
        yield "no request was issued after the faults ended"
    for request in late:
        if request.outcome != "committed":
            yield f"{request.began:.2f} {request.member} {request.operation} {request.key}: {request.outcome}"


def leader_changes_have_a_cause(history: ConsensusHistory) -> Iterator[str]:
    """Yield leaders that took over without a disturbance in the last `CAUSE_S` seconds."""
    first: dict[int, Observation] = {}
    for seen in history.observations:
        if seen.role == "leader":
            first.setdefault(seen.term, seen)
    for seen in first.values():
        if not any(0 <= seen.at - disturbance <= CAUSE_S for disturbance in (0.0, *history.disturbances)):
            yield f"{seen.at:.2f} {seen.member} became leader in term {seen.term} without a preceding disturbance"


INVARIANTS: tuple[Callable[[ConsensusHistory], Iterator[str]], ...] = (
    one_leader_per_term,
    equal_logs_up_to_equal_index,
    applied_index_and_term_never_decrease,
    one_proposal_per_index,
    requests_are_linearizable,
    reads_return_set_values,
    proposals_are_applied_once,
    requests_succeed_after_faults,
    leader_changes_have_a_cause,
)


def violations(history: ConsensusHistory) -> dict[str, list[str]]:
    """Return the violations of each violated invariant, by the name of the invariant."""
    found = {invariant.__name__: list(invariant(history)) for invariant in INVARIANTS}
    return {name: lines[:MAX_REPORTED] for name, lines in found.items() if lines}
