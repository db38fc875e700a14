"""Finds every readable record of a segment, also after places that can't be read."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .codec import FIRST_RECORD_OFFSET, MAGIC, Record, RecordKind, decode_record
from .errors import CorruptDataError
from .file_system import File

_MAGIC = MAGIC.to_bytes(2, "little")
_MAGIC_OFFSET = 4  # in a record


@dataclass(frozen=True, slots=True)
class UnreadableRange:
    """Bytes that hold no record that can be read."""

    offset: int
    end: int
    what: str


def salvage(file: File, end: int) -> Iterator[Record | UnreadableRange]:
    """All readable records of a segment up to `end`, and the unreadable ranges between them.

    After a place that can't be read, the next valid record is searched for byte by byte. Zeros up to the end are not
    an unreadable range."""
    data = file.read(FIRST_RECORD_OFFSET, max(0, end - FIRST_RECORD_OFFSET))
    at = 0
    unreadable_from = -1
    reason = ""
    while at < len(data):
        record: Record | int | None = None
        try:
            record = decode_record(data, at, FIRST_RECORD_OFFSET)
        except CorruptDataError as error:
            reason = reason or str(error)
        if isinstance(record, Record):
            if unreadable_from >= 0:
                yield UnreadableRange(FIRST_RECORD_OFFSET + unreadable_from, FIRST_RECORD_OFFSET + at, reason)
                unreadable_from = -1
                reason = ""
            yield record
            if record.kind is RecordKind.SEAL:
                return
            at += record.size
            continue
        if unreadable_from < 0:
            if not data[at:].strip(b"\0"):
                return
            unreadable_from = at
            reason = reason or "a record is cut"
        next_magic = data.find(_MAGIC, at + _MAGIC_OFFSET + 1)
        if next_magic < 0:
            break
        at = next_magic - _MAGIC_OFFSET
    if unreadable_from >= 0:
        used = len(data[unreadable_from:].rstrip(b"\0"))
        begin = FIRST_RECORD_OFFSET + unreadable_from
        yield UnreadableRange(begin, begin + used, reason)
