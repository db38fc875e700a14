"""Errors of the policy for misuse by the host and for contradictory settings."""

from __future__ import annotations

from dataclasses import replace

import pytest

from chutepin import decision
from chutepin.decision import Outcome
from tests.decision_helper import PLAIN, ids_of, new_request, started


def test_misuse_by_the_host_raises_and_unknown_ids_are_ignored() -> None:
    policy = started(now=5.0)
    with pytest.raises(decision.UsageError, match="backwards"):
        policy.handle(4.0, [])
    policy.handle(5.0, [new_request("a", 9.0)])
    with pytest.raises(decision.UsageError, match="twice"):
        policy.handle(5.0, [new_request("a", 9.0)])
    with pytest.raises(decision.UsageError, match="unknown class"):
        policy.handle(5.0, [new_request("b", 9.0, "nope")])
    unknown: list[decision.Event] = [
        decision.CallerDisconnected("never seen"),
        decision.Finished("never seen", Outcome.OK),
    ]
    assert not ids_of(policy.handle(5.1, unknown), decision.Fail)


@pytest.mark.parametrize(
    ("field", "value"), [("cores", 0), ("memory", 0.0), ("drain_grace", -1.0), ("classes", ()), ("initial_speed", 0.0)]
)
def test_error_of_contradictory_settings_names_the_field(field: str, value: object) -> None:
    with pytest.raises(decision.SettingsError, match=field):
        replace(PLAIN, **{field: value})  # type: ignore[arg-type]
