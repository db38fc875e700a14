"""The bounded table of all other members: their records and the state of their packets. Pure; time is an argument."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

from .records import MergeResult, Record, Status, compare_records

REPLAY_WINDOW_PACKETS = 256  # how far behind the highest sequence number a packet may arrive


@dataclass(slots=True)
class ReplayWindow:
    """The recent sequence numbers of one process incarnation of a sender, to detect replayed packets."""

    highest: int = -1
    seen: int = 0  # bitmap of recent sequence numbers; bit 0 is the highest

    def accept(self, sequence: int) -> bool:
        """Record a sequence number; return False for a duplicate, or one too old for the window."""
        if sequence > self.highest:
            self.seen = (self.seen << min(sequence - self.highest, REPLAY_WINDOW_PACKETS) | 1) & (
                (1 << REPLAY_WINDOW_PACKETS) - 1
            )
            self.highest = sequence
            return True
        age = self.highest - sequence
        if age >= REPLAY_WINDOW_PACKETS or self.seen >> age & 1:
            return False
        self.seen |= 1 << age
        return True


@dataclass(slots=True)
class Member:
    """The state kept for one other member."""

    record: Record
    changed_at: float  # when the record was last replaced
    digest: int = 0  # the record's part of the view digest; 0 while the member is not live
    position: int = -1  # index in the list of live members; -1 while the member is not live
    process_incarnation: int = 0  # the highest one received from this member
    last_heard: float = -math.inf  # when the last datagram from this member arrived
    stale_notice_sent_at: float = -math.inf  # when the last StaleProcess notice was sent to this member
    suspected_by: tuple[str, ...] = ()  # members that suspect this one at its current incarnation
    window: ReplayWindow | None = None  # created with the first datagram, as most members rarely send any to this one

    def set_process_incarnation(self, process_incarnation: int) -> None:
        """Set the process incarnation, and reset the replay window: the new process has its own sequence numbers."""
        self.process_incarnation = process_incarnation
        self.window = None

    def accept_sequence(self, sequence: int) -> bool:
        """Record a datagram's sequence number; return False for a duplicate, or one too old for the window."""
        if self.window is None:
            self.window = ReplayWindow()
        return self.window.accept(sequence)


def digest_of(record: Record) -> int:
    """Return a live record's part of the view digest. It ignores suspicions, which end on their own."""
    text = f"{record.name} {record.address} {record.region} {record.zone} {record.incarnation}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest())


LEFT_RETENTION_S = 300.0  # upper limit of the retention of members that left; a restart takes less
_GROUPED = (Status.SUSPECT, Status.DEAD, Status.LEFT)


class MemberTable:
    """All other members by name.

    Operations take constant time, except those that return lists."""

    def __init__(self, max_names: int, dead_retention_s: float) -> None:
        """`max_names`: limit that includes departed members. `dead_retention_s`: retention of dead members."""
        self._max_names = max_names
        self._retention_s = {Status.DEAD: dead_retention_s, Status.LEFT: min(dead_retention_s, LEFT_RETENTION_S)}
        self.members: dict[str, Member] = {}
        self.digest = 0  # XOR of the digests of the live members
        self.rejected = 0  # records rejected because the table was full
        # Names of members that are not alive, by status, in the order in which they changed to it.
        self._groups: dict[Status, dict[str, None]] = {status: {} for status in _GROUPED}
        self._live: list[str] = []

    def live(self) -> list[str]:
        """Return the names of all alive or suspect members. The caller must not modify the list."""
        return self._live

    def is_live(self, name: str) -> bool:
        """Return whether a member is alive or suspect."""
        member = self.members.get(name)
        return member is not None and member.position >= 0

    def with_status(self, status: Status) -> list[str]:
        """Return the names of all members with this status."""
        if status is Status.ALIVE:
            return [name for name in self._live if name not in self._groups[Status.SUSPECT]]
        return list(self._groups[status])

    def count(self, status: Status) -> int:
        """Return the number of members with this status."""
        if status is Status.ALIVE:
            return len(self._live) - len(self._groups[Status.SUSPECT])
        return len(self._groups[status])

    def put(self, now: float, record: Record) -> MergeResult:
        """Merge a record that takes precedence over the known one; REJECTED also if the table is full."""
        member = self.members.get(record.name)
        if member is None:
            if not self._make_room():
                self.rejected += 1
                return MergeResult.REJECTED
            self.members[record.name] = member = Member(record, now)
            self._index(member)
            return MergeResult.ACCEPTED
        old = member.record
        result = compare_records(record, old)
        if result is MergeResult.ACCEPTED:
            if record.address != old.address:  # another process: reset the packet state of the old one
                member.set_process_incarnation(0)
                member.last_heard = -math.inf
            if (record.incarnation, record.address) != (old.incarnation, old.address) or not record.live:
                member.suspected_by = ()
            self.replace(member, record)
            member.changed_at = now
        return result

    def replace(self, member: Member, record: Record) -> None:
        """Replace a member's record, and update the groups, the live list and the digest."""
        old = member.record
        if old.status in _GROUPED:
            del self._groups[old.status][old.name]
        member.record = record
        if member.position >= 0 and record.live and old[:5] == record[:5]:  # only alive <-> suspect
            self._add_to_group(record)
            return
        self._unindex(member)
        self._index(member)

    def _add_to_group(self, record: Record) -> None:
        if record.status in _GROUPED:
            self._groups[record.status][record.name] = None

    def _index(self, member: Member) -> None:
        """Add a member to the group of its status and, if live, to the live list and the digest."""
        record = member.record
        self._add_to_group(record)
        if record.live:
            member.position = len(self._live)
            self._live.append(record.name)
            member.digest = digest_of(record)
            self.digest ^= member.digest

    def _unindex(self, member: Member) -> None:
        """Remove a member from the live list and the digest. The last entry of the list takes its place."""
        if member.position < 0:
            return
        last = self._live.pop()
        if last != member.record.name:
            self._live[member.position] = last
            self.members[last].position = member.position
        self.digest ^= member.digest
        member.position, member.digest = -1, 0

    def _make_room(self) -> bool:
        """Make room for one more name, removing the oldest departed member if needed; return whether there is room."""
        if len(self.members) < self._max_names:
            return True
        oldest = [next(iter(self._groups[status])) for status in (Status.DEAD, Status.LEFT) if self._groups[status]]
        if not oldest:
            return False
        self.remove(min(oldest, key=lambda name: self.members[name].changed_at))
        return True

    def remove(self, name: str) -> None:
        """Remove a name from the table."""
        member = self.members[name]
        self._groups.get(member.record.status, {}).pop(name, None)
        self._unindex(member)
        del self.members[name]

    def expired(self, now: float) -> list[str]:
        """Return the names of departed members whose retention time has passed."""
        found = []
        for status, retention_s in self._retention_s.items():
            for name in self._groups[status]:
                if now - self.members[name].changed_at <= retention_s:
                    break  # the group is ordered by time of departure
                found.append(name)
        return found
