"""Limits of a store's size on disk and in memory. Pure. `docs/store.md` derives the bounds."""

from __future__ import annotations

from dataclasses import dataclass

SPACE_AMPLIFICATION = 2.0  # bytes on disk for each live byte, besides the slack
SLACK_SEGMENTS = 4  # the active one, its spare, one that is being compacted and one that takes the copies
COMPACTION_RESERVE_SEGMENTS = 2  # space that only compaction may use, so that it can always copy
MIN_SEGMENTS = 8  # in max_bytes
MAX_QUEUED_BYTES = 4 * 2**20  # appended and not durable yet


@dataclass(frozen=True, slots=True)
class Limits:
    """An operator's limits, in bytes."""

    segment_bytes: int
    max_bytes: int
    max_memory: int
    capacity: int = 0  # most live bytes for which compaction always finds space; follows from the others

    def __post_init__(self) -> None:
        usable = self.max_bytes - (COMPACTION_RESERVE_SEGMENTS + SLACK_SEGMENTS + 1) * self.segment_bytes
        object.__setattr__(self, "capacity", int(usable / SPACE_AMPLIFICATION))

    def refusal_reason(self, live_bytes: int, memory_bytes: int, added_live: int, added_memory: int) -> str | None:
        """Why a put that adds these bytes has no space, or None. One that frees more than it adds always has."""
        if added_live > 0 and live_bytes + added_live > self.capacity:
            return f"{live_bytes} of {self.capacity} bytes are remembered, and this takes {added_live} more"
        if added_memory > 0 and memory_bytes + added_memory > self.max_memory:
            return f"the index takes {memory_bytes} of {self.max_memory} bytes of memory"
        return None

    @property
    def writers_wait_above(self) -> int:
        """Bytes on disk above which puts wait: the reserve belongs to the compaction that will free some."""
        return self.max_bytes - COMPACTION_RESERVE_SEGMENTS * self.segment_bytes

    def allows_segment(self, disk_bytes: int, for_compaction: bool) -> bool:
        """Whether a further segment may be allocated."""
        reserved = 0 if for_compaction else COMPACTION_RESERVE_SEGMENTS * self.segment_bytes
        return self.max_bytes - disk_bytes - reserved >= self.segment_bytes

    def exceeds_space_bound(self, disk_bytes: int, live_bytes: int) -> bool:
        """Whether more is on disk than the bound on space allows."""
        return disk_bytes > SPACE_AMPLIFICATION * live_bytes + SLACK_SEGMENTS * self.segment_bytes
