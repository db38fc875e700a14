"""Makes the tail of a log that was read back durable again, before anything is appended to it."""

from __future__ import annotations

from .codec import FIRST_RECORD_OFFSET
from .context import StoreContext
from .file_system import File
from .recovery import RecoveredStore
from .segment import Segment
from .segment_files import SegmentFiles
from .segment_scan import READ_BYTES


def rewrite_tail(context: StoreContext, files: SegmentFiles, found: RecoveredStore, tail: Segment) -> None:
    """Write again what is not known to be durable although it can be read, and zeros over torn bytes after it.

    After a failed sync the page cache shows what the disk does not hold. Zeros keep a later batch from being followed
    by old bytes."""
    durable_end = _known_durable_end(found, tail)
    if found.torn_bytes:
        context.counts["torn_tails"] += 1
        context.report_event(
            "store.torn_tail", segment=tail.number, offset=tail.end, bytes=found.torn_bytes, why=found.fault
        )
    elif durable_end >= tail.end:
        return
    file = files.get(tail.number)
    _rewrite(file, min(durable_end, tail.end), tail.end)
    _write_zeros(file, tail.end, tail.end + found.torn_bytes)
    file.sync()


def _known_durable_end(found: RecoveredStore, tail: Segment) -> int:
    """How far the durability marker covers the tail."""
    if found.marker.segment > tail.number:
        return tail.end
    if found.marker.segment == tail.number:
        return found.marker.end
    return FIRST_RECORD_OFFSET


def _rewrite(file: File, begin: int, end: int) -> None:
    at = begin
    while at < end:
        data = file.read(at, min(READ_BYTES, end - at))
        file.write(at, [data])
        at += len(data)


def _write_zeros(file: File, begin: int, end: int) -> None:
    at = begin
    while at < end:
        zeros = bytes(min(READ_BYTES, end - at))
        file.write(at, [zeros])
        at += len(zeros)
