"""The store with its writer thread: group commit, stalled and failed disks, killed processes."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import math
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import pytest

from chutepin.store import Store, StoreBusyError, StoreClosedError, StoreError, StoreFailedError, StoreFullError
from chutepin.store.file_system import LocalFile, LocalFileSystem

from .helper import ROOT
from .test_setup import chutepin


class GatedFileSystem(LocalFileSystem):
    """A real directory whose syncs block while `gate` is cleared and fail with `error`."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.gate = threading.Event()
        self.gate.set()
        self.error: OSError | None = None
        self.syncs = 0

    def _gated(self, file: LocalFile) -> LocalFile:
        sync = file.sync

        def gated() -> None:
            self.gate.wait(30)
            self.syncs += 1
            if self.error is not None:
                raise self.error
            sync()

        file.sync = gated  # type: ignore[method-assign]
        return file

    def open(self, name: str) -> LocalFile:
        return self._gated(super().open(name))

    def create(self, name: str) -> LocalFile:
        return self._gated(super().create(name))


def with_store(directory: Path, test: Callable[[Store, GatedFileSystem], object]) -> None:
    async def run() -> None:
        file_system = GatedFileSystem(directory)
        store = Store.open(directory, max_bytes=2**22, files=file_system, sync_every=10.0)
        store.put(b"first", b"", math.inf)
        await store.committed()
        try:
            await test(store, file_system)  # type: ignore[misc]
        finally:
            file_system.gate.set()
            await asyncio.to_thread(_close, store)

    asyncio.run(run())


def _close(store: Store) -> None:
    with contextlib.suppress(StoreFailedError):
        store.close()


def test_concurrent_commits_share_one_sync(tmp_path: Path) -> None:
    async def test(store: Store, file_system: GatedFileSystem) -> None:
        file_system.gate.clear()
        store.put(b"a", b"", math.inf)
        blocked = asyncio.ensure_future(store.committed())
        await asyncio.sleep(0.05)
        before = file_system.syncs
        waiting = []
        for index in range(200):
            store.put(b"%d" % index, b"v", math.inf)
            waiting.append(asyncio.ensure_future(store.committed()))
        await asyncio.sleep(0.05)
        assert not blocked.done() and not any(future.done() for future in waiting)
        file_system.gate.set()
        await asyncio.gather(blocked, *waiting)
        assert file_system.syncs - before <= 4  # the blocked sync, the shared one, and those of a new segment

    with_store(tmp_path, test)


def test_stalled_disk_does_not_block_event_loop_and_full_queue_raises_busy(tmp_path: Path) -> None:
    async def test(store: Store, file_system: GatedFileSystem) -> None:
        file_system.gate.clear()
        longest_call_s, refused, accepted = 0.0, 0, 0
        waiting = []
        for index in range(3000):
            start = time.monotonic()
            try:
                store.put_nowait(b"%d" % index, bytes(4000), math.inf)
                accepted += 1
                if index % 100 == 0:
                    waiting.append(asyncio.ensure_future(store.committed()))
            except (StoreBusyError, StoreFullError):
                refused += 1
            assert store.get(b"first") == b""
            longest_call_s = max(longest_call_s, time.monotonic() - start)
            if index % 50 == 0:
                await asyncio.sleep(0)
        assert refused and accepted and longest_call_s < 1.0  # the disk stalls until the gate opens, up to 30 s
        assert not any(future.done() for future in waiting)
        file_system.gate.set()
        await store.wait_for_space()
        await asyncio.gather(*waiting)
        store.put_nowait(b"again", b"", math.inf)
        await store.committed()

    with_store(tmp_path, test)


def test_failed_sync_fails_every_waiting_commit(tmp_path: Path) -> None:
    async def test(store: Store, file_system: GatedFileSystem) -> None:
        file_system.gate.clear()
        store.put(b"a", b"", math.inf)
        waiting = [asyncio.ensure_future(store.committed()) for _ in range(5)]
        await asyncio.sleep(0.02)
        file_system.error = OSError(errno.EIO, "Input/output error")
        file_system.gate.set()
        results = await asyncio.gather(*waiting, return_exceptions=True)
        assert all(isinstance(result, StoreFailedError) for result in results)
        file_system.error = None  # a later sync would succeed without the lost data
        with pytest.raises(StoreFailedError):
            store.put(b"b", b"", math.inf)
        for attempt in (store.commit, store.compact):
            with pytest.raises(StoreFailedError):
                attempt()
        with pytest.raises(StoreFailedError):
            await store.committed()
        assert store.get(b"first") == b""

    with_store(tmp_path, test)
    with Store.open(tmp_path, max_bytes=2**22) as store:
        store.put(b"b", b"", math.inf)
        store.commit()


