"""Recovery: reads a store back, and decides what of its files may be believed. Writes nothing.

The rules, in the order in which they are applied:

1. Without a manifest and without segments there is no store yet. Segments without a manifest are damage.
2. Every segment that the manifest names exists, with its full size and its header. A segment is durable at that size
   before it is used, so a shorter one was truncated, wherever the cut lies: even at the end of a record.
3. A segment with an end in the manifest is read up to there, from its hint if that is valid, else record by record.
4. The others are read record by record. One after which the log continues must end with its seal: nothing is written
   into a segment before its predecessor is durable.
5. The last segment with records may have a torn tail, the unreadable rest of a batch that was never acknowledged. It
   is dropped unless something proves that it had been durable: the durability marker, or a valid record further on
   whose durable offset lies after the place.
6. The durability marker is the highest of those in its file and the one in the manifest; only the latter was
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
from .layout import MANIFEST_FILE, MARKER_FILE, hint_name, is_own_file, segment_name
from .log import SegmentedLog
from .segment import Segment
from .segment_scan import READ_BYTES, SegmentScan


@dataclass(slots=True)
class UnsealedSegment:
    """A segment without an end in the manifest, as it was read."""

    segment: Segment
    fault: str  # why reading ended before a seal
    torn_bytes: int  # after the last record, up to the last byte that is not zero
    proven_durable: bool  # a later record proves that those had been durable

    @property
    def used(self) -> bool:
        """Whether anything was written to it."""
        return bool(self.segment.record_count or self.torn_bytes)


@dataclass(slots=True)
class RecoveredStore:
    """What was read back."""

    manifest: Manifest
    log: SegmentedLog
    marker: DurabilityMarker  # the highest valid one
    time_ms: int  # the latest time that is known to have passed
    tail: Segment | None = None  # the last segment with records, if it was not known to be sealed
    torn_bytes: int = 0  # after the tail's end, up to the last byte that is not zero
    fault: str = ""  # why those can't be read
    segments_without_hint: list[int] = field(default_factory=list)  # it was missing, damaged or stale
    unreferenced_files: list[str] = field(default_factory=list)


class StoreReader:
    """Reads one store. Raises StoreDamagedError, and OSError where the system can't read."""

    def __init__(self, file_system: FileSystem) -> None:
        self._file_system = file_system

    def read(self, hints: bool = True) -> RecoveredStore | None:
        """Read the store; None if there is none yet. Without `hints` every record is read and checked."""
        names = self._file_system.names()
        manifest = self._read_manifest(names)
        if manifest is None:
            return None
        markers = [*self._read_markers(names), manifest.marker]
        found = RecoveredStore(
            manifest,
            SegmentedLog(manifest.segment_bytes),
            marker=max(markers),
            time_ms=max(marker.time_ms for marker in markers),
        )
        unsealed = []
        for entry in manifest.segments:
            name = segment_name(entry.number)
            if name not in names:
                raise self._damaged(name, 0, "missing")
            file = self._file_system.open(name)
            try:
                if entry.end:
                    self._read_sealed(found, entry, file, use_hint=hints and hint_name(entry.number) in names)
                else:
                    unsealed.append(self._read_unsealed(found, entry.number, file))
            finally:
                file.close()
        self._check_unsealed(found, unsealed)
        self._check_tail(unsealed)
        _find_tail(found, unsealed)
        # The last records may have been in a segment that was dropped since.
        found.log.last_sequence = max(found.log.last_sequence, found.marker.sequence)
        found.unreferenced_files = _unreferenced_files(manifest, names)
        return found

    def _damaged(self, file: str, offset: int, what: str) -> StoreDamagedError:
        return StoreDamagedError(self._file_system.label, file, offset, what)

    def _read_manifest(self, names: list[str]) -> Manifest | None:
        if MANIFEST_FILE not in names:
            if segments := [name for name in names if name.endswith(".seg")]:
                raise self._damaged(MANIFEST_FILE, 0, f"missing, while {segments[0]} is there")
            return None
        try:
            return decode_manifest(read_file(self._file_system, MANIFEST_FILE))
        except CorruptDataError as error:
            raise self._damaged(MANIFEST_FILE, error.offset, str(error)) from None

    def _read_markers(self, names: list[str]) -> list[DurabilityMarker]:
        if MARKER_FILE not in names:
            return []
        return decode_markers(read_file(self._file_system, MARKER_FILE)[:MARKER_FILE_BYTES])

    def _read_header(self, found: RecoveredStore, number: int, file: File) -> None:
        name = segment_name(number)
        expected_size = found.manifest.segment_bytes
        size = file.size()
        if size != expected_size:
            raise self._damaged(name, size, f"the file ends here, but was laid out with {expected_size} bytes")
        try:
            created_ms = check_segment_header(file.read(0, FIRST_RECORD_OFFSET), number, expected_size)
        except CorruptDataError as error:
            raise self._damaged(name, error.offset, str(error)) from None
        found.time_ms = max(found.time_ms, created_ms)

    def _read_sealed(self, found: RecoveredStore, entry: SegmentEntry, file: File, use_hint: bool) -> None:
        """Read a segment whose end the manifest states."""
        self._read_header(found, entry.number, file)
        if use_hint and self._read_hint(found, entry):
            return
        found.segments_without_hint.append(entry.number)
        segment = Segment(entry.number, entry.end, sealed=True, durable_end=entry.end)
        scan = self._scan(found, segment, file)
        stated = (entry.end, entry.record_count, entry.last_sequence)
        if not scan.sealed or (scan.end, segment.record_count, segment.last_sequence) != stated:
            fault = str(scan.fault or "the segment is not as the manifest states")
            raise self._damaged(segment_name(entry.number), scan.end, fault)
        segment.end = entry.end

    def _read_hint(self, found: RecoveredStore, entry: SegmentEntry) -> bool:
        """Take a segment in from its hint. False: the hint can't be believed, the records have to be read."""
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
        found.log.add_segment(segment)
        found.log.last_sequence = max(found.log.last_sequence, entry.last_sequence)
        for run in runs:
            found.log.index.apply_run(segment, run)
        return True

    def _scan(self, found: RecoveredStore, segment: Segment, file: File) -> SegmentScan:
        """Read a segment's records into the log and a new hint."""
        log = found.log
        log.add_segment(segment)
        segment.hint = hint = HintWriter()
        scan = SegmentScan(file, found.manifest.segment_bytes)
        for record in scan:
            follows = record.sequence > log.last_sequence
            if segment.record_count:
                follows = record.sequence == segment.last_sequence + 1
            if not follows:
                raise self._damaged(
                    segment_name(segment.number),
                    record.offset,
                    f"record {record.sequence} does not follow {log.last_sequence}",
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

    def _read_unsealed(self, found: RecoveredStore, number: int, file: File) -> UnsealedSegment:
        """Read a segment whose end the manifest does not state."""
        self._read_header(found, number, file)
        segment = Segment(number)
        scan = self._scan(found, segment, file)
        segment.end = segment.durable_end = scan.end
        segment.sealed = scan.sealed
        size = found.manifest.segment_bytes
        torn_bytes = 0 if scan.sealed else _torn_bytes(file, scan.end, size)
        proven_durable = False
        if torn_bytes:
            proven_durable = highest_durable_offset(file.read(scan.end, torn_bytes), scan.end, size) > scan.end
        return UnsealedSegment(segment, str(scan.fault or ""), torn_bytes, proven_durable)

    def _check_unsealed(self, found: RecoveredStore, unsealed: list[UnsealedSegment]) -> None:
        """Raise if the log ends before the durability marker, or is older than it."""
        marker = found.marker
        for one in unsealed:
            if one.segment.number == marker.segment and one.segment.end < marker.end:
                raise self._damaged(
                    segment_name(one.segment.number),
                    one.segment.end,
                    f"{one.fault}, while all up to byte {marker.end} had been acknowledged",
                )
        if marker.segment >= found.manifest.next_segment:
            raise self._damaged(MANIFEST_FILE, 0, f"older than the log: segment {marker.segment} had been acknowledged")

    def _check_tail(self, unsealed: list[UnsealedSegment]) -> None:
        """Raise if anything but the tail of the log can't be read, or its tail is proven to have been durable."""
        used = [one for one in unsealed if one.used]
        for one in used[:-1]:
            if not one.segment.sealed:
                raise self._damaged(
                    segment_name(one.segment.number),
                    one.segment.end,
                    f"{one.fault or 'no seal'}, while the log goes on in a later segment",
                )
        if used and used[-1].proven_durable:
            raise self._damaged(
                segment_name(used[-1].segment.number),
                used[-1].segment.end,
                f"{used[-1].fault}, while a later record proves it had been durable",
            )


def _find_tail(found: RecoveredStore, unsealed: list[UnsealedSegment]) -> None:
    """Where the log ends, and which segments can take it on."""
    used = [one for one in unsealed if one.used]
    if used:
        found.tail = used[-1].segment
        found.fault = used[-1].fault
        found.torn_bytes = used[-1].torn_bytes
    open_segments = [one.segment for one in unsealed if not one.segment.sealed]
    if open_segments:
        found.log.active = open_segments[0]
        found.log.spares.extend(open_segments[1:])


def _torn_bytes(file: File, end: int, size: int) -> int:
    """Bytes from `end` up to the last one that is not zero."""
    torn_bytes = 0
    at = end
    while at < size:
        data = file.read(at, READ_BYTES)
        if not data:
            break
        if used := data.rstrip(b"\0"):
            torn_bytes = at + len(used) - end
        at += len(data)
    return torn_bytes


def _unreferenced_files(manifest: Manifest, names: list[str]) -> list[str]:
    referenced: set[str] = set()
    for entry in manifest.segments:
        referenced.update((segment_name(entry.number), hint_name(entry.number)))
    return [name for name in names if is_own_file(name) and name not in referenced]
