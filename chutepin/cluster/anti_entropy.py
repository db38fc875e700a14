"""Anti-entropy: two members hash names into buckets, compare digests by bucket, and exchange differing records. Pure.

In the first exchange the request carries digests, and the response carries short records of the buckets that differ.
A second exchange, if needed, transfers whole records that one side lacks. The full state is sent only to a joining
member."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

from .member_table import Member

NAMES_PER_BUCKET = 8  # on average; makes the digests about as large as the records of a few buckets
MAX_BUCKETS = 1024
DIGEST_BYTES = 4
_DIGEST_MASK = 2 ** (8 * DIGEST_BYTES) - 1
MIN_PAUSE_FACTOR = 0.5  # times `sync-every`
MAX_PAUSE_FACTOR = 8.0
# If this many peers in a row have the same digest, and it differs from the own one, this member has missed an update.
EQUAL_PEER_DIGESTS = 4
MANY_DIFFERENCES = 16  # in one repair: the cluster is changing, and the next repair is due soon


def bucket_count(members: int) -> int:
    """Return the number of buckets for so many members, a power of two."""
    wanted = max(1, members // NAMES_PER_BUCKET)
    return int(min(MAX_BUCKETS, 1 << (wanted - 1).bit_length()))


def bucket_of(name: str, count: int) -> int:
    """Return the bucket of a name, the same on all members."""
    return zlib.crc32(name.encode()) & (count - 1)


def bucket_digests(live: Iterable[tuple[str, int]], count: int) -> bytes:
    """Return the packed digests of all buckets, from the names and digests of live members."""
    buckets = [0] * count
    for name, digest in live:
        buckets[bucket_of(name, count)] ^= digest & _DIGEST_MASK
    return struct.pack(f"!{count}I", *buckets)


def received_bucket_count(packed: bytes) -> int:
    """Return the number of buckets in received digests; 0 if they are malformed."""
    count, rest = divmod(len(packed), DIGEST_BYTES)
    return count if not rest and is_valid_bucket_count(count) else 0


def is_valid_bucket_count(count: int) -> bool:
    """Return whether the count is a power of two up to `MAX_BUCKETS`."""
    return 0 < count <= MAX_BUCKETS and count & (count - 1) == 0


def differing_buckets(own: bytes, peer: bytes) -> list[int]:
    """Return the numbers of the buckets whose digests differ."""
    steps = range(0, len(own), DIGEST_BYTES)
    return [
        step // DIGEST_BYTES for step in steps if own[step : step + DIGEST_BYTES] != peer[step : step + DIGEST_BYTES]
    ]


def encode_bucket_set(buckets: Iterable[int], count: int) -> bytes:
    """Encode a set of bucket numbers as a bitmap."""
    bits = sum(1 << bucket for bucket in buckets)
    return bits.to_bytes((count + 7) // 8, "little")


def decode_bucket_set(bits: bytes) -> set[int]:
    """Decode a set of bucket numbers from a bitmap."""
    value = int.from_bytes(bits, "little")
    return {bucket for bucket in range(8 * len(bits)) if value >> bucket & 1}


def members_in_buckets(members: dict[str, Member], buckets: set[int], count: int) -> list[Member]:
    """Return the members whose names hash into these buckets, departed ones included."""
    return [member for name, member in members.items() if bucket_of(name, count) in buckets]


class RepairSchedule:
    """The time of the next repair: sooner after many differences, later after none."""

    def __init__(self, now: float, interval: float) -> None:
        """`interval`: seconds between repairs while few differences are found (`sync-every`)."""
        self._interval = interval
        self._pause = interval
        self.due = now
        self._differing_since: float | None = None
        self._last_peer_digest = 0  # the digest received last
        self._equal_digest_count = 0  # digests in a row that equal the last one

    def compare(self, now: float, own: int, peer: int, dissemination_time: float) -> bool:
        """Compare the own digest with a peer's; return whether to repair now. Times in seconds."""
        self._equal_digest_count = self._equal_digest_count + 1 if peer == self._last_peer_digest else 1
        self._last_peer_digest = peer
        if own == peer:
            self._differing_since = None
            self._pause = self._interval
            return False
        if self._differing_since is None:
            self._differing_since = now
        if self._equal_digest_count >= EQUAL_PEER_DIGESTS:
            self.shorten_pause(now)
        return now >= self.due and now - self._differing_since >= dissemination_time

    def shorten_pause(self, now: float) -> None:
        """Schedule the next repair within `interval`, as differences are to be expected."""
        self._pause = min(self._pause, self._interval)
        self.due = min(self.due, now + self._interval)

    def begin(self, now: float, jitter: float) -> None:
        """Schedule the next repair at the start of one. `jitter`, from 0 to 1, keeps members from repairing in step."""
        self.due = now + self._pause * (0.5 + jitter)

    def finish(self, now: float, differences: int, jitter: float) -> None:
        """Schedule the next repair after one that found so many differences missed by gossip."""
        if differences >= MANY_DIFFERENCES:
            self._pause = self._interval * MIN_PAUSE_FACTOR
        elif differences:
            self._pause = max(self._interval, self._pause / 2)
        else:
            self._pause = min(self._interval * MAX_PAUSE_FACTOR, self._pause * 2)
        self.due = now + self._pause * (0.5 + jitter)
