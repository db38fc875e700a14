"""Recovery after power cuts, truncation, corruption and I/O errors at every file operation or offset."""

from __future__ import annotations

import errno
import math
import random

import pytest

from chutepin.store import (
    StoreDamagedError,
    StoreError,
    StoreFailedError,
)
from chutepin.store.engine import Engine

from .powercut import PowerCut, SimulatedFileSystem
from .store_world import LIMITS, StoreHarness, contents, run_operations, run_script


def test_scripted_run_compacts_and_drops_segments() -> None:
    harness = run_script()
    counts = harness.current_engine.counts
    assert counts["segments.compacted"] >= 1 and counts["copied_bytes"] > 0
    assert counts["segments.dropped"] > counts["segments.compacted"]  # some segments are dropped without copying
    assert counts["deleted"] > 5 and harness.files.operations > 250
    harness.current_engine.close()
    reopened = harness.check_recovered(harness.files)
    assert contents(reopened) == harness.expected_contents(-1)


SHARDS = 8  # the operations of a run are divided among this many tests


@pytest.mark.parametrize("shard", range(SHARDS))
def test_power_cut_at_any_file_operation_loses_no_acknowledged_record(shard: int) -> None:
    total = run_script().files.operations
    for cut in range(1 + shard, total + 1, SHARDS):
        harness = StoreHarness()
        harness.files.cut_at = cut
        with pytest.raises(PowerCut):
            run_operations(harness)
        outcomes: list[str | random.Random] = ["none", "all", *(random.Random(cut * 8 + i) for i in range(4))]
        for survivors in outcomes:
            files = harness.files.after(survivors)
            engine = harness.check_recovered(files, (cut, survivors))
            if cut % 3 == 0:
                check_usable(harness, engine)


def check_usable(harness: StoreHarness, engine: Engine) -> None:
    """Check that a recovered store accepts writes, compacts, closes and reopens."""
    before = contents(engine)
    engine.settle()
    assert engine.put(b"later", b"v" * 100, math.inf)
    engine.compact()
    engine.settle()
    engine.close()
    reopened = Engine.open(engine.context.file_system, harness.limits, lambda: harness.time, lambda *_, **__: None)
    assert contents(reopened) == before | {b"later": b"v" * 100}


@pytest.mark.parametrize("shard", range(SHARDS))
def test_power_cut_during_recovery_loses_no_acknowledged_record(shard: int) -> None:
    total = run_script().files.operations
    for cut in range(2 + shard, total + 1, 4 * SHARDS):
        harness = StoreHarness()
        harness.files.cut_at = cut
        with pytest.raises(PowerCut):
            run_operations(harness)
        for survivors in range(2):
            recovery_cut = 0
            while True:  # cut the power at every file operation of the recovery
                recovery_cut += 1
                files = harness.files.after(random.Random(cut * 4 + survivors))
                files.cut_at = recovery_cut
                try:
                    harness.check_recovered(files)
                    break
                except PowerCut:
                    for later_survivors in ("none", "all", random.Random(recovery_cut)):
                        harness.check_recovered(files.after(later_survivors), (cut, survivors, recovery_cut))


def closed_and_killed_stores() -> dict[str, StoreHarness]:
    """Return a store that was closed, and one whose process was killed."""
    closed, killed = run_script(4), run_script(5)
    closed.current_engine.close()
    return {"closed": closed, "killed": killed}


def files_named(kind: str) -> list[tuple[StoreHarness, str, int]]:
    found = []
    for harness in closed_and_killed_stores().values():
        for name in harness.files.names():
            if name.endswith(kind):
                found.append((harness, name, len(harness.files.visible[name].visible)))
    return found


def is_refused(harness: StoreHarness, files: SimulatedFileSystem, failure_note: object) -> bool:
    """Return whether opening or reading raises StoreDamagedError; otherwise check all acknowledged records."""
    try:
        engine = harness.check_recovered(files, failure_note)
    except StoreDamagedError as error:
        assert error.file in str(error) and "repair" in str(error)
        return True
    engine.close()
    return False


@pytest.mark.parametrize("kind", ["MANIFEST", "ACKED", "hint", "seg"])
def test_truncated_file_is_refused_or_loses_no_acknowledged_record(kind: str) -> None:
    refused = total = 0
    for harness, name, size in files_named(kind):
        for length in range(size):
            files = harness.files.copy()
            del files.visible[name].visible[length:]
            refused += is_refused(harness, files, (name, length))
            total += 1
    assert total > 100
    # Truncation of a segment or manifest is always detected; hints and durability markers are rebuilt.
    assert refused == (total if kind in ("seg", "MANIFEST") else 0)


@pytest.mark.parametrize("kind", ["MANIFEST", "ACKED", "hint", "seg"])
def test_flipped_bit_is_refused_or_loses_no_acknowledged_record(kind: str) -> None:
    refused = total = 0
    for harness, name, size in files_named(kind):
        for offset in range(size):
            files = harness.files.copy()
            files.visible[name].visible[offset] ^= 1 << offset % 8
            refused += is_refused(harness, files, (name, offset))
            total += 1
    assert total > 100 and (refused > total / 4 if kind in ("seg", "MANIFEST") else refused == 0)


