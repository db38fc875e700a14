"""What members tell of each other, and which of two records holds. Pure.

It knows nothing of time, sockets or how a record is written."""

from __future__ import annotations

import zlib
from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

MAX_NAME = 64  # characters of a member's name, an address, a region, a zone
MAX_LINKS = 16  # bad links that one member tells of; it counts those beyond
MAX_NUMBER = 2**63 - 1  # of an incarnation


class Status(IntEnum):
    """What a member is held for. At one incarnation the greater one holds."""

    ALIVE = 0
    SUSPECT = 1  # a probe failed; it may refute that
    DEAD = 2  # it did not
    LEFT = 3  # it said so itself


LIVE = frozenset({Status.ALIVE, Status.SUSPECT})


class Record(NamedTuple):
    """One member, as told. `by` is who says so: the accuser, the declarer, else the member itself."""

    name: str
    address: str  # host:port that the member tells
    region: str
    zone: str
    incarnation: int
    status: Status
    by: str

    @property
    def live(self) -> bool:
        """Neither dead nor gone in order."""
        return self.status in LIVE


class ShortRecord(NamedTuple):
    """What changes of a member, for receivers that are expected to hold its whole record.

    `check` stands for what does not change: address, region and zone. `by` is empty where the member says it itself."""

    name: str
    incarnation: int
    status: Status
    check: int
    by: str = ""

    @property
    def live(self) -> bool:
        """Neither dead nor gone in order."""
        return self.status in LIVE


CHECK_BITS = 16  # a member that moved unnoticed is taken for unmoved once in 65,536 moves; repair mends that
_PLACE_CACHE_SIZE = 4096  # places whose checks are kept: each is asked for again and again


@lru_cache(maxsize=_PLACE_CACHE_SIZE)
def place_check(address: str, region: str, zone: str) -> int:
    """What stands for a member's address, region and zone in a short record."""
    return zlib.crc32(f"{address} {region} {zone}".encode()) & ((1 << CHECK_BITS) - 1)


def shorten(record: Record) -> ShortRecord:
    """What changes of a member."""
    check = place_check(record.address, record.region, record.zone)
    by = "" if record.by == record.name else record.by
    return ShortRecord(record.name, record.incarnation, record.status, check, by)


def expand(short: ShortRecord, known: Record) -> Record | None:
    """The whole record, by the known one of the same name; None where that is of another place."""
    if short.check != place_check(known.address, known.region, known.zone):
        return None
    return Record(
        known.name,
        known.address,
        known.region,
        known.zone,
        short.incarnation,
        short.status,
        short.by or known.name,
    )


class BadLink(NamedTuple):
    """`target` lately does not hear `source`. `age`: milliseconds since when."""

    source: str
    target: str
    age: int


class LinkReport(NamedTuple):
    """All bad links that one member tells of now. Of two of one reporter the later (life, version) holds."""

    reporter: str
    process_incarnation: int
    version: int
    bad: tuple[BadLink, ...]


SenderRecord = Record | ShortRecord
Update = Record | ShortRecord | LinkReport


class MergeResult(IntEnum):
    """What becomes of a record that was told."""

    ACCEPTED = 1  # it holds from now on
    UNCHANGED = 2  # it says what is known
    STALE = 3  # what is known is newer: the teller should hear that
    REJECTED = 4  # the name is another process's: the teller's record is refused


def compare_records(new: Record, old: Record) -> MergeResult:
    """Which of two records of one name holds; the table is in docs/membership.md."""
    if new.address != old.address:
        if new.live and old.live:
            return MergeResult.ACCEPTED if new.incarnation < old.incarnation else MergeResult.REJECTED
        if not new.live and old.live:
            return MergeResult.UNCHANGED
        return MergeResult.ACCEPTED if new.incarnation > old.incarnation else MergeResult.STALE
    mine, known = (new.incarnation, new.status), (old.incarnation, old.status)
    if mine > known:
        return MergeResult.ACCEPTED
    return MergeResult.UNCHANGED if mine == known else MergeResult.STALE
