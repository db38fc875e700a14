"""Queue order, rejection of queued requests, and repeats of requests."""

from __future__ import annotations

from dataclasses import replace

import pytest

from chutepin import decision
from chutepin.decision import Idempotency, Outcome, RequestClass
from tests.decision_helper import PLAIN, VIEW, ids_of, new_request, started


def test_idle_server_runs_a_request_expected_to_miss_its_objective() -> None:
    """Guards against a server with a high slowness estimate that runs nothing and so never measures a lower one."""
    policy = started()
    policy.server.run_limit.average_time_per_work = policy.server.progress.slowness = 1000.0
    assert ids_of(policy.handle(0.0, [new_request("a")]), decision.Run) == ["a"]


def test_repeat_that_arrived_before_its_original_shares_the_result() -> None:
    policy = started(replace(PLAIN, cores=1))
    policy.handle(1.0, [new_request("run"), new_request("a", 5.0, "pay")])
    actions = policy.handle(1.1, [new_request("b", 5.0, "pay", unread=0.4, repeats="a")])
    assert ids_of(actions, decision.ShareResult) == ["b"] and not ids_of(actions, decision.Reject)


def test_queued_request_with_the_highest_weight_per_work_starts_first() -> None:
    high_weight = RequestClass("high-weight", Idempotency.IDEMPOTENT, 5.0, 1.0, 4.0)
    policy = started(replace(PLAIN, classes=(VIEW, high_weight), cores=1))
    policy.handle(0.0, [new_request("a")])
    policy.handle(0.0, [new_request("low"), new_request("high", cls="high-weight")])
    assert ids_of(policy.handle(0.3, [decision.Finished("a", Outcome.OK)]), decision.Run) == ["high"]


def test_newer_keyed_attempt_replaces_one_that_never_ran() -> None:
    policy = started(replace(PLAIN, cores=1))
    policy.handle(0.0, [new_request("run"), new_request("a", 4.0, "pay")])
    actions = policy.handle(0.1, [new_request("b", 4.1, "pay", repeats="a")])
    assert ids_of(actions, decision.KeepKey) == ["b"] and ids_of(actions, decision.Reject) == ["a"]
    assert ids_of(policy.handle(0.2, [decision.Finished("run", Outcome.OK)]), decision.Run) == ["b"]


def test_queued_request_is_rejected_at_its_latest_start() -> None:
    policy = started(replace(PLAIN, cores=1))
    policy.handle(0.0, [new_request("run"), new_request("a")])
    latest_start = policy.server.requests.jobs["a"].objective_at - policy.server.expected_time(
        policy.server.requests.jobs["a"]
    )
    assert not ids_of(policy.handle(latest_start - 0.01, []), decision.Reject)
    assert ids_of(policy.handle(latest_start + 0.001, []), decision.Reject) == ["a"]


def test_rejection_has_a_retry_after_only_where_other_servers_are_full() -> None:
    """Guards against a Retry-After in every rejection, with which clients wait while other servers have capacity."""
    for share, advised in ((0.0, False), (0.9, True)):
        policy = started(replace(PLAIN, max_retry_after=1.0, cores=1))
        policy.server.rejections.share, policy.server.announcement.excess_backlog = share, 0.4
        actions = policy.handle(0.0, [new_request("run"), new_request("big", hint=50.0)])
        retry_after = [a.retry_after for a in actions if isinstance(a, decision.Reject)]
        assert retry_after and (retry_after == [pytest.approx(0.4)]) is advised
