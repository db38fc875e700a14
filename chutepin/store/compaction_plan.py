"""Which segment is compacted next, and how fast. Pure: statistics in, a plan out.

The bounds, with S for `SPACE_AMPLIFICATION` (docs/store.md derives them):

* Space: once the plan is carried out, all files together take at most S times the live bytes plus `SLACK_SEGMENTS`
  segments, and never more than `max_bytes`.
* Copying: for each byte put, at most 1 / (S - 1) bytes are copied over a turn of the log, plus the live bytes, once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .limits import SPACE_AMPLIFICATION, Limits

COMPACTION_READ_BYTES = 256 * 1024  # read in one step of a compaction: a commit waits for no more than that


@dataclass(frozen=True, slots=True)
class SegmentStatistics:
    """A segment as the plan sees it. Sizes in bytes."""

    number: int
    data_bytes: int  # of its records with their hint
    live_bytes: int
    compactable: bool  # sealed, durable, undamaged, and it shadows no older segment
    dead_records: int


@dataclass(frozen=True, slots=True)
class CompactionPlan:
    """Segments to drop now, or one to copy the live records of before it is dropped."""

    drop: tuple[int, ...] = ()
    copy: int | None = None


def plan_compaction(
    segments: Iterable[SegmentStatistics], limits: Limits, disk_bytes: int, live_bytes: int, before: int = 0
) -> CompactionPlan:
    """What to do next, for segments in log order.

    Segments without live records are dropped, wherever they are. With `before`, every segment numbered below it that
    holds dead records is copied. Otherwise, once the bound on space is exceeded: the segment with the largest dead
    share, if that is enough for the bound on copying, or else the oldest. The oldest shadows nothing, so there is
    always one; going from oldest to oldest copies each record once a turn."""
    compactable = [segment for segment in segments if segment.compactable]
    empty = tuple(segment.number for segment in compactable if not segment.live_bytes)
    if empty:
        return CompactionPlan(drop=empty)
    if before:
        old = [segment.number for segment in compactable if segment.number < before and segment.dead_records]
        return CompactionPlan(copy=min(old, default=None))
    if not compactable or not limits.exceeds_space_bound(disk_bytes, live_bytes):
        return CompactionPlan()
    best = min(compactable, key=lambda segment: (segment.live_bytes / segment.data_bytes, segment.number))
    if best.live_bytes * SPACE_AMPLIFICATION > best.data_bytes:
        best = compactable[0]
    return CompactionPlan(copy=best.number)


def compaction_read_bytes(written: int) -> int:
    """Bytes to read in a compaction after a batch of `written` bytes.

    Twice what the bound on copying calls for, so that compaction gains on the writers."""
    return max(COMPACTION_READ_BYTES, int(2 * written / (SPACE_AMPLIFICATION - 1)))
