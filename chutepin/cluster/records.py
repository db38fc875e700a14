"""Records of members and links, and which of two records takes precedence. Pure; no time, sockets or wire format."""

from __future__ import annotations

import zlib
from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

MAX_NAME = 64  # characters of a member's name, an address, a region, a zone
MAX_LINKS = 16  # bad links that one member reports; it counts those beyond
MAX_NUMBER = 2**63 - 1  # of an incarnation


class Status(IntEnum):
    """The state of a member. At the same incarnation the greater one takes precedence."""

    ALIVE = 0
    SUSPECT = 1  # a probe failed; it may refute that
    DEAD = 2  # it did not refute in time
    LEFT = 3  # it announced that it leaves


LIVE = frozenset({Status.ALIVE, Status.SUSPECT})


class Record(NamedTuple):
    """One member. `by` is the origin of its status: who suspects it or declared it dead, else the member itself."""

    name: str
    address: str  # host:port that the member announces
    region: str
    zone: str
    incarnation: int
    status: Status
    by: str

    @property
    def live(self) -> bool:
        """Whether it is alive or suspect."""
        return self.status in LIVE


class ShortRecord(NamedTuple):
    """The variable part of a record, for receivers that are expected to hold the whole one.

    `check` stands for address, region and zone. `by` is empty where it is the member itself."""

    name: str
    incarnation: int
    status: Status
    check: int
    by: str = ""

    @property
    def live(self) -> bool:
        """Whether it is alive or suspect."""
        return self.status in LIVE


CHECK_BITS = 16  # a move goes unnoticed once in 65,536 moves, until anti-entropy finds it
_PLACE_CACHE_SIZE = 4096  # places whose checks are cached


@lru_cache(maxsize=_PLACE_CACHE_SIZE)
def place_check(address: str, region: str, zone: str) -> int:
    """Return the check of a member's address, region and zone in its short record."""
    return zlib.crc32(f"{address} {region} {zone}".encode()) & ((1 << CHECK_BITS) - 1)


def shorten(record: Record) -> ShortRecord:
    """Return the short record of a whole one."""
    check = place_check(record.address, record.region, record.zone)
    by = "" if record.by == record.name else record.by
    return ShortRecord(record.name, record.incarnation, record.status, check, by)


def expand(short: ShortRecord, known: Record) -> Record | None:
    """Return the whole record, with the rest from the known one; None where that is at another place."""
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
    """A link in one direction: `target` does not hear `source`, for `age` milliseconds."""

    source: str
    target: str
    age: int


class LinkReport(NamedTuple):
    """All bad links that a member reports.

    Of two reports of a member the one with the greater (process_incarnation, version) takes precedence."""

    reporter: str
    process_incarnation: int
    version: int
    bad: tuple[BadLink, ...]


SenderRecord = Record | ShortRecord
Update = Record | ShortRecord | LinkReport


class MergeResult(IntEnum):
    """The result of merging a received record with the known one."""

    ACCEPTED = 1  # it replaces the known one
    UNCHANGED = 2  # it says what is known
    STALE = 3  # the known one is newer, and the sender should get it
    REJECTED = 4  # another process holds the name, or there is no room


def compare_records(new: Record, old: Record) -> MergeResult:
    """Return what merging `new` into `old`, of the same name, results in; the table is in docs/membership.md."""
    if new.address != old.address:
        if new.live and old.live:
            return MergeResult.ACCEPTED if new.incarnation < old.incarnation else MergeResult.REJECTED
        if not new.live and old.live:
            return MergeResult.UNCHANGED
        return MergeResult.ACCEPTED if new.incarnation > old.incarnation else MergeResult.STALE
    received = (new.incarnation, new.status)
    known = (old.incarnation, old.status)
    if received > known:
        return MergeResult.ACCEPTED
    return MergeResult.UNCHANGED if received == known else MergeResult.STALE
