"""Idle timeout of caller connections."""

from __future__ import annotations

import pytest

from chutepin import decision
from chutepin.decision.idle_connections import SHORT_IDLE_TIMEOUT_S
from tests.decision_helper import new_request, started


@pytest.mark.parametrize(("callers", "is_short"), [(10, False), (3000, True)])
def test_idle_timeout_is_short_where_few_callers_return(callers: int, is_short: bool) -> None:
    """Guards against a connection table full of unused connections, which keeps new callers out."""
    policy = started()
    timeouts = []
    for at in range(200):
        now = at / 10
        for action in policy.handle(now, [new_request(f"r{at}", now + 1.0, caller=at % callers)]):
            timeouts += [action.after] if isinstance(action, decision.IdleTimeout) else []
    assert (timeouts[-1:] == [SHORT_IDLE_TIMEOUT_S]) is is_short


@pytest.mark.parametrize(("rejected_share", "is_long"), [(0.0, False), (0.9, True)])
def test_idle_timeout_is_long_while_most_requests_are_rejected(rejected_share: float, is_long: bool) -> None:
    """A full connection table rejects callers without handshake and reading."""
    policy = started()
    for at in range(400):
        policy.server.rejections.share = rejected_share
        now = at / 10  # each of 150 callers sends a request every 15 s: twice within the maximum idle time
        policy.handle(now, [new_request(f"r{at}", now + 1.0, caller=at % 150)])
    assert (policy.server.idle_connections.idle_timeout == policy.server.settings.max_idle_time) is is_long
