"""Runs that the cores survive: warm-up, runs at calls, runs that wait for disk."""

from __future__ import annotations

from dataclasses import replace

import pytest

from chutepin import decision
from chutepin.decision import Outcome, Settings
from chutepin.decision.job import State
from tests.decision_helper import CALLING, PLAIN, VIEW, ids_of, new_request, started


def test_ceiling_of_the_limit_rises_with_the_warm_up() -> None:
    policy = started(replace(PLAIN, warming_up=True, initial_speed=0.2, warm_up_time=10.0))
    cold = policy.server.run_limit.ceiling
    policy.handle(20.0, [decision.TimerFired(0)])
    assert policy.server.run_limit.ceiling > 2 * cold


def test_run_at_a_call_releases_its_permit_and_retakes_it_over_the_limit() -> None:
    policy = started(replace(PLAIN, cores=1, has_dependency=True))
    assert ids_of(policy.handle(0.0, [new_request("a"), new_request("b")]), decision.Run) == ["a"]
    assert ids_of(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Run) == ["b"]
    policy.handle(0.2, [decision.CallReturned("a", Outcome.OK, 0.1), new_request("c")])
    assert policy.snapshot().running == 2 and policy.snapshot().queued == 1
    assert ids_of(policy.handle(0.45, [decision.Finished("a", Outcome.OK)]), decision.Run) == []


def test_reading_takes_permits_above_one_run_for_each_core() -> None:
    policy = started(replace(PLAIN, gauges=("on_cores",)))
    policy.server.run_limit.limit = 4
    for _ in range(40):
        policy.handle(0.0, [decision.TimerFired(0, (3.0,))])
    assert ids_of(policy.handle(0.0, [new_request("a"), new_request("b"), new_request("c")]), decision.Run) == [
        "a",
        "b",
    ]


@pytest.mark.parametrize(
    "settings",
    [
        replace(
            PLAIN,
            classes=(VIEW, CALLING),
            max_running_per_core=6.0,
            has_dependency=True,
            max_calls=1e3,
            cancellation=decision.Cancellation.UNSUPPORTED,
        ),
        replace(
            PLAIN,
            classes=(VIEW, CALLING),
            max_running_per_core=6.0,
            has_dependency=True,
            max_calls=1e3,
            cancellation=decision.Cancellation.UNSUPPORTED,
            warming_up=True,
            initial_speed=0.5,
            warm_up_time=1000.0,
        ),
        replace(PLAIN, classes=(VIEW, CALLING), max_running_per_core=1.0, has_dependency=True, max_calls=1000.0),
    ],
)
@pytest.mark.parametrize("on_core_share", [1.0, 0.0])
def test_running_count_stays_survivable_when_every_call_returns_at_once(
    settings: Settings, on_core_share: float
) -> None:
    """Runs under the limit all go to calls, others take their permits, then all come back.

    Also where no run seemed to want a core just before."""
    policy = started(settings)
    policy.server.core_gauges.on_core_share = on_core_share
    policy.server.run_limit.set_ceiling(policy.server.core_capacity.limit_ceiling(policy.server.now))
    policy.server.run_limit.limit = policy.server.run_limit.ceiling
    policy.handle(0.0, [new_request(f"c{at}", cls="calling", hint=0.01) for at in range(40)])
    for _ in range(20):
        running = [job.id for job in policy.server.requests.jobs.values() if job.state is State.RUNNING]
        policy.handle(0.0, [decision.CallNeeded(name) for name in running if name.startswith("c")])
    policy.handle(0.0, [new_request(f"v{at}", hint=0.01) for at in range(40)])
    calling = [job.id for job in policy.server.requests.jobs.values() if job.state is State.CALLING]
    policy.handle(0.0, [decision.CallReturned(name, Outcome.OK, 0.1) for name in calling])
    warm = settings.initial_speed if settings.warming_up else 1.0
    assert (
        policy.snapshot().times_limited
        and policy.server.requests.running <= (1 + (settings.max_running_per_core - 1) * warm) * settings.cores
    )


