"""Each part of the mechanism, and each failure found on the bench, without the bench."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

import pytest

from chutepin import decision
from chutepin.decision import Idempotency, LoadSignal, Outcome, RequestClass, Settings, Tenant
from chutepin.decision.aimd_limit import AimdLimit
from chutepin.decision.announcement import MIN_ANNOUNCED_SHARE
from chutepin.decision.attempt_ages import MAX_WAIT_SHARES
from chutepin.decision.idle_connections import MAX_CALLERS, SHORT_IDLE_TIMEOUT_S
from chutepin.decision.job import State
from chutepin.decision.policy import Policy
from chutepin.decision.timers import MIN_COMPACTED_TIMERS

VIEW = RequestClass("view", Idempotency.IDEMPOTENT, 1.0, 1.0, 4.0)
PAY = RequestClass("pay", Idempotency.KEYED, 1.0, 1.0, 4.0, window=5.0)
PLAIN = Settings(
    classes=(VIEW, PAY), cores=2, memory=100_000.0, cancellation=decision.Cancellation.DISCARDS_WORK, answer_slack=0.05
)


class Punctual(Policy):
    """A host that fires each timer on time before it brings anything later."""

    def handle(self, now: float, events: Sequence[decision.Event]) -> list[decision.Action]:
        actions: list[decision.Action] = []
        while self.server.timers.armed_for < now:
            actions += super().handle(self.server.timers.armed_for, [decision.TimerFired(self.server.timers.token)])
        return actions + super().handle(now, events)


def started(settings: Settings = PLAIN, now: float = 0.0) -> Policy:
    policy = Punctual(settings, 1)
    policy.start(now)
    return policy


def req(
    name: str,
    due: float = 4.0,
    cls: str = "view",
    hint: float | None = 0.2,
    unread: float = 0.0,
    repeats: str | None = None,
    tenant: str | None = None,
    caller: int = 0,
) -> decision.Request:
    return decision.Request(name, cls, unread, 10.0, tenant, None, due, hint, 0.5, caller, repeats)


def ids(actions: list[decision.Action], kind: type) -> list[str]:
    return [str(getattr(action, "id", "")) for action in actions if isinstance(action, kind)]


# --- the limit ---


def test_limit_halves_on_a_slow_run_and_grows_to_one_above_use() -> None:
    limit = AimdLimit(2, 20, 1.0, 0.1)
    limit.limit = 9
    limit.record_success(1.0, 9.0, 1.0, 9, False)
    assert limit.limit == 5
    limit.record_success(20.0, 0.5, 1.0, 3, False)
    assert limit.limit == 4


def test_limit_moves_once_per_average_run() -> None:
    limit = AimdLimit(1, 20, 1.0, 1.0)
    limit.record_success(1.0, 0.5, 1.0, 1, False)
    limit.record_success(1.1, 0.5, 1.0, 9, False)
    assert limit.limit == 2


def test_limit_keeps_floor_and_ceiling() -> None:
    limit = AimdLimit(2, 3, 1.0, 0.1)
    for at in range(10):
        limit.record_success(float(10 * at), 0.1, 1.0, 10, False)
    assert limit.limit == 3
    limit.record_success(200.0, 0.1, 1.0, 3, True)
    limit.record_success(300.0, 0.1, 1.0, 3, True)
    assert limit.limit == 2


def test_failed_runs_do_not_sink_the_average() -> None:
    policy = started()
    before = policy.server.run_limit.average_ratio
    for at in range(20):
        policy.handle(float(at), [req(f"r{at}", at + 4.0)])
        policy.handle(at + 0.001, [decision.Finished(f"r{at}", Outcome.ERROR)])
    assert policy.server.run_limit.average_ratio == before


def test_ceiling_rises_with_the_warm_up() -> None:
    policy = started(replace(PLAIN, warming_up=True, initial_speed=0.2, warm_up_time=10.0))
    cold = policy.server.run_limit.ceiling
    policy.handle(20.0, [decision.TimerFired(0)])
    assert policy.server.run_limit.ceiling > 2 * cold


def test_parked_request_releases_its_permit_and_retakes_it_over_the_limit() -> None:
    policy = started(replace(PLAIN, cores=1, has_dependency=True))
    assert ids(policy.handle(0.0, [req("a"), req("b")]), decision.Run) == ["a"]
    assert ids(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Run) == ["b"]
    policy.handle(0.2, [decision.CallReturned("a", Outcome.OK, 0.1), req("c")])
    assert policy.snapshot().running == 2 and policy.snapshot().queued == 1
    assert ids(policy.handle(0.45, [decision.Finished("a", Outcome.OK)]), decision.Run) == []


def test_growth_at_once_while_cores_idle_and_requests_are_held() -> None:
    policy = started(replace(PLAIN, cores=1, gauges=("core_use",)))
    policy.handle(0.0, [req("a"), req("b")])
    assert ids(policy.handle(0.01, [decision.TimerFired(1, (0.1,))]), decision.Run) == ["b"]


# --- failures found on the bench ---


def test_idle_server_runs_what_looks_hopeless() -> None:
    """The first version's spiral: slow-looking, ran nothing, never measured again."""
    policy = started()
    policy.server.run_limit.average_ratio = policy.server.progress.slowness = 1000.0
    assert ids(policy.handle(0.0, [req("a")]), decision.Run) == ["a"]


