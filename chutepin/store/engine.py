"""The storage engine: all operations of an open store, and its background work in steps, without a thread of its own.

Methods are thread-safe, but only one thread at a time may call `flush`, `step` or `settle`. No method holds the lock
while it writes. `Store` adds the writer thread; tests call the steps themselves to control each file operation."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import replace

from .allocation import SegmentAllocator
from .appender import RecordAppender
from .codec import NEVER_MS, RecordKind, decode_record
from .compaction import Compactor
from .compaction_plan import COMPACTION_READ_BYTES
from .context import EventReporter, StoreContext, open_error
from .errors import CorruptDataError, StoreClosedError, StoreError
from .file_system import FileSystem
from .hint_files import HintFiles
from .index import RecordLocation
from .limits import MIN_SEGMENTS, Limits
from .log import SegmentedLog
from .manifest_file import ManifestFile
from .marker_file import DurabilityMarkerFile
from .recovery import RecoveredStore, StoreReader
from .segment_files import SegmentFiles, close_quietly
from .tail_repair import rewrite_tail
from .writer import GroupCommitWriter

MAX_EXPIRED_PER_STEP = 2000  # keys


class Engine:
    """An open store without a writer thread."""

    def __init__(
        self, file_system: FileSystem, limits: Limits, clock: Callable[[], float], event: EventReporter
    ) -> None:
        self.context = StoreContext(file_system, limits, clock, event)
        self._files = SegmentFiles(self.context)
        self._manifest = ManifestFile(self.context)
        self._markers = DurabilityMarkerFile(file_system)
        self._hints = HintFiles(self.context)
        self._writer = GroupCommitWriter(self.context, self._files, self._hints, self._markers)
        self._allocator = SegmentAllocator(self.context, self._manifest, self._files)
        self._compactor = Compactor(self.context, self._manifest, self._files, self._allocator, self._writer)
        self._appender = RecordAppender(self.context)

    @classmethod
    def open(cls, file_system: FileSystem, limits: Limits, clock: Callable[[], float], event: EventReporter) -> Engine:
        """Lock the directory and recover its store, or create one. Raises StoreError or a subclass."""
        if limits.max_bytes < MIN_SEGMENTS * limits.segment_bytes:
            raise StoreError(f"max_bytes: less than {MIN_SEGMENTS} times segment_bytes")
        engine = cls(file_system, limits, clock, event)
        try:
            file_system.lock(create=True)
        except OSError as error:
            raise open_error(file_system, error) from error
        try:
            engine._recover()
        except BaseException as error:
            engine._release()
            if isinstance(error, OSError):
                raise open_error(file_system, error) from error
            raise
        return engine

    def _recover(self) -> None:
        recovered = StoreReader(self.context.file_system).read()
        if recovered is None:
            self._markers.create()
            self._manifest.replace([])
        else:
            self._restore(recovered)
        self._writer.write_marker()
        self._markers.sync()

    def _restore(self, recovered: RecoveredStore) -> None:
        """Adopt the recovered state, and make its tail durable."""
        context = self.context
        segment_bytes = recovered.manifest.segment_bytes
        if context.limits.max_bytes < MIN_SEGMENTS * segment_bytes:
            raise StoreError(
                f"max_bytes: less than {MIN_SEGMENTS} times the segment size of {segment_bytes} bytes "
                f"with which {context.label} was created"
            )
        context.limits = replace(context.limits, segment_bytes=segment_bytes)
        context.set_log(recovered.log)
        context.advance_clock(recovered.time_ms)
        self._manifest.load(recovered.manifest)
        recovered.log.durable_sequence = recovered.log.last_sequence
        if recovered.tail is not None:
            rewrite_tail(context, self._files, recovered, recovered.tail)
        for name in recovered.unreferenced_files:
            context.file_system.remove(name)
        for number in recovered.segments_without_hint:
            context.counts["hints.rebuilt"] += 1
            context.report_event("store.hint_rebuilt", segment=number)
            self._hints.write(recovered.log.segments[number])
        self._hints.write_missing()
        self._markers.open()

    def close(self) -> None:
        """Flush the queue, unless a write has failed, and unlock the directory."""
        if self.context.closed:
            return
        try:
            if not self.context.failure:
                self.flush()
                self._manifest.list_sealed_segments()
                with self.context.failing_on_os_error():
                    self._writer.write_marker()
                    self._markers.sync()
        finally:
            self._release()

    def _release(self) -> None:
        with self.context.lock:
            self.context.close()
            files = [
                *self._markers.release(),
                *self._files.remove_all(),
                *self._compactor.release(),
                *self._allocator.release(),
            ]
        close_quietly(files)
        self.context.file_system.unlock()

    def put(self, key: bytes, value: bytes, expires: float, waited: bool = False) -> bool:
        """Append a put. See `RecordAppender.put`."""
        return self._appender.put(key, value, expires, waited)

    def put_many(self, items: Sequence[tuple[bytes, bytes]], expires: float, waited: bool = False) -> int:
        """Append puts with one expiry. See `RecordAppender.put_many`."""
        return self._appender.put_many(items, expires, waited)

    def delete(self, key: bytes, waited: bool = False) -> bool:
        """Append a delete. See `RecordAppender.delete`."""
        return self._appender.delete(key, waited)

    def get(self, key: bytes) -> bytes | None:
        """Return the value of a key, durable or not, or None. Raises StoreDamagedError if the record is unreadable."""
        context = self.context
        with context.lock:
            if context.closed:
                raise StoreClosedError(f"{context.label}: closed")
            location = context.log.index.find(key, context.now_ms())
            return None if location is None else self._read_value(key, location)

    def _read_value(self, key: bytes, location: RecordLocation) -> bytes:
        context = self.context
        number, offset, size = location
        if offset >= context.log.segments[number].durable_end:
            value = context.log.queue.value(key)
            if value is not None:
                return value
        try:
            record = decode_record(self._files.get(number).read(offset, size), 0, offset)
            if isinstance(record, int) or record.key != key or record.kind is not RecordKind.PUT:
                raise CorruptDataError(offset, "the record at the indexed location does not hold this key")
        except CorruptDataError as error:
            raise context.damage_error(number, error.offset, str(error)) from None
        except OSError as error:
            raise context.damage_error(number, offset, error.strerror or str(error)) from None
        return record.value

    def contains(self, key: bytes) -> bool:
        """Return whether the key exists."""
        with self.context.lock:
            return self.log.index.find(key, self.context.now_ms()) is not None

    def keys(self) -> list[bytes]:
        """Return all keys that have not expired."""
        with self.context.lock:
            return [key for key, _ in self.log.index.live_items(self.context.now_ms())]

    def __len__(self) -> int:
        with self.context.lock:
            self.log.index.expire_all(self.context.now_ms())
            return len(self.log.index)

    def flush(self) -> int:
        """Write and sync all queued records; return their bytes. Raises StoreFailedError, also on all later calls."""
        return self._writer.flush()

    def step(self, budget: int = COMPACTION_READ_BYTES) -> bool:
        """Perform one unit of background work; return whether there was any.

        Removes expired keys, then preallocates a segment, updates the manifest or compacts, reading about `budget`
        bytes. Raises StoreFailedError."""
        context = self.context
        with context.lock:
            context.check_usable()
            context.begin_step()
            more_expired = context.log.index.expire(context.now_ms(), MAX_EXPIRED_PER_STEP)
        worked = (
            self._allocator.allocate_spare(for_compaction=self._compactor.waits_for_segment)
            or self._manifest.list_sealed_segments()
            or self._compactor.step(budget)
            or more_expired
        )
        with context.lock:
            context.end_step(worked)
        return worked

    def settle(self) -> None:
        """Flush and step until no work is left."""
        while self.flush() or self.step():
            pass

    def compact(self) -> None:
        """Request the removal of all records that are dead now. Later steps perform it."""
        self._compactor.request_full()

    @property
    def log(self) -> SegmentedLog:
        """The log. Accesses must hold the context's lock."""
        return self.context.log

    @property
    def counts(self) -> Counter[str]:
        """Event counters of the store."""
        return self.context.counts

    @property
    def is_compacting(self) -> bool:
        """Return whether a requested compaction is not complete."""
        return self._compactor.full_before != 0

    def next_expiry(self) -> float:
        """Return when keys expire next, in Unix seconds, or infinity."""
        with self.context.lock:
            due_ms = self.log.index.due_ms
        return math.inf if due_ms == NEVER_MS else due_ms / 1000

    def metrics(self) -> dict[str, int]:
        """Return sizes in bytes and counters for the operator."""
        context = self.context
        with context.lock:
            log = context.log
            return {
                "keys": len(log.index),
                "live_bytes": log.index.live_bytes,
                "disk_bytes": log.disk_bytes,
                "capacity_bytes": context.limits.capacity,
                "max_bytes": context.limits.max_bytes,
                "memory_bytes": log.index.memory_bytes,
                "max_memory": context.limits.max_memory,
                "segments": len(log.segments),
                "segment_bytes": context.limits.segment_bytes,
                "queued_bytes": log.queue.bytes,
                "put": self._appender.put_count,
                "put_bytes": self._appender.put_bytes,
                **context.counts,
            }