def test_put_is_synced_after_interval_without_commit(tmp_path: Path) -> None:
    store = Store.open(tmp_path, max_bytes=2**22, sync_every=0.01)
    store.put(b"a", b"1", math.inf)
    deadline = time.monotonic() + 30
    while store.metrics()["queued_bytes"]:
        assert time.monotonic() < deadline
        time.sleep(0.005)
    store.close()
    with pytest.raises(StoreClosedError):
        store.put(b"b", b"", math.inf)
    with pytest.raises(StoreClosedError):
        store.commit()


def test_concurrent_threads_put_delete_and_commit(tmp_path: Path) -> None:
    store = Store.open(tmp_path, segment_bytes=16384, max_bytes=2**19)
    models: list[dict[bytes, bytes]] = [{} for _ in range(4)]

    def work(number: int) -> None:
        rng = random.Random(number)
        for step in range(400):
            key = b"%d.%d" % (number, rng.randrange(20))
            if rng.random() < 0.3:
                store.delete(key)
                models[number].pop(key, None)
            else:
                models[number][key] = value = rng.randbytes(rng.randrange(400))
                store.put(key, value, math.inf)
            if step % 40 == 0:
                store.commit()

    threads = [threading.Thread(target=work, args=(number,)) for number in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    expected = {key: value for model in models for key, value in model.items()}
    assert dict(store.items()) == expected
    store.compact()
    store.close()
    with Store.open(tmp_path, max_bytes=2**19) as reopened:
        assert dict(reopened.items()) == expected and len(reopened) == len(expected)


@pytest.mark.parametrize(
    "arguments", [{"segment_bytes": 100}, {"max_bytes": 2**11}, {"segment_bytes": 2**31, "max_bytes": 2**40}]
)
def test_unusable_limits_are_refused(tmp_path: Path, arguments: dict[str, int]) -> None:
    with pytest.raises(StoreError, match="_bytes: "):
        Store.open(tmp_path, **arguments)  # type: ignore[arg-type]


def test_invalid_put_is_refused(tmp_path: Path) -> None:
    with Store.open(tmp_path, segment_bytes=4096, max_bytes=2**17) as store:
        for key, value, expires, message in (
            (b"k" * 70000, b"", 1.0, "a key of"),
            (b"k", bytes(4096), 1.0, "at most"),
            (b"k", b"", math.nan, "not a number"),
        ):
            with pytest.raises(StoreError, match=message):
                store.put(key, value, expires)


def test_short_write_is_continued(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    original_pwritev = os.pwritev

    def short(descriptor: int, buffers: Sequence[bytes], offset: int) -> int:
        return original_pwritev(descriptor, [bytes(buffers[0])[: max(1, len(buffers[0]) // 2)]], offset)

    monkeypatch.setattr(os, "pwritev", short)
    with Store.open(tmp_path, max_bytes=2**20) as store:
        for index in range(20):
            store.put(b"%d" % index, b"v" * index, math.inf)
        store.commit()
    monkeypatch.undo()
    with Store.open(tmp_path, max_bytes=2**20) as store:
        assert dict(store.items()) == {b"%d" % index: b"v" * index for index in range(20)}


WRITER = """
import math, sys
from chutepin.store import Store
store = Store.open(sys.argv[1], segment_bytes=8192, max_bytes=2**18, sync_every=0.001)
start = int((store.get(b"last") or b"0").decode())
for number in range(start + 1, start + 100000):
    store.put(b"k%d" % (number % 50), b"%d" % number * 20, math.inf)
    store.put(b"last", b"%d" % number, math.inf)
    if number % 7 == 0:
        store.commit()
        print(number, flush=True)
"""


def test_repeatedly_killed_process_keeps_acknowledged_records(tmp_path: Path) -> None:
    rng = random.Random(1)
    for _ in range(12):
        process = subprocess.Popen([sys.executable, "-c", WRITER, str(tmp_path)], cwd=ROOT, stdout=subprocess.PIPE)
        assert process.stdout is not None
        lines = [process.stdout.readline() for _ in range(rng.randrange(1, 60))]
        if len(lines) == 1:
            locked = chutepin("store", "check", str(tmp_path))
            assert locked.returncode == 3 and "open in another process" in locked.stderr
        process.send_signal(signal.SIGKILL)
        acknowledged = int((lines + process.stdout.read().splitlines())[-1])
        process.wait()
        with Store.open(tmp_path, max_bytes=2**18) as store:
            last = int(store.get(b"last") or b"0")
            assert last >= acknowledged
            newest = last + 1 if store.get(b"k%d" % ((last + 1) % 50)) == b"%d" % (last + 1) * 20 else last
            for number in range(max(1, newest - 49), newest + 1):
                assert store.get(b"k%d" % (number % 50)) == b"%d" % number * 20
