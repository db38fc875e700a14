"""AIMD concurrency limit: growth, halving, floor and ceiling."""

from __future__ import annotations

from dataclasses import replace

from chutepin import decision
from chutepin.decision import Outcome
from chutepin.decision.aimd_limit import AimdLimit
from tests.decision_helper import PLAIN, ids_of, new_request, started


def test_limit_halves_on_a_slow_run_and_grows_to_one_above_use() -> None:
    limit = AimdLimit(2, 20, 1.0, 0.1)
    limit.limit = 9
    limit.record_success(1.0, 9.0, 1.0, 9, False)
    assert limit.limit == 5
    limit.record_success(20.0, 0.5, 1.0, 3, False)
    assert limit.limit == 4


def test_limit_changes_at_most_once_per_average_run_time() -> None:
    limit = AimdLimit(1, 20, 1.0, 1.0)
    limit.record_success(1.0, 0.5, 1.0, 1, False)
    limit.record_success(1.1, 0.5, 1.0, 9, False)
    assert limit.limit == 2


def test_limit_stays_between_floor_and_ceiling() -> None:
    limit = AimdLimit(2, 3, 1.0, 0.1)
    for at in range(10):
        limit.record_success(float(10 * at), 0.1, 1.0, 10, False)
    assert limit.limit == 3
    limit.record_success(200.0, 0.1, 1.0, 3, True)
    limit.record_success(300.0, 0.1, 1.0, 3, True)
    assert limit.limit == 2


def test_failed_runs_do_not_change_the_average_run_time() -> None:
    policy = started()
    before = policy.server.run_limit.average_time_per_work
    for at in range(20):
        policy.handle(float(at), [new_request(f"r{at}", at + 4.0)])
        policy.handle(at + 0.001, [decision.Finished(f"r{at}", Outcome.ERROR)])
    assert policy.server.run_limit.average_time_per_work == before


def test_long_unread_wait_is_back_pressure_and_halves_the_limit() -> None:
    policy = started()
    policy.server.run_limit.limit = 8
    policy.handle(0.0, [new_request("a", unread=0.9)])
    policy.server.unread_wait.average = 5.0
    policy.handle(0.1, [decision.Finished("a", Outcome.OK)])
    assert policy.server.run_limit.limit == 4


def test_limit_grows_at_once_while_cores_are_idle_and_requests_are_queued() -> None:
    policy = started(replace(PLAIN, cores=1, gauges=("core_use",)))
    policy.handle(0.0, [new_request("a"), new_request("b")])
    assert ids_of(policy.handle(0.01, [decision.TimerFired(1, (0.1,))]), decision.Run) == ["b"]


def test_limit_does_not_grow_on_full_cores_and_the_gauge_raises_it_once_per_window() -> None:
    limit = AimdLimit(2, 20, 1.0, 0.1)
    limit.record_success(1.0, 0.5, 1.0, 2, False, cores_full=True)
    assert limit.limit == 2
    policy = started(replace(PLAIN, gauges=("core_use",)))
    policy.handle(0.0, [new_request(f"r{at}", hint=0.01) for at in range(9)])
    for at in range(1, 10):
        policy.handle(at * 0.01, [decision.TimerFired(1, (0.1,))])
    assert policy.server.run_limit.limit == 3


def test_limit_does_not_shrink_while_cores_are_idle() -> None:
    """Guards against a limit that stays at its floor on half idle cores: every third run exceeds the average."""
    limit = AimdLimit(2, 20, 1.0, 0.1)
    limit.limit = 9
    limit.record_success(1.0, 9.0, 1.0, 9, True, cores_idle=True)
    assert limit.limit == 9
    policy = started(replace(PLAIN, gauges=("core_use",)))
    policy.server.run_limit.limit = 9
    for at, use, expected_limit in ((1.0, 0.5, 9), (10.0, 1.0, 5)):
        policy.handle(at, [new_request(f"r{at}", at + 4.0), decision.TimerFired(policy.server.timers.token, (use,))])
        policy.handle(
            at + 3.0, [decision.TimerFired(policy.server.timers.token, (use,)), decision.Finished(f"r{at}", Outcome.OK)]
        )
        assert policy.server.run_limit.limit == expected_limit
