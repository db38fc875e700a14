"""Tests that figures of the decision module and the simulators equal the kept figures exactly.

Guards against refactoring that changes behaviour."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from benchmarks import equality

PARTS: dict[str, Callable[[], Any]] = {
    "decision": equality.decision_figures,
    "membership": lambda: {str(seed): equality.membership_figures(seed) for seed in equality.MEMBERSHIP_SEEDS},
    "scale": equality.scale_figures,
    "consensus": lambda: {str(seed): equality.consensus_figures(seed) for seed in equality.CONSENSUS_SEEDS},
}


@pytest.mark.parametrize("part", PARTS)
def test_figures_equal_kept_figures(part: str) -> None:
    kept = json.loads(equality.KEPT.read_text())[part]
    assert json.loads(json.dumps(PARTS[part]())) == kept


def test_figures_depend_on_seed() -> None:
    kept = json.loads(equality.KEPT.read_text())["membership"]
    assert json.loads(json.dumps(equality.membership_figures(3))) not in kept.values()
