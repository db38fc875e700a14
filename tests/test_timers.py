"""Multiplexing of all deadlines onto the host's single timer."""

from __future__ import annotations

from dataclasses import replace

from chutepin import decision
from chutepin.decision import Outcome
from chutepin.decision.timers import MIN_COMPACTED_TIMERS
from tests.decision_helper import PLAIN, ids_of, new_request, started


def test_one_timer_is_armed_for_several_deadlines() -> None:
    policy = started()
    actions = policy.handle(0.0, [new_request("a", 3.0), new_request("b", 2.0), new_request("c", 1.0)])
    assert len([a for a in actions if isinstance(a, decision.SetTimer)]) == 1


def test_waiting_calls_share_one_timer() -> None:
    """Guards against one timer per batch, which would set 148 timers a second on a server."""
    policy = started(replace(PLAIN, has_dependency=True, max_calls=0.1, max_calls_window=5.0))
    policy.handle(0.0, [new_request("a", 3.0), new_request("b", 3.0)])
    actions = policy.handle(0.1, [decision.CallNeeded("a"), decision.CallNeeded("b")])
    policy.server.progress.last_progress_at = 3.0  # no hang
    for step in range(1, 50):
        actions += policy.handle(0.1 + step / 100, [decision.TimerFired(0)])
    assert len(ids_of(actions, decision.SetTimer)) < 30 and len(policy.server.timers.heap) < 10


def test_deadlines_of_finished_requests_are_removed() -> None:
    policy = started()
    for index in range(5 * MIN_COMPACTED_TIMERS):
        policy.handle(0.0001 * index, [new_request(f"r{index}")])
        policy.handle(0.0001 * index, [decision.Finished(f"r{index}", Outcome.OK)])
    assert len(policy.server.timers.heap) <= MIN_COMPACTED_TIMERS + 10
