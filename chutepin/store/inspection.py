"""Inspects a closed store: damage, statistics and records. Writes nothing."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path

from .codec import (
    FIRST_RECORD_OFFSET,
    Manifest,
    Record,
    RecordKind,
    SegmentEntry,
    check_segment_header,
    decode_hint,
    decode_manifest,
    decode_markers,
)
from .errors import CorruptDataError, StoreDamagedError, StoreError
from .file_system import File, FileSystem, LocalFileSystem, read_file
from .layout import MANIFEST_FILE, MARKER_FILE, hint_name, segment_name
from .recovery import StoreReader
from .salvage import salvage
from .segment_scan import SegmentScan


@dataclass(frozen=True, slots=True)
class Finding:
    """A defect of a store. With `loss`, opening or reading fails; otherwise the next opening repairs it."""

    file: str
    offset: int
    what: str
    loss: bool = True


@dataclass(slots=True)
class CheckResult:
    """The result of a check: findings, and the numbers of checked segments, records and bytes."""

    findings: list[Finding] = field(default_factory=list)
    segments: int = 0
    records: int = 0
    bytes: int = 0

    @property
    def sound(self) -> bool:
        """Return whether no finding is a loss."""
        return not any(finding.loss for finding in self.findings)

    def as_dict(self) -> dict[str, object]:
        """Return the result as a dictionary for `--json`."""
        return asdict(self) | {"sound": self.sound}


@contextmanager
def locked_directory(path: str | Path) -> Iterator[FileSystem]:
    """Lock a store's directory for inspection. Raises StoreLockedError, or StoreError if there is no store."""
    file_system = LocalFileSystem(path)
    try:
        file_system.lock(create=False)
    except OSError as error:
        raise StoreError(f"{path}: no store in this directory: {error.strerror or error}") from None
    try:
        yield file_system
    except OSError as error:
        raise StoreError(f"{path}: {error.strerror or error}") from error
    finally:
        file_system.unlock()


@contextmanager
def opened(file_system: FileSystem, name: str) -> Iterator[File]:
    """Open a file, and close it on exit."""
    file = file_system.open(name)
    try:
        yield file
    finally:
        file.close()


def check(file_system: FileSystem) -> CheckResult:
    """Validate the whole store and list all damage, not only the first."""
    result = CheckResult()
    names = set(file_system.names())
    manifest = _check_manifest(result, file_system, names)
    if manifest is None:
        return result
    if MARKER_FILE not in names or not decode_markers(read_file(file_system, MARKER_FILE)):
        result.findings.append(
            Finding(MARKER_FILE, 0, "no valid durability marker; the next opening writes one", loss=False)
        )
    for entry in manifest.segments:
        name = segment_name(entry.number)
        result.segments += 1
        if name not in names:
            result.findings.append(Finding(name, 0, "missing"))
            continue
        with opened(file_system, name) as file:
            result.bytes += file.size()
            _check_segment(result, file, entry, manifest.segment_bytes)
        if entry.end:
            _check_hint(result, file_system, entry, names)
    _check_log(result, file_system)
    return result


def _check_manifest(result: CheckResult, file_system: FileSystem, names: set[str]) -> Manifest | None:
    try:
        return decode_manifest(read_file(file_system, MANIFEST_FILE))
    except FileNotFoundError:
        if any(name.endswith(".seg") for name in names):
            result.findings.append(Finding(MANIFEST_FILE, 0, "missing, but segments exist"))
    except CorruptDataError as error:
        result.findings.append(Finding(MANIFEST_FILE, error.offset, str(error)))
    return None


def _check_segment(result: CheckResult, file: File, entry: SegmentEntry, segment_bytes: int) -> None:
    name = segment_name(entry.number)
    size = file.size()
    if size != segment_bytes:
        result.findings.append(Finding(name, size, f"{size} bytes, but created with {segment_bytes}"))
    try:
        check_segment_header(file.read(0, FIRST_RECORD_OFFSET), entry.number, segment_bytes)
    except CorruptDataError as error:
        result.findings.append(Finding(name, error.offset, str(error)))
    for part in salvage(file, entry.end or size):
        if isinstance(part, Record):
            result.records += 1
        elif entry.end:  # in an unsealed segment `_check_log` decides whether the range is a torn tail
            result.findings.append(Finding(name, part.offset, f"{part.end - part.offset} bytes: {part.reason}"))


def _check_hint(result: CheckResult, file_system: FileSystem, entry: SegmentEntry, names: set[str]) -> None:
    name = hint_name(entry.number)
    if name not in names:
        result.findings.append(Finding(name, 0, "missing; the next opening rebuilds it", loss=False))
        return
    try:
        data = read_file(file_system, name)
        decode_hint(data, entry.number, entry.end, entry.record_count, entry.last_sequence)
    except CorruptDataError as error:
        result.findings.append(Finding(name, 0, f"{error}; the next opening rebuilds it", loss=False))


def _check_log(result: CheckResult, file_system: FileSystem) -> None:
    """Check properties that span files, such as a log that ends before the durability marker."""
    try:
        recovered = StoreReader(file_system).read(hints=False)
    except StoreDamagedError as error:
        if not any(
            finding.loss and finding.file == error.file and finding.offset == error.offset
            for finding in result.findings
        ):
            result.findings.append(Finding(error.file, error.offset, error.reason))
        return
    if recovered is not None and recovered.torn_bytes and recovered.tail is not None:
        result.findings.append(
            Finding(
                segment_name(recovered.tail.number),
                recovered.tail.end,
                f"{recovered.torn_bytes} bytes of an unacknowledged batch; the next opening drops them",
                loss=False,
            )
        )


def statistics(file_system: FileSystem) -> dict[str, object]:
    """Return statistics of the store and its segments, under the names that `store stat` prints.

    Raises StoreDamagedError."""
    recovered = StoreReader(file_system).read()
    if recovered is None:
        return {"keys": 0, "segments": []}
    log = recovered.log
    log.index.expire_all(recovered.time_ms)
    return {
        "keys": len(log.index),
        "live_bytes": log.index.live_bytes,
        "disk_bytes": log.disk_bytes,
        "memory_bytes": log.index.memory_bytes,
        "segment_bytes": log.segment_bytes,
        "generation": recovered.manifest.generation,
        "last_seq": log.last_sequence,
        "torn_bytes": recovered.torn_bytes,
        "hints_to_rebuild": len(recovered.segments_without_hint),
        "segments": [
            {
                "number": segment.number,
                "records": segment.record_count,
                "telling": segment.live_records,
                "data_bytes": segment.data_bytes,
                "live_bytes": segment.live_bytes,
                "sealed": segment.sealed,
                "covers": sorted(segment.shadowed_segments),
            }
            for segment in log.segments.values()
        ],
    }


def dump(file_system: FileSystem, include_dead: bool = False) -> Iterator[Record]:
    """Iterate over the live records, or all records with `include_dead`, in log order."""
    recovered = StoreReader(file_system).read(hints=False)
    if recovered is None:
        return
    for segment in recovered.log.segments.values():
        with opened(file_system, segment_name(segment.number)) as file:
            for record in SegmentScan(file, recovered.log.segment_bytes):
                location = (segment.number, record.offset, record.size)
                is_latest = recovered.log.index.location_of(record.key) == location
                is_live = record.kind is RecordKind.PUT and is_latest and record.expires_ms > recovered.time_ms
                if include_dead or is_live:
                    yield record
