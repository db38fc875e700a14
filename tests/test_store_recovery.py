"""Recovery after power cuts, truncation, corruption and I/O errors at every place."""

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
from .store_world import LIMITS, World, contents, run_operations, run_script


def test_scripted_run_compacts_and_drops_segments() -> None:
    world = run_script()
    counts = world.open.counts
    assert counts["segments.compacted"] >= 1 and counts["copied_bytes"] > 0
    assert counts["segments.dropped"] > counts["segments.compacted"]  # some without copying
    assert counts["deleted"] > 5 and world.files.operations > 250
    world.open.close()
    again = world.check_recovered(world.files)
    assert contents(again) == world.visible(-1)


SHARDS = 8  # tests among which the operations of a run are divided


@pytest.mark.parametrize("shard", range(SHARDS))
def test_power_cut_at_any_file_operation_loses_no_acknowledged_record(shard: int) -> None:
    total = run_script().files.operations
    for cut in range(1 + shard, total + 1, SHARDS):
        world = World()
        world.files.cut_at = cut
        with pytest.raises(PowerCut):
            run_operations(world)
        outcomes: list[str | random.Random] = ["none", "all", *(random.Random(cut * 8 + i) for i in range(4))]
        for survivors in outcomes:
            files = world.files.after(survivors)
            engine = world.check_recovered(files, (cut, survivors))
            if cut % 3 == 0:
                check_usable(world, engine)


def check_usable(world: World, engine: Engine) -> None:
    """A recovered store works: it takes writes, compacts, closes and opens again."""
    before = contents(engine)
    engine.settle()
    assert engine.put(b"later", b"v" * 100, math.inf)
    engine.compact()
    engine.settle()
    engine.close()
    again = Engine.open(engine.context.file_system, world.limits, lambda: world.time, lambda *_, **__: None)
    assert contents(again) == before | {b"later": b"v" * 100}


@pytest.mark.parametrize("shard", range(SHARDS))
def test_power_cut_during_recovery_loses_no_acknowledged_record(shard: int) -> None:
    total = run_script().files.operations
    for cut in range(2 + shard, total + 1, 4 * SHARDS):
        world = World()
        world.files.cut_at = cut
        with pytest.raises(PowerCut):
            run_operations(world)
        for survivors in range(2):
            inner = 0
            while True:  # a cut at every operation of the recovery
                inner += 1
                files = world.files.after(random.Random(cut * 4 + survivors))
                files.cut_at = inner
                try:
                    world.check_recovered(files)
                    break
                except PowerCut:
                    for again in ("none", "all", random.Random(inner)):
                        world.check_recovered(files.after(again), (cut, survivors, inner))


def closed_and_killed_stores() -> dict[str, World]:
    """A store that was closed, and one whose process was killed."""
    closed, killed = run_script(4), run_script(5)
    closed.open.close()
    return {"closed": closed, "killed": killed}


def files_named(kind: str) -> list[tuple[World, str, int]]:
    found = []
    for world in closed_and_killed_stores().values():
        for name in world.files.names():
            if name.endswith(kind):
                found.append((world, name, len(world.files.seen[name].seen)))
    return found


def is_refused(world: World, files: SimulatedFileSystem, note: object) -> bool:
    """Whether opening or reading refuses with a clear message; otherwise every acknowledged record must be there."""
    try:
        engine = world.check_recovered(files, note)
    except StoreDamagedError as error:
        assert error.file in str(error) and "repair" in str(error)
        return True
    engine.close()
    return False


@pytest.mark.parametrize("kind", ["MANIFEST", "ACKED", "hint", "seg"])
def test_truncated_file_is_refused_or_loses_no_acknowledged_record(kind: str) -> None:
    refused = total = 0
    for world, name, size in files_named(kind):
        for length in range(size):
            files = world.files.copy()
            del files.seen[name].seen[length:]
            refused += is_refused(world, files, (name, length))
            total += 1
    assert total > 100
    # A segment or manifest that is too short is always noticed; hints and durability markers can be rebuilt.
    assert refused == (total if kind in ("seg", "MANIFEST") else 0)


@pytest.mark.parametrize("kind", ["MANIFEST", "ACKED", "hint", "seg"])
def test_flipped_bit_is_refused_or_loses_no_acknowledged_record(kind: str) -> None:
    refused = total = 0
    for world, name, size in files_named(kind):
        for offset in range(size):
            files = world.files.copy()
            files.seen[name].seen[offset] ^= 1 << offset % 8
            refused += is_refused(world, files, (name, offset))
            total += 1
    assert total > 100 and (refused > total / 4 if kind in ("seg", "MANIFEST") else refused == 0)


