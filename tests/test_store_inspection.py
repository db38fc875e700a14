"""Inspection and repair of a closed store."""

from __future__ import annotations

import math
from typing import Any

import pytest

from chutepin.store import (
    Store,
    StoreError,
    StoreLockedError,
    inspection,
    repair,
)

from .store_world import StoreHarness


def test_repair_keeps_readable_records_and_lists_unreadable_ranges(tmp_path: Any) -> None:
    harness = StoreHarness()
    harness.start()
    for index in range(40):
        harness.put(b"%d" % (index % 30), b"%d" % index * 50)
    harness.settle()
    harness.current_engine.close()
    intact = harness.expected_contents(-1)
    damaged = tmp_path / "old"
    damaged.mkdir()
    for name in harness.files.names():
        data = bytearray(harness.files.visible[name].visible)
        if name.endswith(".seg") and data[64:].strip(b"\0"):
            data[64 + 20] ^= 1  # a byte in the first record of each segment
        (damaged / name).write_bytes(data)
    (damaged / "LOCK").touch()
    with inspection.locked_directory(damaged) as files:
        check_result = inspection.check(files)
        assert not check_result.sound and len({finding.file for finding in check_result.findings if finding.loss}) >= 2
        repair_result = repair.repair(files, tmp_path / "new", lambda: harness.time, 2**20)
    # The number of records lost at the start of an unsealed segment is unknown.
    assert 2 <= repair_result.missing <= len(repair_result.gaps)
    with Store.open(tmp_path / "new", max_bytes=2**20, clock=lambda: harness.time) as store:
        found = dict(store.items())
    assert len(found) == repair_result.kept and found
    assert all(value == intact.get(key, value) for key, value in found.items())
    assert 2 <= len(set(intact) - set(found)) <= len(repair_result.gaps)
    with pytest.raises(StoreError, match="not empty"), inspection.locked_directory(damaged) as files:
        repair.repair(files, tmp_path / "new", lambda: harness.time, 2**20)


def test_check_of_undamaged_store_finds_and_changes_nothing(tmp_path: Any) -> None:
    with Store.open(tmp_path, max_bytes=2**20, clock=lambda: 5.0) as store:
        for index in range(500):
            store.put(b"%d" % (index % 70), bytes(100), math.inf)
    files_before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    with inspection.locked_directory(tmp_path) as files:
        assert inspection.check(files).findings == []
        assert inspection.statistics(files)["keys"] == 70
        assert len([*inspection.dump(files)]) == 70 < len([*inspection.dump(files, include_dead=True)])
        with pytest.raises(StoreLockedError):
            Store.open(tmp_path)
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == files_before
