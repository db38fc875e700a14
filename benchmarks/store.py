"""Measures the embedded store compared with direct writes to the same disk.

    python -O -m benchmarks.store [--directory DIR] [commits|open|stall|memory|space …]

Every comparison runs its variants in turn and takes medians over the rounds. Results are printed as Markdown tables;
docs/store.md keeps the tables of one run and describes its machine."""

from __future__ import annotations

import asyncio
import gc
import math
import os
import random
import shutil
import statistics
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from chutepin.store import Store
from chutepin.store.codec import RECORD_HEADER_BYTES
from chutepin.store.engine import Engine
from chutepin.store.file_system import LocalFileSystem, read_file
from chutepin.store.limits import Limits
from chutepin.store.recovery import StoreReader

ROUNDS = 5
VALUE_BYTES = (100, 2000, 16_384, 65_536)
KEY_BYTES = 24
GIB = 2**30


@contextmanager
def scratch_directory(parent: str) -> Iterator[Path]:
    """Create a temporary directory and remove it on exit."""
    path = Path(tempfile.mkdtemp(dir=parent))
    try:
        yield path
    finally:
        shutil.rmtree(path)


def table(head: list[str], rows: list[list[object]]) -> None:
    """Print a Markdown table."""
    print("| " + " | ".join(head) + " |\n|" + " --- |" * len(head))
    for row in rows:
        print(
            "| "
            + " | ".join(
                f"{cell:,.0f}"
                if isinstance(cell, float) and cell >= 100
                else f"{cell:.2f}"
                if isinstance(cell, float)
                else str(cell)
                for cell in row
            )
            + " |"
        )
    print(flush=True)


