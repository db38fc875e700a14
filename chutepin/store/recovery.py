"""Reading a store back: what its files hold, what of it may be believed, and what has to be mended before it goes on.

Nothing is written here. The rules, in the order in which they are applied:

1. Without a manifest and without segments there is no store yet. Segments without a manifest are damage.
2. Every segment that the manifest names is there at its full size with its head. A segment is laid out at that size
   and durable before it is used, so a shorter one has been cut, wherever the cut lies: also at a record's end.
3. A segment with an end in the manifest is read up to there, from its hint if that is sound, else record by record.
4. The others are read record by record. One behind which the log goes on must end with its seal: nothing is written
   into a segment before its predecessor is durable.
5. The last one with anything in it may have a tail that can't be read: what a cut left of a batch that was never
   acknowledged. It is dropped if nothing proves more. Proofs of damage are the watermark, and a sound record further
   on whose durable_offset lies behind the place: both say that it was durable.
6. The watermark is the highest of those in its file and the one in the manifest; only the latter was synced."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from .codec import (
    FIRST_RECORD_OFFSET,
    LOCATION,
    MARKER_FILE_BYTES,
    CorruptRecordError,
    DurabilityMarker,
    HintWriter,
    Manifest,
    Record,
    RecordKind,
    SegmentEntry,
    check_segment_header,
    decode,
    decode_hint,
    decode_manifest,
    decode_markers,
    highest_durable_offset,
)
from .errors import StoreDamagedError
from .file_system import File, FileSystem
from .index import LogIndex, Segment

MANIFEST_FILE, MARKER_FILE = "MANIFEST", "ACKED"
NEW = ".new"  # behind the name of a file that is not whole yet
READ_BYTES = 256 * 1024  # bytes that are read at once
_OURS = re.compile(r"\d{10}\.(seg|hint)(\.new)?|MANIFEST\.new")


def segment_name(number: int) -> str:
    """The file of a segment."""
    return f"{number:010d}.seg"


def hint_name(number: int) -> str:
    """The file of its hint."""
    return f"{number:010d}.hint"


class SegmentScan:
    """Reads a segment's records one after the other, up to its seal or the first place that holds none."""

    def __init__(self, file: File, size: int, at: int = FIRST_RECORD_OFFSET) -> None:
        self._file, self._size = file, size
        self.end = at  # behind the last record that was read
        self.sealed = False
        self.fault: CorruptRecordError | None = None  # why it ended before a seal

    def __iter__(self) -> Iterator[Record]:
        data, base, at = b"", self.end, 0
        while not self.sealed:
            try:
                record = decode(data, at, base)
                if isinstance(record, int):
                    if base + at + record > self._size:
                        raise CorruptRecordError(base + at, "a record would reach past the segment's end")
                    more = self._file.read(base + len(data), max(record - (len(data) - at), READ_BYTES))
                    data, base, at = data[at:] + more, base + at, 0
                    if len(data) < record:
                        raise CorruptRecordError(base, "the file ends inside a record")
                    continue
            except CorruptRecordError as error:
                self.fault = error
                return
            at += record.size
            self.end = record.offset + record.size
            self.sealed = record.kind is RecordKind.SEAL
            yield record


@dataclass(slots=True)
class RecoveredStore:
    """What was read back."""

    manifest: Manifest
    book: LogIndex
    mark: DurabilityMarker  # the highest sound watermark, or one of nothing
    time: int  # ms: the latest time that is known to have passed
    tail: Segment | None = None  # the last segment with anything in it, if it was not known to be sealed
    torn: int = 0  # bytes behind the tail's end, up to the last that is not zero
    why: str = ""  # what can't be read there
    rebuilt: list[int] = field(default_factory=list)  # segments whose hint was missing, damaged or stale
    garbage: list[str] = field(default_factory=list)  # files that belong to nothing


