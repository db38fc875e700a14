"""Number of runs that the cores sustain: warm-up, runs in calls, runs that wait for disk."""

from __future__ import annotations

from dataclasses import replace

import pytest

from chutepin import decision
from chutepin.decision import Outcome, Settings
from chutepin.decision.job import RequestState
from tests.decision_helper import CALLING, PLAIN, VIEW, ids_of, new_request, started


def test_limit_ceiling_rises_during_warm_up() -> None:
    policy = started(replace(PLAIN, warming_up=True, initial_speed=0.2, warm_up_time=10.0))
    cold = policy.server.run_limit.ceiling
    policy.handle(20.0, [decision.TimerFired(0)])
    assert policy.server.run_limit.ceiling > 2 * cold


def test_run_in_a_call_releases_its_permit_and_resumes_above_the_limit() -> None:
    policy = started(replace(PLAIN, cores=1, has_dependency=True))
    assert ids_of(policy.handle(0.0, [new_request("a"), new_request("b")]), decision.Run) == ["a"]
    assert ids_of(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Run) == ["b"]
    policy.handle(0.2, [decision.CallReturned("a", Outcome.OK, 0.1), new_request("c")])
    assert policy.snapshot().running == 2 and policy.snapshot().queued == 1
    assert ids_of(policy.handle(0.45, [decision.Finished("a", Outcome.OK)]), decision.Run) == []


def test_reading_requests_takes_permits_but_leaves_one_run_per_core() -> None:
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
def test_running_count_stays_within_the_configured_number_when_all_calls_return_at_once(
    settings: Settings, on_core_share: float
) -> None:
    """All runs under the limit start calls, other requests take their permits, and then all calls return at once.

    With `on_core_share` 0, the gauge showed no run that needs a core before."""
    policy = started(settings)
    policy.server.core_gauges.on_core_share = on_core_share
    policy.server.run_limit.set_ceiling(policy.server.core_capacity.limit_ceiling(policy.server.now))
    policy.server.run_limit.limit = policy.server.run_limit.ceiling
    policy.handle(0.0, [new_request(f"c{at}", cls="calling", hint=0.01) for at in range(40)])
    for _ in range(20):
        running = [job.id for job in policy.server.requests.jobs.values() if job.state is RequestState.RUNNING]
        policy.handle(0.0, [decision.CallNeeded(name) for name in running if name.startswith("c")])
    policy.handle(0.0, [new_request(f"v{at}", hint=0.01) for at in range(40)])
    calling = [job.id for job in policy.server.requests.jobs.values() if job.state is RequestState.CALLING]
    policy.handle(0.0, [decision.CallReturned(name, Outcome.OK, 0.1) for name in calling])
    speed = settings.initial_speed if settings.warming_up else 1.0
    assert (
        policy.snapshot().times_limited
        and policy.server.requests.running <= (1 + (settings.max_running_per_core - 1) * speed) * settings.cores
    )


def test_runs_in_calls_may_use_all_capacity_above_the_limit() -> None:
    """Guards against idle cores and queued requests while runs wait for calls, although the capacity allows both."""
    settings = replace(PLAIN, classes=(CALLING,), cores=4, has_dependency=True, max_running_per_core=8.0)
    policy = started(settings)
    runs: list[str] = []
    for index in range(40):
        actions = policy.handle(0.001 * index, [new_request(f"r{index}", cls=CALLING.name)])
        for id in ids_of(actions, decision.Run):
            runs.append(id)
            actions += policy.handle(0.001 * index, [decision.CallNeeded(id)])
    assert (
        int(policy.server.core_capacity.safe_runs(policy.server.now)) - policy.server.run_limit.limit
        <= policy.server.requests.in_calls
        <= policy.server.core_capacity.safe_runs(policy.server.now)
    )


SLOW_OBJECTIVE = replace(VIEW, latency_objective=100.0, deadline=200.0)


DISK_WAITS = replace(
    PLAIN, classes=(SLOW_OBJECTIVE,), cores=4, max_running_per_core=2.0, gauges=("core_use", "on_cores")
)


def concurrent_runs(settings: Settings, on_core: float) -> int:
    """Return the number of concurrent runs on idle cores when a share `on_core` of them needs a core."""
    policy = started(settings)
    policy.handle(0.0, [new_request(f"r{index}", due=200.0, hint=0.5) for index in range(40)])
    for step in range(1, 100):
        policy.handle(
            0.05 * step,
            [decision.TimerFired(policy.server.timers.token, (0.2, on_core * policy.server.requests.running))],
        )
    return policy.server.requests.running


def test_disk_waits_admit_more_runs_up_to_the_configured_number() -> None:
    """Guards against idle cores and rejected requests, because runs that wait for disk count as if they used cores."""
    configured = int(DISK_WAITS.max_running_per_core * DISK_WAITS.cores)
    assert concurrent_runs(DISK_WAITS, on_core=1.0) < concurrent_runs(DISK_WAITS, on_core=0.5) <= configured
    assert concurrent_runs(DISK_WAITS, on_core=0.0) <= configured


def test_cold_server_keeps_its_safety_margin_while_runs_wait_for_disk() -> None:
    cold = replace(DISK_WAITS, warming_up=True, initial_speed=0.5, warm_up_time=1000.0)
    assert concurrent_runs(cold, on_core=0.5) == concurrent_runs(cold, on_core=1.0)


def test_capacity_falls_within_four_samples_when_runs_stop_waiting_for_disk() -> None:
    policy = started(DISK_WAITS)
    policy.server.core_gauges.on_core_share, policy.server.requests.running = 0.1, 4
    before = policy.server.core_capacity.total(policy.server.now)
    for _ in range(4):
        policy.handle(0.0, [decision.TimerFired(policy.server.timers.token, (1.0, 4.0))])
    assert before == DISK_WAITS.max_running_per_core * DISK_WAITS.cores and policy.server.core_capacity.total(
        policy.server.now
    ) < 1.1 * policy.server.core_capacity.safe_runs(policy.server.now)


@pytest.mark.parametrize("work", [0.1, 1.0, 3.0, 20.0])
@pytest.mark.parametrize("age", [0.0, 2.0, 9.9, 10.0, 50.0])
def test_expected_run_time_on_a_cold_server_includes_its_warm_up(work: float, age: float) -> None:
    """Guards against a cold server that rejects nearly all long runs, because at its current speed they end late."""
    policy = started(replace(PLAIN, warming_up=True, initial_speed=0.2, warm_up_time=10.0))
    policy.server.now = age
    policy.server.progress.slowness = 1 / policy.server.warm_up.speed(policy.server.now)
    remaining_work, time, step = work, 0.0, 0.001
    while remaining_work > 0:
        remaining_work -= step * min(1.0, 0.2 + 0.8 * (age + time) / 10.0)
        time += step
    assert policy.server.warm_up.run_time(policy.server.now, work, policy.server.progress.slowness) == pytest.approx(
        time, rel=0.01, abs=0.01
    )
