"""A segment of the log, as it is known in memory, and a batch of records that is to be written to one."""

from __future__ import annotations

from dataclasses import dataclass, field

from .codec import FIRST_RECORD_OFFSET, RECORD_HEADER_BYTES, HintWriter


@dataclass(slots=True)
class Segment:
    """A segment of the log. Offsets and sizes in bytes."""

    number: int
    end: int = FIRST_RECORD_OFFSET  # offset of the next record, or the end of the sealed segment
    live_bytes: int = 0  # of live records, with their share of the hint
    live_records: int = 0
    record_count: int = 0  # including the seal
    last_sequence: int = 0  # of the last record
    sealed: bool = False  # nothing more is appended
    durable_end: int = FIRST_RECORD_OFFSET  # everything below was synced
    hint_bytes: int = 0
    hint: HintWriter | None = None  # until the hint is written
    # Older segments that hold records which a record here overrules. While one of them exists this segment must too:
    # without it, what was deleted, replaced or expired would come back.
    shadowed_segments: set[int] = field(default_factory=set)
    damaged: bool = False  # a read failed: compaction keeps the segment, for `repair`

    @property
    def data_bytes(self) -> int:
        """Bytes of its records and their hint."""
        hint_bytes = self.hint_bytes
        if not hint_bytes and self.hint is not None:
            hint_bytes = self.hint.bytes
        return self.end - FIRST_RECORD_OFFSET + hint_bytes

    @property
    def fully_durable(self) -> bool:
        """Whether it is sealed and synced up to its end."""
        return self.sealed and self.durable_end == self.end

    @property
    def dead_records(self) -> int:
        """Records that are no longer live, without the seal."""
        return self.record_count - self.live_records - self.sealed


@dataclass(slots=True)
class WriteBatch:
    """Consecutive records of one segment that are to be written."""

    segment: int
    offset: int
    buffers: list[bytes] = field(default_factory=list)

    @property
    def size(self) -> int:
        """Bytes."""
        return sum(map(len, self.buffers))


def record_size(key: bytes, value: bytes) -> int:
    """Bytes of a record in its segment."""
    return RECORD_HEADER_BYTES + len(key) + len(value)
