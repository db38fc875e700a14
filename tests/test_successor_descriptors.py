"""The descriptors that a node keeps for the start of a successor process."""

from __future__ import annotations

import pytest

from chutepin.admission import DescriptorBudget
from chutepin.descriptors import SUCCESSOR, build_budget, successor_reserve

PREDECESSOR_OTHER, SUCCESSOR_OTHER = 13, 9  # descriptors of no part: standard streams, event loop, sockets


def full_predecessor(limit: int) -> DescriptorBudget:
    """Return the budget of a node whose clients and calls hold all that they may."""
    budget = build_budget(limit, amqp=False, store=False, ops=True)
    budget.unattributed = PREDECESSOR_OTHER
    budget.reserve(SUCCESSOR, successor_reserve(limit))
    for part in ("front", "records"):
        while budget.acquire(part):
            pass
    return budget


# Guards against a successor that answers no operator's call, as its predecessor's clients hold the descriptors.
@pytest.mark.parametrize("limit", [96, 128, 384, 512, 1024])
def test_successor_has_descriptors_for_control_beside_a_full_predecessor(limit: int) -> None:
    predecessor = full_predecessor(limit)
    successor = build_budget(limit, amqp=False, store=False, ops=True)
    successor.unattributed = SUCCESSOR_OTHER
    successor.limit = limit - predecessor.in_use - predecessor.unattributed
    for part in ("ops", "executor", "control", "records", "front"):
        assert successor.acquire(part), part
    both = predecessor.in_use + predecessor.unattributed + successor.in_use + successor.unattributed
    assert both <= limit


def test_reserve_is_released_beside_a_peer_and_kept_again_after_its_end() -> None:
    budget = build_budget(96, amqp=False, store=False, ops=True)
    budget.reserve(SUCCESSOR, successor_reserve(96))
    kept = budget.available("front")
    budget.reserve(SUCCESSOR, 0)
    assert budget.available("front") >= kept
    budget.reserve(SUCCESSOR, successor_reserve(96))
    assert budget.available("front") == kept
