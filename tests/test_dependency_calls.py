"""Start, retry and failure of calls to the dependency."""

from __future__ import annotations

from dataclasses import replace

import pytest

from chutepin import decision
from chutepin.decision import Outcome
from tests.decision_helper import CALLING, PLAIN, VIEW, ids_of, new_request, started


@pytest.mark.parametrize(
    ("outcome", "repeated"),
    [(Outcome.BUSY, True), (Outcome.CONNECT_FAILED, True), (Outcome.TIMEOUT, False), (Outcome.RESET, False)],
)
def test_call_of_a_keyed_request_is_repeated_only_if_it_had_no_effect(outcome: Outcome, repeated: bool) -> None:
    policy = started(replace(PLAIN, has_dependency=True))
    policy.handle(0.0, [new_request("a", cls="pay")])
    assert ids_of(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Call) == ["a"]
    actions = policy.handle(0.2, [decision.CallReturned("a", outcome, 0.1)])
    actions += policy.handle(0.5, [decision.TimerFired(0)])
    assert bool(ids_of(actions, decision.Call)) is repeated and bool(ids_of(actions, decision.Fail)) is not repeated


def test_budget_below_one_concurrent_call_still_allows_calls() -> None:
    policy = started(replace(PLAIN, has_dependency=True, max_calls=0.4, max_calls_window=5.0, abandoned_call_time=0.2))
    policy.handle(0.0, [new_request("a", 9.0), new_request("b", 9.0)])
    actions = policy.handle(0.1, [decision.CallNeeded("a"), decision.CallNeeded("b")])
    calls = [action for action in actions if isinstance(action, decision.Call)]
    assert calls and sum(call.timeout + 0.2 for call in calls) <= 0.4 * 5.0


@pytest.mark.parametrize("average_time", [None, 8.0])
def test_calls_are_made_where_their_expected_time_exceeds_the_budget(average_time: float | None) -> None:
    """Guards against a server that makes no call and so never measures call times.

    With a long latency objective, the first estimate of the call time exceeds what the budget allows (None); after
    slow calls the average does (8 s)."""
    slow = replace(VIEW, name="slow", makes_calls=True, latency_objective=24.0, deadline=90.0)
    policy = started(
        replace(
            PLAIN, classes=(slow,), has_dependency=True, max_calls=0.66, max_calls_window=5.0, abandoned_call_time=0.2
        )
    )
    if average_time is not None:
        policy.server.call_limit.average_time = average_time
    made = 0
    for turn in range(20):
        now, id = turn * 20.0, f"r{turn}"  # the window holds no earlier call
        policy.handle(now, [new_request(id, now + 60.0, cls="slow")])
        calls = [a for a in policy.handle(now + 0.1, [decision.CallNeeded(id)]) if isinstance(a, decision.Call)]
        assert sum(call.timeout + 0.2 for call in calls) <= 0.66 * 5.0
        made += len(calls)
        policy.handle(now + 0.4, [decision.CallReturned(call.id, Outcome.OK, 0.3) for call in calls])
        policy.handle(now + 0.5, [decision.Finished(id, Outcome.OK, 0.4)])
    assert made == 20


def test_requests_without_calls_run_while_the_dependency_is_full() -> None:
    policy = started(replace(PLAIN, cores=1, classes=(VIEW, CALLING), has_dependency=True, max_calls=0.01))
    for name in "abcdefgh":
        for id in ids_of(policy.handle(0.0, [new_request(name, cls="calling", hint=0.01)]), decision.Run):
            policy.handle(0.0, [decision.CallNeeded(id)])
    assert policy.snapshot().running == 0 and policy.snapshot().queued > 0
    assert ids_of(policy.handle(0.0, [new_request("free")]), decision.Run) == ["free"]


def test_call_of_the_request_with_the_highest_weight_is_made_first() -> None:
    high = replace(CALLING, name="high", priority_weight=5.0)
    policy = started(replace(PLAIN, classes=(CALLING, high), has_dependency=True, max_calls=0.1, max_calls_window=5.0))
    policy.handle(0.0, [new_request("a", cls="calling"), new_request("b", cls="high")])
    actions = policy.handle(0.1, [decision.CallNeeded("a"), decision.CallNeeded("b")])
    assert ids_of(actions, decision.Call)[:1] == ["b"]


@pytest.mark.parametrize(("late_weight", "answered"), [(0.0, True), (0.5, False)])
def test_request_whose_call_can_no_longer_end_in_time_fails_at_once(late_weight: float, answered: bool) -> None:
    classes = (replace(CALLING, late_weight=late_weight),)
    settings = replace(PLAIN, classes=classes, has_dependency=True, max_calls=1e-3)
    policy = started(settings)
    policy.handle(0.0, [new_request("a", cls="calling")])
    assert not ids_of(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Call)
    assert (ids_of(policy.handle(1.0, []), decision.Fail) == ["a"]) is answered


def test_average_call_time_falls_after_the_dependency_recovers() -> None:
    """Guards against giving up all calls because of earlier slow ones: no call would measure the recovery."""
    policy = started(replace(PLAIN, cores=4, classes=(CALLING,), has_dependency=True))
    policy.server.call_limit.average_time = 5.0
    for name in "ab":
        policy.handle(0.0, [new_request(name, cls="calling")])
    assert ids_of(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Call) == ["a"]
    assert ids_of(policy.handle(0.1, [decision.CallNeeded("b")]), decision.Fail) == ["b"]  # one call at a time
    policy.handle(0.2, [decision.CallReturned("a", decision.Outcome.OK, 0.1)])
    assert policy.server.call_limit.average_time < 5.0


def test_call_needed_after_the_objective_fails_the_request_in_the_same_batch() -> None:
    policy = started(replace(PLAIN, classes=(CALLING,), has_dependency=True))
    policy.handle(0.0, [new_request("a", cls="calling")])
    policy.server.progress.last_progress_at = 1.5  # no hang
    assert ids_of(policy.handle(1.5, [decision.CallNeeded("a")]), decision.Fail) == ["a"]


def test_calls_are_not_limited_where_the_dependency_has_no_shares() -> None:
    """Guards against a limit that shrinks on the long tail of normal call times: runs would wait while cores idle."""
    settings = replace(PLAIN, classes=(CALLING,), cores=4, has_dependency=True, max_running_per_core=8.0)
    policy = started(settings)
    actions: list[decision.Action] = []
    for index in range(6):  # an adaptive limit would start at 4, the number of cores
        policy.handle(0.01 * index, [new_request(f"r{index}", cls=CALLING.name)])
        actions += policy.handle(0.01 * index, [decision.CallNeeded(f"r{index}")])
    assert ids_of(actions, decision.Call) == [f"r{index}" for index in range(6)]