def heard(policy: Policy, waits: int) -> None:
    """First tries, each of a caller of its own, that wait 0.6 of the deadline and are served."""
    for at in range(waits):
        policy.handle(0.0, [req(f"f{at}", 2.4, caller=at)])
        policy.handle(0.0, [decision.Finished(f"f{at}", Outcome.ERROR)])


def test_usual_wait_is_a_first_try_and_any_other_wait_is_an_old_one() -> None:
    """The longest wait is a last try's: taking it for the usual one made first tries look old (i1b057b)."""
    policy = started()
    heard(policy, 60)
    policy.handle(0.0, [req("last", 3.8), req("first", 2.4), req("left", 1.6)])
    assert policy.server.requests.jobs["first"].objective_at == pytest.approx(1.0)
    assert policy.server.requests.jobs["last"].objective_at == pytest.approx(0.8)
    assert "left" not in policy.server.requests.jobs or policy.server.requests.jobs["left"].objective_at < 0


def test_with_few_waits_heard_every_try_is_a_first_one() -> None:
    policy = started()
    heard(policy, 5)
    policy.handle(0.0, [req("other", 2.9, caller=100)])
    assert policy.server.requests.jobs["other"].objective_at == pytest.approx(1.0)


def test_try_given_up_before_the_aim_is_due_then() -> None:
    policy = started()
    policy.handle(0.0, [req("a", 0.3)])
    assert policy.server.requests.jobs["a"].objective_at <= 0.3


def test_unread_waits_are_back_pressure() -> None:
    policy = started()
    policy.server.run_limit.limit = 8
    policy.handle(0.0, [req("a", unread=0.9)])
    policy.server.unread_wait.average = 5.0
    policy.handle(0.1, [decision.Finished("a", Outcome.OK)])
    assert policy.server.run_limit.limit == 4


def test_reading_takes_permits_above_one_run_for_each_core() -> None:
    policy = started(replace(PLAIN, gauges=("on_cores",)))
    policy.server.run_limit.limit = 4
    for _ in range(40):
        policy.handle(0.0, [decision.TimerFired(0, (3.0,))])
    assert ids(policy.handle(0.0, [req("a"), req("b"), req("c")]), decision.Run) == ["a", "b"]


def test_announced_share_never_falls_to_where_a_silent_server_draws_all() -> None:
    policy = started(replace(PLAIN, signal=LoadSignal.WEIGHT))
    for at in range(200):
        policy.server.progress.last_progress_at = at / 10  # no hang
        policy.handle(at / 10, [req(f"r{at}-{i}", at / 10 + 4.0) for i in range(5)])
    assert policy.server.announcement.value >= MIN_ANNOUNCED_SHARE - 1e-9
    assert policy.server.rejections.by_reason


def test_excess_of_a_tenant_does_not_lower_the_share() -> None:
    tenants = (Tenant("greedy", 0.5, 0.01), Tenant("other", 0.5, 1.0))
    shares = []
    for over in (1.0, 0.0):
        policy = started(replace(PLAIN, signal=LoadSignal.WEIGHT, tenants=tenants, over_quota_weight=over))
        for at in range(100):
            policy.server.progress.last_progress_at = at / 10  # no hang
            policy.handle(at / 10, [req(f"r{at}-{i}", at / 10 + 4.0, tenant="greedy") for i in range(5)])
            policy.server.tenants.served[0] = 10.0  # most of what is served is greedy's
        shares.append(policy.server.announcement.share)
    assert shares[0] < shares[1] == 1.0


