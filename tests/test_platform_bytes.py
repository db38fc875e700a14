"""What the program writes to the platform is what the kept version wrote, but for what depends on the time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest

from .data import make_platform_bytes
from .data.make_platform_bytes import KEPT, errors, until, wire

STALL_S = 0.4  # longer than the node takes between two METERs
KNOWN: dict[str, Any] = json.loads(KEPT.read_text())


@pytest.fixture(scope="module")
def written() -> dict[str, Any]:
    return wire()


@pytest.mark.parametrize("part", list(KNOWN["wire"]))
def test_the_bytes_on_the_wires_are_those_kept(part: str, written: dict[str, Any]) -> None:
    assert written[part] == KNOWN["wire"][part]


def test_there_is_nothing_that_was_not_kept(written: dict[str, Any]) -> None:
    assert list(written) == list(KNOWN["wire"])


# Guards against a wait that never ends on a busy machine: a METERS confirmed a command before its link was lost.
def test_the_bytes_are_the_same_where_the_stand_ins_are_slow(monkeypatch: pytest.MonkeyPatch) -> None:
    async def wait_and_stall(holds: Callable[[], Any]) -> None:
        await until(holds)
        await asyncio.sleep(STALL_S)

    monkeypatch.setattr(make_platform_bytes, "until", wait_and_stall)
    assert wire() == KNOWN["wire"]


def test_bad_configuration_is_told_in_the_kept_words_and_ends_with_2() -> None:
    found = errors()
    assert found == KNOWN["errors"] and len(found) >= 12
    for code, output, error in found.values():
        assert code == 2 and not output and error.startswith("chutepin: ") and error.count("\n") == 1
