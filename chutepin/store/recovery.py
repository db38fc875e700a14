"""Recovery: reads a store from its files and distinguishes torn writes from damage. Writes nothing.

The rules, in the order in which they are applied:

1. A directory without a manifest and without segments holds no store yet. Segments without a manifest are damage.
2. Every segment listed in the manifest must exist with its full size and a valid header. A segment is allocated durably
   at its full size before it is used, so a shorter file was truncated, even if it ends at a record boundary.
3. A segment whose end is in the manifest is read up to that end: from its hint if the hint is valid, otherwise record
   by record.
4. All other segments are read record by record. A segment followed by records in a later one must end with a seal,
   because a segment is written only after its predecessor is durable.
5. The last segment with records may have a torn tail: the unreadable rest of a batch that was never acknowledged. The
   tail is dropped unless the durability marker, or a valid record after the tail's start whose durable offset lies
   beyond it, proves that the tail had been durable.
6. The durability marker is the highest of those in the marker file and the manifest; only the one in the manifest was
   synced."""

from __future__ import annotations

from dataclasses import dataclass, field

from .codec import (
    FIRST_RECORD_OFFSET,
    LOCATION,
    MARKER_FILE_BYTES,
    DurabilityMarker,
    HintWriter,
    Manifest,
    RecordKind,
    SegmentEntry,
    check_segment_header,
    decode_hint,
    decode_manifest,
    decode_markers,
    highest_durable_offset,
)
from .errors import CorruptDataError, StoreDamagedError
from .file_system import File, FileSystem, read_file
from .layout import MANIFEST_FILE, MARKER_FILE, hint_name, is_store_file, segment_name
from .log import SegmentedLog
from .segment import Segment
from .segment_scan import READ_BYTES, SegmentScan


@dataclass(slots=True)
class UnsealedSegment:
    """The result of reading a segment whose end is not in the manifest."""

    segment: Segment
    fault: str  # why the scan ended before a seal
    torn_bytes: int  # from the last record to the last non-zero byte
    proven_durable: bool  # a later record proves that the torn bytes had been durable

    @property
    def used(self) -> bool:
        """Return whether the segment holds records or torn bytes."""
        return bool(self.segment.record_count or self.torn_bytes)


@dataclass(slots=True)
class RecoveredStore:
    """The state of a store as read from its files."""

    manifest: Manifest
    log: SegmentedLog
    marker: DurabilityMarker  # the highest valid one
    time_ms: int  # latest time recorded in the files; the clock continues from it
    tail: Segment | None = None  # last segment with records, unless the manifest states its end
    torn_bytes: int = 0  # from the tail's end to the last non-zero byte
    fault: str = ""  # why the torn bytes can't be read
    segments_without_hint: list[int] = field(default_factory=list)  # the hint is missing, corrupt or stale
    unreferenced_files: list[str] = field(default_factory=list)