def test_runs_cut_off_leave_a_trace() -> None:
    """A slow server whose runs all fail at their due time forgot that it was slow (i73b3ec)."""
    policy = started()
    for at in range(6):
        policy.handle(4.0 * at, [req(f"r{at}", 4.0 * at + 3.9)])
        policy.server.progress.last_progress_at = 4.0 * at + 3.0  # no hang
        policy.handle(4.0 * at + 3.9, [decision.TimerFired(0)])
        policy.handle(4.0 * at + 3.95, [decision.Finished(f"r{at}", Outcome.CANCELLED)])
    policy.handle(24.0, [decision.TimerFired(0)])
    assert policy.server.run_limit.average_ratio == 1.0 and policy.server.progress.slowness > 3.0


def test_repeat_that_reached_the_machine_earlier_shares() -> None:
    policy = started(replace(PLAIN, cores=1))
    policy.handle(1.0, [req("run"), req("a", 5.0, "pay")])
    actions = policy.handle(1.1, [req("b", 5.0, "pay", unread=0.4, repeats="a")])
    assert ids(actions, decision.ShareResult) == ["b"] and not ids(actions, decision.Reject)


# --- the hold, repeats, calls, health, advice ---


def test_hold_runs_the_most_worth_for_its_work() -> None:
    dear = RequestClass("dear", Idempotency.IDEMPOTENT, 5.0, 1.0, 4.0)
    policy = started(replace(PLAIN, classes=(VIEW, dear), cores=1))
    policy.handle(0.0, [req("a")])
    policy.handle(0.0, [req("cheap"), req("worthy", cls="dear")])
    assert ids(policy.handle(0.3, [decision.Finished("a", Outcome.OK)]), decision.Run) == ["worthy"]


def test_tenant_beyond_its_share_waits_but_runs_when_there_is_room() -> None:
    tenants = (Tenant("greedy", 0.5, 0.01), Tenant("small", 0.5, 100.0))
    policy = started(replace(PLAIN, cores=1, tenants=tenants, over_quota_weight=0.1))
    assert ids(policy.handle(0.0, [req("a", tenant="greedy")]), decision.Run) == ["a"]
    policy.handle(0.0, [req("g", tenant="greedy"), req("s", tenant="small")])
    assert ids(policy.handle(0.3, [decision.Finished("a", Outcome.OK)]), decision.Run) == ["s"]
    assert ids(policy.handle(0.6, [decision.Finished("s", Outcome.OK)]), decision.Run) == ["g"]


def test_newer_keyed_try_replaces_one_that_never_ran() -> None:
    policy = started(replace(PLAIN, cores=1))
    policy.handle(0.0, [req("run"), req("a", 4.0, "pay")])
    actions = policy.handle(0.1, [req("b", 4.1, "pay", repeats="a")])
    assert ids(actions, decision.KeepKey) == ["b"] and ids(actions, decision.Reject) == ["a"]
    assert ids(policy.handle(0.2, [decision.Finished("run", Outcome.OK)]), decision.Run) == ["b"]


@pytest.mark.parametrize(
    ("outcome", "again"),
    [(Outcome.BUSY, True), (Outcome.CONNECT_FAILED, True), (Outcome.TIMEOUT, False), (Outcome.RESET, False)],
)
def test_keyed_call_is_repeated_only_on_proof(outcome: Outcome, again: bool) -> None:
    policy = started(replace(PLAIN, has_dependency=True))
    policy.handle(0.0, [req("a", cls="pay")])
    assert ids(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Call) == ["a"]
    actions = policy.handle(0.2, [decision.CallReturned("a", outcome, 0.1)])
    actions += policy.handle(0.5, [decision.TimerFired(0)])
    assert bool(ids(actions, decision.Call)) is again and bool(ids(actions, decision.Fail)) is not again


def test_hang_sends_callers_elsewhere_and_ends_with_the_first_run() -> None:
    policy = started(replace(PLAIN, signal=LoadSignal.WEIGHT, max_retry_after=1.0))
    policy.handle(0.0, [req("a", 30.0), req("b", 30.0), req("c", 30.0)])
    actions = policy.handle(10.0, [decision.TimerFired(0)])
    assert policy.snapshot().state == "hung" and policy.server.announcement.value == 0
    assert decision.SetHealth(False) in actions and "a" in ids(actions, decision.Reject)
    actions = policy.handle(11.0, [req("d", 15.0)])
    assert any(isinstance(a, decision.Reject) and a.retry_after > 0 and not a.no_other_node for a in actions)
    assert decision.SetHealth(True) in policy.handle(12.0, [decision.Finished("a", Outcome.OK)])


def test_credit_is_what_callers_may_have_outstanding() -> None:
    policy = started(replace(PLAIN, signal=LoadSignal.CREDIT, callers=2))
    assert policy.server.announcement.value * 2 >= PLAIN.cores


