"""Reads the records of a segment one after the other."""

from __future__ import annotations

from collections.abc import Iterator

from .codec import FIRST_RECORD_OFFSET, Record, RecordKind, decode_record
from .errors import CorruptDataError
from .file_system import File

READ_BYTES = 256 * 1024  # in one read


class SegmentScan:
    """Iterates over a segment's records up to its seal, or to the first place that holds none."""

    def __init__(self, file: File, size: int) -> None:
        self._file = file
        self._size = size
        self.end = FIRST_RECORD_OFFSET  # after the last record that was read
        self.sealed = False
        self.fault: CorruptDataError | None = None  # why it ended before a seal

    def __iter__(self) -> Iterator[Record]:
        data = b""
        base = self.end  # offset of `data` in the file
        at = 0
        while not self.sealed:
            try:
                record = decode_record(data, at, base)
                if isinstance(record, int):
                    data = self._read_on(data, at, base, needed=record)
                    base += at
                    at = 0
                    continue
            except CorruptDataError as error:
                self.fault = error
                return
            at += record.size
            self.end = record.offset + record.size
            self.sealed = record.kind is RecordKind.SEAL
            yield record

    def _read_on(self, data: bytes, at: int, base: int, needed: int) -> bytes:
        """What follows `at` in `data`, with so much of the file after it that `needed` bytes are there."""
        if base + at + needed > self._size:
            raise CorruptDataError(base + at, "a record would reach past the segment's end")
        rest = data[at:]
        rest += self._file.read(base + len(data), max(needed - len(rest), READ_BYTES))
        if len(rest) < needed:
            raise CorruptDataError(base + at, "the file ends inside a record")
        return rest
