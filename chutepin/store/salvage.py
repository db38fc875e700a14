"""Finds all valid records of a segment, including those after corrupt ranges."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .codec import FIRST_RECORD_OFFSET, MAGIC, Record, RecordKind, decode_record
from .errors import CorruptDataError
from .file_system import File

_MAGIC = MAGIC.to_bytes(2, "little")
_MAGIC_OFFSET = 4  # offset of the magic within a record


@dataclass(frozen=True, slots=True)
class UnreadableRange:
    """A range of a segment that contains no valid record."""

    offset: int
    end: int
    reason: str


def salvage(file: File, end: int) -> Iterator[Record | UnreadableRange]:
    """Iterate over the valid records of a segment up to `end` and the unreadable ranges between them.

    After a corrupt record, the next valid one is found by searching for the magic. Zeros up to the end of the segment
    are not reported as an unreadable range."""
    data = file.read(FIRST_RECORD_OFFSET, max(0, end - FIRST_RECORD_OFFSET))
    position = 0
    unreadable_from = -1
    reason = ""
    while position < len(data):
        record: Record | int | None = None
        try:
            record = decode_record(data, position, FIRST_RECORD_OFFSET)
        except CorruptDataError as error:
            reason = reason or str(error)
        if isinstance(record, Record):
            if unreadable_from >= 0:
                yield UnreadableRange(FIRST_RECORD_OFFSET + unreadable_from, FIRST_RECORD_OFFSET + position, reason)
                unreadable_from = -1
                reason = ""
            yield record
            if record.kind is RecordKind.SEAL:
                return
            position += record.size
            continue
        if unreadable_from < 0:
            if not data[position:].strip(b"\0"):
                return
            unreadable_from = position
            reason = reason or "truncated record"
        next_magic = data.find(_MAGIC, position + _MAGIC_OFFSET + 1)
        if next_magic < 0:
            break
        position = next_magic - _MAGIC_OFFSET
    if unreadable_from >= 0:
        used_bytes = len(data[unreadable_from:].rstrip(b"\0"))
        begin = FIRST_RECORD_OFFSET + unreadable_from
        yield UnreadableRange(begin, begin + used_bytes, reason)
