"""Hang detection, process pauses, and the value announced to callers."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import replace

import pytest

from chutepin import decision
from chutepin.decision import LoadSignal, Outcome
from chutepin.decision.announcement import MIN_ANNOUNCED_SHARE
from chutepin.decision.policy import Policy
from tests.decision_helper import PLAIN, ids_of, new_request, started


def test_announced_share_does_not_fall_below_its_minimum() -> None:
    policy = started(replace(PLAIN, signal=LoadSignal.WEIGHT))
    for at in range(200):
        policy.server.progress.last_progress_at = at / 10  # no hang
        policy.handle(at / 10, [new_request(f"r{at}-{i}", at / 10 + 4.0) for i in range(5)])
    assert policy.server.announcement.value >= MIN_ANNOUNCED_SHARE - 1e-9
    assert policy.server.rejections.by_reason


def test_abandoned_runs_raise_the_slowness() -> None:
    """Guards against a low slowness estimate on a server so slow that all runs fail at their deadlines."""
    policy = started()
    for at in range(6):
        policy.handle(4.0 * at, [new_request(f"r{at}", 4.0 * at + 3.9)])
        policy.server.progress.last_progress_at = 4.0 * at + 3.0  # no hang
        policy.handle(4.0 * at + 3.9, [decision.TimerFired(0)])
        policy.handle(4.0 * at + 3.95, [decision.Finished(f"r{at}", Outcome.CANCELLED)])
    policy.handle(24.0, [decision.TimerFired(0)])
    assert policy.server.run_limit.average_time_per_work == 1.0 and policy.server.progress.slowness > 3.0


def test_hang_rejects_requests_with_a_retry_elsewhere_and_ends_with_the_first_finished_run() -> None:
    policy = started(replace(PLAIN, signal=LoadSignal.WEIGHT, max_retry_after=1.0))
    policy.handle(0.0, [new_request("a", 30.0), new_request("b", 30.0), new_request("c", 30.0)])
    actions = policy.handle(10.0, [decision.TimerFired(0)])
    assert policy.snapshot().state == "hung" and policy.server.announcement.value == 0
    assert decision.SetHealth(False) in actions and "a" in ids_of(actions, decision.Reject)
    actions = policy.handle(11.0, [new_request("d", 15.0)])
    assert any(isinstance(a, decision.Reject) and a.retry_after > 0 and not a.no_other_node for a in actions)
    assert decision.SetHealth(True) in policy.handle(12.0, [decision.Finished("a", Outcome.OK)])


# Guards against an announced 0 that is never withdrawn: callers then send nothing, so no event triggers another value.
@pytest.mark.parametrize("signal", [LoadSignal.CREDIT, LoadSignal.WEIGHT, LoadSignal.LEVEL], ids=lambda s: s.value)
def test_end_of_a_hang_is_announced_without_pending_work_or_timers(signal: LoadSignal) -> None:
    policy = started(replace(PLAIN, signal=signal))
    policy.handle(0.0, [new_request("a", 30.0)])
    policy.handle(10.0, [decision.TimerFired(0)])
    assert policy.snapshot().state == "hung"
    suspended = policy.server.announcement.value
    due = policy.server.timers.armed_for
    # The timer fires late: an arrival runs the control loop first, then the last run ends, and then the timer fires.
    Policy.handle(policy, due + 0.01, [new_request("b", 30.0)])
    actions = Policy.handle(policy, due + 0.015, [decision.Finished("a", Outcome.OK)])
    actions += Policy.handle(policy, due + 0.02, [decision.TimerFired(policy.server.timers.token)])
    assert policy.snapshot().state == "serving"
    assert policy.server.timers.armed_for == math.inf  # no further event will occur
    assert policy.server.announcement.value != suspended
    assert any(isinstance(action, decision.Announce) for action in actions)


def test_hang_is_detected_by_timers_alone() -> None:
    policy = started()
    policy.handle(0.0, [new_request("a", 30.0)])
    actions: list[decision.Action] = []
    while policy.server.timers.armed_for < 20.0:
        actions += policy.handle(policy.server.timers.armed_for, [decision.TimerFired(policy.server.timers.token)])
    assert decision.SetHealth(False) in actions


def test_no_hang_is_detected_while_requests_wait_long_to_be_read() -> None:
    """Reading then occupies the cores, which makes runs slow."""
    policy = started()
    policy.handle(0.0, [new_request("a", 30.0)])
    policy.server.unread_wait.average = 5.0
    policy.handle(10.0, [decision.TimerFired(0)])
    assert policy.snapshot().state == "serving"


def test_process_pause_neither_halves_the_limit_nor_counts_as_a_hang() -> None:
    """A pause is excluded from run times, from unread waits and from the time without progress."""
    policy = Policy(PLAIN, 1)
    policy.start(0.0)
    policy.server.run_limit.limit = 8
    policy.handle(0.0, [new_request("a", 9.0)])
    policy.handle(0.1, [decision.TimerFired(policy.server.timers.token)])
    actions = policy.handle(
        5.3,
        [
            decision.TimerFired(policy.server.timers.token),
            new_request("b", 9.0, unread=4.0),
            decision.Finished("a", Outcome.OK),
        ],
    )
    assert (
        policy.server.run_limit.limit == 8
        and policy.server.run_limit.average_time < 0.3
        and policy.server.unread_wait.average < 0.01
    )
    assert decision.SetHealth(False) not in actions


def test_late_timer_counts_as_one_pause() -> None:
    policy = Policy(PLAIN, 1)
    policy.start(0.0)
    policy.handle(0.0, [new_request("a", 9.0)])
    for _ in range(5):
        policy.handle(3.1, [decision.CallerDisconnected("b")])
    assert (
        policy.server.requests.jobs["a"].run_started_at == pytest.approx(3.0)
        and policy.server.requests.jobs["a"].call_wait == 0
    )


def test_credit_of_all_callers_covers_all_cores() -> None:
    policy = started(replace(PLAIN, signal=LoadSignal.CREDIT, callers=2))
    assert policy.server.announcement.value * 2 >= PLAIN.cores


def test_credit_is_sized_for_the_busiest_caller() -> None:
    """Guards against equal parts of the credit, with which idle servers would limit the busiest caller."""
    settings = replace(PLAIN, signal=LoadSignal.CREDIT, callers=10)

    def announced(callers: Sequence[int]) -> float:
        policy = started(settings)
        for index, caller in enumerate(callers):
            policy.handle(0.01 * (index + 1), [new_request(f"r{index}", caller=caller)])
            policy.handle(0.01 * (index + 1), [decision.Finished(f"r{index}", Outcome.OK, 0.0)])
        policy.handle(0.5, [])
        return policy.server.announcement.value

    assert announced([1] * 9 + [2]) > 5 * announced(list(range(10))) > 0


def test_busiest_share_stays_high_where_callers_reconnect_under_new_numbers() -> None:
    def busiest_share(generations: int) -> float:
        policy = started(replace(PLAIN, cores=8, signal=LoadSignal.CREDIT, callers=8))
        for step in range(1600):
            at = step * 0.01
            caller = (0 if step % 2 else 1 + step % 14) + 100 * (int(at / 2.5) % generations)
            policy.handle(at, [new_request(f"r{step}", at + 4.0, caller=caller)])
            policy.handle(at + 0.005, [decision.Finished(f"r{step}", Outcome.OK)])
        return policy.server.caller_traffic.busiest_share(policy.server.now)

    assert busiest_share(1) == pytest.approx(0.5, rel=0.1)
    assert busiest_share(100) > 0.3  # below 0.15 if averaged over the same time as long-lived callers


def test_idle_cores_raise_limit_and_credit() -> None:
    settings = replace(
        PLAIN, cores=8, max_running_per_core=12.0, signal=LoadSignal.CREDIT, callers=2, gauges=("core_use",)
    )

    def limit_and_credit(use: float) -> tuple[int, float]:
        policy = started(settings)
        policy.handle(0.0, [new_request(f"r{index}", hint=0.5) for index in range(12)])
        for step in range(1, 20):
            policy.handle(0.05 * step, [decision.TimerFired(policy.server.timers.token, (use,))])
        return policy.server.run_limit.limit, policy.server.announcement.value

    busy, idle = limit_and_credit(1.0), limit_and_credit(0.4)
    assert busy[0] == 8 and idle[0] >= 10 and idle[1] > 1.2 * busy[1]