class StoreReader:
    """Reads a store from its directory. Raises StoreDamagedError, or OSError if a read fails."""

    def __init__(self, file_system: FileSystem) -> None:
        self._file_system = file_system

    def read(self, hints: bool = True) -> RecoveredStore | None:
        """Read the store, or return None if there is none yet. Without `hints`, all records are read and validated."""
        names = self._file_system.names()
        manifest = self._read_manifest(names)
        if manifest is None:
            return None
        markers = [*self._read_markers(names), manifest.marker]
        recovered = RecoveredStore(
            manifest,
            SegmentedLog(manifest.segment_bytes),
            marker=max(markers),
            time_ms=max(marker.time_ms for marker in markers),
        )
        unsealed = []
        for entry in manifest.segments:
            name = segment_name(entry.number)
            if name not in names:
                raise self._damage_error(name, 0, "missing")
            file = self._file_system.open(name)
            try:
                if entry.end:
                    self._read_sealed(recovered, entry, file, use_hint=hints and hint_name(entry.number) in names)
                else:
                    unsealed.append(self._read_unsealed(recovered, entry.number, file))
            finally:
                file.close()
        self._check_unsealed(recovered, unsealed)
        self._check_tail(unsealed)
        _set_tail(recovered, unsealed)
        # The segment with the highest sequence number may have been dropped.
        recovered.log.last_sequence = max(recovered.log.last_sequence, recovered.marker.sequence)
        recovered.unreferenced_files = _unreferenced_files(manifest, names)
        return recovered

    def _damage_error(self, file: str, offset: int, reason: str) -> StoreDamagedError:
        return StoreDamagedError(self._file_system.label, file, offset, reason)

    def _read_manifest(self, names: list[str]) -> Manifest | None:
        if MANIFEST_FILE not in names:
            if segments := [name for name in names if name.endswith(".seg")]:
                raise self._damage_error(MANIFEST_FILE, 0, f"missing, but {segments[0]} exists")
            return None
        try:
            return decode_manifest(read_file(self._file_system, MANIFEST_FILE))
        except CorruptDataError as error:
            raise self._damage_error(MANIFEST_FILE, error.offset, str(error)) from None

    def _read_markers(self, names: list[str]) -> list[DurabilityMarker]:
        if MARKER_FILE not in names:
            return []
        return decode_markers(read_file(self._file_system, MARKER_FILE)[:MARKER_FILE_BYTES])

    def _read_header(self, recovered: RecoveredStore, number: int, file: File) -> None:
        name = segment_name(number)
        expected_size = recovered.manifest.segment_bytes
        size = file.size()
        if size != expected_size:
            raise self._damage_error(name, size, f"the file ends here, but was created with {expected_size} bytes")
        try:
            created_ms = check_segment_header(file.read(0, FIRST_RECORD_OFFSET), number, expected_size)
        except CorruptDataError as error:
            raise self._damage_error(name, error.offset, str(error)) from None
        recovered.time_ms = max(recovered.time_ms, created_ms)

    def _read_sealed(self, recovered: RecoveredStore, entry: SegmentEntry, file: File, use_hint: bool) -> None:
        """Read a segment whose end is in the manifest."""
        self._read_header(recovered, entry.number, file)
        if use_hint and self._read_hint(recovered, entry):
            return
        recovered.segments_without_hint.append(entry.number)
        segment = Segment(entry.number, entry.end, sealed=True, durable_end=entry.end)
        scan = self._scan(recovered, segment, file)
        expected = (entry.end, entry.record_count, entry.last_sequence)
        if not scan.sealed or (scan.end, segment.record_count, segment.last_sequence) != expected:
            fault = str(scan.fault or "the segment does not match its manifest entry")
            raise self._damage_error(segment_name(entry.number), scan.end, fault)
        segment.end = entry.end

    def _read_hint(self, recovered: RecoveredStore, entry: SegmentEntry) -> bool:
        """Load a segment from its hint. Return False if the hint is invalid, so that the records have to be read."""
        try:
            data = read_file(self._file_system, hint_name(entry.number))
            runs = decode_hint(data, entry.number, entry.end, entry.record_count, entry.last_sequence)
        except (CorruptDataError, OSError):
            return False
        segment = Segment(
            entry.number,
            entry.end,
            record_count=entry.record_count,
            last_sequence=entry.last_sequence,
            sealed=True,
            durable_end=entry.end,
            hint_bytes=len(data),
        )
        recovered.log.add_segment(segment)
        recovered.log.last_sequence = max(recovered.log.last_sequence, entry.last_sequence)
        for run in runs:
            recovered.log.index.apply_run(segment, run)
        return True

    def _scan(self, recovered: RecoveredStore, segment: Segment, file: File) -> SegmentScan:
        """Read a segment's records into the log and rebuild its hint."""
        log = recovered.log
        log.add_segment(segment)
        segment.hint = hint = HintWriter()
        scan = SegmentScan(file, recovered.manifest.segment_bytes)
        for record in scan:
            follows = record.sequence > log.last_sequence
            if segment.record_count:
                follows = record.sequence == segment.last_sequence + 1
            if not follows:
                raise self._damage_error(
                    segment_name(segment.number),
                    record.offset,
                    f"sequence number {record.sequence} does not follow {log.last_sequence}",
                )
            segment.record_count += 1
            segment.last_sequence = log.last_sequence = record.sequence
            location = LOCATION.pack(record.expires_ms, segment.number, record.offset, record.size)
            hint.add(record.kind, record.key, record.expires_ms, location, record.size)
            if record.kind is not RecordKind.SEAL:
                log.index.apply(segment, record.kind, record.key, record.expires_ms, location, record.size)
        if scan.sealed:
            log.set_hint_bytes(segment, hint.bytes)
        return scan

    def _read_unsealed(self, recovered: RecoveredStore, number: int, file: File) -> UnsealedSegment:
        """Read a segment whose end is not in the manifest."""
        self._read_header(recovered, number, file)
        segment = Segment(number)
        scan = self._scan(recovered, segment, file)
        segment.end = segment.durable_end = scan.end
        segment.sealed = scan.sealed
        size = recovered.manifest.segment_bytes
        torn_bytes = 0 if scan.sealed else _torn_bytes(file, scan.end, size)
        proven_durable = False
        if torn_bytes:
            proven_durable = highest_durable_offset(file.read(scan.end, torn_bytes), scan.end, size) > scan.end
        return UnsealedSegment(segment, str(scan.fault or ""), torn_bytes, proven_durable)

    def _check_unsealed(self, recovered: RecoveredStore, unsealed: list[UnsealedSegment]) -> None:
        """Raise StoreDamagedError if the log ends before the durability marker or the manifest is older than it."""
        marker = recovered.marker
        for entry in unsealed:
            if entry.segment.number == marker.segment and entry.segment.end < marker.end:
                raise self._damage_error(
                    segment_name(entry.segment.number),
                    entry.segment.end,
                    f"{entry.fault}, but all records up to byte {marker.end} had been acknowledged",
                )
        if marker.segment >= recovered.manifest.next_segment:
            raise self._damage_error(
                MANIFEST_FILE, 0, f"older than the log: records in segment {marker.segment} had been acknowledged"
            )

    def _check_tail(self, unsealed: list[UnsealedSegment]) -> None:
        """Raise StoreDamagedError if a segment before the last is unreadable or the torn tail had been durable."""
        used = [entry for entry in unsealed if entry.used]
        for entry in used[:-1]:
            if not entry.segment.sealed:
                raise self._damage_error(
                    segment_name(entry.segment.number),
                    entry.segment.end,
                    f"{entry.fault or 'no seal'}, but the log continues in a later segment",
                )
        if used and used[-1].proven_durable:
            raise self._damage_error(
                segment_name(used[-1].segment.number),
                used[-1].segment.end,
                f"{used[-1].fault}, but a later record proves that it had been durable",
            )


def _set_tail(recovered: RecoveredStore, unsealed: list[UnsealedSegment]) -> None:
    """Set the tail of the log, its active segment and the spare segments."""
    used = [entry for entry in unsealed if entry.used]
    if used:
        recovered.tail = used[-1].segment
        recovered.fault = used[-1].fault
        recovered.torn_bytes = used[-1].torn_bytes
    open_segments = [entry.segment for entry in unsealed if not entry.segment.sealed]
    if open_segments:
        recovered.log.active = open_segments[0]
        recovered.log.spares.extend(open_segments[1:])


def _torn_bytes(file: File, end: int, size: int) -> int:
    """Return the number of bytes from `end` to the last non-zero byte."""
    torn_bytes = 0
    position = end
    while position < size:
        data = file.read(position, READ_BYTES)
        if not data:
            break
        if used := data.rstrip(b"\0"):
            torn_bytes = position + len(used) - end
        position += len(data)
    return torn_bytes


def _unreferenced_files(manifest: Manifest, names: list[str]) -> list[str]:
    referenced: set[str] = set()
    for entry in manifest.segments:
        referenced.update((segment_name(entry.number), hint_name(entry.number)))
    return [name for name in names if is_store_file(name) and name not in referenced]