@pytest.mark.parametrize("name", ["MANIFEST", "seg"])
def test_missing_file_is_refused(name: str) -> None:
    for harness, file, _ in files_named(name):
        files = harness.files.copy()
        files.remove(file)
        assert is_refused(harness, files, file)


def test_torn_tail_is_dropped_and_reported_once() -> None:
    harness = StoreHarness()
    harness.start()
    harness.settle()
    harness.put(b"a", b"kept")
    harness.flush()
    harness.put(b"b", b"torn" * 50)
    harness.files.cut_at = harness.files.operations + 2  # during the sync of the batch
    with pytest.raises(PowerCut):
        harness.flush()
    active = harness.current_engine.log.active
    assert active is not None
    # The record is on the disk except for its last bytes.
    files = harness.files.after("all")
    name = f"{active.number:010d}.seg"
    files.visible[name].visible[active.end - 5 : active.end] = bytes(5)
    reopened = StoreHarness(files)
    reopened.start()
    assert contents(reopened.current_engine) == {b"a": b"kept"}
    assert [name for name, _ in reopened.events] == ["store.torn_tail"]
    assert reopened.events[0][1]["offset"] > 64


def test_unreadable_record_is_damage_if_later_record_proves_it_was_durable() -> None:
    harness = StoreHarness()
    harness.start()
    harness.settle()
    for key in (b"a", b"b", b"c"):
        harness.put(key, key * 20)
        harness.flush()
    active = harness.current_engine.log.active
    assert active is not None
    files = harness.files.copy()
    files.visible["ACKED"].visible[:] = bytes(8192)  # no durability marker has reached the disk
    files.visible[f"{active.number:010d}.seg"].visible[64 + 40] ^= 1  # a byte in the first record
    with pytest.raises(StoreDamagedError, match="a later record proves that it had been durable"):
        StoreHarness(files).start()


@pytest.mark.parametrize("shard", range(4))
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_io_error_at_any_file_operation_is_raised_and_loses_no_acknowledged_record(number: int, shard: int) -> None:
    total = run_script().files.operations
    for at in range(20 + shard, total, 8):  # earlier operations belong to opening the store
        harness = StoreHarness()
        harness.files.fail = lambda _operation, _name, harness=harness, at=at: (  # type: ignore[misc]
            OSError(number, "made up") if harness.files.operations == at else None
        )
        try:
            run_operations(harness)
        except StoreFailedError:
            with pytest.raises(StoreFailedError, match="until it is opened again"):
                harness.current_engine.flush()
            with pytest.raises(StoreFailedError, match="until it is opened again"):
                harness.current_engine.put(b"x", b"", math.inf)
        except StoreError:
            assert number == errno.ENOSPC and harness.engine is not None and not harness.current_engine.context.failure
        # Data of a failed sync may still be in the page cache, or be lost.
        harness.check_recovered(harness.files.copy(), at)
        for survivors in ("none", "all"):
            harness.check_recovered(harness.files.after(survivors), at)


@pytest.mark.parametrize("at", range(1, 12))
def test_read_only_directory_is_refused_and_unlocked(at: int) -> None:
    existing, empty = StoreHarness(), StoreHarness()
    existing.start()
    existing.put(b"a", b"1") if existing.current_engine.log.active else existing.settle()
    existing.settle()
    existing.current_engine.close()
    for harness in (existing, empty):
        start = harness.files.operations
        harness.files.fail = lambda _operation, _name, harness=harness, start=start: (  # type: ignore[misc]
            OSError(errno.EROFS, "Read-only file system") if harness.files.operations >= start + at else None
        )
        try:
            Engine.open(harness.files, LIMITS, lambda: 1000.0, lambda *_, **__: None).close()
        except StoreError as error:
            assert "Read-only file system" in str(error)
        else:
            assert harness is existing and at > 2  # a cleanly closed store is opened with few writes
        assert not harness.files.locked


def test_reopening_after_failed_sync_rewrites_data_that_is_only_in_page_cache() -> None:
    harness = StoreHarness()
    harness.start()
    harness.settle()
    harness.put(b"a", b"1")
    harness.files.fail = lambda operation, _: OSError(errno.EIO, "lost") if operation == "sync" else None
    with pytest.raises(StoreFailedError):
        harness.flush()
    harness.files.fail = lambda *_: None
    harness.current_engine.close()
    engine = harness.check_recovered(harness.files)
    recovered_contents = contents(engine)
    assert recovered_contents == {b"a": b"1"}  # still in the page cache, so recovery must have made it durable
    assert contents(harness.check_recovered(harness.files.after("none"))) == recovered_contents


def test_expired_key_stays_expired_when_clock_is_set_back() -> None:
    harness = StoreHarness()
    harness.start()
    harness.put(b"a", b"old")
    harness.settle()
    harness.put(b"a", b"new", harness.time + 5)
    harness.settle()
    harness.time += 10
    assert harness.current_engine.get(b"a") is None
    harness.put(b"b", b"")
    harness.settle()
    harness.current_engine.close()
    harness.time -= 100
    reopened = Engine.open(harness.files, LIMITS, lambda: harness.time, lambda *_, **__: None)
    assert reopened.get(b"a") is None and reopened.keys() == [b"b"]
