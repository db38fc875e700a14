"""What a store lets in, and what it compacts, when and how fast. Pure: figures in, a plan out.

The bounds, with S for `SPACE_AMPLIFICATION` (docs/store.md derives them):

* Space: all files together take at most S times the live bytes plus `SLACK_SEGMENTS` segments, once the plan has been
  carried out, and never more than `max_bytes`.
* Writing: per byte that is put, at most 1 / (S - 1) bytes are copied over a turn of the log, plus the live bytes, once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SPACE_AMPLIFICATION = 2.0
SLACK_SEGMENTS = 4  # segments: the active one, its spare, one that is being emptied and one that fills
COMPACTION_RESERVE_SEGMENTS = 2  # segments' room that only compaction may take, so that it always has where to copy to
COMPACTION_READ_BYTES = 256 * 1024  # bytes that are read at once in a compaction: a commit waits for no more than that
MIN_SEGMENTS = 8  # of max_bytes


@dataclass(frozen=True, slots=True)
class Limits:
    """An operator's limits, in bytes."""

    segment_bytes: int
    max_bytes: int
    max_memory: int
    capacity: int = 0  # how much may tell at once so that compaction always finds room; follows from the others

    def __post_init__(self) -> None:
        room = self.max_bytes - (COMPACTION_RESERVE_SEGMENTS + SLACK_SEGMENTS + 1) * self.segment_bytes
        object.__setattr__(self, "capacity", int(room / SPACE_AMPLIFICATION))

    def refuses(self, live: int, memory: int, adds: int, adds_memory: int) -> str | None:
        """Why a put that adds these bytes has no room, or None. What overrules more than it adds always has."""
        if adds > 0 and live + adds > self.capacity:
            return f"{live} of {self.capacity} bytes are remembered, and this takes {adds} more"
        if adds_memory > 0 and memory + adds_memory > self.max_memory:
            return f"the index takes {memory} of {self.max_memory} bytes of memory"
        return None

    @property
    def writers_wait_above(self) -> int:
        """Bytes on the disk above which puts wait: the reserve belongs to the compaction that will free some."""
        return self.max_bytes - COMPACTION_RESERVE_SEGMENTS * self.segment_bytes

    def may_add(self, disk: int, compacting: bool) -> bool:
        """A further segment may be laid out."""
        room = self.max_bytes - disk - (0 if compacting else COMPACTION_RESERVE_SEGMENTS * self.segment_bytes)
        return room >= self.segment_bytes

    def crowded(self, disk: int, live: int) -> bool:
        """More is on the disk than the bound on space allows."""
        return disk > SPACE_AMPLIFICATION * live + SLACK_SEGMENTS * self.segment_bytes


@dataclass(frozen=True, slots=True)
class SegmentStatistics:
    """A segment as the planner sees it, in the order of the log. Sizes in bytes."""

    number: int
    data: int  # of its records with their hints
    live: int  # of those that tell
    able: bool  # sealed, durable, sound, and it shadows nothing older
    dead: int  # records that tell no more


@dataclass(frozen=True, slots=True)
class CompactionPlan:
    """Drop segments at once, or copy what tells in one and drop it then."""

    drop: tuple[int, ...] = ()
    copy: int | None = None


def plan_compaction(
    facts: Iterable[SegmentStatistics], limits: Limits, disk: int, live: int, before: int = 0
) -> CompactionPlan:
    """What to do next. With `before`, every segment numbered below it that holds anything dead is to be emptied.

    Segments in which nothing tells go at once, wherever they are. Else, once the disk is crowded: the one with the
    largest dead part, if that is no less than the part which the bound on writing needs, or the oldest. The oldest
    shadows nothing, so there is always one; going on from oldest to oldest takes each record along once a turn."""
    able = [fact for fact in facts if fact.able]
    dead = tuple(fact.number for fact in able if not fact.live)
    if dead:
        return CompactionPlan(drop=dead)
    if before:
        old = [fact for fact in able if fact.number < before and fact.dead]
        return CompactionPlan(copy=min(old, key=lambda fact: fact.number).number) if old else CompactionPlan()
    if not able or not limits.crowded(disk, live):
        return CompactionPlan()
    best = min(able, key=lambda fact: (fact.live / fact.data, fact.number))
    if best.live * SPACE_AMPLIFICATION > best.data:
        best = able[0]
    return CompactionPlan(copy=best.number)


def compaction_read_bytes(written: int) -> int:
    """Bytes to go on reading in a compaction after a batch of `written` bytes: twice what the bound on writing calls
    for, so that compaction gains on the writers."""
    return max(COMPACTION_READ_BYTES, int(2 * written / (SPACE_AMPLIFICATION - 1)))
