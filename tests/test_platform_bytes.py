"""Bytes written to the platform equal those of the kept version, except for values that depend on the time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest

from .data import make_platform_bytes
from .data.make_platform_bytes import KEPT, errors, until, wire

STALL_S = 0.4  # longer than the interval between two METERs
KEPT_RESULTS: dict[str, Any] = json.loads(KEPT.read_text())


@pytest.fixture(scope="module")
def written() -> dict[str, Any]:
    return wire()


@pytest.mark.parametrize("part", list(KEPT_RESULTS["wire"]))
def test_wire_bytes_equal_the_kept_ones(part: str, written: dict[str, Any]) -> None:
    assert written[part] == KEPT_RESULTS["wire"][part]


def test_every_wire_part_is_kept(written: dict[str, Any]) -> None:
    assert list(written) == list(KEPT_RESULTS["wire"])


# Guards against a wait without end on a busy machine: a METERS confirmed a command before its link was lost.
def test_wire_bytes_are_independent_of_slow_stand_ins(monkeypatch: pytest.MonkeyPatch) -> None:
    async def wait_and_stall(condition: Callable[[], Any]) -> None:
        await until(condition)
        await asyncio.sleep(STALL_S)

    monkeypatch.setattr(make_platform_bytes, "until", wait_and_stall)
    assert wire() == KEPT_RESULTS["wire"]


def test_invalid_configuration_exits_with_2_and_the_kept_message() -> None:
    reported = errors()
    assert reported == KEPT_RESULTS["errors"] and len(reported) >= 12
    for code, output, error in reported.values():
        assert code == 2 and not output and error.startswith("chutepin: ") and error.count("\n") == 1
