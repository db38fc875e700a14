"""Anti-entropy: two members compare digests of their live members by bucket of names and move what differs. Pure.

The first exchange carries digests one way and short records of the buckets that differ the other; a second one, if it
is needed, whole records that one side lacks. Whole tables move only to a member that joins."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

from .member_table import Member

NAMES_PER_BUCKET = 8  # digests (4 bytes each) and the records of a few differing buckets then cost about the same
MAX_BUCKETS = 1024
DIGEST_BYTES = 4
_DIGEST_MASK = 2 ** (8 * DIGEST_BYTES) - 1
MIN_PAUSE_FACTOR, MAX_PAUSE_FACTOR = 0.5, 8.0  # times `sync-every`
# Members in a row with equal digests that differ from this member's: it has missed something.
MAX_EQUAL_PEER_DIGESTS = 4
MANY_DIFFERENCES = 16  # found at once: something is going on, and the next repair comes soon


def bucket_count(members: int) -> int:
    """How many buckets: a power of two that follows the number of members."""
    wanted = max(1, members // NAMES_PER_BUCKET)
    return int(min(MAX_BUCKETS, 1 << (wanted - 1).bit_length()))


def bucket_of(name: str, count: int) -> int:
    """The bucket of a name; the same on all members."""
    return zlib.crc32(name.encode()) & (count - 1)


def digests(live: Iterable[tuple[str, int]], count: int) -> bytes:
    """The digests of all buckets, of live members' names and digests."""
    buckets = [0] * count
    for name, digest in live:
        buckets[bucket_of(name, count)] ^= digest & _DIGEST_MASK
    return struct.pack(f"!{count}I", *buckets)


def bucket_count_of(packed: bytes) -> int:
    """How many buckets a member's digests are of; 0 if they are no digests."""
    count, rest = divmod(len(packed), DIGEST_BYTES)
    return count if not rest and is_bucket_count(count) else 0


def is_bucket_count(count: int) -> bool:
    """Whether a member may have told its digests in so many buckets."""
    return 0 < count <= MAX_BUCKETS and count & (count - 1) == 0


def differing(mine: bytes, theirs: bytes) -> list[int]:
    """The buckets whose digests differ."""
    steps = range(0, len(mine), DIGEST_BYTES)
    return [
        step // DIGEST_BYTES for step in steps if mine[step : step + DIGEST_BYTES] != theirs[step : step + DIGEST_BYTES]
    ]


def as_bits(buckets: Iterable[int], count: int) -> bytes:
    """A set of buckets as a bit for each."""
    bits = sum(1 << bucket for bucket in buckets)
    return bits.to_bytes((count + 7) // 8, "little")


def from_bits(bits: bytes) -> set[int]:
    """The set of buckets that bits stand for."""
    number = int.from_bytes(bits, "little")
    return {bucket for bucket in range(8 * len(bits)) if number >> bucket & 1}


def in_buckets(members: dict[str, Member], buckets: set[int], count: int) -> list[Member]:
    """The members whose names fall into these buckets, those that are gone included."""
    return [member for name, member in members.items() if bucket_of(name, count) in buckets]


class RepairPace:
    """When the next repair is due: soon after many differences, ever later after none."""

    def __init__(self, now: float, every: float) -> None:
        """`every`: seconds between repairs while a few differences are found (`sync-every`)."""
        self._every, self._pause = every, every
        self.due = now
        self._unequal_since: float | None = None
        self._others, self._in_a_row = 0, 0  # the digest that members told last, and how many of them in a row

    def compare(self, now: float, mine: int, theirs: int, patience: float) -> bool:
        """A member told its digest; whether to repair now. `patience`: seconds that dissemination takes."""
        self._in_a_row = self._in_a_row + 1 if theirs == self._others else 1
        self._others = theirs
        if mine == theirs:
            self._unequal_since, self._pause = None, self._every
            return False
        if self._unequal_since is None:
            self._unequal_since = now
        if self._in_a_row >= MAX_EQUAL_PEER_DIGESTS:
            self.hurry(now)
        return now >= self.due and now - self._unequal_since >= patience

    def hurry(self, now: float) -> None:
        """There are differences to be expected: the next repair comes no later than usual."""
        self._pause = min(self._pause, self._every)
        self.due = min(self.due, now + self._every)

    def begin(self, now: float, drawn: float) -> None:
        """A repair begins; `drawn`, between 0 and 1, keeps members from repairing in step."""
        self.due = now + self._pause * (0.5 + drawn)

    def finish(self, now: float, differences: int, drawn: float) -> None:
        """A repair found so many differences that dissemination should have mended."""
        if differences >= MANY_DIFFERENCES:
            self._pause = self._every * MIN_PAUSE_FACTOR
        elif differences:
            self._pause = max(self._every, self._pause / 2)
        else:
            self._pause = min(self._every * MAX_PAUSE_FACTOR, self._pause * 2)
        self.due = now + self._pause * (0.5 + drawn)
