"""Sequential scan of the records of a segment."""

from __future__ import annotations

from collections.abc import Iterator

from .codec import FIRST_RECORD_OFFSET, Record, RecordKind, decode_record
from .errors import CorruptDataError
from .file_system import File

READ_BYTES = 256 * 1024  # per read call


class SegmentScan:
    """Iterates over a segment's records up to its seal or the first invalid record."""

    def __init__(self, file: File, size: int) -> None:
        self._file = file
        self._size = size
        self.end = FIRST_RECORD_OFFSET  # end of the last record read
        self.sealed = False
        self.fault: CorruptDataError | None = None  # why the scan ended before a seal

    def __iter__(self) -> Iterator[Record]:
        data = b""
        data_offset = self.end  # offset of `data` in the file
        position = 0
        while not self.sealed:
            try:
                record = decode_record(data, position, data_offset)
                if isinstance(record, int):
                    data = self._read_more(data, position, data_offset, needed=record)
                    data_offset += position
                    position = 0
                    continue
            except CorruptDataError as error:
                self.fault = error
                return
            position += record.size
            self.end = record.offset + record.size
            self.sealed = record.kind is RecordKind.SEAL
            yield record

    def _read_more(self, data: bytes, position: int, data_offset: int, needed: int) -> bytes:
        """Return the bytes of `data` from `position` on, extended from the file to at least `needed` bytes."""
        if data_offset + position + needed > self._size:
            raise CorruptDataError(data_offset + position, "the record would extend past the end of the segment")
        unread = data[position:]
        unread += self._file.read(data_offset + len(data), max(needed - len(unread), READ_BYTES))
        if len(unread) < needed:
            raise CorruptDataError(data_offset + position, "the file ends inside a record")
        return unread
