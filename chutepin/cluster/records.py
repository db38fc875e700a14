"""Records of members and links, and the order of precedence between records. No time, sockets or wire format."""

from __future__ import annotations

import zlib
from enum import IntEnum
from functools import lru_cache
from typing import NamedTuple

MAX_NAME = 64  # characters of a member's name, an address, a region, a zone
MAX_LINKS = 16  # bad links in one member's report; further ones are only counted
MAX_NUMBER = 2**63 - 1  # largest incarnation, sequence number, nonce or age on the wire


class Status(IntEnum):
    """The state of a member. At the same incarnation the greater value takes precedence."""

    ALIVE = 0
    SUSPECT = 1  # a probe failed; the member may refute the suspicion
    DEAD = 2  # the suspicion was not refuted in time
    LEFT = 3  # the member announced that it leaves


LIVE = frozenset({Status.ALIVE, Status.SUSPECT})


class Record(NamedTuple):
    """The state of one member.

    `by` is the origin of the status: the member that suspects this one or declared it dead, else the member itself."""

    name: str
    address: str  # host:port announced by the member
    region: str
    zone: str
    incarnation: int
    status: Status
    by: str

    @property
    def live(self) -> bool:
        """Return whether the status is alive or suspect."""
        return self.status in LIVE


class ShortRecord(NamedTuple):
    """The variable part of a record, sent to receivers that are expected to hold the whole record.

    `checksum` is that of address, region and zone. `by` is empty if it is the member itself."""

    name: str
    incarnation: int
    status: Status
    checksum: int
    by: str = ""

    @property
    def live(self) -> bool:
        """Return whether the status is alive or suspect."""
        return self.status in LIVE


LOCATION_CHECKSUM_BITS = 16  # one location change in 65,536 goes undetected until anti-entropy transfers it
_LOCATION_CACHE_SIZE = 4096  # locations (address, region, zone) whose checksums are cached


@lru_cache(maxsize=_LOCATION_CACHE_SIZE)
def location_checksum(address: str, region: str, zone: str) -> int:
    """Return the checksum of a member's address, region and zone, as its short record carries it."""
    return zlib.crc32(f"{address} {region} {zone}".encode()) & ((1 << LOCATION_CHECKSUM_BITS) - 1)


def shorten(record: Record) -> ShortRecord:
    """Return the short form of a whole record."""
    checksum = location_checksum(record.address, record.region, record.zone)
    by = "" if record.by == record.name else record.by
    return ShortRecord(record.name, record.incarnation, record.status, checksum, by)


def expand(short: ShortRecord, known: Record) -> Record | None:
    """Return the whole record, completed from the known one; None if the known one has another location."""
    if short.checksum != location_checksum(known.address, known.region, known.zone):
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
    """A failed link in one direction: for `age` milliseconds `target` has not received datagrams from `source`."""

    source: str
    target: str
    age: int


class LinkReport(NamedTuple):
    """All bad links that a member reports.

    Of two reports by a member, the one with the greater (process_incarnation, version) takes precedence."""

    reporter: str
    process_incarnation: int
    version: int
    bad: tuple[BadLink, ...]


SenderRecord = Record | ShortRecord
Update = Record | ShortRecord | LinkReport


class MergeResult(IntEnum):
    """The result of merging a received record with the known one."""

    ACCEPTED = 1  # the received record replaces the known one
    UNCHANGED = 2  # the received record adds nothing
    STALE = 3  # the known record is newer and should be sent back
    REJECTED = 4  # another process holds the name, or the table is full


def compare_records(new: Record, old: Record) -> MergeResult:
    """Return the result of merging `new` into `old`, a record of the same name; docs/membership.md has the table."""
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
