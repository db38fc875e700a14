"""Looking into a store that nobody has open: all damage, its figures, its records, and what can be salvaged.

Nothing here writes into the store it looks at."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path

from .codec import (
    FIRST_RECORD_OFFSET,
    MAGIC,
    NEVER_MS,
    CorruptRecordError,
    Manifest,
    Record,
    RecordKind,
    check_segment_header,
    decode,
    decode_hint,
    decode_manifest,
    decode_markers,
)
from .errors import StoreDamagedError, StoreError
from .file_system import File, FileSystem, LocalFileSystem
from .recovery import MANIFEST_FILE, MARKER_FILE, SegmentScan, StoreReader, hint_name, segment_name
from .store import Store


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is not as it should be. Of a `loss` opening refuses or reading will; the rest mends itself."""

    file: str
    offset: int
    what: str
    loss: bool = True


@dataclass(frozen=True, slots=True)
class UnreadableRange:
    """Bytes that hold no record that can be read."""

    offset: int
    end: int
    what: str


@dataclass(slots=True)
class CheckResult:
    """What a check found."""

    findings: list[Finding] = field(default_factory=list)
    segments: int = 0
    records: int = 0
    bytes: int = 0

    @property
    def sound(self) -> bool:
        """Nothing is lost."""
        return not any(finding.loss for finding in self.findings)

    def as_dict(self) -> dict[str, object]:
        """For `--json`."""
        return asdict(self) | {"sound": self.sound}


@contextmanager
def directory(path: str | Path) -> Iterator[FileSystem]:
    """A store's directory, locked while it is looked at. Raises StoreLockedError, or StoreError if it is none."""
    files = LocalFileSystem(path)
    try:
        files.lock(create=False)
    except OSError as error:
        raise StoreError(f"{path}: no store is here: {error.strerror or error}") from None
    try:
        yield files
    except OSError as error:
        raise StoreError(f"{path}: {error.strerror or error}") from error
    finally:
        files.unlock()


@contextmanager
def _opened(files: FileSystem, name: str) -> Iterator[File]:
    file = files.open(name)
    try:
        yield file
    finally:
        file.close()


def check(files: FileSystem) -> CheckResult:
    """Read every byte that counts, and list all damage, not only the first."""
    found = CheckResult()
    names = set(files.names())
    manifest = _check_manifest(found, files, names)
    if manifest is None:
        return found
    if MARKER_FILE not in names or len(decode_markers(StoreReader(files).whole(MARKER_FILE))) < 1:
        found.findings.append(Finding(MARKER_FILE, 0, "no sound watermark; the next opening writes one", loss=False))
    for entry in manifest.segments:
        name = segment_name(entry.number)
        found.segments += 1
        if name not in names:
            found.findings.append(Finding(name, 0, "missing"))
            continue
        with _opened(files, name) as file:
            found.bytes += file.size()
            _check_segment(found, manifest, file, name, entry.number, entry.end)
        if entry.end:
            _check_hint(found, files, manifest, entry.number, names)
    _check_whole(found, files)
    return found


def _check_manifest(found: CheckResult, files: FileSystem, names: set[str]) -> Manifest | None:
    try:
        return decode_manifest(StoreReader(files).whole(MANIFEST_FILE))
    except FileNotFoundError:
        if any(name.endswith(".seg") for name in names):
            found.findings.append(Finding(MANIFEST_FILE, 0, "missing, while segments are there"))
    except CorruptRecordError as error:
        found.findings.append(Finding(MANIFEST_FILE, error.offset, str(error)))
    return None


def _check_whole(found: CheckResult, files: FileSystem) -> None:
    """What only the files together show, such as a log that ends before the watermark."""
    try:
        torn = StoreReader(files).read(hints=False)
        if torn is not None and torn.torn and torn.tail is not None:
            found.findings.append(
                Finding(
                    segment_name(torn.tail.number),
                    torn.tail.end,
                    f"{torn.torn} bytes of a batch that was never acknowledged; the next opening drops them",
                    loss=False,
                )
            )
    except StoreDamagedError as error:
        if not any(f.loss and f.file == error.file and f.offset == error.offset for f in found.findings):
            found.findings.append(Finding(error.file, error.offset, error.what))


def _check_segment(found: CheckResult, manifest: Manifest, file: File, name: str, number: int, end: int) -> None:
    if (size := file.size()) != manifest.segment_bytes:
        found.findings.append(Finding(name, size, f"{size} bytes, but laid out with {manifest.segment_bytes}"))
    try:
        check_segment_header(file.read(0, FIRST_RECORD_OFFSET), number, manifest.segment_bytes)
    except CorruptRecordError as error:
        found.findings.append(Finding(name, error.offset, str(error)))
    for part in salvage(file, end or file.size()):
        if isinstance(part, Record):
            found.records += 1
        elif end:  # of the others the reading of the whole store tells whether it counts
            found.findings.append(Finding(name, part.offset, f"{part.end - part.offset} bytes: {part.what}"))


def _check_hint(found: CheckResult, files: FileSystem, manifest: Manifest, number: int, names: set[str]) -> None:
    entry = next(entry for entry in manifest.segments if entry.number == number)
    name = hint_name(number)
    if name not in names:
        found.findings.append(Finding(name, 0, "missing; the next opening writes it", loss=False))
        return
    try:
        decode_hint(StoreReader(files).whole(name), number, entry.end, entry.count, entry.last)
    except CorruptRecordError as error:
        found.findings.append(Finding(name, 0, f"{error}; the next opening writes it anew", loss=False))


