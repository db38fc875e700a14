"""Estimate of the time that a request spent on earlier attempts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from chutepin import decision
from chutepin.decision import Outcome
from chutepin.decision.attempt_ages import MAX_WAIT_SHARES
from chutepin.decision.idle_connections import MAX_CALLERS
from chutepin.decision.policy import Policy
from tests.decision_helper import PLAIN, new_request, started


def serve_first_attempts(policy: Policy, attempts: int) -> None:
    """Serve first attempts of different callers that wait 0.6 of the deadline."""
    for at in range(attempts):
        policy.handle(0.0, [new_request(f"f{at}", 2.4, caller=at)])
        policy.handle(0.0, [decision.Finished(f"f{at}", Outcome.ERROR)])


def test_attempt_with_a_common_wait_is_a_first_attempt_and_any_other_a_retry() -> None:
    """Guards against taking the longest wait for that of first attempts: it is a last attempt's, and every first
    attempt would seem to have spent time on earlier ones."""
    policy = started()
    serve_first_attempts(policy, 60)
    policy.handle(0.0, [new_request("last", 3.8), new_request("first", 2.4), new_request("left", 1.6)])
    assert policy.server.requests.jobs["first"].objective_at == pytest.approx(1.0)
    assert policy.server.requests.jobs["last"].objective_at == pytest.approx(0.8)
    assert "left" not in policy.server.requests.jobs or policy.server.requests.jobs["left"].objective_at < 0


def test_every_attempt_is_a_first_attempt_while_few_waits_are_known() -> None:
    policy = started()
    serve_first_attempts(policy, 5)
    policy.handle(0.0, [new_request("other", 2.9, caller=100)])
    assert policy.server.requests.jobs["other"].objective_at == pytest.approx(1.0)


def test_objective_is_not_after_the_attempts_due_time() -> None:
    policy = started()
    policy.handle(0.0, [new_request("a", 0.3)])
    assert policy.server.requests.jobs["a"].objective_at <= 0.3


@pytest.mark.parametrize(
    ("marks", "is_retry", "objective_at"),
    [(True, False, 1.0), (True, True, 0.8), (False, False, 0.8), (False, True, 0.8)],
)
def test_only_marked_retries_have_earlier_attempts_where_retries_are_marked(
    marks: bool, is_retry: bool, objective_at: float
) -> None:
    policy = started(replace(PLAIN, marks_retries=marks))
    serve_first_attempts(policy, 60)
    policy.handle(0.0, [replace(new_request("a", 3.8), is_retry=is_retry)])
    assert policy.server.requests.jobs["a"].objective_at == pytest.approx(objective_at)


def test_age_of_a_marked_retry_without_a_deadline_is_the_time_to_rejection() -> None:
    """Guards against retries taken for first attempts, which would be run and answered too late."""
    policy = started(replace(PLAIN, marks_retries=True))
    policy.server.class_statistics.time_to_rejection[0], policy.server.attempt_ages.retry_share = 0.3, 0.5
    policy.handle(
        0.0, [replace(new_request("retry"), due=None, is_retry=True), replace(new_request("first"), due=None)]
    )
    assert policy.server.requests.jobs["first"].objective_at == pytest.approx(1.0)
    assert policy.server.requests.jobs["retry"].objective_at == pytest.approx(0.7, abs=0.05)


def test_retry_mark_without_a_deadline_is_ignored_where_no_retry_was_recorded() -> None:
    policy = started()
    policy.server.class_statistics.time_to_rejection[0] = 0.3
    policy.handle(0.0, [replace(new_request("a"), due=None, is_retry=True)])
    assert policy.server.requests.jobs["a"].objective_at == pytest.approx(1.0)


def test_number_of_tracked_waits_and_callers_is_bounded() -> None:
    policy = started()
    for at in range(3000):
        policy.handle(at / 1000, [new_request(f"r{at}", at / 1000 + 0.5 + at / 1000, caller=at)])
    assert (
        len(policy.server.attempt_ages.wait_counts) <= MAX_WAIT_SHARES + 1
        and len(policy.server.idle_connections.last_request_at) <= MAX_CALLERS + 1
    )