def test_one_timer_is_armed_for_the_earliest_deadline() -> None:
    policy = started()
    actions = policy.handle(0.0, [req("a", 3.0), req("b", 2.0), req("c", 1.0)])
    assert len([a for a in actions if isinstance(a, decision.SetTimer)]) == 1


def test_misuse_raises() -> None:
    policy = started(now=5.0)
    with pytest.raises(decision.UsageError, match="backwards"):
        policy.handle(4.0, [])
    policy.handle(5.0, [req("a", 9.0)])
    with pytest.raises(decision.UsageError, match="twice"):
        policy.handle(5.0, [req("a", 9.0)])
    with pytest.raises(decision.UsageError, match="unknown class"):
        policy.handle(5.0, [req("b", 9.0, "nope")])
    over: list[decision.Event] = [
        decision.CallerDisconnected("never seen"),
        decision.Finished("never seen", Outcome.OK),
    ]
    assert not ids(policy.handle(5.1, over), decision.Fail)


@pytest.mark.parametrize(
    ("field", "value"), [("cores", 0), ("memory", 0.0), ("drain_grace", -1.0), ("classes", ()), ("initial_speed", 0.0)]
)
def test_contradictory_settings_name_the_field(field: str, value: object) -> None:
    with pytest.raises(decision.SettingsError, match=field):
        replace(PLAIN, **{field: value})  # type: ignore[arg-type]


# --- failures found on the grown fleets ---


def test_share_of_calls_under_one_still_calls_within_the_share() -> None:
    """A part of 0.4 calls never called at all (heredia-main-later, big-1)."""
    policy = started(replace(PLAIN, has_dependency=True, max_calls=0.4, max_calls_window=5.0, abandoned_call_time=0.2))
    policy.handle(0.0, [req("a", 9.0), req("b", 9.0)])
    actions = policy.handle(0.1, [decision.CallNeeded("a"), decision.CallNeeded("b")])
    calls = [action for action in actions if isinstance(action, decision.Call)]
    assert calls and sum(call.time_out + 0.2 for call in calls) <= 0.4 * 5.0


@pytest.mark.parametrize("usual", [None, 8.0])
def test_calls_are_made_though_they_are_thought_to_take_longer_than_the_share_allows(usual: float | None) -> None:
    """With long aims the first guess, 2.4 s, was over what a part of 0.66 allows, and no call was ever made
    (portland-ledger, calm+mass): nothing showed that they took 0.3 s. The same after calls that took long."""
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
        policy.handle(now, [req(id, now + 60.0, cls="slow")])
        calls = [a for a in policy.handle(now + 0.1, [decision.CallNeeded(id)]) if isinstance(a, decision.Call)]
        assert sum(call.time_out + 0.2 for call in calls) <= 0.66 * 5.0
        made += len(calls)
        policy.handle(now + 0.4, [decision.CallReturned(call.id, Outcome.OK, 0.3) for call in calls])
        policy.handle(now + 0.5, [decision.Finished(id, Outcome.OK, 0.4)])
    assert made == 20


def test_waiting_calls_keep_one_timer() -> None:
    """Each batch pushed another timer while a call waited: 148 a second on each server."""
    policy = started(replace(PLAIN, has_dependency=True, max_calls=0.1, max_calls_window=5.0))
    policy.handle(0.0, [req("a", 3.0), req("b", 3.0)])
    actions = policy.handle(0.1, [decision.CallNeeded("a"), decision.CallNeeded("b")])
    policy.server.progress.last_progress_at = 3.0  # no hang
    for step in range(1, 50):
        actions += policy.handle(0.1 + step / 100, [decision.TimerFired(0)])
    assert len(ids(actions, decision.SetTimer)) < 30 and len(policy.server.timers.heap) < 10


def test_memory_of_waits_and_callers_is_bounded() -> None:
    policy = started()
    for at in range(3000):
        policy.handle(at / 1000, [req(f"r{at}", at / 1000 + 0.5 + at / 1000, caller=at)])
    assert (
        len(policy.server.attempt_ages.wait_counts) <= MAX_WAIT_SHARES + 1
        and len(policy.server.idle_connections.last_heard_at) <= MAX_CALLERS + 1
    )


@pytest.mark.parametrize(("callers", "closes"), [(10, False), (3000, True)])
def test_idle_connections_are_closed_where_callers_hardly_return(callers: int, closes: bool) -> None:
    """A table full of connections that nobody uses again turned 93% of attempts away."""
    policy = started()
    idle = []
    for at in range(200):
        now = at / 10
        for action in policy.handle(now, [req(f"r{at}", now + 1.0, caller=at % callers)]):
            idle += [action.after] if isinstance(action, decision.IdleTimeout) else []
    assert (idle[-1:] == [SHORT_IDLE_TIMEOUT_S]) is closes