def test_runs_at_calls_may_fill_what_the_limit_leaves_of_the_capacity() -> None:
    """Else cores idle and requests wait while runs wait for calls, though all fit."""
    settings = replace(PLAIN, classes=(CALLING,), cores=4, has_dependency=True, max_running_per_core=8.0)
    policy = started(settings)
    runs: list[str] = []
    for index in range(40):
        actions = policy.handle(0.001 * index, [new_request(f"r{index}", cls=CALLING.name)])
        for id in ids_of(actions, decision.Run):
            runs.append(id)
            actions += policy.handle(0.001 * index, [decision.CallNeeded(id)])
    assert (
        int(policy.server.core_capacity.survivable_runs(policy.server.now)) - policy.server.run_limit.limit
        <= policy.server.requests.at_calls
        <= policy.server.core_capacity.survivable_runs(policy.server.now)
    )


SLOW_OBJECTIVE = replace(VIEW, latency_objective=100.0, deadline=200.0)


DISK = replace(PLAIN, classes=(SLOW_OBJECTIVE,), cores=4, max_running_per_core=2.0, gauges=("core_use", "on_cores"))


def most_runs(settings: Settings, on_core: float) -> int:
    """Runs at once on idle cores, when this share of them wants a core."""
    policy = started(settings)
    policy.handle(0.0, [new_request(f"r{index}", due=200.0, hint=0.5) for index in range(40)])
    for step in range(1, 100):
        policy.handle(
            0.05 * step,
            [decision.TimerFired(policy.server.timers.token, (0.2, on_core * policy.server.requests.running))],
        )
    return policy.server.requests.running


def test_runs_that_wait_for_disk_make_room_for_others_up_to_the_configured_number() -> None:
    """Counted as if each had a core they would leave cores idle while requests are rejected."""
    told = int(DISK.max_running_per_core * DISK.cores)
    assert most_runs(DISK, on_core=1.0) < most_runs(DISK, on_core=0.5) <= told
    assert most_runs(DISK, on_core=0.0) <= told


def test_cold_server_keeps_the_margin_though_its_runs_wait_for_disk() -> None:
    cold = replace(DISK, warming_up=True, initial_speed=0.5, warm_up_time=1000.0)
    assert most_runs(cold, on_core=0.5) == most_runs(cold, on_core=1.0)


def test_room_for_others_is_gone_as_soon_as_runs_want_their_cores() -> None:
    policy = started(DISK)
    policy.server.core_gauges.on_core_share, policy.server.requests.running = 0.1, 4
    wide = policy.server.core_capacity.total(policy.server.now)
    for _ in range(4):
        policy.handle(0.0, [decision.TimerFired(policy.server.timers.token, (1.0, 4.0))])
    assert wide == DISK.max_running_per_core * DISK.cores and policy.server.core_capacity.total(
        policy.server.now
    ) < 1.1 * policy.server.core_capacity.survivable_runs(policy.server.now)


@pytest.mark.parametrize("work", [0.1, 1.0, 3.0, 20.0])
@pytest.mark.parametrize("age", [0.0, 2.0, 9.9, 10.0, 50.0])
def test_runs_of_a_cold_server_are_expected_to_speed_up_as_it_warms(work: float, age: float) -> None:
    """Long runs would look hopeless at the present speed, and a cold server would reject nearly all."""
    policy = started(replace(PLAIN, warming_up=True, initial_speed=0.2, warm_up_time=10.0))
    policy.server.now = age
    policy.server.progress.slowness = 1 / policy.server.warm_up.speed(policy.server.now)
    left, time, step = work, 0.0, 0.001
    while left > 0:
        left -= step * min(1.0, 0.2 + 0.8 * (age + time) / 10.0)
        time += step
    assert policy.server.warm_up.run_time(policy.server.now, work, policy.server.progress.slowness) == pytest.approx(
        time, rel=0.01, abs=0.01
    )
