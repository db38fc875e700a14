"""Limits on a store's disk space and memory. No I/O. `docs/store.md` derives the bounds."""

from __future__ import annotations

from dataclasses import dataclass

SPACE_AMPLIFICATION = 2.0  # bytes on disk per live byte, not counting the slack segments
SLACK_SEGMENTS = 4  # the active segment, its spare, one being compacted and one that receives the copies
COMPACTION_RESERVE_SEGMENTS = 2  # disk space that only compaction may use, so that it can always copy live records
MIN_SEGMENTS = 8  # lower bound on max_bytes / segment_bytes
MAX_QUEUED_BYTES = 4 * 2**20  # appended but not durable yet


@dataclass(frozen=True, slots=True)
class Limits:
    """Size limits set by the operator, in bytes."""

    segment_bytes: int
    max_bytes: int
    max_memory: int
    capacity: int = 0  # maximum live bytes for which compaction always has space; derived from the other fields

    def __post_init__(self) -> None:
        usable = self.max_bytes - (COMPACTION_RESERVE_SEGMENTS + SLACK_SEGMENTS + 1) * self.segment_bytes
        object.__setattr__(self, "capacity", int(usable / SPACE_AMPLIFICATION))

    def refusal_reason(self, live_bytes: int, memory_bytes: int, added_live: int, added_memory: int) -> str | None:
        """Return which limit a put of these bytes exceeds, or None. A put that adds nothing exceeds none."""
        if added_live > 0 and live_bytes + added_live > self.capacity:
            return f"{live_bytes} of {self.capacity} live bytes are in use, and this put adds {added_live} more"
        if added_memory > 0 and memory_bytes + added_memory > self.max_memory:
            return f"the index uses {memory_bytes} of {self.max_memory} bytes of memory"
        return None

    @property
    def writers_wait_above(self) -> int:
        """Bytes on disk above which puts wait, because the remaining space is reserved for compaction."""
        return self.max_bytes - COMPACTION_RESERVE_SEGMENTS * self.segment_bytes

    def allows_segment(self, disk_bytes: int, for_compaction: bool) -> bool:
        """Return whether another segment may be allocated."""
        reserved = 0 if for_compaction else COMPACTION_RESERVE_SEGMENTS * self.segment_bytes
        return self.max_bytes - disk_bytes - reserved >= self.segment_bytes

    def exceeds_space_bound(self, disk_bytes: int, live_bytes: int) -> bool:
        """Return whether the files exceed the space amplification bound."""
        return disk_bytes > SPACE_AMPLIFICATION * live_bytes + SLACK_SEGMENTS * self.segment_bytes