def test_small_tenant_on_a_busy_server_is_within_its_share() -> None:
    """Where traffic is uneven a busy server sees more than the even part of every tenant."""
    tenants = (Tenant("big", 0.5, 1.0), Tenant("small", 0.5, 1.0))
    policy = started(replace(PLAIN, tenants=tenants))
    policy.server.tenants.buckets = [-1.0, -1.0]
    policy.server.tenants.served = [30.0, 10.0]
    policy.handle(0.0, [req("run"), req("run2"), req("b", tenant="big"), req("s", tenant="small")])
    assert policy.server.tenants.is_over_quota(policy.server.requests.jobs["b"].tenant_index)
    assert not policy.server.tenants.is_over_quota(policy.server.requests.jobs["s"].tenant_index)


CALLING = replace(VIEW, name="calling", makes_calls=True)


def test_full_dependency_holds_up_only_what_calls() -> None:
    """Cores stood idle while the requests parked at calls stood at their bound (i2bcca3)."""
    policy = started(replace(PLAIN, cores=1, classes=(VIEW, CALLING), has_dependency=True, max_calls=0.01))
    for name in "abcdefgh":
        for id in ids(policy.handle(0.0, [req(name, cls="calling", hint=0.01)]), decision.Run):
            policy.handle(0.0, [decision.CallNeeded(id)])
    assert policy.snapshot().running == 0 and policy.snapshot().queued > 0
    assert ids(policy.handle(0.0, [req("free")]), decision.Run) == ["free"]


def test_calls_are_made_for_the_most_worth_first() -> None:
    dear = replace(CALLING, name="dear", priority_weight=5.0)
    policy = started(replace(PLAIN, classes=(CALLING, dear), has_dependency=True, max_calls=0.1, max_calls_window=5.0))
    policy.handle(0.0, [req("a", cls="calling"), req("b", cls="dear")])
    actions = policy.handle(0.1, [decision.CallNeeded("a"), decision.CallNeeded("b")])
    assert ids(actions, decision.Call)[:1] == ["b"]


# --- failures looked for on servers whose runs cannot be stopped ---


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
def test_crowd_holds_when_every_call_returns_at_once(settings: Settings, on_core_share: float) -> None:
    """Runs under the limit all went to calls, others took their permits, then all came back; also where no run seemed
    to want a core just before."""
    policy = started(settings)
    policy.server.core_gauges.on_core_share = on_core_share
    policy.server.run_limit.set_ceiling(policy.server.core_capacity.limit_ceiling(policy.server.now))
    policy.server.run_limit.limit = policy.server.run_limit.ceiling
    policy.handle(0.0, [req(f"c{at}", cls="calling", hint=0.01) for at in range(40)])
    for _ in range(20):
        running = [job.id for job in policy.server.requests.jobs.values() if job.state is State.RUNNING]
        policy.handle(0.0, [decision.CallNeeded(name) for name in running if name.startswith("c")])
    policy.handle(0.0, [req(f"v{at}", hint=0.01) for at in range(40)])
    calling = [job.id for job in policy.server.requests.jobs.values() if job.state is State.CALLING]
    policy.handle(0.0, [decision.CallReturned(name, Outcome.OK, 0.1) for name in calling])
    warm = settings.initial_speed if settings.warming_up else 1.0
    assert (
        policy.snapshot().times_limited
        and policy.server.requests.running <= (1 + (settings.max_running_per_core - 1) * warm) * settings.cores
    )


def test_process_that_stood_still_halves_nothing_and_is_no_hang() -> None:
    """A pause of the process was counted as run time, as an unread wait and as missing progress."""
    policy = Policy(PLAIN, 1)
    policy.start(0.0)
    policy.server.run_limit.limit = 8
    policy.handle(0.0, [req("a", 9.0)])
    policy.handle(0.1, [decision.TimerFired(policy.server.timers.token)])
    actions = policy.handle(
        5.3,
        [
            decision.TimerFired(policy.server.timers.token),
            req("b", 9.0, unread=4.0),
            decision.Finished("a", Outcome.OK),
        ],
    )
    assert (
        policy.server.run_limit.limit == 8
        and policy.server.run_limit.average_time < 0.3
        and policy.server.unread_wait.average < 0.01
    )
    assert decision.SetHealth(False) not in actions


