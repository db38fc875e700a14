"""The four rules hold on random legal event sequences, under usual and unusual settings."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from chutepin import decision
from chutepin.decision import Cancellation, LoadSignal, Settings, Tenant
from chutepin.decision.aimd_limit import AimdLimit
from chutepin.decision.arrivals import Arrivals
from chutepin.decision.attempt_ages import MAX_WAIT_SHARES
from chutepin.decision.call_budget import CallBudget
from chutepin.decision.endings import Endings
from chutepin.decision.idle_connections import MAX_CALLERS
from chutepin.decision.job import Job
from chutepin.decision.policy import Policy
from chutepin.decision.server_state import ServerState
from tests.decision_world import (
    BASE,
    IDEMPOTENT_CLASS,
    KEYED_CLASS,
    NOT_IDEMPOTENT_CLASS,
    RuleViolationError,
    cold,
    play,
)

SETTINGS_VARIANTS: dict[str, Settings] = {
    "usual": BASE,
    "cold": cold(BASE),
    "credit": replace(BASE, signal=LoadSignal.CREDIT),
    "level": replace(BASE, signal=LoadSignal.LEVEL),
    "silent": replace(BASE, signal=LoadSignal.NONE),
    "no halt": replace(BASE, cancellation=Cancellation.UNSUPPORTED),
    "no halt, a small crowd, cold": cold(
        replace(BASE, cancellation=Cancellation.UNSUPPORTED, max_running_per_core=2.0, memory=1e5, warm_up_time=60.0)
    ),
    "a crowd of one": replace(BASE, max_running_per_core=1.0, memory=1e5),
    "pause": replace(BASE, cancellation=Cancellation.KEEPS_WORK),
    "pause, tiny memory": replace(BASE, cancellation=Cancellation.KEEPS_WORK, memory=900.0),
    "marked tries": replace(BASE, marks_retries=True),
    "no tenants": replace(BASE, tenants=()),
    "one core": replace(BASE, cores=1),
    "tiny memory": replace(BASE, memory=900.0),
    "call share under one": replace(BASE, max_calls=0.6),
    "call share far under one": replace(BASE, max_calls=0.05),
    "credit for more callers than permits": replace(BASE, signal=LoadSignal.CREDIT, callers=1000),
    "quota too small for one request": replace(BASE, tenants=(Tenant("a", 0.5, 0.001), Tenant("b", 0.5, 0.0))),
    "table of at most one connection": replace(BASE, gauges=("links",)),
    "no idle connections": replace(BASE, max_idle_time=0.0),
    "windows beyond memory": replace(BASE, key_memory=400.0),
    "single class": replace(BASE, classes=(IDEMPOTENT_CLASS,)),
    "unsafe with calls": replace(BASE, classes=(NOT_IDEMPOTENT_CLASS,)),
    "keyed only": replace(BASE, classes=(KEYED_CLASS,)),
    "no calls": replace(BASE, classes=tuple(replace(c, makes_calls=False) for c in BASE.classes)),
}


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
@pytest.mark.parametrize("seed", range(4))
def test_rules_hold_under_all_settings(name: str, seed: int) -> None:
    simulation = play(SETTINGS_VARIANTS[name], seed)
    assert any(isinstance(action, decision.Run) for action in simulation.log)


EVENT_VARIANTS: dict[str, dict[str, float]] = {
    "no due times": {"deadline_share": 0.0},
    "no due times, marked retries": {"deadline_share": 0.0, "marked_share": 0.7},
    "no disconnects, no due times": {"disconnects_per_s": 0.0, "deadline_share": 0.0},
    "frequent disconnects": {"disconnects_per_s": 20.0},
}


@pytest.mark.parametrize("events", EVENT_VARIANTS)
@pytest.mark.parametrize("name", ["usual", "no halt", "pause", "marked tries", "credit", "silent"])
def test_rules_hold_where_events_are_missing_or_unusual(name: str, events: str) -> None:
    simulation = play(SETTINGS_VARIANTS[name], 11, 900, True, **EVENT_VARIANTS[events])
    assert any(isinstance(action, decision.Run) for action in simulation.log)


@pytest.mark.parametrize("cancellation", [Cancellation.KEEPS_WORK, Cancellation.DISCARDS_WORK])
def test_run_whose_caller_disconnects_is_stopped_once_and_its_memory_is_released(cancellation: Cancellation) -> None:
    for answered_first in (True, False):
        policy = Policy(replace(BASE, cancellation=cancellation), 1)
        policy.start(0.0)
        policy.handle(0.0, [decision.Request("a", "view", 0.0, 20.0, due=0.5)])
        events: list[decision.Event] = [] if answered_first else [decision.CallerDisconnected("a")]
        actions = policy.handle(0.6 if answered_first else 0.1, events)
        assert decision.Stop("a") in actions and (decision.Fail("a") in actions) is answered_first
        if answered_first:
            # Fail comes first, so that the cancelled run ends a request that is already answered.
            assert actions.index(decision.Fail("a")) < actions.index(decision.Stop("a"))
        policy.handle(0.7, [decision.CallerDisconnected("a"), decision.Finished("a", decision.Outcome.CANCELLED)])
        assert (
            policy.server.memory.used == 0 and policy.server.requests.running == 0 and not policy.server.requests.jobs
        )


@pytest.mark.parametrize("seed", range(4))
def test_rules_hold_when_no_run_finishes(seed: int) -> None:
    play(BASE, seed, speed=0.0)


@pytest.mark.parametrize("seed", range(4))
def test_rules_hold_when_every_call_fails(seed: int) -> None:
    play(BASE, seed, call_failures=1.0)


@pytest.mark.parametrize("seed", range(2))
def test_rules_and_memory_bounds_hold_when_callers_never_return(seed: int) -> None:
    simulation = play(replace(BASE, max_idle_time=1e6), seed, steps=9000, drain=False, callers=10**9)
    assert simulation.last_serial > MAX_CALLERS
    assert (
        len(simulation.policy.server.idle_connections.last_request_at) <= MAX_CALLERS + 1
        and len(simulation.policy.server.attempt_ages.wait_counts) <= MAX_WAIT_SHARES + 1
    )


def test_same_events_give_same_actions() -> None:
    assert play(BASE, 3).log == play(BASE, 3).log


def _keep_no_key(self: Arrivals, job: Job) -> None:
    return


def _never_fail(self: Endings, job: Job) -> None:
    return


def _never_reject(self: Arrivals, job: Job) -> None:
    return


def _unlimited_time(self: CallBudget, now: float) -> float:
    return 1e9


def _reject_after_run(self: Endings, job: Job) -> None:
    if not job.answered:
        self._server.actions.append(decision.Reject(job.id))
        job.answered = True


def _never_attach(self: Arrivals, job: Job) -> bool:
    return False


def _keep_deadlines(self: Policy, notice: decision.DrainNotice) -> None:
    self.server.drain.last_arrival_at = self.server.now + self.server.settings.drain_grace


def _always_has_capacity(self: ServerState) -> bool:
    return True


def _no_ceiling(self: AimdLimit, ceiling: int) -> None:
    self.limit = 1000


GUARDS: list[tuple[type, str, Callable[..., Any], str, Settings]] = [
    (
        Arrivals,
        "_keep_key",
        _keep_no_key,
        "duplicate: second run in the window",
        replace(BASE, classes=(KEYED_CLASS,)),
    ),
    (Endings, "fail", _never_fail, "lost", BASE),
    (
        Endings,
        "fail",
        _reject_after_run,
        "duplicate: rejected after a run",
        replace(BASE, classes=(NOT_IDEMPOTENT_CLASS,)),
    ),
    (Arrivals, "_rejection_reason", _never_reject, "drain: run after the grace period", BASE),
    (
        Arrivals,
        "_rejection_reason",
        _never_reject,
        "overload: memory",
        replace(BASE, key_memory=400.0, classes=(KEYED_CLASS,)),
    ),
    (
        Arrivals,
        "_attach_to_original",
        _never_attach,
        "duplicate: second run in the window",
        replace(BASE, classes=(KEYED_CLASS,)),
    ),
    (Policy, "_on_drain", _keep_deadlines, "drain: unanswered at the stop", BASE),
    (CallBudget, "remaining_time", _unlimited_time, "overload: dependency calls", replace(BASE, max_calls=0.6)),
]


def test_cores_are_overloaded_without_a_ceiling_of_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the ceiling, more requests run at once than the cores sustain."""
    monkeypatch.setattr(AimdLimit, "set_ceiling", _no_ceiling)
    monkeypatch.setattr(ServerState, "has_core_capacity", _always_has_capacity)
    with pytest.raises(RuleViolationError, match="overload: running requests"):
        for seed in range(30):
            play(cold(replace(BASE, memory=1e6, warm_up_time=60.0)), seed, speed=0.5)


@pytest.mark.parametrize(("owner", "guard", "replacement", "violation", "settings"), GUARDS)
def test_rule_is_violated_without_its_guard(
    owner: type,
    guard: str,
    replacement: Callable[..., Any],
    violation: str,
    settings: Settings,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With a guard disabled, one of 30 random event sequences violates the rule that the guard enforces."""
    monkeypatch.setattr(owner, guard, replacement)
    violations: list[str] = []
    for seed in range(30):
        try:
            play(settings, seed, call_failures=0.1)
        except RuleViolationError as error:
            violations.append(str(error))
            if violation in violations[-1]:
                return
    pytest.fail(f"no violation of '{violation}'; violations found: {violations[:3]}")
