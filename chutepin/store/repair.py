"""Repairs a closed, damaged store by salvaging its readable records into a new store."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path

from .codec import NEVER_MS, Record, RecordKind, decode_manifest
from .errors import CorruptDataError, StoreError
from .file_system import FileSystem, read_file
from .inspection import Finding, opened
from .layout import MANIFEST_FILE, segment_name
from .salvage import UnreadableRange, salvage
from .store import Store


@dataclass(slots=True)
class RepairResult:
    """The result of a repair: keys kept, and ranges and records that could not be read."""

    kept: int = 0  # keys
    read: int = 0  # records
    expired: int = 0
    gaps: list[Finding] = field(default_factory=list)
    missing: int = 0  # records known to have existed that can't be read

    def as_dict(self) -> dict[str, object]:
        """Return the result as a dictionary for `--json`."""
        return asdict(self)


def repair(file_system: FileSystem, into: str | Path, now: Callable[[], float], max_bytes: int) -> RepairResult:
    """Salvage all readable records into a new store at `into`, which must be empty.

    An unreadable record may have been the latest of its key, possibly a delete, in which case an older value is
    restored. A store therefore never repairs itself, and every unreadable range is listed."""
    if Path(into).exists() and any(Path(into).iterdir()):
        raise StoreError(f"{into}: not empty; repair writes into a new directory")
    result = RepairResult()
    latest: dict[bytes, Record] = {}
    for segment in _segments_to_read(result, file_system):
        _read_segment(result, latest, file_system, segment)
    with Store.open(into, max_bytes=max_bytes, clock=now) as store:
        for key, record in latest.items():
            if record.kind is not RecordKind.PUT:
                continue
            if record.expires_ms <= now() * 1000:
                result.expired += 1
                continue
            store.put(key, record.value, math.inf if record.expires_ms == NEVER_MS else record.expires_ms / 1000)
            result.kept += 1
        store.commit()
    return result


@dataclass(frozen=True, slots=True)
class _SegmentToRead:
    name: str
    record_count: int | None  # None if the manifest does not state it


def _segments_to_read(result: RepairResult, file_system: FileSystem) -> list[_SegmentToRead]:
    """Return the segments of the log in log order, or all existing ones if the manifest is unreadable."""
    existing = sorted(name for name in file_system.names() if name.endswith(".seg"))
    try:
        manifest = decode_manifest(read_file(file_system, MANIFEST_FILE))
    except (CorruptDataError, FileNotFoundError) as error:
        result.gaps.append(Finding(MANIFEST_FILE, 0, f"{error}; all existing segments are read"))
        return [_SegmentToRead(name, None) for name in existing]
    listed = {segment_name(entry.number): entry for entry in manifest.segments}
    result.gaps += [Finding(name, 0, "missing") for name in sorted(set(listed) - set(existing))]
    return [
        _SegmentToRead(name, listed[name].record_count if listed[name].end else None)
        for name in existing
        if name in listed  # the others are no longer part of the log
    ]


def _read_segment(
    result: RepairResult, latest: dict[bytes, Record], file_system: FileSystem, segment: _SegmentToRead
) -> None:
    sequences: list[int] = []
    with opened(file_system, segment.name) as file:
        for part in salvage(file, file.size()):
            if isinstance(part, UnreadableRange):
                description = f"{part.end - part.offset} bytes: {part.reason}"
                result.gaps.append(Finding(segment.name, part.offset, description))
                continue
            sequences.append(part.sequence)
            if part.kind is not RecordKind.SEAL:
                latest[part.key] = part
    result.read += len(sequences)
    expected = segment.record_count
    if expected is None:  # sequence numbers have no gaps within a segment, but its last records may be missing
        expected = sequences[-1] - sequences[0] + 1 if sequences else 0
    result.missing += expected - len(sequences)
