"""What the program writes to the platform is what the kept version wrote, but for what depends on the time."""

from __future__ import annotations

import json
from typing import Any

import pytest

from .data.make_platform_bytes import KEPT, errors, wire

KNOWN: dict[str, Any] = json.loads(KEPT.read_text())


@pytest.fixture(scope="module")
def written() -> dict[str, Any]:
    return wire()


@pytest.mark.parametrize("part", list(KNOWN["wire"]))
def test_the_bytes_on_the_wires_are_those_kept(part: str, written: dict[str, Any]) -> None:
    assert written[part] == KNOWN["wire"][part]


def test_there_is_nothing_that_was_not_kept(written: dict[str, Any]) -> None:
    assert list(written) == list(KNOWN["wire"])


def test_bad_configuration_is_told_in_the_kept_words_and_ends_with_2() -> None:
    found = errors()
    assert found == KNOWN["errors"] and len(found) >= 12
    for code, output, error in found.values():
        assert code == 2 and not output and error.startswith("chutepin: ") and error.count("\n") == 1