@pytest.mark.parametrize("name", ["MANIFEST", "seg"])
def test_missing_file_is_refused(name: str) -> None:
    for world, file, _ in files_named(name):
        files = world.files.copy()
        files.remove(file)
        assert is_refused(world, files, file)


def test_torn_tail_is_dropped_and_reported_once() -> None:
    world = World()
    world.start()
    world.settle()
    world.put(b"a", b"kept")
    world.flush()
    world.put(b"b", b"torn" * 50)
    world.files.cut_at = world.files.operations + 2  # inside the sync of the batch
    with pytest.raises(PowerCut):
        world.flush()
    active = world.open.log.active
    assert active is not None
    # All of the record but its last bytes is on the disk.
    files = world.files.after("all")
    name = f"{active.number:010d}.seg"
    files.seen[name].seen[active.end - 5 : active.end] = bytes(5)
    again = World(files)
    again.start()
    assert contents(again.open) == {b"a": b"kept"}
    assert [name for name, _ in again.events] == ["store.torn_tail"]
    assert again.events[0][1]["offset"] > 64


def test_unreadable_record_is_damage_if_a_later_one_proves_it_was_durable() -> None:
    world = World()
    world.start()
    world.settle()
    for key in (b"a", b"b", b"c"):
        world.put(key, key * 20)
        world.flush()
    active = world.open.log.active
    assert active is not None
    files = world.files.copy()
    files.seen["ACKED"].seen[:] = bytes(8192)  # as if no durability marker had reached the disk
    files.seen[f"{active.number:010d}.seg"].seen[64 + 40] ^= 1  # in the first record
    with pytest.raises(StoreDamagedError, match="a later record proves that it had been durable"):
        World(files).start()


@pytest.mark.parametrize("shard", range(4))
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_io_error_at_any_file_operation_is_raised_and_loses_no_acknowledged_record(number: int, shard: int) -> None:
    total = run_script().files.operations
    for at in range(20 + shard, total, 8):  # before that the store is not open yet
        world = World()
        world.files.fail = lambda _operation, _name, world=world, at=at: (  # type: ignore[misc]
            OSError(number, "made up") if world.files.operations == at else None
        )
        try:
            run_operations(world)
        except StoreFailedError:
            with pytest.raises(StoreFailedError, match="until it is opened again"):
                world.open.flush()
            with pytest.raises(StoreFailedError, match="until it is opened again"):
                world.open.put(b"x", b"", math.inf)
        except StoreError:
            assert number == errno.ENOSPC and world.engine is not None and not world.open.context.failure
        # What a failed sync did not write may still be in the page cache, or be lost.
        world.check_recovered(world.files.copy(), at)
        for survivors in ("none", "all"):
            world.check_recovered(world.files.after(survivors), at)


@pytest.mark.parametrize("at", range(1, 12))
def test_read_only_directory_is_refused_and_unlocked(at: int) -> None:
    made, empty = World(), World()
    made.start()
    made.put(b"a", b"1") if made.open.log.active else made.settle()
    made.settle()
    made.open.close()
    for world in (made, empty):
        start = world.files.operations
        world.files.fail = lambda _operation, _name, world=world, start=start: (  # type: ignore[misc]
            OSError(errno.EROFS, "Read-only file system") if world.files.operations >= start + at else None
        )
        try:
            Engine.open(world.files, LIMITS, lambda: 1000.0, lambda *_, **__: None).close()
        except StoreError as error:
            assert "Read-only file system" in str(error)
        else:
            assert world is made and at > 2  # a clean store is opened without much writing
        assert not world.files.locked


def test_reopening_after_failed_sync_rewrites_what_only_the_page_cache_holds() -> None:
    world = World()
    world.start()
    world.settle()
    world.put(b"a", b"1")
    world.files.fail = lambda operation, _: OSError(errno.EIO, "lost") if operation == "sync" else None
    with pytest.raises(StoreFailedError):
        world.flush()
    world.files.fail = lambda *_: None
    world.open.close()
    engine = world.check_recovered(world.files)
    shown = contents(engine)
    assert shown == {b"a": b"1"}  # the page cache still shows it; so it must be durable from now on
    assert contents(world.check_recovered(world.files.after("none"))) == shown


def test_expired_key_stays_expired_when_clock_is_set_back() -> None:
    world = World()
    world.start()
    world.put(b"a", b"old")
    world.settle()
    world.put(b"a", b"new", world.time + 5)
    world.settle()
    world.time += 10
    assert world.open.get(b"a") is None
    world.put(b"b", b"")
    world.settle()
    world.open.close()
    world.time -= 100
    again = Engine.open(world.files, LIMITS, lambda: world.time, lambda *_, **__: None)
    assert again.get(b"a") is None and again.keys() == [b"b"]