def direct_commits(path: Path, count: int, group: int, size: int, writes: int) -> float:
    """Return the commits a second of a loop that writes each group in `writes` writes and syncs it."""
    descriptor = os.open(path / "direct", os.O_RDWR | os.O_CREAT | os.O_TRUNC)
    data = os.urandom(group * (RECORD_HEADER_BYTES + KEY_BYTES + size) // writes)
    begin = time.perf_counter()
    for _ in range(count):
        for _ in range(writes):
            os.write(descriptor, data)
        os.fdatasync(descriptor)
    elapsed_s = time.perf_counter() - begin
    os.close(descriptor)
    return count / elapsed_s


def store_commits(path: Path, count: int, group: int, size: int) -> float:
    """Return the commits a second of a caller that puts a group and waits for its commit."""
    value = os.urandom(size)
    with Store.open(path / "store", segment_bytes=64 * 2**20, max_bytes=16 * GIB, max_memory=GIB) as store:
        store.put(b"warm", b"", math.inf)
        store.commit()
        begin = time.perf_counter()
        for number in range(count):
            store.put_many([(b"%012d%012d" % (number, index), value) for index in range(group)], math.inf)
            store.commit()
        elapsed_s = time.perf_counter() - begin
    shutil.rmtree(path / "store")
    return count / elapsed_s


def overlapping_commits(path: Path, count: int, group: int, size: int) -> float:
    """Return the commits a second of two callers on one event loop.

    One caller's group is encoded while the other's is synced."""
    value = os.urandom(size)

    async def run() -> float:
        with Store.open(path / "store", segment_bytes=64 * 2**20, max_bytes=16 * GIB, max_memory=GIB) as store:

            async def caller(name: int) -> None:
                for number in range(count // 2):
                    store.put_many(
                        [(b"%d%011d%012d" % (name, number, index), value) for index in range(group)], math.inf
                    )
                    await store.committed()

            store.put(b"warm", b"", math.inf)
            await store.committed()
            begin = time.perf_counter()
            await asyncio.gather(caller(1), caller(2))
            return count // 2 * 2 / (time.perf_counter() - begin)

    result = asyncio.run(run())
    shutil.rmtree(path / "store")
    return result


def awaited_puts(path: Path, count: int, group: int, size: int) -> float:
    """Return the records a second of `group` callers on one event loop; each awaits every single record."""
    value = os.urandom(size)

    async def run() -> float:
        with Store.open(path / "store", segment_bytes=64 * 2**20, max_bytes=16 * GIB, max_memory=GIB) as store:

            async def caller(index: int) -> None:
                for number in range(count):
                    store.put(b"%012d%012d" % (number, index), value, math.inf)
                    await store.committed()

            begin = time.perf_counter()
            await asyncio.gather(*(caller(index) for index in range(group)))
            return count * group / (time.perf_counter() - begin)

    result = asyncio.run(run())
    shutil.rmtree(path / "store")
    return result


def commits(parent: str) -> None:
    """Compare group commit with loops that write and sync directly."""
    rows: list[list[object]] = []
    for size in VALUE_BYTES:
        for group in (1, 16, 256):
            count = max(8, min(400, 6000 // group, 128 * 2**20 // (size * group)))
            results: list[tuple[float, ...]] = []
            with scratch_directory(parent) as path:
                for _ in range(ROUNDS):
                    results.append(
                        (
                            direct_commits(path, count, group, size, 1),
                            direct_commits(path, count, group, size, group),
                            store_commits(path, count, group, size),
                            overlapping_commits(path, count, group, size),
                            awaited_puts(path, min(count, 60), group, size) / group,
                            direct_commits(path, min(count * group, 400), 1, size, 1) / group,
                        )
                    )
            medians = [statistics.median(column) for column in zip(*results, strict=True)]
            best = max(medians[2], medians[3])
            rows.append([size, group, *medians, best * group, best / medians[0], best / medians[1], best / medians[5]])
    table(
        [
            "value bytes",
            "group",
            "(a) one write + sync, commits/s",
            "(a') a write each + sync",
            "store: put_many, commit",
            "store: two groups in flight",
            "store: a caller each",
            "(b) a sync each",
            "store, records/s",
            "of (a)",
            "of (a')",
            "times (b)",
        ],
        rows,
    )


def fill_store(path: Path, count: int, size: int) -> None:
    """Create a store with `count` keys, in which all segments but the last are sealed."""
    value = os.urandom(size)
    with Store.open(path, segment_bytes=8 * 2**20, max_bytes=64 * GIB, max_memory=8 * GIB) as store:
        for number in range(count):
            store.put(b"%024d" % number, value, math.inf)
        store.commit()


def opening(parent: str, count: int = 1_000_000, size: int = 200) -> None:
    """Compare opening with hints, opening by a full scan, and reading the same bytes."""
    with scratch_directory(parent) as path:
        fill_store(path / "store", count, size)
        files = LocalFileSystem(path / "store")
        results = []
        for _ in range(3):
            begin = time.perf_counter()
            for name in files.names():
                read_file(files, name)
            raw = time.perf_counter() - begin
            read_times = []
            for hints in (True, False):
                gc.collect()
                begin = time.perf_counter()
                recovered = StoreReader(files).read(hints=hints)
                read_times.append(time.perf_counter() - begin)
                assert recovered is not None and len(recovered.log.index) == count
                del recovered
            begin = time.perf_counter()
            Store.open(path / "store", max_bytes=64 * GIB, max_memory=8 * GIB).close()
            results.append((raw, *read_times, time.perf_counter() - begin))
        raw, hinted, scanned, whole = (statistics.median(column) for column in zip(*results, strict=True))
    table(
        [
            "records",
            "value bytes",
            "raw read, s",
            "with hints, s",
            "full scan, s",
            "scan / hints",
            "hints / raw",
            "Store.open to close, s",
        ],
        [[f"{count:,}", size, raw, hinted, scanned, scanned / hinted, hinted / raw, whole]],
    )


def stalls(parent: str) -> None:
    """Measure put and commit latencies of a steady writer, with and without concurrent compaction."""
    rows: list[list[object]] = []
    rng = random.Random(1)
    for name, keys in (("no compaction: every key new", 0), ("compaction: 8,000 keys replaced at random", 8000)):
        with scratch_directory(parent) as path, Store.open(path, segment_bytes=2**20, max_bytes=64 * 2**20) as store:
            put_s, commit_s = [], []
            for number in range(60_000):
                key = b"%024d" % (rng.randrange(keys) if keys else number)
                begin = time.perf_counter()
                store.put(key, bytes(1000), math.inf if keys else time.time() + 1)
                put_s.append(time.perf_counter() - begin)
                if number % 16 == 15:
                    begin = time.perf_counter()
                    store.commit()
                    commit_s.append(time.perf_counter() - begin)
            metrics = store.metrics()
            rows.append(
                [
                    name,
                    metrics.get("copied_bytes", 0) / 2**20,
                    *(
                        1000 * value
                        for times in (put_s, commit_s)
                        for value in (statistics.median(times), sorted(times)[int(0.999 * len(times))], max(times))
                    ),
                ]
            )
    table(
        [
            "writer of 1,000-byte values, 16 a commit",
            "copied, MiB",
            "put median, ms",
            "put 99.9 %, ms",
            "put longest, ms",
            "commit median, ms",
            "commit 99.9 %, ms",
            "commit longest, ms",
        ],
        rows,
    )


def resident_bytes() -> int:
    """Return the resident memory (VmRSS) of this process in bytes."""
    return int(Path("/proc/self/status").read_text().split("VmRSS:")[1].split()[0]) * 1024


def memory(parent: str, count: int = 500_000) -> None:
    """Measure the bytes of memory for each key, as the growth of the process when a store is opened."""
    rows: list[list[object]] = []
    for name, expires in (("never", math.inf), ("within the hour", 3600.0)):
        first = time.time() + 60
        with scratch_directory(parent) as path:
            with Store.open(path, segment_bytes=8 * 2**20, max_bytes=8 * GIB, max_memory=GIB) as store:
                for number in range(count):
                    store.put(b"%032d" % number, b"", first + expires * ((number + 1) / count))
                store.commit()
            gc.collect()
            before = resident_bytes()
            with Store.open(path, max_bytes=8 * GIB, max_memory=GIB) as store:
                growth_bytes = resident_bytes() - before
                estimate = store.metrics()["memory_bytes"]
            rows.append([f"{count:,}", name, growth_bytes / count, estimate / count])
    table(["keys of 32 bytes", "expire", "measured, bytes a key", "the store's estimate"], rows)


def space(parent: str) -> None:
    """Measure disk space and write amplification over long runs with a simulated clock."""
    rng = random.Random(1)
    workloads: dict[str, Callable[[int], tuple[bytes, float]]] = {
        "keyed requests: new keys, window 44 s": lambda n: (b"%024d" % n, 44.118),
        "new keys, a tenth kept for good": lambda n: (b"%024d" % n, math.inf if n % 10 == 0 and n < 60_000 else 44.118),
        "5,000 keys replaced at random": lambda _: (b"%024d" % rng.randrange(5000), math.inf),
        "5,000 keys, 500 of them in nine puts of ten": lambda n: (
            b"%024d" % (rng.randrange(500) if n % 10 else 500 + rng.randrange(4500)),
            math.inf,
        ),
    }
    rows: list[list[object]] = []
    for name, workload in workloads.items():
        now = [1e9]
        max_disk_mib = 0.0
        max_ratio = 0.0
        with scratch_directory(parent) as path:
            engine = Engine.open(
                LocalFileSystem(path),
                Limits(2**20, GIB // 4, GIB),
                lambda now=now: now[0],  # type: ignore[misc]
                lambda *_, **__: None,
            )
            for number in range(150_000):
                key, lifetime_s = workload(number)
                while not engine.put(key, bytes(800), now[0] + lifetime_s):
                    engine.flush()
                    engine.step()
                now[0] += 0.005
                if number % 64 == 63:
                    engine.settle()
                    metrics = engine.metrics()
                    if number > 20_000:
                        max_disk_mib = max(max_disk_mib, metrics["disk_bytes"] / 2**20)
                        max_ratio = max(max_ratio, metrics["disk_bytes"] / max(metrics["live_bytes"], 4 * 2**20))
            metrics = engine.metrics()
            engine.close()
        rows.append(
            [
                name,
                metrics["put_bytes"] / 2**20,
                metrics["live_bytes"] / 2**20,
                max_disk_mib,
                max_ratio,
                metrics.get("copied_bytes", 0) / metrics["put_bytes"],
                metrics["written_bytes"] / metrics["put_bytes"],
            ]
        )
    table(
        [
            "run of 150,000 puts of 800 bytes",
            "put, MiB",
            "live at the end, MiB",
            "most on disk, MiB",
            "worst disk / live",
            "copied / put",
            "written / put",
        ],
        rows,
    )


BENCHMARKS: dict[str, Callable[[str], None]] = {
    "commits": commits,
    "open": opening,
    "stall": stalls,
    "memory": memory,
    "space": space,
}


@click.command()
@click.option("--directory", default=".", show_default=True, help="Directory to write to, on the measured disk.")
@click.argument("parts", nargs=-1, type=click.Choice(list(BENCHMARKS)))
def main(directory: str, parts: tuple[str, ...]) -> None:
    """Measure the named parts, or all parts."""
    print(f"{os.cpu_count()} cores; {time.strftime('%Y-%m-%d')}\n")
    for part in parts or BENCHMARKS:
        BENCHMARKS[part](directory)


if __name__ == "__main__":
    main()
