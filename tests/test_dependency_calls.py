"""Calls to the dependency."""

from __future__ import annotations

from dataclasses import replace

import pytest

from chutepin import decision
from chutepin.decision import Outcome
from tests.decision_helper import CALLING, PLAIN, VIEW, ids_of, new_request, started


@pytest.mark.parametrize(
    ("outcome", "again"),
    [(Outcome.BUSY, True), (Outcome.CONNECT_FAILED, True), (Outcome.TIMEOUT, False), (Outcome.RESET, False)],
)
def test_call_of_a_keyed_request_is_repeated_only_if_it_never_ran(outcome: Outcome, again: bool) -> None:
    policy = started(replace(PLAIN, has_dependency=True))
    policy.handle(0.0, [new_request("a", cls="pay")])
    assert ids_of(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Call) == ["a"]
    actions = policy.handle(0.2, [decision.CallReturned("a", outcome, 0.1)])
    actions += policy.handle(0.5, [decision.TimerFired(0)])
    assert bool(ids_of(actions, decision.Call)) is again and bool(ids_of(actions, decision.Fail)) is not again


def test_budget_under_one_call_still_makes_calls_within_it() -> None:
    policy = started(replace(PLAIN, has_dependency=True, max_calls=0.4, max_calls_window=5.0, abandoned_call_time=0.2))
    policy.handle(0.0, [new_request("a", 9.0), new_request("b", 9.0)])
    actions = policy.handle(0.1, [decision.CallNeeded("a"), decision.CallNeeded("b")])
    calls = [action for action in actions if isinstance(action, decision.Call)]
    assert calls and sum(call.timeout + 0.2 for call in calls) <= 0.4 * 5.0


@pytest.mark.parametrize("usual", [None, 8.0])
def test_calls_are_made_though_they_are_thought_to_take_longer_than_the_budget_allows(usual: float | None) -> None:
    """With long objectives the first guess is over what the budget allows, and nothing would show how long calls take.

    The same after calls that took long."""
    slow = replace(VIEW, name="slow", makes_calls=True, latency_objective=24.0, deadline=90.0)
    policy = started(
        replace(
            PLAIN, classes=(slow,), has_dependency=True, max_calls=0.66, max_calls_window=5.0, abandoned_call_time=0.2
        )
    )
    if usual is not None:
        policy.server.call_limit.average_time = usual
    made = 0
    for turn in range(20):
        now, id = turn * 20.0, f"r{turn}"  # the window is free each time
        policy.handle(now, [new_request(id, now + 60.0, cls="slow")])
        calls = [a for a in policy.handle(now + 0.1, [decision.CallNeeded(id)]) if isinstance(a, decision.Call)]
        assert sum(call.timeout + 0.2 for call in calls) <= 0.66 * 5.0
        made += len(calls)
        policy.handle(now + 0.4, [decision.CallReturned(call.id, Outcome.OK, 0.3) for call in calls])
        policy.handle(now + 0.5, [decision.Finished(id, Outcome.OK, 0.4)])
    assert made == 20


def test_full_dependency_holds_up_only_requests_with_calls() -> None:
    policy = started(replace(PLAIN, cores=1, classes=(VIEW, CALLING), has_dependency=True, max_calls=0.01))
    for name in "abcdefgh":
        for id in ids_of(policy.handle(0.0, [new_request(name, cls="calling", hint=0.01)]), decision.Run):
            policy.handle(0.0, [decision.CallNeeded(id)])
    assert policy.snapshot().running == 0 and policy.snapshot().queued > 0
    assert ids_of(policy.handle(0.0, [new_request("free")]), decision.Run) == ["free"]


def test_calls_are_made_for_the_highest_weight_first() -> None:
    dear = replace(CALLING, name="dear", priority_weight=5.0)
    policy = started(replace(PLAIN, classes=(CALLING, dear), has_dependency=True, max_calls=0.1, max_calls_window=5.0))
    policy.handle(0.0, [new_request("a", cls="calling"), new_request("b", cls="dear")])
    actions = policy.handle(0.1, [decision.CallNeeded("a"), decision.CallNeeded("b")])
    assert ids_of(actions, decision.Call)[:1] == ["b"]


@pytest.mark.parametrize(("late_worth", "answered"), [(0.0, True), (0.5, False)])
def test_request_whose_call_can_no_longer_end_in_time_is_failed_at_once(late_worth: float, answered: bool) -> None:
    classes = (replace(CALLING, late_weight=late_worth),)
    settings = replace(PLAIN, classes=classes, has_dependency=True, max_calls=1e-3)
    policy = started(settings)
    policy.handle(0.0, [new_request("a", cls="calling")])
    assert not ids_of(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Call)
    assert (ids_of(policy.handle(1.0, []), decision.Fail) == ["a"]) is answered


def test_slow_spell_of_the_dependency_is_unlearned() -> None:
    """If all were given up by what earlier calls took, no call would ever show that the dependency has recovered."""
    policy = started(replace(PLAIN, cores=4, classes=(CALLING,), has_dependency=True))
    policy.server.call_limit.average_time = 5.0
    for name in "ab":
        policy.handle(0.0, [new_request(name, cls="calling")])
    assert ids_of(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Call) == ["a"]
    assert ids_of(policy.handle(0.1, [decision.CallNeeded("b")]), decision.Fail) == ["b"]  # one at a time finds out
    policy.handle(0.2, [decision.CallReturned("a", decision.Outcome.OK, 0.1)])
    assert policy.server.call_limit.average_time < 5.0


def test_call_needed_after_the_objective_fails_the_request_in_the_same_batch() -> None:
    policy = started(replace(PLAIN, classes=(CALLING,), has_dependency=True))
    policy.handle(0.0, [new_request("a", cls="calling")])
    policy.server.progress.last_progress_at = 1.5  # no hang
    assert ids_of(policy.handle(1.5, [decision.CallNeeded("a")]), decision.Fail) == ["a"]


def test_calls_are_not_limited_where_the_dependency_has_no_shares() -> None:
    """A limit would shrink on the long tail of sound calls, and runs would wait for calls while cores idle."""
    settings = replace(PLAIN, classes=(CALLING,), cores=4, has_dependency=True, max_running_per_core=8.0)
    policy = started(settings)
    made: list[decision.Action] = []
    for index in range(6):  # an adaptive limit starts at the four cores
        policy.handle(0.01 * index, [new_request(f"r{index}", cls=CALLING.name)])
        made += policy.handle(0.01 * index, [decision.CallNeeded(f"r{index}")])
    assert ids_of(made, decision.Call) == [f"r{index}" for index in range(6)]