_MAGIC = MAGIC.to_bytes(2, "little")


def salvage(file: File, end: int) -> Iterator[Record | UnreadableRange]:
    """All records of a segment that can be read up to `end`, and the gaps between them.

    Behind a place that can't be read the next sound record is looked for byte by byte. Zeros up to the end are no
    gap."""
    data = file.read(FIRST_RECORD_OFFSET, max(0, end - FIRST_RECORD_OFFSET))
    at, broken, why = 0, -1, ""
    while at < len(data):
        record: Record | int | None = None
        try:
            record = decode(data, at, FIRST_RECORD_OFFSET)
        except CorruptRecordError as error:
            why = why or str(error)
        if not isinstance(record, Record):
            if broken < 0:
                if not data[at:].strip(b"\0"):
                    return
                broken = at
                why = why or "a record is cut"
            found = data.find(_MAGIC, at + 5)
            if found < 0:
                break
            at = found - 4
            continue
        if broken >= 0:
            yield UnreadableRange(FIRST_RECORD_OFFSET + broken, FIRST_RECORD_OFFSET + at, why)
            broken, why = -1, ""
        yield record
        if record.kind is RecordKind.SEAL:
            return
        at += record.size
    if broken >= 0:
        yield UnreadableRange(
            FIRST_RECORD_OFFSET + broken, FIRST_RECORD_OFFSET + broken + len(data[broken:].rstrip(b"\0")), why
        )


def stat(files: FileSystem) -> dict[str, object]:
    """Figures of the store and of each segment. Raises StoreDamagedError as opening would."""
    found = StoreReader(files).read()
    if found is None:
        return {"keys": 0, "segments": []}
    book = found.book
    book.expire_all(found.time)
    return {
        "keys": len(book.index),
        "live_bytes": book.live,
        "disk_bytes": book.disk,
        "memory_bytes": book.memory,
        "segment_bytes": book.segment_bytes,
        "generation": found.manifest.generation,
        "last_seq": book.sequence,
        "torn_bytes": found.torn,
        "hints_to_rebuild": len(found.rebuilt),
        "segments": [
            {
                "number": segment.number,
                "records": segment.count,
                "telling": segment.live_records,
                "data_bytes": segment.data,
                "live_bytes": segment.live,
                "sealed": segment.sealed,
                "covers": sorted(segment.shadowed_segments),
            }
            for segment in book.segments.values()
        ],
    }


def dump(files: FileSystem, every: bool = False) -> Iterator[Record]:
    """The records that tell, or with `every` all that are laid out, in the order of the log."""
    found = StoreReader(files).read(hints=False)
    if found is None:
        return
    for segment in found.book.segments.values():
        with _opened(files, segment_name(segment.number)) as file:
            for record in SegmentScan(file, found.book.segment_bytes):
                tells = found.book.place(record.key) == (segment.number, record.offset, record.size)
                if every or (record.kind is RecordKind.PUT and tells and record.expires > found.time):
                    yield record


@dataclass(slots=True)
class RepairResult:
    """What a repair kept and what it could not."""

    kept: int = 0  # keys
    read: int = 0  # records
    expired: int = 0
    gaps: list[Finding] = field(default_factory=list)
    missing: int = 0  # records that are known to have been there and can't be read, whatever they said

    def as_dict(self) -> dict[str, object]:
        """For `--json`."""
        return asdict(self)


def repair(files: FileSystem, into: str | Path, now: Callable[[], float], max_bytes: int) -> RepairResult:
    """Salvage all that can be read into a new store at `into`, which must not hold one yet.

    A record that can't be read may have been the last of its key, a deletion among them: then an older value comes
    back. That is why this is never done unasked, and why every gap is listed."""
    if Path(into).exists() and any(Path(into).iterdir()):
        raise StoreError(f"{into}: not empty; repair writes into a new directory")
    result = RepairResult()
    names = [name for name in files.names() if name.endswith(".seg")]
    last: dict[bytes, Record] = {}
    counts: dict[str, int] = {}
    try:
        manifest = decode_manifest(StoreReader(files).whole(MANIFEST_FILE))
        counts = {segment_name(entry.number): entry.count for entry in manifest.segments if entry.end}
        known = {segment_name(entry.number) for entry in manifest.segments}
        result.gaps += [Finding(name, 0, "missing") for name in sorted(known - set(names))]
        names = [name for name in names if name in known]  # the others had left the log
    except (CorruptRecordError, FileNotFoundError) as error:
        result.gaps.append(Finding(MANIFEST_FILE, 0, f"{error}; every segment that is there is read"))
    for name in sorted(names):
        with _opened(files, name) as file:
            seqs: list[int] = []
            for part in salvage(file, file.size()):
                if isinstance(part, UnreadableRange):
                    result.gaps.append(Finding(name, part.offset, f"{part.end - part.offset} bytes: {part.what}"))
                    continue
                result.read += 1
                seqs.append(part.sequence)
                if part.kind is not RecordKind.SEAL:
                    last[part.key] = part
            # Inside a segment seqs have no gap; where it is sealed its count is known besides.
            there = counts.get(name, seqs[-1] - seqs[0] + 1 if seqs else 0)
            result.missing += there - len(seqs)
    with Store.open(into, max_bytes=max_bytes, clock=now) as store:
        for key, record in last.items():
            if record.kind is not RecordKind.PUT:
                continue
            if record.expires <= now() * 1000:
                result.expired += 1
                continue
            store.put(key, record.value, math.inf if record.expires == NEVER_MS else record.expires / 1000)
            result.kept += 1
        store.commit()
    return result