def test_late_timer_is_counted_once() -> None:
    policy = Policy(PLAIN, 1)
    policy.start(0.0)
    policy.handle(0.0, [req("a", 9.0)])
    for _ in range(5):
        policy.handle(3.1, [decision.CallerDisconnected("b")])
    assert (
        policy.server.requests.jobs["a"].run_started == pytest.approx(3.0)
        and policy.server.requests.jobs["a"].call_wait == 0
    )


def test_hang_is_noticed_without_any_other_event() -> None:
    policy = started()
    policy.handle(0.0, [req("a", 30.0)])
    actions: list[decision.Action] = []
    while policy.server.timers.armed_for < 20.0:
        actions += policy.handle(policy.server.timers.armed_for, [decision.TimerFired(policy.server.timers.token)])
    assert decision.SetHealth(False) in actions


@pytest.mark.parametrize(
    ("marks", "again", "aim"), [(True, False, 1.0), (True, True, 0.8), (False, False, 0.8), (False, True, 0.8)]
)
def test_marked_tries_tell_their_age_and_others_are_first(marks: bool, again: bool, aim: float) -> None:
    policy = started(replace(PLAIN, marks_retries=marks))
    heard(policy, 60)
    policy.handle(0.0, [replace(req("a", 3.8), is_retry=again)])
    assert policy.server.requests.jobs["a"].objective_at == pytest.approx(aim)


@pytest.mark.parametrize(("late_worth", "answered"), [(0.0, True), (0.5, False)])
def test_parked_without_a_chance_is_answered_at_once(late_worth: float, answered: bool) -> None:
    """It waited for its call until its due time, given up and unanswered."""
    classes = (replace(CALLING, late_weight=late_worth),)
    settings = replace(PLAIN, classes=classes, has_dependency=True, max_calls=1e-3)
    policy = started(settings)
    policy.handle(0.0, [req("a", cls="calling")])
    assert not ids(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Call)
    assert (ids(policy.handle(1.0, []), decision.Fail) == ["a"]) is answered


def test_a_slow_spell_below_is_unlearned() -> None:
    """No call could end in time by what earlier ones took: all were given up, and no call ever told that the
    dependency had got well."""
    policy = started(replace(PLAIN, cores=4, classes=(CALLING,), has_dependency=True))
    policy.server.call_limit.average_time = 5.0
    for name in "ab":
        policy.handle(0.0, [req(name, cls="calling")])
    assert ids(policy.handle(0.1, [decision.CallNeeded("a")]), decision.Call) == ["a"]
    assert ids(policy.handle(0.1, [decision.CallNeeded("b")]), decision.Fail) == ["b"]  # one at a time finds out
    policy.handle(0.2, [decision.CallReturned("a", decision.Outcome.OK, 0.1)])
    assert policy.server.call_limit.average_time < 5.0


def test_parked_after_the_aim_is_answered_in_the_same_batch() -> None:
    policy = started(replace(PLAIN, classes=(CALLING,), has_dependency=True))
    policy.handle(0.0, [req("a", cls="calling")])
    policy.server.progress.last_progress_at = 1.5  # no hang
    assert ids(policy.handle(1.5, [decision.CallNeeded("a")]), decision.Fail) == ["a"]


def test_held_request_is_refused_at_its_latest_start() -> None:
    policy = started(replace(PLAIN, cores=1))
    policy.handle(0.0, [req("run"), req("a")])
    latest = policy.server.requests.jobs["a"].objective_at - policy.server.expected_time(
        policy.server.requests.jobs["a"]
    )
    assert not ids(policy.handle(latest - 0.01, []), decision.Reject)
    assert ids(policy.handle(latest + 0.001, []), decision.Reject) == ["a"]


def test_no_hang_while_requests_wait_unread() -> None:
    """Reading had the cores, runs took long, and what could have been served was turned away as by a hang."""
    policy = started()
    policy.handle(0.0, [req("a", 30.0)])
    policy.server.unread_wait.average = 5.0
    policy.handle(10.0, [decision.TimerFired(0)])
    assert policy.snapshot().state == "serving"


def test_marked_try_without_a_due_time_is_as_old_as_refusals_here_make_it() -> None:
    """Old tries were run as if fresh where no due time comes, and a third of all answers came too late."""
    policy = started(replace(PLAIN, marks_retries=True))
    policy.server.class_statistics.time_to_rejection[0], policy.server.attempt_ages.retry_share = 0.3, 0.5
    policy.handle(0.0, [replace(req("again"), due=None, is_retry=True), replace(req("first"), due=None)])
    assert policy.server.requests.jobs["first"].objective_at == pytest.approx(1.0)
    assert policy.server.requests.jobs["again"].objective_at == pytest.approx(0.7, abs=0.05)