class StoreReader:
    """Reads one store. Raises StoreDamagedError, and OSError where the system can't read."""

    def __init__(self, files: FileSystem) -> None:
        self._files = files

    def _damaged(self, file: str, offset: int, what: str) -> StoreDamagedError:
        return StoreDamagedError(self._files.label, file, offset, what)

    def whole(self, name: str) -> bytes:
        """All of a small file."""
        file = self._files.open(name)
        try:
            return file.read(0, file.size())
        finally:
            file.close()

    def read(self, hints: bool = True) -> RecoveredStore | None:
        """The whole store; None if there is none yet. Without `hints` every record is read and checked."""
        names = self._files.names()
        if MANIFEST_FILE not in names:
            if segments := [name for name in names if name.endswith(".seg")]:
                raise self._damaged(MANIFEST_FILE, 0, f"missing, while {segments[0]} is there")
            return None
        try:
            manifest = decode_manifest(self.whole(MANIFEST_FILE))
        except CorruptRecordError as error:
            raise self._damaged(MANIFEST_FILE, error.offset, str(error)) from None
        marks = decode_markers(self.whole(MARKER_FILE)[:MARKER_FILE_BYTES]) if MARKER_FILE in names else []
        marks.append(manifest.mark)
        found = RecoveredStore(manifest, LogIndex(manifest.segment_bytes), max(marks), max(mark.time for mark in marks))
        open_ones = []
        for entry in manifest.segments:
            name = segment_name(entry.number)
            if name not in names:
                raise self._damaged(name, 0, "missing")
            file = self._files.open(name)
            try:
                if entry.end:
                    self._sealed(found, entry, file, name, hints and hint_name(entry.number) in names)
                else:
                    open_ones.append(self._open_one(found, entry.number, file, name))
            finally:
                file.close()
        self._tail(found, open_ones)
        found.book.sequence = max(
            found.book.sequence, found.mark.sequence
        )  # records of a dropped segment may have been the last
        known = {file for entry in manifest.segments for file in (segment_name(entry.number), hint_name(entry.number))}
        found.garbage = [name for name in names if _OURS.fullmatch(name) and name not in known]
        return found

    def _head(self, found: RecoveredStore, number: int, file: File, name: str) -> None:
        size = found.manifest.segment_bytes
        if (there := file.size()) != size:
            raise self._damaged(name, there, f"the file ends here, but was laid out with {size} bytes")
        try:
            found.time = max(found.time, check_segment_header(file.read(0, FIRST_RECORD_OFFSET), number, size))
        except CorruptRecordError as error:
            raise self._damaged(name, error.offset, str(error)) from None

    def _sealed(self, found: RecoveredStore, entry: SegmentEntry, file: File, name: str, hint: bool) -> None:
        self._head(found, entry.number, file, name)
        segment = Segment(entry.number, entry.end, count=entry.count, last=entry.last, sealed=True, durable=entry.end)
        if hint:
            try:
                data = self.whole(hint_name(entry.number))
                runs = decode_hint(data, entry.number, entry.end, entry.count, entry.last)
            except (CorruptRecordError, OSError):
                pass  # it is never believed: the records are read instead
            else:
                segment.hint_bytes = len(data)
                found.book.add_segment(segment)
                found.book.sequence = max(found.book.sequence, entry.last)
                found.book.replay_runs(segment, runs)
                return
        found.rebuilt.append(entry.number)
        segment.count = segment.last = 0
        scan = self._scan(found, segment, file, name)
        if not scan.sealed or (scan.end, segment.count, segment.last) != (entry.end, entry.count, entry.last):
            raise self._damaged(name, scan.end, str(scan.fault or "the segment is not as the manifest states"))
        segment.end = entry.end

    def _scan(self, found: RecoveredStore, segment: Segment, file: File, name: str) -> SegmentScan:
        """Read records into the book and a new hint."""
        found.book.add_segment(segment)
        segment.hint = hint = HintWriter()
        scan = SegmentScan(file, found.manifest.segment_bytes)
        for record in scan:
            if record.sequence != (
                segment.last + 1 if segment.count else max(record.sequence, found.book.sequence + 1)
            ):
                raise self._damaged(
                    name, record.offset, f"record {record.sequence} does not follow {found.book.sequence}"
                )
            segment.count += 1
            segment.last = found.book.sequence = record.sequence
            location = LOCATION.pack(record.expires, segment.number, record.offset, record.size)
            hint.add(record.kind, record.key, record.expires, location, record.size)
            found.book.replay(segment, record.kind, record.key, record.expires, location, record.size)
        if scan.sealed:
            found.book.hint_is(segment, hint.bytes)
        return scan

    def _open_one(self, found: RecoveredStore, number: int, file: File, name: str) -> tuple[Segment, str, int, bool]:
        """Read a segment without a known end. Returns it, why the reading ended, the bytes up to the last one behind
        that is not zero, and whether a later record proves that those had been durable."""
        self._head(found, number, file, name)
        segment = Segment(number)
        scan = self._scan(found, segment, file, name)
        segment.end = segment.durable = scan.end
        segment.sealed = scan.sealed
        size, torn, at = found.manifest.segment_bytes, 0, scan.end
        while not scan.sealed and at < size:
            part = file.read(at, READ_BYTES)
            if not part:
                break
            if kept := part.rstrip(b"\0"):
                torn = at + len(kept) - scan.end
            at += len(part)
        proved = False
        if torn:
            proved = highest_durable_offset(file.read(scan.end, torn), scan.end, size) > scan.end
        return segment, str(scan.fault or ""), torn, proved

    def _tail(self, found: RecoveredStore, open_ones: list[tuple[Segment, str, int, bool]]) -> None:
        book = found.book
        for segment, why, _, _ in open_ones:
            if segment.number == found.mark.segment and segment.end < found.mark.end:
                raise self._damaged(
                    segment_name(segment.number),
                    segment.end,
                    f"{why}, while all up to byte {found.mark.end} had been acknowledged",
                )
        if found.mark.segment >= found.manifest.next:
            raise self._damaged(
                MANIFEST_FILE, 0, f"older than the log: segment {found.mark.segment} had been acknowledged"
            )
        used = [one for one in open_ones if one[0].count or one[2]]
        for segment, why, _, _ in used[:-1]:
            if not segment.sealed:
                raise self._damaged(
                    segment_name(segment.number),
                    segment.end,
                    f"{why or 'no seal'}, while the log goes on in a later segment",
                )
        if used:
            segment, found.why, found.torn, proved = used[-1]
            found.tail = segment
            name = segment_name(segment.number)
            if proved:
                raise self._damaged(name, segment.end, f"{found.why}, while a later record proves it had been durable")
        unsealed = [one[0] for one in open_ones if not one[0].sealed]
        if unsealed:
            book.active = unsealed[0]
            book.spares.extend(unsealed[1:])
