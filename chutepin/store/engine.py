"""The store's work on files, step by step and without a thread: recovery, batches, segments, compaction.

Each public method takes the lock only while it touches the book, never while it writes. One thread calls `flush` and
`step`; any may call the others. `Store` adds that thread; the tests drive the steps themselves, one file operation at
a time."""

from __future__ import annotations

import contextlib
import errno
import math
import threading
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from .codec import (
    FIRST_RECORD_OFFSET,
    HINT_ENTRY_BYTES,
    MARKER_FILE_BYTES,
    MARKER_OFFSETS,
    MAX_KEY_BYTES,
    NEVER_MS,
    RECORD_HEADER_BYTES,
    SEAL_RECORD_BYTES,
    CorruptRecordError,
    DurabilityMarker,
    HintWriter,
    Manifest,
    Record,
    RecordKind,
    SegmentEntry,
    decode,
    encode_manifest,
    encode_marker,
    encode_segment_header,
)
from .compaction_plan import COMPACTION_READ_BYTES, MIN_SEGMENTS, Limits, SegmentStatistics, plan_compaction
from .errors import StoreClosedError, StoreDamagedError, StoreError, StoreFailedError, StoreFullError
from .file_system import File, FileSystem
from .index import DELETE, KEY_MEMORY_BYTES, PUT, LogIndex, Segment, record_size
from .recovery import (
    MANIFEST_FILE,
    MARKER_FILE,
    NEW,
    READ_BYTES,
    RecoveredStore,
    SegmentScan,
    StoreReader,
    hint_name,
    segment_name,
)

MAX_OPEN_SEGMENTS = 32  # open files of segments at once
MAX_QUEUED_BYTES = 4 * 2**20  # bytes laid out and not yet written
MAX_EXPIRED_PER_STEP = 2000  # keys that are forgotten at once as they expire
_NO_ROOM = (errno.ENOSPC, errno.EDQUOT)
Event = Callable[..., None]  # (name, **fields)
_FAR = NEVER_MS / 1000  # seconds: an expiry from here on is none


@dataclass(slots=True)
class SegmentCompaction:
    """A compaction under way."""

    number: int
    file: File
    records: Iterator[Record]
    scan: SegmentScan
    held: Record | None = None  # read, but there was no room for its copy yet


@dataclass(slots=True)
class SegmentPreallocation:
    """A segment's file that is being laid out."""

    number: int
    file: File


