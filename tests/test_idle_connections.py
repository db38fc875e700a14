"""Idle connections of callers."""

from __future__ import annotations

import pytest

from chutepin import decision
from chutepin.decision.idle_connections import SHORT_IDLE_TIMEOUT_S
from tests.decision_helper import new_request, started


@pytest.mark.parametrize(("callers", "closes"), [(10, False), (3000, True)])
def test_idle_connections_are_closed_where_callers_hardly_return(callers: int, closes: bool) -> None:
    """A table full of connections that nobody uses again turns new callers away."""
    policy = started()
    idle = []
    for at in range(200):
        now = at / 10
        for action in policy.handle(now, [new_request(f"r{at}", now + 1.0, caller=at % callers)]):
            idle += [action.after] if isinstance(action, decision.IdleTimeout) else []
    assert (idle[-1:] == [SHORT_IDLE_TIMEOUT_S]) is closes


@pytest.mark.parametrize(("refused", "stays"), [(0.0, False), (0.9, True)])
def test_connections_of_callers_that_return_stay_while_most_is_rejected(refused: float, stays: bool) -> None:
    """A full table turns callers away without handshake and reading."""
    policy = started()
    for at in range(400):
        policy.server.rejections.share = refused
        now = at / 10  # each of 150 callers comes again every 15 s: twice while a connection may idle
        policy.handle(now, [new_request(f"r{at}", now + 1.0, caller=at % 150)])
    assert (policy.server.idle_connections.idle_timeout == policy.server.settings.max_idle_time) is stays
