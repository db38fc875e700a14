"""Plans compaction: chooses the next segment and the copy rate from statistics. No I/O.

It guarantees these bounds, where S is `SPACE_AMPLIFICATION` (docs/store.md derives them):

* Space: once the plan has been executed, the files take at most S times the live bytes plus `SLACK_SEGMENTS`
  segments, and never more than `max_bytes`.
* Write amplification: during one pass over the log, at most 1 / (S - 1) bytes are copied per byte put, plus the live
  bytes once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .limits import SPACE_AMPLIFICATION, Limits

COMPACTION_READ_BYTES = 256 * 1024  # read per compaction step: a commit waits for at most one step


@dataclass(frozen=True, slots=True)
class SegmentStatistics:
    """The statistics of a segment that planning uses. Sizes in bytes."""

    number: int
    data_bytes: int  # of its records and their hint entries
    live_bytes: int
    compactable: bool  # sealed, durable, undamaged, and shadows no older segment
    dead_records: int


@dataclass(frozen=True, slots=True)
class CompactionPlan:
    """Segments to drop now, or one segment whose live records are copied before it is dropped."""

    drop: tuple[int, ...] = ()
    copy: int | None = None


def plan_compaction(
    segments: Iterable[SegmentStatistics], limits: Limits, disk_bytes: int, live_bytes: int, before: int = 0
) -> CompactionPlan:
    """Plan the next compaction, given all segments in log order.

    Segments without live records are always dropped. With `before` (a full compaction), each segment with a lower
    number that holds dead records is copied. Otherwise a segment is copied only if the space bound is exceeded: the one
    with the largest dead share, if that share satisfies the write amplification bound, or else the oldest compactable
    one. The oldest segment shadows no other, so there is always a candidate, and always taking the oldest copies each
    record once per pass over the log."""
    compactable = [segment for segment in segments if segment.compactable]
    empty = tuple(segment.number for segment in compactable if not segment.live_bytes)
    if empty:
        return CompactionPlan(drop=empty)
    if before:
        numbers = [segment.number for segment in compactable if segment.number < before and segment.dead_records]
        return CompactionPlan(copy=min(numbers, default=None))
    if not compactable or not limits.exceeds_space_bound(disk_bytes, live_bytes):
        return CompactionPlan()
    candidate = min(compactable, key=lambda segment: (segment.live_bytes / segment.data_bytes, segment.number))
    if candidate.live_bytes * SPACE_AMPLIFICATION > candidate.data_bytes:
        candidate = compactable[0]
    return CompactionPlan(copy=candidate.number)


def compaction_read_bytes(written: int) -> int:
    """Return how many bytes compaction reads after a batch of `written` bytes.

    This is twice what the write amplification bound requires, so that compaction outpaces the writers."""
    return max(COMPACTION_READ_BYTES, int(2 * written / (SPACE_AMPLIFICATION - 1)))
