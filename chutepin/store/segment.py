"""In-memory state of a segment, and a batch of records to be written to one."""

from __future__ import annotations

from dataclasses import dataclass, field

from .codec import FIRST_RECORD_OFFSET, RECORD_HEADER_BYTES, HintWriter


@dataclass(slots=True)
class Segment:
    """In-memory state of a segment of the log. Offsets and sizes in bytes."""

    number: int
    end: int = FIRST_RECORD_OFFSET  # offset at which the next record is appended; after sealing, the end of the seal
    live_bytes: int = 0  # of live records including their hint entries
    live_records: int = 0
    record_count: int = 0  # including the seal
    last_sequence: int = 0  # sequence number of the last record
    sealed: bool = False  # ends with a seal record; takes no more records
    durable_end: int = FIRST_RECORD_OFFSET  # all bytes below this offset have been synced
    hint_bytes: int = 0
    hint: HintWriter | None = None  # set until the hint file is written
    # Older segments that hold records superseded by records here. This segment is kept while any of them exists:
    # without it, recovery would restore deleted, replaced or expired values.
    shadowed_segments: set[int] = field(default_factory=set)
    damaged: bool = False  # a read failed; compaction keeps the segment so that `repair` can salvage it

    @property
    def data_bytes(self) -> int:
        """Bytes of the records and the hint."""
        hint_bytes = self.hint_bytes
        if not hint_bytes and self.hint is not None:
            hint_bytes = self.hint.bytes
        return self.end - FIRST_RECORD_OFFSET + hint_bytes

    @property
    def fully_durable(self) -> bool:
        """Return whether the segment is sealed and synced up to its end."""
        return self.sealed and self.durable_end == self.end

    @property
    def dead_records(self) -> int:
        """Number of records that are no longer live, not counting the seal."""
        return self.record_count - self.live_records - self.sealed


@dataclass(slots=True)
class WriteBatch:
    """Consecutive records of one segment that are queued for writing."""

    segment: int
    offset: int
    buffers: list[bytes] = field(default_factory=list)

    @property
    def size(self) -> int:
        """Total size in bytes."""
        return sum(map(len, self.buffers))


def record_size(key: bytes, value: bytes) -> int:
    """Return the encoded size of a record in bytes."""
    return RECORD_HEADER_BYTES + len(key) + len(value)
