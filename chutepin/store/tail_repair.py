"""Makes the recovered tail of the log durable again before records are appended to it."""

from __future__ import annotations

from .codec import FIRST_RECORD_OFFSET
from .context import StoreContext
from .file_system import File
from .recovery import RecoveredStore
from .segment import Segment
from .segment_files import SegmentFiles
from .segment_scan import READ_BYTES


def rewrite_tail(context: StoreContext, files: SegmentFiles, recovered: RecoveredStore, tail: Segment) -> None:
    """Rewrite the readable records above the watermark, overwrite torn bytes after them with zeros, and sync.

    After a failed fsync the page cache may return data that is not on the disk. The zeros prevent stale bytes from
    following a later batch."""
    durable_end = _known_durable_end(recovered, tail)
    if recovered.torn_bytes:
        context.counts["torn_tails"] += 1
        context.report_event(
            "store.torn_tail", segment=tail.number, offset=tail.end, bytes=recovered.torn_bytes, why=recovered.fault
        )
    elif durable_end >= tail.end:
        return
    file = files.get(tail.number)
    _rewrite(file, min(durable_end, tail.end), tail.end)
    _write_zeros(file, tail.end, tail.end + recovered.torn_bytes)
    file.sync()


def _known_durable_end(recovered: RecoveredStore, tail: Segment) -> int:
    """Return the offset of the tail up to which the durability marker covers it."""
    if recovered.marker.segment > tail.number:
        return tail.end
    if recovered.marker.segment == tail.number:
        return recovered.marker.end
    return FIRST_RECORD_OFFSET


def _rewrite(file: File, begin: int, end: int) -> None:
    position = begin
    while position < end:
        data = file.read(position, min(READ_BYTES, end - position))
        file.write(position, [data])
        position += len(data)


def _write_zeros(file: File, begin: int, end: int) -> None:
    position = begin
    while position < end:
        zeros = bytes(min(READ_BYTES, end - position))
        file.write(position, [zeros])
        position += len(zeros)