class Engine:
    """One open store."""

    def __init__(self, files: FileSystem, limits: Limits, clock: Callable[[], float], event: Event) -> None:
        self.files, self.limits, self._clock, self._event = files, limits, clock, event
        self.lock = threading.RLock()
        self._begin_book(LogIndex(limits.segment_bytes))
        self.counts: Counter[str] = Counter()
        self.failed = ""
        self.closed = False
        self.durable = 0  # sequence up to which all was synced
        self.at_rest = False  # the last step found nothing to do, and nothing has changed or been asked for since
        self._stirred = False  # something has, since the present step began
        self.no_room = ""  # why no further segment could be laid out
        self.damage: StoreDamagedError | None = None  # the last that was met
        self.compact_before = 0  # empty all segments numbered below this
        self._time = 0
        self._generation = 0
        self._next = 1
        self._puts = self._put_bytes = 0
        self._barred = False  # closed or failed
        self._unhinted = True  # a segment may be whole and without its hint
        self._handles: OrderedDict[int, File] = OrderedDict()
        self._marks: File | None = None
        self._mark_place = 0
        self._entries: dict[int, SegmentEntry] = {}
        self._copying: SegmentCompaction | None = None
        self._laying: SegmentPreallocation | None = None

    # --- opening and closing ---

    @classmethod
    def open(cls, files: FileSystem, limits: Limits, clock: Callable[[], float], event: Event) -> Engine:
        """Take the directory, read it back, mend what a cut left. Raises StoreError in any of its kinds."""
        if limits.max_bytes < MIN_SEGMENTS * limits.segment_bytes:
            raise StoreError(f"max_bytes: less than {MIN_SEGMENTS} times segment_bytes")
        engine = cls(files, limits, clock, event)
        try:
            files.lock(create=True)
        except OSError as error:
            raise StoreError(f"{files.label}: {error.strerror or error}") from error
        try:
            engine._begin()
        except BaseException as error:
            engine._let_go()
            if isinstance(error, OSError):
                raise StoreError(f"{files.label}: {error.strerror or error}") from error
            raise
        return engine

    def _begin(self) -> None:
        found = StoreReader(self.files).read()
        if found is None:
            self._lay_marks()
            self._time = int(self._clock() * 1000)
            self._swap([])
        else:
            self._mend(found)
        self._mark()
        assert self._marks is not None
        self._marks.sync()

    def _begin_book(self, book: LogIndex) -> None:
        self.book, self._largest = book, book.largest()
        self._hold()

    def _hold(self) -> None:
        """Whether writers wait changes only with the segments and their hints."""
        self._held = self.book.disk > self.limits.writers_wait_above

    def _mend(self, found: RecoveredStore) -> None:
        """Make what was read back the state of the disk too, before anything is built on it."""
        manifest, book = found.manifest, found.book
        if self.limits.max_bytes < MIN_SEGMENTS * manifest.segment_bytes:
            raise StoreError(
                f"max_bytes: less than {MIN_SEGMENTS} times the {manifest.segment_bytes} bytes of a "
                f"segment, with which {self.files.label} was laid out"
            )
        self.limits = replace(self.limits, segment_bytes=manifest.segment_bytes)
        self._begin_book(book)
        self._time = max(found.time, int(self._clock() * 1000))
        self._generation, self._next = manifest.generation, manifest.next
        self._entries = {entry.number: entry for entry in manifest.segments}
        self.durable = book.sequence
        if found.tail is not None:
            self._mend_tail(found, found.tail)
        for name in found.garbage:
            self.files.remove(name)
        for number in found.rebuilt:
            self.counts["hints.rebuilt"] += 1
            self._event("store.hint_rebuilt", segment=number)
            self._write_hint(book.segments[number])
        self._write_hints()
        if MARKER_FILE in self.files.names():
            self._marks = self.files.open(MARKER_FILE)
            if self._marks.size() != MARKER_FILE_BYTES:
                self._marks.close()
                self._lay_marks()
        else:
            self._lay_marks()

    def _mend_tail(self, found: RecoveredStore, tail: Segment) -> None:
        """Write anew what is not known to be on the disk, though it can be read: after a failed sync the page cache
        shows what the disk does not hold. Blank what is behind: a later batch must not run into old bytes."""
        known = found.mark.end if found.mark.segment == tail.number else FIRST_RECORD_OFFSET
        if found.mark.segment > tail.number:
            known = tail.end
        if found.torn:
            self.counts["tails.dropped"] += 1
            self._event("store.torn_tail", segment=tail.number, offset=tail.end, bytes=found.torn, why=found.why)
        elif known >= tail.end:
            return
        file = self._file(tail.number)
        at = min(known, tail.end)
        while at < tail.end:
            part = file.read(at, min(READ_BYTES, tail.end - at))
            file.write(at, [part])
            at += len(part)
        end = tail.end + found.torn
        while at < end:
            part = bytes(min(READ_BYTES, end - at))
            file.write(at, [part])
            at += len(part)
        file.sync()

    def _lay_marks(self) -> None:
        self._marks = self.files.create(MARKER_FILE)
        self._marks.write(0, [bytes(MARKER_FILE_BYTES)])
        self._marks.sync()
        self.files.sync_names()

    def close(self) -> None:
        """Write what is left, unless writing failed before, and give the directory back."""
        if self.closed:
            return
        try:
            if not self.failed:
                self.flush()
                self._list_sealed()
                with self._failing():
                    self._mark()
                    if self._marks is not None:
                        self._marks.sync()
        finally:
            self._let_go()

    def _let_go(self) -> None:
        with self.lock:
            self.closed = self._barred = True
            held = [
                self._marks,
                *self._handles.values(),
                *(work.file for work in (self._copying, self._laying) if work is not None),
            ]
            self._handles.clear()
            self._marks = self._copying = self._laying = None
        for file in held:
            if file is not None:
                with contextlib.suppress(OSError):
                    file.close()
        self.files.unlock()

    # --- what any thread may call ---

    def now(self) -> int:
        """Unix time in ms, which never runs back, not even over a restart."""
        self._time = max(self._time, int(self._clock() * 1000))
        return self._time

    def check(self) -> None:
        """Raise what keeps the store from taking anything."""
        if self.closed:
            raise StoreClosedError(f"{self.files.label}: closed")
        if self.failed:
            raise StoreFailedError(
                f"{self.files.label}: {self.failed}; nothing is acknowledged until it is opened again"
            )

    def put(self, key: bytes, value: bytes, expires: float, waited: bool = False) -> bool:
        """Lay out a value, to be written by the next flush. False: there is no room just now, wait for the next
        flush or step. Raises StoreFullError if waiting will not help, and it does not once `waited` and at rest."""
        key_size = len(key)
        if key_size > MAX_KEY_BYTES:
            raise StoreError(f"a key of {key_size} bytes; at most {MAX_KEY_BYTES}")
        if expires < _FAR:
            until = max(0, int(expires * 1000))
        elif math.isnan(expires):
            raise StoreError("expires: not a number")
        else:
            until = NEVER_MS
        size = RECORD_HEADER_BYTES + key_size + len(value)
        with self.lock:
            if self._barred:
                self.check()
            book, active = self.book, self.book.active
            now = self.now()
            if now >= book.due:
                book.expire(now, 8)
            # The plain case at a glance: a put is the one thing that callers do thousands of times a second.
            if (
                book.live + size + key_size + HINT_ENTRY_BYTES > self.limits.capacity
                or book.key_bytes + key_size + KEY_MEMORY_BYTES * (len(book.index) + 1) > self.limits.max_memory
                or size > self._largest
            ):
                self._admit(book, key, size, now)
            if (
                active is None
                or self._held
                or book.queued > MAX_QUEUED_BYTES
                or active.end + size + SEAL_RECORD_BYTES > self.limits.segment_bytes
            ) and not self._room(size, waited):
                return False
            book.lay(PUT, key, value, until)
            self.at_rest, self._stirred = False, True
            self._puts += 1
            self._put_bytes += size
            return True

    def put_many(self, items: Sequence[tuple[bytes, bytes]], expires: float, waited: bool = False) -> int:
        """As `put` for each of these keys and values, with one expiry; how many were laid out before there was no
        room just now. Raises StoreFullError, with nothing laid out, if all of them have no room."""
        sizes = [RECORD_HEADER_BYTES + len(key) + len(value) for key, value in items]
        keys = {key for key, _ in items}
        with self.lock:
            self.check()
            book, key_size = self.book, len(items[0][0]) if items else 0
            adds = sum(sizes) + sum(map(len, keys)) + len(items) * HINT_ENTRY_BYTES
            memory = sum(map(len, keys)) + KEY_MEMORY_BYTES * len(keys)
            if why := self.limits.refuses(book.live, book.memory, adds, memory):
                self.counts["full"] += 1
                raise StoreFullError(f"{self.files.label}: {why}")
            even = (
                len(keys) == len(items)
                and all(len(key) == key_size for key in keys)
                and key_size <= MAX_KEY_BYTES
                and not math.isnan(expires)
                and max(sizes, default=0) <= self._largest
                and book.index.keys().isdisjoint(keys)
            )
            if not even:
                for done, (key, value) in enumerate(items):
                    if not self.put(key, value, expires, waited):
                        return done
                return len(items)
            until = NEVER_MS if expires >= _FAR else max(0, int(expires * 1000))
            done = 0
            while done < len(items):
                if not self._room(sizes[done], waited):
                    break
                count = book.lay_many(items[done:] if done else items, until)
                self._puts += count
                self._put_bytes += sum(sizes[done : done + count])
                done += count
                self._stir()
            return done

    def _admit(self, book: LogIndex, key: bytes, size: int, now: int) -> None:
        """Raise if there is no room for this record, also after forgetting what has expired."""
        if size > self._largest:
            raise StoreError(f"a record of {size} bytes; at most {self._largest} fit into a segment")
        limits = self.limits
        if limits.refuses(book.live, book.memory, *book.cost(key, size)):
            book.expire_all(now)
            if why := limits.refuses(book.live, book.memory, *book.cost(key, size)):
                self.counts["full"] += 1
                raise StoreFullError(f"{self.files.label}: {why}")

    def delete(self, key: bytes, waited: bool = False) -> bool:
        """Lay out that a key is gone, unless it is anyway. As `put`."""
        with self.lock:
            self.check()
            if key not in self.book.index:
                return True
            if not self._room(record_size(key, b""), waited):
                return False
            self.book.lay(DELETE, key, b"", NEVER_MS)
            self._stir()
            self.counts["deleted"] += 1
            self._put_bytes += record_size(key, b"")
            return True

    def _room(self, size: int, waited: bool) -> bool:
        """There is where to lay out a record of this size for a writer."""
        book = self.book
        if book.queued > MAX_QUEUED_BYTES:
            return False
        if not self._held:
            if book.fits(size):
                return True
            if book.spares:
                book.roll()
                return True
        if waited and self.at_rest:
            self.counts["full"] += 1
            raise StoreFullError(f"{self.files.label}: {self.no_room or 'compaction can make no room'}")
        self._stir()
        return False

    def _stir(self) -> None:
        self.at_rest, self._stirred = False, True

    def get(self, key: bytes) -> bytes | None:
        """The value, whether durable yet or not. Raises StoreDamagedError if it can't be read as it was written."""
        with self.lock:
            if self.closed:
                raise StoreClosedError(f"{self.files.label}: closed")
            place = self.book.find(key, self.now())
            return None if place is None else self._value(key, *place)

    def _value(self, key: bytes, number: int, offset: int, size: int) -> bytes:
        value = self.book.in_memory(key, number, offset)
        if value is not None:
            return value
        try:
            record = decode(self._file(number).read(offset, size), 0, offset)
            if isinstance(record, int) or record.key != key or record.kind is not RecordKind.PUT:
                raise CorruptRecordError(offset, "the record of another key, or none, is where the index led")
        except CorruptRecordError as error:
            raise self._damage(number, error.offset, str(error)) from None
        except OSError as error:
            raise self._damage(number, offset, error.strerror or str(error)) from None
        return record.value

    def _damage(self, number: int, offset: int, what: str) -> StoreDamagedError:
        """Note that a segment can't be read as it was written. It stays as it is: compaction never drops it."""
        with self.lock:
            segment = self.book.segments[number]
            if not segment.damaged:
                segment.damaged = True
                self.counts["damaged"] += 1
                self._event("store.damaged", file=segment_name(number), offset=offset, why=what)
            self.damage = StoreDamagedError(self.files.label, segment_name(number), offset, what)
            return self.damage

    def holds(self, key: bytes) -> bool:
        """The key is there."""
        with self.lock:
            return self.book.find(key, self.now()) is not None

    def keys(self) -> list[bytes]:
        """All keys that are there."""
        with self.lock:
            return [key for key, _ in self.book.live_items(self.now())]

    def __len__(self) -> int:
        with self.lock:
            self.book.expire_all(self.now())
            return len(self.book.index)

    @property
    def sequence(self) -> int:
        """Of the last record that was laid out."""
        return self.book.sequence

    def next_due(self) -> float:
        """When keys expire next (Unix seconds)."""
        with self.lock:
            due = self.book.due
        return math.inf if due == NEVER_MS else due / 1000

    # --- what the writing thread calls ---

    @contextlib.contextmanager
    def _failing(self) -> Iterator[None]:
        """An error of the system ends all acknowledging."""
        try:
            yield
        except OSError as error:
            with self.lock:
                self.failed = f"{error.strerror or error}"
                self._barred = True
            self.counts["failed"] += 1
            self._event("store.failed", why=self.failed)
            raise StoreFailedError(f"{self.files.label}: {self.failed}") from error

    def flush(self) -> int:
        """Write and sync all that is laid out; its bytes. Raises StoreFailedError, and then always."""
        with self.lock:
            self.check()
            sequence = self.book.sequence
            parts = self.book.take_queue()
        if not parts:
            return 0
        total = 0
        with self._failing():
            for part in parts:
                file, size = self._file(part.segment), part.size
                file.write(part.offset, part.buffers)
                # Synced before the next segment is touched: what lies there proves that this one is whole.
                file.sync()
                total += size
                with self.lock:
                    self.book.segments[part.segment].durable = part.offset + size
            with self.lock:
                self.durable = sequence
                self.book.written(parts)
            self._mark()
        self.counts["batches"] += 1
        self.counts["written_bytes"] += total
        if len(parts) > 1 or self._unhinted:
            self._write_hints()
        return total

    def _reached(self) -> DurabilityMarker:
        """How far all is durable."""
        with self.lock:
            active = self.book.active
            return DurabilityMarker(
                self.durable, active.number if active else 0, active.durable if active else 0, self.now()
            )

    def _mark(self) -> None:
        """Note how far all is durable. It is written after the sync and not synced itself: it survives the end of
        the process, and mostly a cut; it only ever tells what is true."""
        assert self._marks is not None
        mark = self._reached()
        self._mark_place ^= 1
        self._marks.write(MARKER_OFFSETS[self._mark_place], [encode_marker(mark)])

    def step(self, budget: int = COMPACTION_READ_BYTES) -> bool:
        """A piece of the work beside the writers, reading about `budget` bytes; False if there was none to do.

        Forgets what expired, lays out the next segment, copies what tells out of the segment that the planner
        chose, and drops segments. Raises StoreFailedError."""
        with self.lock:
            self.check()
            self._stirred = False
            more = self.book.expire(self.now(), MAX_EXPIRED_PER_STEP)
        done = (
            self._lay_out() or self._list_sealed() or (self._copy(budget) if self._copying else self._choose()) or more
        )
        with self.lock:
            self.at_rest = not done and not self.book.queue and not self._stirred
        return done

    # --- segments ---

    def _file(self, number: int) -> File:
        with self.lock:
            file = self._handles.get(number)
            if file is None:
                file = self._handles[number] = self.files.open(segment_name(number))
                if len(self._handles) > MAX_OPEN_SEGMENTS:
                    # Never the newest: the writing thread may hold it. Reading goes on under the lock.
                    oldest = next((n for n in self._handles if n != number and not self._writes(n)), None)
                    if oldest is not None:
                        self._handles.pop(oldest).close()
            self._handles.move_to_end(number)
            return file

    def _writes(self, number: int) -> bool:
        """The segment is not durable as a whole yet, so the writing thread may hold its file."""
        return not self.book.segments[number].whole

    def _needs_spare(self) -> bool:
        if self.book.spares:
            return False
        copying = self._copying is not None and self._copying.held is not None
        return self.limits.may_add(self.book.disk, copying)

    def _lay_out(self) -> bool:
        """Take a step towards the next segment, so that writers need not wait for it."""
        if self._laying is None:
            with self.lock:
                if not self._needs_spare():
                    return False
            if self.no_room and not self._retry_room():
                return False
        try:
            if self._laying is None:
                self._laying = SegmentPreallocation(self._next, self.files.create(segment_name(self._next)))
                self._next += 1  # also where it comes to nothing: numbers are never used again
            laying, size = self._laying, self.limits.segment_bytes
            laying.file.allocate(size)
            laying.file.write(0, [encode_segment_header(laying.number, size, self.now())])
            with self._failing():
                laying.file.sync()
                self.files.sync_names()
            segment = Segment(laying.number, hint=HintWriter())
            self._swap([*self.book.segments.values(), segment])
        except OSError as error:
            if error.errno not in _NO_ROOM:
                with self._failing():
                    raise
            self._give_up_laying(error.strerror or str(error))
            return False
        with self.lock:
            self.no_room = ""
            self._laying = None
            self._handles[laying.number] = laying.file
            self.book.add_segment(segment)
            self.book.spares.append(segment)
            if self.book.active is None:
                self.book.roll()
            self._hold()
        self.counts["segments.laid_out"] += 1
        return True

    def _list_sealed(self) -> bool:
        """Have the manifest state the end of every segment that is whole: opening then reads its hint alone."""
        with self.lock:
            segments = list(self.book.segments.values())
            if not any(segment.whole and not self._entries[segment.number].end for segment in segments):
                return False
        try:
            self._swap(segments)
        except OSError:  # a full disk; the old manifest is as right as before
            return False
        return True

    def _retry_room(self) -> bool:
        """After a full disk: try again whenever a writer waits, as it can't be told when room comes back."""
        with self.lock:
            return not self.at_rest

    def _give_up_laying(self, why: str) -> None:
        if not self.no_room:
            self._event("store.no_room", why=why)
        self.counts["no_room"] += 1
        with self.lock:
            self.no_room = why
            laying, self._laying = self._laying, None
        if laying is not None:
            laying.file.close()
            with contextlib.suppress(OSError):
                self.files.remove(segment_name(laying.number))

    def _swap(self, segments: list[Segment]) -> None:
        """Replace the manifest. Raises OSError for a full disk, with the old one in force; StoreFailedError else."""
        with self.lock:
            entries = [self._entry(segment) for segment in segments]
            manifest = Manifest(
                self._generation + 1, self.limits.segment_bytes, self._next, self._reached(), tuple(entries)
            )
        try:
            file = self.files.create(MANIFEST_FILE + NEW)
            try:
                file.write(0, [encode_manifest(manifest)])
                with self._failing():
                    file.sync()
            finally:
                file.close()
        except OSError as error:
            if error.errno in _NO_ROOM:
                with contextlib.suppress(OSError):
                    self.files.remove(MANIFEST_FILE + NEW)
                raise
            with self._failing():
                raise
        with self._failing():
            self.files.rename(MANIFEST_FILE + NEW, MANIFEST_FILE)
            self.files.sync_names()
        self._generation += 1
        self._entries = {entry.number: entry for entry in entries}

    def _entry(self, segment: Segment) -> SegmentEntry:
        if segment.whole:
            return SegmentEntry(segment.number, segment.end, segment.count, segment.last)
        return SegmentEntry(segment.number)

    def _write_hints(self) -> None:
        self._unhinted = False
        for segment in [s for s in self.book.segments.values() if s.hint is not None and s.whole]:
            self._write_hint(segment)

    def _write_hint(self, segment: Segment) -> None:
        """Not synced: a hint is checked whenever it is read, and the records are there without it."""
        assert segment.hint is not None
        data = segment.hint.encode(segment.number, segment.end, segment.count, segment.last)
        name = hint_name(segment.number)
        try:
            file = self.files.create(name + NEW)
            try:
                file.write(0, [data])
            finally:
                file.close()
            self.files.rename(name + NEW, name)
        except OSError as error:
            self.counts["hints.lost"] += 1
            self._event("store.hint_lost", segment=segment.number, why=error.strerror or str(error))
        with self.lock:
            self.book.hint_is(segment, len(data))
            segment.hint = None
            self._hold()

    # --- compaction ---

    def compact(self) -> None:
        """Ask for all dead records that are there now to be left behind; steps do it."""
        with self.lock:
            self.check()
            self.compact_before = self._next
            self._stir()

    def _facts(self) -> list[SegmentStatistics]:
        return [
            SegmentStatistics(s.number, s.data, s.live, s.whole and not s.shadowed_segments and not s.damaged, s.dead)
            for s in self.book.segments.values()
        ]

    def _choose(self) -> bool:
        """Carry out what the planner says next."""
        with self.lock:
            active = self.book.active
            if (
                self.compact_before
                and active is not None
                and (active.dead and active.number < self.compact_before and self.book.spares)
            ):
                self.book.roll()
        if self.compact_before:
            self.flush()  # what was sealed just now is not durable yet: the plan would miss it
        with self.lock:
            chosen = plan_compaction(self._facts(), self.limits, self.book.disk, self.book.live, self.compact_before)
        if chosen.drop:
            return self._drop(chosen.drop)
        if chosen.copy is not None:
            file = self.files.open(segment_name(chosen.copy))
            scan = SegmentScan(file, self.limits.segment_bytes)
            self._copying = SegmentCompaction(chosen.copy, file, iter(scan), scan)
            return True
        if self.compact_before:
            self.compact_before = 0
            return True
        return False

    def _copy(self, budget: int) -> bool:
        """Copy on, by about `budget` bytes of the segment that is being emptied."""
        copying = self._copying
        assert copying is not None
        end = copying.scan.end + budget
        while copying.held is not None or copying.scan.end < end:
            record, copying.held = copying.held or next(copying.records, None), None
            if record is None:
                return self._copied(copying)
            if self.book.queued > MAX_QUEUED_BYTES:
                self.flush()
            with self.lock:
                if not self._copy_record(copying, record):
                    copying.held = record
            if copying.held is not None:
                return self._lay_out()
        return True

    def _copy_record(self, copying: SegmentCompaction, record: Record) -> bool:
        """Take one record along if it tells; False if there is no room for it before a segment is laid out."""
        if record.kind is not RecordKind.PUT:
            return True
        if self.book.place(record.key) != (copying.number, record.offset, record.size):
            return True
        if record.expires <= self.now():
            self.book.forget(record.key)
            return True
        if not self.book.fits(record.size):
            if not self.book.spares:
                return False
            self.book.roll()
        self.book.lay(PUT, record.key, record.value, record.expires)
        self.counts["copied_bytes"] += record.size
        return True

    def _copied(self, copying: SegmentCompaction) -> bool:
        """The segment is read to its end: drop it."""
        if not copying.scan.sealed:
            fault = copying.scan.fault
            self._damage(copying.number, copying.scan.end, str(fault))
        copying.file.close()
        self._copying = None
        if copying.scan.sealed:
            self.counts["segments.compacted"] += 1
            return self._drop((copying.number,))
        return True

    def _drop(self, numbers: tuple[int, ...]) -> bool:
        """Take segments out of the log: first from the manifest, then from the disk.

        What overruled their records, or is a copy of them, may not be durable yet. It is, before they go: a cut must
        not find neither the old value nor the new one."""
        self.flush()
        gone = set(numbers)
        try:
            self._swap([s for s in self.book.segments.values() if s.number not in gone])
        except OSError as error:
            self._give_up_laying(error.strerror or str(error))
            return False
        with self.lock:
            self.book.drop(gone)
            self._hold()
            handles = [self._handles.pop(number) for number in gone if number in self._handles]
        for file in handles:
            file.close()
        for number in numbers:
            for name in (hint_name(number), segment_name(number)):
                with contextlib.suppress(OSError):  # what stays belongs to nothing and goes when the store is opened
                    self.files.remove(name)
        self.counts["segments.dropped"] += len(gone)
        return True

    # --- for one thread alone ---

    def settle(self) -> None:
        """Flush and step until there is nothing left to do."""
        while self.flush() or self.step():
            pass

    def metrics(self) -> dict[str, int]:
        """Sizes in bytes and counts, for an operator."""
        with self.lock:
            book = self.book
            return {
                "keys": len(book.index),
                "live_bytes": book.live,
                "disk_bytes": book.disk,
                "capacity_bytes": self.limits.capacity,
                "max_bytes": self.limits.max_bytes,
                "memory_bytes": book.memory,
                "max_memory": self.limits.max_memory,
                "segments": len(book.segments),
                "segment_bytes": self.limits.segment_bytes,
                "queued_bytes": self.book.queued,
                "put": self._puts,
                "put_bytes": self._put_bytes,
                **self.counts,
            }