def test_marks_without_the_setting_tell_nothing_without_a_due_time() -> None:
    policy = started()
    policy.server.class_statistics.time_to_rejection[0] = 0.3
    policy.handle(0.0, [replace(req("a"), due=None, is_retry=True)])
    assert policy.server.requests.jobs["a"].objective_at == pytest.approx(1.0)


def test_limit_does_not_grow_on_full_cores_and_by_the_gauge_once_in_its_span() -> None:
    limit = AimdLimit(2, 20, 1.0, 0.1)
    limit.record_success(1.0, 0.5, 1.0, 2, False, cores_full=True)
    assert limit.limit == 2
    policy = started(replace(PLAIN, gauges=("core_use",)))
    policy.handle(0.0, [req(f"r{at}", hint=0.01) for at in range(9)])
    for at in range(1, 10):
        policy.handle(at * 0.01, [decision.TimerFired(1, (0.1,))])
    assert policy.server.run_limit.limit == 3


def test_refusals_say_when_to_come_back_only_where_others_are_full() -> None:
    """Advice with every refusal kept clients waiting while other servers had room."""
    for share, advised in ((0.0, False), (0.9, True)):
        policy = started(replace(PLAIN, max_retry_after=1.0, cores=1))
        policy.server.rejections.share, policy.server.announcement.excess_backlog = share, 0.4
        actions = policy.handle(0.0, [req("run"), req("big", hint=50.0)])
        said = [a.retry_after for a in actions if isinstance(a, decision.Reject)]
        assert said and (said == [pytest.approx(0.4)]) is advised


@pytest.mark.parametrize(("refused", "stays"), [(0.0, False), (0.9, True)])
def test_connections_of_callers_that_return_stay_while_most_is_refused(refused: float, stays: bool) -> None:
    """Half the servers only shook hands, read and refused (h5bf57a); a full table refuses for free."""
    policy = started()
    for at in range(400):
        policy.server.rejections.share = refused
        now = at / 10  # each of 150 callers comes again every 15 s: twice while a connection may idle
        policy.handle(now, [req(f"r{at}", now + 1.0, caller=at % 150)])
    assert (policy.server.idle_connections.idle_timeout == policy.server.settings.max_idle_time) is stays


def test_credit_fits_the_busiest_caller_not_an_even_part() -> None:
    """On the bench most callers carried little; even parts turned the busiest away at idle servers."""
    settings = replace(PLAIN, signal=LoadSignal.CREDIT, callers=10)

    def announced(callers: Sequence[int]) -> float:
        policy = started(settings)
        for index, caller in enumerate(callers):
            policy.handle(0.01 * (index + 1), [req(f"r{index}", caller=caller)])
            policy.handle(0.01 * (index + 1), [decision.Finished(f"r{index}", Outcome.OK, 0.0)])
        policy.handle(0.5, [])
        return policy.server.announcement.value

    assert announced([1] * 9 + [2]) > 5 * announced(list(range(10))) > 0


def test_calls_are_not_limited_above_a_tier_that_tells_no_share() -> None:
    """On the bench the limit shrank on the tail of sound calls and runs stood parked while cores idled."""
    settings = replace(PLAIN, classes=(CALLING,), cores=4, has_dependency=True, max_running_per_core=8.0)
    policy = started(settings)
    made: list[decision.Action] = []
    for index in range(6):  # an adaptive limit starts at the four cores
        policy.handle(0.01 * index, [req(f"r{index}", cls=CALLING.name)])
        made += policy.handle(0.01 * index, [decision.CallNeeded(f"r{index}")])
    assert ids(made, decision.Call) == [f"r{index}" for index in range(6)]


def test_limit_does_not_shrink_while_the_cores_idle() -> None:
    """On the bench it stood at its floor with half the cores idle: every third run is above the average."""
    limit = AimdLimit(2, 20, 1.0, 0.1)
    limit.limit = 9
    limit.record_success(1.0, 9.0, 1.0, 9, True, cores_idle=True)
    assert limit.limit == 9
    policy = started(replace(PLAIN, gauges=("core_use",)))
    policy.server.run_limit.limit = 9
    for at, use, most in ((1.0, 0.5, 9), (10.0, 1.0, 5)):
        policy.handle(at, [req(f"r{at}", at + 4.0), decision.TimerFired(policy.server.timers.token, (use,))])
        policy.handle(
            at + 3.0, [decision.TimerFired(policy.server.timers.token, (use,)), decision.Finished(f"r{at}", Outcome.OK)]
        )
        assert policy.server.run_limit.limit == most


