"""Anti-entropy: two members compare digests of their live members by bucket of names, and exchange what differs. Pure.

The first exchange carries digests one way and short records of the buckets that differ the other way; a second one, if
needed, the whole records that one side lacks. The full state is sent only to a member that joins."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

from .member_table import Member

NAMES_PER_BUCKET = 8  # on average; digests and the records of a few buckets then take about as many bytes
MAX_BUCKETS = 1024
DIGEST_BYTES = 4
_DIGEST_MASK = 2 ** (8 * DIGEST_BYTES) - 1
MIN_PAUSE_FACTOR = 0.5  # of `sync-every`
MAX_PAUSE_FACTOR = 8.0
# With so many equal digests in a row that differ from this member's, it is this one that has missed something.
EQUAL_PEER_DIGESTS = 4
MANY_DIFFERENCES = 16  # in one repair: changes are under way, and the next repair follows soon


def bucket_count(members: int) -> int:
    """Return the number of buckets for so many members, a power of two."""
    wanted = max(1, members // NAMES_PER_BUCKET)
    return int(min(MAX_BUCKETS, 1 << (wanted - 1).bit_length()))


def bucket_of(name: str, count: int) -> int:
    """Return the bucket of a name, the same on all members."""
    return zlib.crc32(name.encode()) & (count - 1)


def digests(live: Iterable[tuple[str, int]], count: int) -> bytes:
    """Return the packed digests of all buckets, from the names and digests of live members."""
    buckets = [0] * count
    for name, digest in live:
        buckets[bucket_of(name, count)] ^= digest & _DIGEST_MASK
    return struct.pack(f"!{count}I", *buckets)


def bucket_count_of(packed: bytes) -> int:
    """Return the number of buckets of received digests; 0 if they are malformed."""
    count, rest = divmod(len(packed), DIGEST_BYTES)
    return count if not rest and is_bucket_count(count) else 0


def is_bucket_count(count: int) -> bool:
    """Whether a member may use so many buckets."""
    return 0 < count <= MAX_BUCKETS and count & (count - 1) == 0


def differing(mine: bytes, theirs: bytes) -> list[int]:
    """Return the buckets whose digests differ."""
    steps = range(0, len(mine), DIGEST_BYTES)
    return [
        step // DIGEST_BYTES for step in steps if mine[step : step + DIGEST_BYTES] != theirs[step : step + DIGEST_BYTES]
    ]


def as_bits(buckets: Iterable[int], count: int) -> bytes:
    """Encode a set of buckets with a bit for each."""
    bits = sum(1 << bucket for bucket in buckets)
    return bits.to_bytes((count + 7) // 8, "little")


def from_bits(bits: bytes) -> set[int]:
    """Decode a set of buckets."""
    number = int.from_bytes(bits, "little")
    return {bucket for bucket in range(8 * len(bits)) if number >> bucket & 1}


def in_buckets(members: dict[str, Member], buckets: set[int], count: int) -> list[Member]:
    """Return the members whose names fall into these buckets, departed ones included."""
    return [member for name, member in members.items() if bucket_of(name, count) in buckets]


class RepairPace:
    """When the next repair is due: sooner after many differences, later after none."""

    def __init__(self, now: float, every: float) -> None:
        """`every`: seconds between repairs while a few differences are found (`sync-every`)."""
        self._every = every
        self._pause = every
        self.due = now
        self._unequal_since: float | None = None
        self._last_digest = 0  # of another member
        self._in_a_row = 0  # members with that digest

    def compare(self, now: float, mine: int, theirs: int, dissemination_time: float) -> bool:
        """Compare this member's digest with another's; whether to repair now. Times in seconds."""
        self._in_a_row = self._in_a_row + 1 if theirs == self._last_digest else 1
        self._last_digest = theirs
        if mine == theirs:
            self._unequal_since = None
            self._pause = self._every
            return False
        if self._unequal_since is None:
            self._unequal_since = now
        if self._in_a_row >= EQUAL_PEER_DIGESTS:
            self.hurry(now)
        return now >= self.due and now - self._unequal_since >= dissemination_time

    def hurry(self, now: float) -> None:
        """Expect differences: the next repair comes no later than after `every`."""
        self._pause = min(self._pause, self._every)
        self.due = min(self.due, now + self._every)

    def begin(self, now: float, drawn: float) -> None:
        """Note that a repair begins. `drawn`, between 0 and 1, keeps members from repairing in step."""
        self.due = now + self._pause * (0.5 + drawn)

    def finish(self, now: float, differences: int, drawn: float) -> None:
        """Note that a repair found so many differences which gossip should have brought."""
        if differences >= MANY_DIFFERENCES:
            self._pause = self._every * MIN_PAUSE_FACTOR
        elif differences:
            self._pause = max(self._every, self._pause / 2)
        else:
            self._pause = min(self._every * MAX_PAUSE_FACTOR, self._pause * 2)
        self.due = now + self._pause * (0.5 + drawn)