def test_credit_is_hardly_less_where_callers_come_back_under_new_numbers() -> None:
    def busiest(lives: int) -> float:
        policy = started(replace(PLAIN, cores=8, signal=LoadSignal.CREDIT, callers=8))
        for step in range(1600):
            at = step * 0.01
            caller = (0 if step % 2 else 1 + step % 14) + 100 * (int(at / 2.5) % lives)
            policy.handle(at, [req(f"r{step}", at + 4.0, caller=caller)])
            policy.handle(at + 0.005, [decision.Finished(f"r{step}", Outcome.OK)])
        return policy.server.caller_traffic.busiest_share(policy.server.now)

    assert busiest(1) == pytest.approx(0.5, rel=0.1)
    assert busiest(100) > 0.3  # counted over the same time as the others: under 0.15


def test_deadlines_of_what_is_over_are_dropped() -> None:
    """At six times the usual rate they would be the largest part of a small node's memory."""
    policy = started()
    for index in range(5 * MIN_COMPACTED_TIMERS):
        policy.handle(0.0001 * index, [req(f"r{index}")])
        policy.handle(0.0001 * index, [decision.Finished(f"r{index}", Outcome.OK)])
    assert len(policy.server.timers.heap) <= MIN_COMPACTED_TIMERS + 10


def test_parked_runs_may_fill_what_the_limit_leaves_of_the_crowd() -> None:
    """On the bench cores idled and requests waited while runs stood at calls, though all had fitted."""
    settings = replace(PLAIN, classes=(CALLING,), cores=4, has_dependency=True, max_running_per_core=8.0)
    policy = started(settings)
    runs: list[str] = []
    for index in range(40):
        actions = policy.handle(0.001 * index, [req(f"r{index}", cls=CALLING.name)])
        for id in ids(actions, decision.Run):
            runs.append(id)
            actions += policy.handle(0.001 * index, [decision.CallNeeded(id)])
    assert (
        int(policy.server.core_capacity.survivable_runs(policy.server.now)) - policy.server.run_limit.limit
        <= policy.server.requests.at_calls
        <= policy.server.core_capacity.survivable_runs(policy.server.now)
    )


def test_idle_cores_raise_limit_and_credit_by_what_they_could_run() -> None:
    settings = replace(
        PLAIN, cores=8, max_running_per_core=12.0, signal=LoadSignal.CREDIT, callers=2, gauges=("core_use",)
    )

    def after(use: float) -> tuple[int, float]:
        policy = started(settings)
        policy.handle(0.0, [req(f"r{index}", hint=0.5) for index in range(12)])
        for step in range(1, 20):
            policy.handle(0.05 * step, [decision.TimerFired(policy.server.timers.token, (use,))])
        return policy.server.run_limit.limit, policy.server.announcement.value

    busy, idle = after(1.0), after(0.4)
    assert busy[0] == 8 and idle[0] >= 10 and idle[1] > 1.2 * busy[1]


# --- runs that wait for disk, and servers that warm up ---

PATIENT = replace(VIEW, latency_objective=100.0, deadline=200.0)
DISK = replace(PLAIN, classes=(PATIENT,), cores=4, max_running_per_core=2.0, gauges=("core_use", "on_cores"))


def most_runs(settings: Settings, on_core: float) -> int:
    """Runs at once on idle cores, when this share of them wants a core."""
    policy = started(settings)
    policy.handle(0.0, [req(f"r{index}", due=200.0, hint=0.5) for index in range(40)])
    for step in range(1, 100):
        policy.handle(
            0.05 * step,
            [decision.TimerFired(policy.server.timers.token, (0.2, on_core * policy.server.requests.running))],
        )
    return policy.server.requests.running


def test_runs_that_wait_for_disk_leave_room_for_others_up_to_the_told_crowd() -> None:
    """On the bench cores idled at 0.6 while requests were refused: all runs counted as if each had a core."""
    told = int(DISK.max_running_per_core * DISK.cores)
    assert most_runs(DISK, on_core=1.0) < most_runs(DISK, on_core=0.5) <= told
    assert most_runs(DISK, on_core=0.0) <= told


def test_a_cold_server_keeps_the_margin_though_its_runs_wait_for_disk() -> None:
    cold = replace(DISK, warming_up=True, initial_speed=0.5, warm_up_time=1000.0)
    assert most_runs(cold, on_core=0.5) == most_runs(cold, on_core=1.0)


def test_room_for_others_is_gone_as_soon_as_the_runs_want_their_cores() -> None:
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
def test_a_cold_servers_runs_are_expected_to_speed_up_as_it_warms(work: float, age: float) -> None:
    """Long runs looked hopeless at the present speed: on the bench a cold server refused nearly all."""
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
